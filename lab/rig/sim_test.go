//go:build !race

// One goroutine a schedule: nothing for the race detector, at ten times the price.

package rig

import (
	"testing"
	"time"

	"linnetlift/internal/keeper"
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
		for _, fence := range []keeper.Fence{keeper.Refuse, keeper.Last} {
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
			if fence == keeper.Refuse {
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
