package server

import (
	"testing"
	"time"
)

// TestOneCatchUpRequestInFlight keeps a fault of the grown yards: a lesson was asked for at every tick though one was
// under way, the same entries came many times, and the heartbeats behind them came too late.
func TestOneCatchUpRequestInFlight(t *testing.T) {
	pace := catchUpLimit{}
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	for _, step := range []struct {
		at       int
		answered bool
		want     bool
	}{{0, false, true}, {100, false, false}, {150, true, true}, {160, false, false}, {350, false, true}, {360, true, true}} {
		if step.answered {
			pace.done()
		}
		if got := pace.tryStart(at(step.at)); got != step.want {
			t.Errorf("at %d ms: asked %v", step.at, got)
		}
	}
}
