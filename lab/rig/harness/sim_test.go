//go:build !race

// One goroutine a schedule: nothing for the race detector, at ten times the price.

package harness

import (
	"testing"
	"time"

	"yardflow/internal/fleet/statemachine"
)

func schedule(seed uint64) Sim {
	return Sim{Seed: seed, Keepers: 5, Dispatchers: 6, Length: 15 * time.Second, Lost: 0.05, Doubled: 0.05, Slowest: 30 * time.Millisecond}
}

// Schedules of crashes, cuts, stops and lost, late and doubled messages: no two versions serve at
// one moment under refuse, none beside another for over a lease under last, and once all is calm
// no change is left hanging and the keepers agree.
func TestSchedules(t *testing.T) {
	t.Parallel()
	versions := uint64(0)
	for seed := range uint64(60) {
		for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
			c := schedule(seed)
			c.Fence = fence
			got := c.Run()
			for _, b := range got.Broken {
				t.Errorf("seed %d, %v: %s", seed, fence, b)
			}
			if got.Overlap > simLease {
				t.Errorf("seed %d, %v: two versions beside each other for %v", seed, fence, got.Overlap)
			}
			if got.Hanging {
				t.Errorf("seed %d, %v: a change is left under way", seed, fence)
			}
			if fence == statemachine.RefuseWork {
				versions += got.InForce
			}
		}
	}
	if versions < 60 {
		t.Errorf("%d versions in all came into force", versions)
	}
	t.Logf("%d versions", versions)
}

func TestSameScheduleSameRun(t *testing.T) {
	t.Parallel()
	one, two := schedule(7).Run(), schedule(7).Run()
	if one.Digest != two.Digest || one.Digest == schedule(8).Run().Digest {
		t.Error("the same seed gives another run, or another the same")
	}
}

// All keepers are away for a while, and 60 dispatchers come back to them at once: under last not
// one request fewer is served, under refuse none is once leases are over; back, all hold leases
// soon, without a rush.
func TestKeepersAway(t *testing.T) {
	t.Parallel()
	for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
		c := Sim{Seed: 5, Keepers: 3, Dispatchers: 60, Length: 40 * time.Second, Slowest: 4 * time.Millisecond, Calm: true, Away: 20 * time.Second, Fence: fence}
		got := c.Run()
		t.Logf("%v: %.3f before, %.3f without keepers; all back after %v, at most %d calls in 100 ms", fence, got.Before, got.Without, got.Back, got.Rush)
		if len(got.Broken) > 0 || got.Back == 0 || got.Back > 5*time.Second || got.Rush > 3*c.Dispatchers {
			t.Errorf("%v: %v; back after %v, %d calls in 100 ms", fence, got.Broken, got.Back, got.Rush)
		}
		if fence == statemachine.KeepLastPolicy && got.Without < got.Before || fence == statemachine.RefuseWork && got.Without > 0.2 {
			t.Errorf("%v: %.3f before, %.3f without keepers", fence, got.Before, got.Without)
		}
	}
}
