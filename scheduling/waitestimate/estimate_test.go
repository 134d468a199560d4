package waitestimate

import (
	"math"
	"testing"
	"time"
)

func TestObservedWaitDecaysToTheFleetsMean(t *testing.T) {
	var c FleetWait
	var w WorkerWait
	if w.Expected(time.Second, &c) != 0 {
		t.Error("a wait is expected before any was seen")
	}
	for range 100 {
		c.Observe(0.3)
	}
	if got := w.Expected(time.Second, &c); math.Abs(got-0.3) > 1e-9 {
		t.Errorf("an unknown worker: %v, want the usual 0.3", got)
	}
	w.Observe(10*time.Second, 2.3)
	for after, want := range map[time.Duration]float64{0: 2.3, DecayTime: 0.3 + 2/math.E, 20 * DecayTime: 0.3} {
		if got := w.Expected(10*time.Second+after, &c); math.Abs(got-want) > 1e-6 {
			t.Errorf("%v later: %v, want %v", after, got, want)
		}
	}
	soon := 10*time.Second + DecayTime/5
	w.ObserveAtLeast(soon, 1, &c) // a job sent later that waits less: the earlier observation stands
	if got := w.Expected(soon, &c); got < 1.5 {
		t.Errorf("a shorter wait that has not ended yet has replaced a longer one: %v", got)
	}
	w.ObserveAtLeast(soon, 4, &c)
	if got := w.Expected(soon, &c); got != 4 {
		t.Errorf("a job that has waited 4 s already: %v", got)
	}
}
