package protocol

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/sebdah/goldie/v2"

	"yardflow/internal/control/statemachine"
)

// makeBody returns the body of a configuration with a number of typical routes.
func makeBody(version int64, routes int) []byte {
	text := fmt.Appendf(nil, `{"Version":%d,"Routes":[`, version)
	for i := range routes {
		if i > 0 {
			text = append(text, ',')
		}
		random := rand.New(rand.NewPCG(uint64(i), 1))
		timeout := 3000
		if i == int(version)%routes {
			timeout += int(version)
		}
		text = fmt.Appendf(text, `{"Name":"r-%07x","Host":"%x.example","PathPrefix":"/%06x/","Kind":"unsafe","TimeoutMs":%d,`+
			`"TargetLatencyMs":1000,"Priority":1,"Service":"huvo11a","MaxAttempts":3,"Stretch":2.2}`,
			random.Uint32N(1<<28), random.Uint32N(1<<20), random.Uint32N(1<<24), timeout)
	}
	return append(text, `],"Services":[{"Name":"huvo11a","HealthPath":"/health","Guards":true}]}`...)
}

func compressedBytes(update *statemachine.ConfigUpdate) int {
	return len(CompressUpdates([]cbor.RawMessage{Encode(statemachine.Update{Config: update})}))
}

// TestBytesOfChanges tabulates the sizes of configurations in bytes, as sent to a dispatcher, in the chain's log and in the
// state, by the number of routes and changes. It also checks upper limits.
func TestBytesOfChanges(t *testing.T) {
	lines := []string{fmt.Sprintf("%7s %8s %10s %12s %11s %11s %13s", "routes", "changes", "body",
		"whole, sent", "a change", "in the log", "in the state")}
	for _, routes := range []int{4, 76, 1480} {
		for _, changes := range []int{10, 300, 3000} {
			if routes*changes > 125_000 { // skipped: the size of a change does not depend on the earlier ones
				continue
			}
			c := statemachine.New(10)
			sent, logged := 0, 0
			for version := int64(1); version <= int64(changes); version++ {
				command := &statemachine.Command{Configure: c.NewConfigure(version, version-1, makeBody(version, routes))}
				if c.Apply(command).Code != statemachine.OK {
					t.Fatal("a change is rejected")
				}
				if version > 1 {
					logged += len(Encode(command))
					sent += compressedBytes(c.DequeueUpdates()[0].Update.Config)
				} else {
					c.DequeueUpdates()
				}
			}
			state := len(Encode(&c.State)) - len(c.ConfigBody)
			change, entry := sent/(changes-1), logged/(changes-1)
			lines = append(lines, fmt.Sprintf("%7d %8d %10d %12d %11d %11d %13d", routes, changes, len(c.ConfigBody),
				compressedBytes(c.FullConfig()), change, entry, state))
			if change > 700 || entry > 700 || state > 50_000 {
				t.Errorf("%d routes, %d changes: %d bytes a change, %d in the log, %d in the state", routes, changes, change, entry, state)
			}
		}
	}
	goldie.New(t).Assert(t, t.Name(), []byte(strings.Join(lines, "\n")+"\n"))
}
