package emulator

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"yardflow/internal/control/statemachine"
)

// Spans of a rolling upgrade.
const (
	upgradeStop   = 500 * time.Millisecond // between the end of a process and the start of the other build
	upgradeSettle = 4 * time.Second        // until the next machine's turn
)

// coreStatus is what a control machine reports of its state.
type coreStatus struct {
	Epoch        uint64
	Serves       bool
	Sessions     int
	Jobs, Open   int
	Committed    uint64
	RulesVersion statemachine.RulesVersion
}

// status asks a control machine for its status; a machine that does not answer has an empty one.
func (c *core) status() (status coreStatus) {
	code, text := c.cluster.call(http.MethodGet, "http://"+c.cluster.Address(c.name)+"/-/status", "", 200*time.Millisecond, "")
	if code == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &status)
	}
	return status
}

// changeBuild replaces a control machine's process by one of the former build, or of this one.
func (c *core) changeBuild(former, inOrder bool) {
	if inOrder {
		c.Terminate()
	} else {
		c.Kill()
	}
	time.Sleep(upgradeStop)
	c.former = former
	c.Back()
	time.Sleep(upgradeSettle)
}

// wantRules checks the version of the rules at all control machines.
func (y *Cluster) wantRules(t *testing.T, when string, want statemachine.RulesVersion) {
	t.Helper()
	for _, one := range y.Cores() {
		if got := one.status().RulesVersion; !one.former && got != want {
			t.Errorf("%s: rules version %d at %s, want %d", when, got, one.name, want)
		}
	}
}

// TestRulesFollowARollingUpgradeAndItsWayBack checks that the newest rules take force once the last control machine has the
// new build, that they are lowered for the first machine that goes back, that replicas of both builds agree, and that no rule
// is broken on the way.
func TestRulesFollowARollingUpgradeAndItsWayBack(t *testing.T) {
	for name, inOrder := range map[string]bool{"processes stop in order": true, "processes are killed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playUpgrade(t, inOrder) })
		})
	}
}

func playUpgrade(t *testing.T, inOrder bool) {
	y := NewCluster(Shape{Cores: 3, Tolerate: 1, Dispatchers: 3, Workers: 6, Guards: true}, NewNetwork(), 1, io.Discard)
	for _, one := range y.Cores() {
		one.former = true
	}
	y.Start()
	y.Operator.Configure()
	time.Sleep(warmUp)
	over := make(chan struct{})
	clients := y.goClients(over)
	y.wantRules(t, "all of the former build", statemachine.InitialRules)
	for i, one := range y.Cores() {
		one.changeBuild(false, inOrder)
		if i < len(y.Cores())-1 {
			y.wantRules(t, "within the upgrade", statemachine.InitialRules)
		}
	}
	y.wantRules(t, "after the upgrade", statemachine.NewestRules)
	for _, one := range y.Cores() {
		one.changeBuild(true, inOrder)
		y.wantRules(t, "on the way back", statemachine.InitialRules)
	}
	close(over)
	<-clients
	time.Sleep(drain / 4)
	first := y.Cores()[0].status()
	for _, one := range y.Cores()[1:] {
		if got := one.status(); got.Jobs != first.Jobs || got.Open != first.Open {
			t.Errorf("%d jobs, %d open at %s, and %d, %d at the first", got.Jobs, got.Open, one.name, first.Jobs, first.Open)
		}
	}
	accepted, completed := y.Checker.Finish()
	if accepted < 20 {
		t.Errorf("%d jobs accepted: the test shows nothing", accepted)
	}
	t.Logf("%d accepted, %d completed", accepted, completed)
	for _, broken := range y.Checker.Violations() {
		t.Error(broken)
	}
	y.Stop()
	time.Sleep(20 * time.Second) // timers run out
}

// goClients lets clients hand jobs in until the channel is closed; the returned one is closed once all have ended.
func (y *Cluster) goClients(over <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		finished, count := make(chan struct{}, 1000), 0
		for going := true; going; count++ {
			own := rand.New(rand.NewPCG(y.seed, uint64(count+100)))
			go func() {
				y.Client(own, time.Now().Add(drain))
				finished <- struct{}{}
			}()
			select {
			case <-over:
				going = false
			case <-time.After(400 * time.Millisecond):
			}
		}
		for range count {
			<-finished
		}
	}()
	return ended
}
