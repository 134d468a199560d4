package dispatch

import (
	"testing"
	"time"
)

// If the connection of one job goes silent while its worker goes on with jobs sent after it, the connection
// is at fault. The worker keeps its rank, its capacity and its other jobs, and the silent job is cancelled
// if it may be retried.
func TestSilentConnectionDoesNotCountAgainstItsWorker(t *testing.T) {
	for class, wantCancel := range map[int]bool{1: true, 2: false} {
		s := testSettings()
		s.Workers.FIFO, s.Classes[class].LatencyTarget = true, 3*time.Second
		d, out := newDispatcher(s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		w := d.fleet.workers[1]
		d.fleet.kindOf(w).slots.seen, w.limit.slots = 4, 4
		d.Arrive(ms, Request{ID: 1, Class: class, TimeLeft: 5 * time.Second}, out) // the job whose connection goes silent
		cancelled, served := false, 0
		for now := 50 * ms; now < 2*time.Second; now += 50 * ms {
			d.Arrive(now, Request{ID: RequestID(now), TimeLeft: 5 * time.Second}, out)
			for _, a := range out.take() {
				if a.kind == "send" && a.id != 1 {
					d.Notify(now+ms, Notification{ID: a.id, Worker: 1, Kind: NotificationStarted}, out)
					d.AttemptEnded(now+40*ms, Outcome{ID: a.id, Worker: 1, Code: OK, Answered: true}, out)
					served++
				}
				cancelled = cancelled || a == action{kind: "cancel", id: 1}
			}
			d.Timer(now+45*ms, 0, out)
		}
		if cancelled != wantCancel || w.usage.slots != 0 || w.speed.logLateness != 0 || served < 30 {
			t.Errorf("class %d: cancelled %v, want true for class 1 only; used slots %v and lateness %v, want 0; jobs served %d, want 30 or more", class, cancelled, w.usage.slots, w.speed.logLateness, served)
		}
		if d.AttemptEnded(2*time.Second, Outcome{ID: 1, Worker: 1, Code: TimedOut, Answered: true}, out); w.errorShare != 0 || w.usage.slots != 0 {
			t.Errorf("class %d: after the timeout, error share %v and used slots %v, want 0", class, w.errorShare, w.usage.slots)
		}
	}
}

// A single lost connection must not keep AtMostOnce requests away from a worker. They avoid it for no time after
// stale connections or one connection lost in use, for up to 20 s after two of the latter, and for up to 8 s
// after one failure.
func TestSingleLossDoesNotMakeWorkerUnhealthy(t *testing.T) {
	for _, c := range []struct {
		code     Code
		losses   int
		maxAvoid time.Duration // longest time for which AtMostOnce requests may avoid the worker
	}{{StaleConnection, 5, 0}, {ConnectionLost, 1, 0}, {ConnectionLost, 2, 20 * time.Second}, {Failed, 1, 8 * time.Second}} {
		d, out := newDispatcher(testSettings(), 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		w, now := d.fleet.workers[1], ms
		for id := range RequestID(c.losses) {
			now += 10 * ms
			d.overcommit.nextAt, w.limit.slots, w.limit.backoffUntil = 0, 4, 0
			d.Arrive(now, Request{ID: id, Class: 2, TimeLeft: 5 * time.Second}, out)
			d.AttemptEnded(now, Outcome{ID: id, Worker: 1, Code: c.code}, out)
		}
		end := now
		for ; w.errorShare > suspectErrorShare && end < time.Minute; end += refreshInterval {
			d.Timer(end, 0, out)
		}
		if got := end - now; got > c.maxAvoid || c.maxAvoid > 0 && got == 0 {
			t.Errorf("%d outcomes of code %d: the worker is avoided for %v, want at most %v", c.losses, c.code, got, c.maxAvoid)
		}
	}
}

// client submits jobs to a dispatcher, one after the other.
type client struct {
	d    Dispatcher
	out  recorder
	last RequestID // id of the latest job
}

// submit hands in a job and returns the worker that it is sent to, or 0 if it is not sent at once.
func (c *client) submit(now time.Duration, class int) (to WorkerID) {
	c.last++
	c.out.take()
	c.d.Arrive(now, Request{ID: c.last, Class: class, TimeLeft: 5 * time.Second}, &c.out)
	for _, a := range c.out.take() {
		if a.kind == "send" && a.id == c.last {
			to = a.worker
		}
	}
	return to
}

// endAttempt ends the attempt of the latest job and returns the actions that follow.
func (c *client) endAttempt(now time.Duration, code Code, final bool) []action {
	w := WorkerID(2)
	for _, a := range c.d.(*dispatcher).attempts {
		if a.request.ID == c.last {
			w = a.worker.ID
		}
	}
	c.d.AttemptEnded(now, Outcome{ID: c.last, Worker: w, Code: code, Answered: code == OK, FinalAttempt: final}, &c.out)
	return c.out.take()
}

// An ejected worker gets no jobs. A worker on probation gets one retryable job at a time, before faster
// workers get any. The number of jobs outstanding at one worker stays within its limit. A request ends with
// its final attempt.
func TestHealthAndWorkerLimits(t *testing.T) {
	c := &client{d: mustNew(t, testSettings(), 1)}
	list := []Worker{{ID: 1, State: Ready, Weight: 1, Health: Ejected}, {ID: 2, State: Ready, Weight: 1}}
	c.d.UpdateWorkers(ms, ListFull, list, &c.out)
	for i := range 20 {
		now := time.Duration(i+1) * 100 * ms
		if to := c.submit(now, 0); to != 2 {
			t.Fatalf("with worker 1 ejected, the job was sent to worker %d, want 2", to)
		}
		c.endAttempt(now+50*ms, OK, false)
	}
	checkProbation(t, c, list[:1])
	c.d.SetWorkerLimits(5*time.Second, 2, -1, &c.out)
	sent := 0
	for range 6 {
		if c.submit(5*time.Second, 0) != 0 {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d jobs were sent to one worker, want at most 2", sent)
	}
	if c.d.SetWorkerLimits(6*time.Second, -1, -1, &c.out); c.submit(6*time.Second, 0) != 0 {
		t.Error("a job was sent although the limit allows no outstanding job")
	}
	c = &client{d: mustNew(t, testSettings(), 1), last: c.last}
	c.d.UpdateWorkers(ms, ListFull, []Worker{{ID: 2, State: Ready, Weight: 1}, {ID: 3, State: Ready, Weight: 1}}, &c.out)
	c.submit(100*ms, 0)
	if acts := c.endAttempt(200*ms, Failed, true); len(acts) != 1 || acts[0].kind != "reject" {
		t.Errorf("after the final attempt got %+v, want one rejection", acts)
	}
}

// checkProbation puts worker 1, the only entry of list, on probation, and checks which jobs are sent to it
// between 3 and 4 s.
func checkProbation(t *testing.T, c *client, list []Worker) {
	list[0].Health = OnProbation
	c.d.UpdateWorkers(3*time.Second, ListOverride, list, &c.out)
	if to := c.submit(3*time.Second, 2); to != 2 {
		t.Errorf("with worker 1 on probation, a job that cannot be retried was sent to worker %d, want 2", to)
	}
	c.endAttempt(3*time.Second+50*ms, OK, false)
	list[0].State = Draining
	c.d.UpdateWorkers(3500*ms, ListOverride, list, &c.out)
	if to := c.submit(3500*ms, 0); to != 2 {
		t.Errorf("with worker 1 on probation and draining, the job was sent to worker %d, want 2", to)
	}
	c.endAttempt(3550*ms, OK, false)
	list[0].State = Ready
	c.d.UpdateWorkers(3900*ms, ListOverride, list, &c.out)
	if to := c.submit(4*time.Second, 0); to != 1 {
		t.Errorf("with worker 1 on probation, a retryable job was sent to worker %d, want 1", to)
	}
	if to := c.submit(4*time.Second, 0); to != 2 {
		t.Errorf("with a job outstanding at worker 1 on probation, a second job was sent to worker %d, want 2", to)
	}
	c.endAttempt(4*time.Second+50*ms, OK, false)
}
