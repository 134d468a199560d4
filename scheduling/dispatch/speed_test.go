package dispatch

import (
	"testing"
	"time"
)

// The typical start delay is estimated from jobs that do not wait at the worker, also when half of the jobs
// wait.
func TestStartDelayExcludesWaiting(t *testing.T) {
	d, out := newDispatcher(testSettings(), 5), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	now := time.Duration(0)
	for id := RequestID(1); id < 400; id++ {
		d.Arrive(now, Request{ID: id, TimeLeft: time.Second}, out)
		delay := ms
		if id%2 == 0 {
			delay = 25 * ms // waits at the worker
		}
		for _, a := range out.take() {
			if a.kind == "send" {
				d.Notify(now+delay, Notification{ID: a.id, Worker: a.worker, Kind: NotificationStarted}, out)
				d.AttemptEnded(now+100*ms, Outcome{ID: a.id, Worker: a.worker, Code: OK, Answered: true}, out)
			}
		}
		now += 200 * ms
	}
	if d.speeds.startDelay[0] > 0.005 {
		t.Errorf("typical start delay %v s, want at most 0.005 s, near the 1 ms of jobs that did not wait", d.speeds.startDelay[0])
	}
}
