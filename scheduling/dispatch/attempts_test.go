package dispatch

import (
	"testing"
	"time"
)

// A rejection requeues the job, and the next attempt goes to another worker.
func TestRejectionRequeues(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, TimeLeft: 5 * time.Second}, out)
	first := out.take()
	if len(first) != 1 || first[0].kind != "send" {
		t.Fatalf("got %v, want one send", first)
	}
	d.AttemptEnded(2*ms, Outcome{ID: 7, Worker: first[0].worker, Code: Rejected}, out)
	now := 2 * ms
	for range 100 {
		if got := out.take(); len(got) > 0 {
			if got[0].kind != "send" || got[0].worker == first[0].worker {
				t.Fatalf("after a rejection got %v, want a send to another worker", got)
			}
			return
		}
		now += 25 * ms
		d.Timer(now, 0, out)
	}
	t.Fatal("the rejected job was not sent again")
}

// A failed connect, for instance to a worker at its connection limit, proves that the job never ran. An
// AtMostOnce request is then sent to another worker. After its last attempt it is rejected, not failed.
func TestFailedConnectDoesNotFailAnAtMostOnceRequest(t *testing.T) {
	s := testSettings()
	s.Fleet.Count = 40 // more dispatchers than workers
	d, out := mustNew(t, s, 3), &recorder{}
	var list []Worker
	for id := WorkerID(1); id <= 8; id++ {
		list = append(list, Worker{ID: id, Weight: 1})
	}
	d.UpdateWorkers(0, ListFull, list, out)
	d.Arrive(0, Request{ID: 1, Class: 2, TimeLeft: 5 * time.Second, Slots: 1}, out)
	tried, now := map[WorkerID]bool{}, time.Duration(0)
	for n := range s.Attempts.Max {
		var sent *action
		for _, a := range out.take() {
			switch a.kind {
			case "send":
				sent = &a
			case "fail":
				t.Fatalf("the request was failed after %d failed connects, want another attempt", n)
			}
		}
		if sent == nil || tried[sent.worker] {
			t.Fatalf("after %d failed connects: sent %v, want a worker not in %v", n, sent, tried)
		}
		tried[sent.worker] = true
		now += 20 * ms
		d.AttemptEnded(now, Outcome{ID: 1, Attempt: n, Worker: sent.worker, Code: ConnectFailed}, out)
	}
	if got := out.take(); len(got) != 1 || got[0].kind != "reject" {
		t.Errorf("after the last attempt: %+v, want a rejection", got)
	}
}
