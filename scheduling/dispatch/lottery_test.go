package dispatch

import (
	"slices"
	"testing"
	"time"
)

// If all workers have queues, a worker that has just restarted counts as one without a queue. It is sent
// jobs within its slow-start budget at once, not only when the other queues have become longer.
func TestRestartedWorkerCountsAsWithoutQueue(t *testing.T) {
	s := testSettings()
	s.Fleet.Count, s.SlowStart.Share, s.Classes[0].LatencyTarget = 4, 0.9, 5*time.Second
	d, out := mustNew(t, s, 5), &recorder{}
	list := []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}
	d.UpdateWorkers(0, ListFull, list, out)
	var to []WorkerID
	id, now := RequestID(0), time.Duration(0)
	runJob := func(wait time.Duration) {
		id++
		d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, Slots: 1}, out)
		for _, a := range out.take() {
			if a.kind == "send" {
				to = append(to, a.worker)
				d.Notify(now+wait, Notification{ID: id, Worker: a.worker, Kind: NotificationStarted}, out)
				d.AttemptEnded(now+wait+100*ms, Outcome{ID: id, Worker: a.worker, Answered: true}, out)
			}
		}
		now += wait + 900*ms
	}
	for range 20 {
		runJob(1600 * ms)
	}
	for range 6 {
		runJob(600 * ms) // the queues have become shorter than usual
	}
	to = to[:0]
	list[2].Launched = now
	d.UpdateWorkers(now, ListDelta, list[2:], out)
	for range 6 {
		runJob(600 * ms)
	}
	if !slices.Contains(to, 3) {
		t.Errorf("jobs were sent to workers %v, want worker 3, which has just restarted, among them", to)
	}
}
