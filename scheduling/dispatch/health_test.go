package dispatch

import (
	"testing"
	"time"
)

// A job whose connection has gone silent, while its worker goes on with jobs sent after it, is the
// connection's fault: the worker keeps its rank, its capacity and its jobs, and a job that may be retried is
// reclaimed and sent again.
func TestSilentConnectionDoesNotCountAgainstItsWorker(t *testing.T) {
	for class, again := range map[int]bool{1: true, 2: false} {
		s := testSettings()
		s.Workers.FIFO, s.Classes[class].LatencyTarget = true, 3*time.Second
		d, out := newDispatcher(s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		w := d.fleet.workers[1]
		d.fleet.kindOf(w).slots.seen, w.limit.slots = 4, 4
		d.Arrive(ms, Request{ID: 1, Class: class, TimeLeft: 5 * time.Second}, out) // never heard of again
		cancelled, served := false, 0
		for now := 50 * ms; now < 2*time.Second; now += 50 * ms {
			d.Arrive(now, Request{ID: RequestID(now), TimeLeft: 5 * time.Second}, out)
			for _, a := range out.take() {
				if a.what == "send" && a.id != 1 {
					d.Notify(now+ms, Notification{ID: a.id, Worker: 1, Kind: NotificationStarted}, out)
					d.AttemptEnded(now+40*ms, Outcome{ID: a.id, Worker: 1, Code: OK, Answered: true}, out)
					served++
				}
				cancelled = cancelled || a == action{what: "cancel", id: 1}
			}
			d.Timer(now+45*ms, 0, out)
		}
		if cancelled != again || w.usage.slots != 0 || w.speed.logLateness != 0 || served < 30 {
			t.Errorf("class %d: reclaimed: %v, slots %v, lateness %v, served %d", class, cancelled, w.usage.slots, w.speed.logLateness, served)
		}
		if d.AttemptEnded(2*time.Second, Outcome{ID: 1, Worker: 1, Code: TimedOut, Answered: true}, out); w.errorShare != 0 || w.usage.slots != 0 {
			t.Errorf("class %d: error share %v, slots %v", class, w.errorShare, w.usage.slots)
		}
	}
}

// What one lost job tells of its worker: a stale connection nothing, one lost in use a little, a failure
// enough to stay away for some seconds.
func TestSingleLossMakesNoUnhealthyWorker(t *testing.T) {
	for _, c := range []struct {
		code   Code
		losses int
		away   time.Duration // AtMostOnce requests stay away no longer
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
		until := now
		for ; w.errorShare > suspectErrorShare && until < time.Minute; until += refreshInterval {
			d.Timer(until, 0, out)
		}
		if got := until - now; got > c.away || c.away > 0 && got == 0 {
			t.Errorf("%d times code %d: away for %v, want %v at the most", c.losses, c.code, got, c.away)
		}
	}
}

// client asks a dispatcher for one job after the other.
type client struct {
	d    Dispatcher
	out  recorder
	last RequestID
}

// ask hands in a job and returns the worker that it is sent to; 0: none.
func (c *client) ask(now time.Duration, class int) (to WorkerID) {
	c.last++
	c.out.take()
	c.d.Arrive(now, Request{ID: c.last, Class: class, TimeLeft: 5 * time.Second}, &c.out)
	for _, a := range c.out.take() {
		if a.what == "send" && a.id == c.last {
			to = a.worker
		}
	}
	return to
}

// end ends the last job's attempt and returns what comes of it.
func (c *client) end(now time.Duration, code Code, final bool) []action {
	w := WorkerID(2)
	for _, a := range c.d.(*dispatcher).attempts {
		if a.request.ID == c.last {
			w = a.worker.ID
		}
	}
	c.d.AttemptEnded(now, Outcome{ID: c.last, Worker: w, Code: code, Answered: code == OK, FinalAttempt: final}, &c.out)
	return c.out.take()
}

// An ejected worker gets nothing; on probation it gets one job that may be retried, and that first, though
// others are faster; no more jobs are outstanding at one worker than may be; and a request whose final
// attempt is made ends with it.
func TestHealthAndWorkerLimits(t *testing.T) {
	c := &client{d: mustNew(t, testSettings(), 1)}
	list := []Worker{{ID: 1, State: Ready, Weight: 1, Health: Ejected}, {ID: 2, State: Ready, Weight: 1}}
	c.d.UpdateWorkers(ms, ListFull, list, &c.out)
	for i := range 20 {
		now := time.Duration(i+1) * 100 * ms
		if to := c.ask(now, 0); to != 2 {
			t.Fatalf("a job goes to %d while 1 is ejected", to)
		}
		c.end(now+50*ms, OK, false)
	}
	checkProbation(t, c, list[:1])
	c.d.SetWorkerLimits(5*time.Second, 2, -1, &c.out)
	sent := 0
	for range 6 {
		if c.ask(5*time.Second, 0) != 0 {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d jobs are outstanding at one worker, of 2", sent)
	}
	if c.d.SetWorkerLimits(6*time.Second, -1, -1, &c.out); c.ask(6*time.Second, 0) != 0 {
		t.Error("a job is sent where none may be outstanding")
	}
	c = &client{d: mustNew(t, testSettings(), 1), last: c.last}
	c.d.UpdateWorkers(ms, ListFull, []Worker{{ID: 2, State: Ready, Weight: 1}, {ID: 3, State: Ready, Weight: 1}}, &c.out)
	c.ask(100*ms, 0)
	if acts := c.end(200*ms, Failed, true); len(acts) != 1 || acts[0].what != "reject" {
		t.Errorf("after its final attempt: %+v", acts)
	}
}

// checkProbation puts worker 1, the list's, on probation between 3 and 4 s.
func checkProbation(t *testing.T, c *client, list []Worker) {
	list[0].Health = OnProbation
	c.d.UpdateWorkers(3*time.Second, ListOverride, list, &c.out)
	if to := c.ask(3*time.Second, 2); to != 2 {
		t.Errorf("a job that cannot be retried goes to %d, which is on probation", to)
	}
	c.end(3*time.Second+50*ms, OK, false)
	list[0].State = Draining
	c.d.UpdateWorkers(3500*ms, ListOverride, list, &c.out)
	if to := c.ask(3500*ms, 0); to != 2 {
		t.Errorf("with the one on probation draining, a job goes to %d", to)
	}
	c.end(3550*ms, OK, false)
	list[0].State = Ready
	c.d.UpdateWorkers(3900*ms, ListOverride, list, &c.out)
	if to := c.ask(4*time.Second, 0); to != 1 {
		t.Errorf("the probation's job goes to %d", to)
	}
	if to := c.ask(4*time.Second, 0); to != 2 {
		t.Errorf("a second job goes to %d while one is on probation there", to)
	}
	c.end(4*time.Second+50*ms, OK, false)
}
