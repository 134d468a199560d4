//go:build !race

package harness

import (
	"testing"
	"time"
)

// Hundreds start within a second, with coordinators at once, late and never; a third is killed and
// starts again. With coordinators no second has more calls than are stated, and a zone's list is read
// at most twice; without, everybody has it in the end.
func TestColdStarts(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		c := ColdStart{Seed: seed, Dispatchers: 300, Zones: 6, Workers: 200, CallsPerSecond: 5, Coordinators: true, RelayList: true, CoordinatorDelay: time.Duration(seed%4) * time.Second}
		if seed%2 == 1 {
			c.Killed = 0.3
		}
		got := c.Run()
		if got.WithoutList > 0 || got.PeakCalls > c.CallsPerSecond || got.FailedCalls > 0 || c.Killed == 0 && got.ListCalls > 2*c.Zones {
			t.Errorf("seed %d: %+v", seed, got)
		}
		if again := c.Run(); again != got {
			t.Errorf("seed %d gives %+v, and then %+v", seed, got, again)
		}
	}
	// A service that takes a tenth of what drawn pauses ask of it: it comes out of that by itself.
	alone := ColdStart{Seed: 1, Dispatchers: 300, Zones: 6, Workers: 200, CallsPerSecond: 5, Horizon: 10 * time.Minute}
	if got := alone.Run(); got.WithoutList > 0 {
		t.Errorf("without keepers: %+v", got)
	}
}
