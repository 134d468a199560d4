package dispatch

import (
	"math"
	"testing"
)

// With many dispatchers, the home shares of one dispatcher add up to its fair share of the fleet, and the
// home shares of one worker add up to 1.
func TestHomeSharesDivideTheFleet(t *testing.T) {
	const n = 40
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	totalShares := map[WorkerID]float64{}
	for me := range n {
		s := testSettings()
		s.Fleet.Index, s.Fleet.Count = me, n
		d := newDispatcher(s, uint64(me))
		d.UpdateWorkers(0, ListCached, list, &recorder{})
		own := 0.0
		for _, w := range d.fleet.ranked {
			own += w.home.share
			totalShares[w.ID] += w.home.share
		}
		if math.Abs(own-1) > 1e-9 {
			t.Fatalf("dispatcher %d has home shares of %v in total, with %d workers and %d dispatchers; want 1", me, own, n, n)
		}
	}
	for id, sum := range totalShares {
		if math.Abs(sum-1) > 1e-6 {
			t.Errorf("home shares of worker %d add up to %v, want 1", id, sum)
		}
	}
}
