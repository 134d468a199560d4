package dispatch

import (
	"testing"
	"time"
)

// The number of reclaimed attempts stays within the budget, however long all jobs wait. A cancelled job that
// stays in its worker's queue is wasted work and makes other jobs late: without the budget, a fleet reclaimed
// a fifth of its sends and served half as much as with random choice of workers.
func TestReclaimedAttemptsStayWithinBudget(t *testing.T) {
	s := testSettings()
	s.Fleet.Count, s.Workers.FIFO, s.Attempts.Max = 40, true, 50
	d, out := mustNew(t, s, 3), &recorder{}
	var list []Worker
	for i := range 10 {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	d.UpdateWorkers(0, ListFull, list, out)
	const jobs = 40
	sends, reclaimed := map[RequestID]int{}, 0
	for now, id := time.Duration(0), RequestID(0); now < 20*time.Second; now += 25 * ms {
		if id < jobs && now%(250*ms) == 0 {
			id++
			d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, Slots: 1, WorkHint: time.Second}, out)
		}
		d.Timer(now, 0, out)
		for _, a := range out.take() {
			switch a.kind {
			case "send":
				sends[a.id]++
			case "cancel":
				reclaimed++
				d.AttemptEnded(now, Outcome{ID: a.id, Attempt: a.attempt, Worker: 1, Code: Cancelled}, out)
			}
		}
	}
	if most := int(maxReclaimBurst + reclaimShare*jobs); reclaimed < 2 || reclaimed > most {
		t.Errorf("%d attempts of %d jobs were reclaimed, want 2 to %d", reclaimed, jobs, most)
	}
}

// With many dispatchers, a Deduplicated request that has not started is reclaimed and sent to another worker of
// the same cell, which drops repeats. An AtMostOnce request is not reclaimed.
func TestUnstartedRetryableJobsAreReclaimed(t *testing.T) {
	for class, want := range map[int]string{1: "cancel", 2: ""} {
		s := testSettings()
		s.Fleet.Count, s.Workers.FIFO = 40, true
		d, out := mustNew(t, s, 3), &recorder{}
		d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1, Cell: 1}, {ID: 2, Weight: 1, Cell: 1}, {ID: 3, Weight: 1, Cell: 2}, {ID: 4, Weight: 1, Cell: 2}}, out)
		d.Arrive(0, Request{ID: 1, Class: class, TimeLeft: 5 * time.Second, Slots: 1, WorkHint: time.Second}, out)
		first, got, now := out.take()[0], "", time.Duration(0)
		for ; now < 500*ms && got == ""; now += 25 * ms {
			d.Timer(now, 0, out)
			for _, a := range out.take() {
				got = a.kind
			}
		}
		if got != want {
			t.Fatalf("class %d, not started for %v: action %q, want %q", class, now, got, want)
		}
		if want == "" {
			continue
		}
		d.AttemptEnded(now, Outcome{ID: 1, Worker: first.worker, Code: Cancelled}, out)
		var to WorkerID
		for range 200 { // the request is queued until a worker of the cell may be used
			for _, a := range out.take() {
				if a.kind == "send" {
					to = a.worker
				}
			}
			now += 10 * ms
			d.Timer(now, 0, out)
		}
		if to == 0 || (to+1)/2 != (first.worker+1)/2 {
			t.Errorf("sent again to worker %d, first to worker %d; want a worker of the same cell", to, first.worker)
		}
	}
}
