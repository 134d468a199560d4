package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the operators' calls.
const (
	operatorTries = 40
	operatorPause = 100 * time.Millisecond
	callWithin    = time.Second
)

// Operator changes the configuration, and reads it, at any control machine. Some answers to it are lost on their
// way.
type Operator struct {
	cluster *Cluster
	random  *rand.Rand
	version int64 // newest version that was acknowledged
	History *ConfigHistory
}

// newOperator returns an operator with own luck.
func newOperator(y *Cluster, seed uint64) *Operator {
	return &Operator{cluster: y, random: rand.New(rand.NewPCG(seed, 5)), History: &ConfigHistory{began: time.Now()}}
}

// configBody returns a configuration; note tells two under one version apart.
func (y *Cluster) configBody(version int64, note string) string {
	return fmt.Sprintf(`{"Version":%d,"Note":"%s","Routes":[{"Host":"%s","PathPrefix":"%s","Service":"%s","TimeoutMs":3000,`+
		`"MaxAttempts":%d,"TargetLatencyMs":%d}],"Services":[{"Name":"%s","Guards":%v}]}`,
		version, note, routeHost, route, service, attempts, 100+version, service, y.Shape.Guards)
}

// Configure puts a configuration in force and reports whether it was taken.
func (o *Operator) Configure() bool {
	base := o.version
	version := base + 1 + int64(o.random.IntN(3))
	body := o.cluster.configBody(version, "")
	if o.send(o.random, version, base, body) != http.StatusOK {
		return false
	}
	o.version = version
	return true
}

// send sends one change until it has a clear answer: 200, or a refusal, which ends the call; 0 means none.
func (o *Operator) send(random *rand.Rand, version, base int64, body string) int {
	acknowledged := false
	for range operatorTries {
		status := o.put(random, version, base, body)
		lost := random.IntN(4) == 0
		switch status {
		case http.StatusOK:
			o.cluster.Checker.configured(version, base, body)
			o.cluster.moments.come(changeAcknowledged)
			if acknowledged = true; !lost {
				return status
			}
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			if acknowledged {
				o.cluster.Checker.AddViolation("CONFIG", "version %d was acknowledged and is refused with %d when sent again", version, status)
			}
			return status
		}
		time.Sleep(operatorPause)
	}
	if acknowledged {
		return http.StatusOK
	}
	return 0
}

func (o *Operator) put(random *rand.Rand, version, base int64, body string) int {
	o.cluster.moments.come(changeSent)
	done := o.History.begin(ConfigCall{Put: true, Version: version, Base: base, Body: body})
	status, _ := o.cluster.call(http.MethodPut, o.cluster.anyCore(random), body, callWithin, fmt.Sprint(base))
	done(status, "")
	return status
}

// Race lets two operators send different changes under one number, and reports whether one of them was taken.
func (o *Operator) Race() bool {
	base := o.version
	version := base + 1 + int64(o.random.IntN(3))
	var answers [2]int
	var both sync.WaitGroup
	for i := range answers {
		random := rand.New(rand.NewPCG(o.random.Uint64(), uint64(i)))
		body := o.cluster.configBody(version, fmt.Sprint("operator ", i))
		both.Go(func() { answers[i] = o.send(random, version, base, body) })
	}
	both.Wait()
	taken := answers[0] == http.StatusOK || answers[1] == http.StatusOK
	if taken {
		o.version = version
	}
	if answers[0] == http.StatusOK && answers[1] == http.StatusOK {
		o.cluster.Checker.AddViolation("CONFIG", "two operators are acknowledged under version %d", version)
	}
	if !taken && answers[0] != 0 && answers[1] != 0 {
		o.cluster.Checker.AddViolation("CONFIG", "both changes to version %d are refused", version)
	}
	return taken
}

// Read reads the configuration at any control machine; what is older than what was acknowledged before is noted.
func (o *Operator) Read(random *rand.Rand) (status int) {
	newest := o.cluster.Checker.newestVersion()
	done := o.History.begin(ConfigCall{})
	status, body := o.cluster.call(http.MethodGet, o.cluster.anyCore(random), "", callWithin, "")
	done(status, body)
	if status == http.StatusOK {
		o.cluster.Checker.readBack(newest, versionOf(body), body)
	}
	return status
}

// ReadBack reads the configuration at the end.
func (o *Operator) ReadBack() {
	for range operatorTries {
		if o.Read(o.random) == http.StatusOK {
			return
		}
		time.Sleep(operatorPause)
	}
	o.cluster.Checker.AddViolation("CONFIG", "the configuration can't be read back")
}

func versionOf(body string) (version int64) {
	_, _ = fmt.Sscanf(strings.TrimSpace(body), `{"Version":%d`, &version)
	return version
}

// anyCore returns the address of the configuration at some control machine.
func (y *Cluster) anyCore(random *rand.Rand) string {
	cores := y.Cores()
	return "http://" + y.Address(cores[random.IntN(len(cores))].name) + "/-/config"
}
