package dispatch

import (
	"math"
	"testing"
	"time"
)

// If all usage is known, a report of far more free slots than the kind was known to have raises the kind's
// slots at once. Otherwise half of the slots went unused in the first seconds of a simulated day.
func TestReportOfFarMoreSlotsAppliesAtOnce(t *testing.T) {
	s := testSettings()
	s.Workers.LoadFields = []LoadField{LoadFreeSlots}
	d, out := newDispatcher(s, 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	for _, c := range [][2]float64{{1.98, 2}, {2.4, 2}, {3.1, 3}, {0.2, 3}} {
		if d.AttemptEnded(ms, Outcome{ID: 1, Worker: 1, Load: []float64{c[0]}}, out); d.fleet.kinds[0].slots.seen != c[1] {
			t.Errorf("after a report of %v free slots the kind has %v slots, want %v", c[0], d.fleet.kinds[0].slots.seen, c[1])
		}
	}
}

// The slots of a kind must be learned from reports on a large fleet too. The test guards against observations
// that decay once per worker instead of once per kind: they never reach the required number.
func TestKindSlotsAreLearnedOnALargeFleet(t *testing.T) {
	s := testSettings()
	s.Workers.LoadFields = []LoadField{LoadFreeSlots}
	d, out := newDispatcher(s, 1), &recorder{}
	var list []Worker
	for i := range 200 {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	d.UpdateWorkers(0, ListCached, list, out)
	for now := time.Duration(0); now < 10*time.Second; now += 250 * ms {
		d.AttemptEnded(now, Outcome{ID: 1, Worker: 1, Load: []float64{3}}, out)
		d.Timer(now, 0, out)
	}
	if got := d.fleet.kinds[0].slots.seen; got != 3 {
		t.Errorf("after 40 reports of 3 free slots the kind has %v slots, want 3", got)
	}
}

// A report that is too short, too long or has impossible values is ignored and changes no estimate.
func TestImpossibleLoadReportsAreIgnored(t *testing.T) {
	s := testSettings()
	s.Workers.LoadFields = []LoadField{LoadErrorRate, LoadFreeSlots}
	d, out := mustNew(t, s, 1).(*dispatcher), &recorder{}
	d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1}}, out)
	for id, load := range [][]float64{{0, 2}, nil, {0}, {0, 1, 2}, {0, math.NaN()}, {math.Inf(1), 1}, {0, 1e300}, {-1e9, 5}} {
		q, now := RequestID(id+1), time.Duration(id+1)*time.Second
		d.Arrive(now, Request{ID: q, TimeLeft: 5 * time.Second, Slots: 1}, out)
		d.AttemptEnded(now+100*ms, Outcome{ID: q, Worker: 1, Answered: true, Load: load}, out)
	}
	w := d.fleet.workers[1]
	if w.report.free != 3 || w.report.meanFree != 3 || w.errorShare != 0 || !w.report.known {
		t.Errorf("after impossible reports: free %v and mean %v, want 3; error share %v, want 0; a report must be known", w.report.free, w.report.meanFree, w.errorShare)
	}
}
