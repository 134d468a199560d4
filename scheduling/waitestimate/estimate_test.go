package waitestimate

import (
	"math"
	"testing"
	"time"
)

// The estimate for a worker starts at the last observed wait and decays to the fleet's mean. A wait that has
// not ended raises the estimate, but does not lower it.
func TestExpectedWaitDecaysToFleetMean(t *testing.T) {
	var fleet FleetWait
	var worker WorkerWait
	if worker.Expected(time.Second, &fleet) != 0 {
		t.Error("a wait is expected before any job was seen, want 0")
	}
	for range 100 {
		fleet.Observe(0.3)
	}
	if got := worker.Expected(time.Second, &fleet); math.Abs(got-0.3) > 1e-9 {
		t.Errorf("expected wait at an unknown worker is %v, want the fleet's mean of 0.3", got)
	}
	worker.Observe(10*time.Second, 2.3)
	for after, want := range map[time.Duration]float64{0: 2.3, DecayTime: 0.3 + 2/math.E, 20 * DecayTime: 0.3} {
		if got := worker.Expected(10*time.Second+after, &fleet); math.Abs(got-want) > 1e-6 {
			t.Errorf("expected wait %v after the observation is %v, want %v", after, got, want)
		}
	}
	soon := 10*time.Second + DecayTime/5
	worker.ObserveAtLeast(soon, 1, &fleet) // a job that has waited less so far: the estimate stays
	if got := worker.Expected(soon, &fleet); got < 1.5 {
		t.Errorf("expected wait is %v after a shorter wait that has not ended, want at least 1.5", got)
	}
	worker.ObserveAtLeast(soon, 4, &fleet)
	if got := worker.Expected(soon, &fleet); got != 4 {
		t.Errorf("expected wait is %v after a job has waited 4 s, want 4", got)
	}
}
