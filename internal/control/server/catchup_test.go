package server

import (
	"testing"
	"time"
)

// A regression test: a catch-up request was sent at every tick though one was in flight; the same entries came many times,
// and the heartbeats queued behind them came too late.
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
			t.Errorf("at %d ms: a request starts: %v", step.at, got)
		}
	}
}
