package dispatch

import (
	"testing"
	"time"
)

// A job is sent only to workers of its pools. A job that may have run before is sent only to workers that
// drop its repeats, and only while they do.
func TestPoolsAndEarlierRuns(t *testing.T) {
	workers := []Worker{{ID: 1, Weight: 1, Cell: 1, Pools: 1}, {ID: 2, Weight: 1, Cell: 2, Pools: 2}, {ID: 3, Weight: 1, Cell: 3, Pools: 3}}
	for _, c := range []struct {
		name string
		q    Request
		want map[WorkerID]bool
	}{
		{"any pool", Request{}, map[WorkerID]bool{1: true, 2: true, 3: true}},
		{"first pool", Request{Pools: 1}, map[WorkerID]bool{1: true, 3: true}},
		{"second pool", Request{Pools: 2}, map[WorkerID]bool{2: true, 3: true}},
		{"pool without workers", Request{Pools: 8}, nil},
		{"ran in cell 2", Request{Class: 1, EarlierWorker: &Worker{Cell: 2}, EarlierRunAge: time.Second}, map[WorkerID]bool{2: true}},
		{"ran in cell 2, too long ago", Request{Class: 1, EarlierWorker: &Worker{Cell: 2}, EarlierRunAge: 3 * time.Second}, nil},
		{"ran in cell 1, restricted to the second pool", Request{Class: 1, Pools: 2, EarlierWorker: &Worker{Cell: 1}}, nil},
		{"AtMostOnce, may have run", Request{Class: 2, EarlierWorker: &Worker{Cell: 2}}, nil},
	} {
		got := map[WorkerID]bool{}
		for seed := range uint64(30) {
			d, out := mustNew(t, testSettings(), seed), &recorder{}
			d.UpdateWorkers(0, ListCached, workers, out)
			now := ms
			for id := range RequestID(4) { // some of these find no capacity at the first worker
				q := c.q
				q.ID, q.TimeLeft = id+1, 2*time.Second
				d.Arrive(now, q, out)
			}
			for range 70 {
				now += 25 * ms
				d.Timer(now, 0, out)
			}
			for _, a := range out.sends() {
				got[a.worker] = true
			}
		}
		for w := range got {
			if !c.want[w] {
				t.Errorf("%s: sent to %d", c.name, w)
			}
		}
		if len(c.want) > 0 && len(got) == 0 || len(c.want) == 1 && !got[2] {
			t.Errorf("%s: sent to %v, want some of %v", c.name, got, c.want)
		}
	}
}

// BestEffort requests are sent only within this dispatcher's home share of the slots, and after all other
// requests.
func TestBestEffortTakesSpareCapacityOnly(t *testing.T) {
	for _, bestEffort := range []bool{true, false} {
		s := testSettings()
		s.Fleet.Count = 2 // the other dispatcher's usage is unknown, so normal jobs are sent beyond the home share
		d, out := mustNew(t, s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 4}, {ID: 2, Weight: 4}}, out)
		for id := range RequestID(40) {
			d.Arrive(ms, Request{ID: id + 1, TimeLeft: 5 * time.Second, BestEffort: bestEffort}, out)
		}
		now := ms
		for range 100 {
			now += 25 * ms
			d.Timer(now, 0, out)
		}
		sentCount := len(out.sends())
		t.Logf("best effort %t: %d of 40 jobs were sent to 2 workers with a home share of one half", bestEffort, sentCount)
		if bestEffort && (sentCount == 0 || sentCount > 4) || !bestEffort && sentCount <= 4 {
			t.Errorf("best effort %t: %d of 40 jobs were sent, want 1 to 4 if best effort, else more than 4", bestEffort, sentCount)
		}
		if !bestEffort {
			continue
		}
		// A normal request arrives behind the waiting best-effort requests: it gets the next free slot.
		d.Arrive(now, Request{ID: 100, TimeLeft: 5 * time.Second}, out)
		sent := out.sends()
		for id := RequestID(1); id <= 8 && len(sent) == 0; id++ {
			now += 25 * ms
			for w := range WorkerID(2) {
				d.AttemptEnded(now, Outcome{ID: id, Worker: w + 1, Code: OK, Answered: true}, out)
			}
			sent = out.sends()
		}
		if len(sent) == 0 || sent[0].id != 100 {
			t.Errorf("sent next: %v, want request 100, which is not best effort", sent)
		}
	}
}
