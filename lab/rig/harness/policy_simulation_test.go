//go:build !race

// One goroutine a schedule: nothing for the race detector, at ten times the price.

package harness

import (
	"testing"
	"time"

	"yardflow/internal/fleet/statemachine"
)

func schedule(seed uint64) PolicySimulation {
	return PolicySimulation{Seed: seed, Coordinators: 5, Dispatchers: 6, Length: 15 * time.Second, LossRate: 0.05, DuplicationRate: 0.05, MaxMessageDelay: 30 * time.Millisecond}
}

// Schedules of crashes, cuts, stops and lost, late and doubled messages: no two versions serve at
// one moment under refuse, none beside another for over a lease under last, and once all is calm
// no change is left hanging and the coordinators agree.
func TestSchedules(t *testing.T) {
	t.Parallel()
	versions := uint64(0)
	for seed := range uint64(60) {
		for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
			c := schedule(seed)
			c.OnLeaseLoss = fence
			got := c.Run()
			for _, b := range got.Violations {
				t.Errorf("seed %d, %v: %s", seed, fence, b)
			}
			if got.MaxOverlap > policyLeaseDuration {
				t.Errorf("seed %d, %v: two versions beside each other for %v", seed, fence, got.MaxOverlap)
			}
			if got.ChangePending {
				t.Errorf("seed %d, %v: a change is left under way", seed, fence)
			}
			if fence == statemachine.RefuseWork {
				versions += got.FinalVersion
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

// All coordinators are away for a while, and 60 dispatchers come back to them at once: under last not
// one request fewer is served, under refuse none is once leases are over; back, all hold leases
// soon, without a rush.
func TestCoordinatorOutage(t *testing.T) {
	t.Parallel()
	for _, fence := range []statemachine.LeaseLossMode{statemachine.RefuseWork, statemachine.KeepLastPolicy} {
		c := PolicySimulation{Seed: 5, Coordinators: 3, Dispatchers: 60, Length: 40 * time.Second, MaxMessageDelay: 4 * time.Millisecond, WithoutFaults: true, CoordinatorOutage: 20 * time.Second, OnLeaseLoss: fence}
		got := c.Run()
		t.Logf("%v: %.3f before, %.3f without keepers; all back after %v, at most %d calls in 100 ms", fence, got.AdmittedBefore, got.AdmittedWithout, got.RecoveredAfter, got.PeakRequests)
		if len(got.Violations) > 0 || got.RecoveredAfter == 0 || got.RecoveredAfter > 5*time.Second || got.PeakRequests > 3*c.Dispatchers {
			t.Errorf("%v: %v; back after %v, %d calls in 100 ms", fence, got.Violations, got.RecoveredAfter, got.PeakRequests)
		}
		if fence == statemachine.KeepLastPolicy && got.AdmittedWithout < got.AdmittedBefore || fence == statemachine.RefuseWork && got.AdmittedWithout > 0.2 {
			t.Errorf("%v: %.3f before, %.3f without keepers", fence, got.AdmittedBefore, got.AdmittedWithout)
		}
	}
}
