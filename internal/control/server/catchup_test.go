package server

import (
	"testing"
	"time"
)

// Regression test: a catch-up request was sent at every tick even while one was in flight. The same entries arrived many
// times, and delayed the heartbeats queued behind them for too long.
func TestOneCatchUpRequestInFlight(t *testing.T) {
	limit := catchUpLimit{}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for _, step := range []struct {
		at       int // ms
		answered bool
		starts   bool
	}{{0, false, true}, {100, false, false}, {150, true, true}, {160, false, false}, {350, false, true}, {360, true, true}} {
		if step.answered {
			limit.done()
		}
		if got := limit.tryStart(at(step.at)); got != step.starts {
			t.Errorf("at %d ms: tryStart returns %v", step.at, got)
		}
	}
}
