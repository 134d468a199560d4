package dispatch

import (
	"testing"
	"time"
)

// A draining worker gets no new job. Once it is ready again, the job that has waited is sent to it or rejected.
func TestDrainingWorkerIsSentNothingNew(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	d.UpdateWorkers(ms, ListDelta, []Worker{{ID: 1, State: Draining}}, out)
	out.take()
	d.Arrive(2*ms, Request{ID: 1, TimeLeft: time.Second}, out)
	for now := 25 * ms; now < 900*ms; now += 25 * ms {
		d.Timer(now, 0, out)
	}
	if got := out.take(); len(got) != 0 {
		t.Fatalf("got %v while the only worker drains, want no action", got)
	}
	d.UpdateWorkers(901*ms, ListDelta, []Worker{{ID: 1, Weight: 1}}, out)
	for now := 925 * ms; now < 1100*ms; now += 25 * ms {
		d.Timer(now, 0, out)
	}
	if got := out.take(); len(got) != 1 || (got[0].kind != "send" && got[0].kind != "reject") {
		t.Fatalf("after the worker became ready again got %v, want one send or one rejection", got)
	}
}

// After a failed list call, the dispatcher subscribes again within ListSettings.RefreshInterval.
func TestListServiceRecovery(t *testing.T) {
	s := testSettings()
	s.List.MustSubscribe = true
	d, out := mustNew(t, s, 3), &recorder{}
	d.UpdateWorkers(0, ListCached, nil, out)
	if got := out.take(); len(got) != 1 || got[0].kind != "subscribe" {
		t.Fatalf("got %v, want a subscription at once", got)
	}
	now := time.Duration(0)
	for range 10 {
		failed := now
		d.UpdateWorkers(now, ListFailed, nil, out)
		for len(out.take()) == 0 {
			now += 25 * ms
			d.Timer(now, 0, out)
			if now-failed > s.List.RefreshInterval {
				t.Fatal("did not subscribe again within ListSettings.RefreshInterval")
			}
		}
	}
}

// A new list ranks every listed worker. The test guards against a ranking that skips every other worker.
func TestAllWorkersAreRankedAfterListUpdate(t *testing.T) {
	d, out := newDispatcher(testSettings(), 5), &recorder{}
	var list []Worker
	for i := range 50 {
		list = append(list, Worker{ID: WorkerID(i + 1), Zone: i % 3, Kind: i % 2, Weight: float64(1 + i%3)})
	}
	d.UpdateWorkers(0, ListCached, list, out)
	for i, w := range d.fleet.ranked {
		if w.rankTime <= 0 || w.rankIndex != i || i > 0 && d.fleet.ranked[i-1].rankTime > w.rankTime {
			t.Fatalf("worker at index %d has rank time %v and rank index %d; want rank times above 0 in ascending order and equal indexes", i, w.rankTime, w.rankIndex)
		}
	}
}
