package dispatch

import (
	"testing"
	"time"
)

// A job whose connection has gone silent, while its worker goes on with jobs sent
// after it, is the connection's loss: the worker keeps its rank, its room and its
// jobs, and a job that may be repeated is taken back and sent again.
func TestSilentConnectionDoesNotCountAgainstItsWorker(t *testing.T) {
	for class, again := range map[int]bool{1: true, 2: false} {
		s := testSettings()
		s.FIFOWorkers, s.Classes[class].LatencyTarget = true, 3*time.Second
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
			t.Errorf("class %d: taken back: %v, own %v, late %v, served %d", class, cancelled, w.usage.slots, w.speed.logLateness, served)
		}
		if d.AttemptEnded(2*time.Second, Outcome{ID: 1, Worker: 1, Code: TimedOut, Answered: true}, out); w.errorShare != 0 || w.usage.slots != 0 {
			t.Errorf("class %d: bad %v, own %v", class, w.errorShare, w.usage.slots)
		}
	}
}

// What one lost job tells of its worker: a kept connection that was gone nothing,
// a broken one a little, a failure enough to stay away for some seconds.
func TestSingleLossMakesNoUnhealthyWorker(t *testing.T) {
	for _, c := range []struct {
		code   Code
		losses int
		away   time.Duration // unsafe jobs stay away no longer
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
		for ; w.errorShare > distrustErrorShare && until < time.Minute; until += refreshInterval {
			d.Timer(until, 0, out)
		}
		if got := until - now; got > c.away || c.away > 0 && got == 0 {
			t.Errorf("%d times code %d: away for %v, want %v at the most", c.losses, c.code, got, c.away)
		}
	}
}

// A condemned worker gets nothing; on trial it gets one job that may be repeated, and that first,
// though others are faster; no more jobs are out at one worker than may be; and a request whose
// last try is made ends with it.
func TestHealthAndWorkerLimits(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	list := []Worker{{ID: 1, State: Ready, Weight: 1, Health: Ejected}, {ID: 2, State: Ready, Weight: 1}}
	d.UpdateWorkers(ms, ListFull, list, out)
	next := RequestID(0)
	ask := func(now time.Duration, class int) (to WorkerID) {
		next++
		out.take()
		d.Arrive(now, Request{ID: next, Class: class, TimeLeft: 5 * time.Second}, out)
		for _, a := range out.take() {
			if a.what == "send" && a.id == next {
				to = a.worker
			}
		}
		return to
	}
	end := func(now time.Duration, code Code, last bool) []action {
		w := WorkerID(2)
		for _, a := range d.(*dispatcher).attempts {
			if a.request.ID == next {
				w = a.worker.ID
			}
		}
		d.AttemptEnded(now, Outcome{ID: next, Worker: w, Code: code, Answered: code == OK, FinalAttempt: last}, out)
		return out.take()
	}
	for i := range 20 {
		now := time.Duration(i+1) * 100 * ms
		if to := ask(now, 0); to != 2 {
			t.Fatalf("a job goes to %d while 1 is condemned", to)
		}
		end(now+50*ms, OK, false)
	}
	list[0].Health = OnProbation
	d.UpdateWorkers(3*time.Second, ListOverride, list[:1], out)
	if to := ask(3*time.Second, 2); to != 2 {
		t.Errorf("a job that can't be repeated goes to %d, which is on trial", to)
	}
	end(3*time.Second+50*ms, OK, false)
	list[0].State = Draining
	d.UpdateWorkers(3500*ms, ListOverride, list[:1], out)
	if to := ask(3500*ms, 0); to != 2 {
		t.Errorf("with the one on trial draining, a job goes to %d", to)
	}
	end(3550*ms, OK, false)
	list[0].State = Ready
	d.UpdateWorkers(3900*ms, ListOverride, list[:1], out)
	if to := ask(4*time.Second, 0); to != 1 {
		t.Errorf("the trial's job goes to %d", to)
	}
	if to := ask(4*time.Second, 0); to != 2 {
		t.Errorf("a second job goes to %d while one is on trial there", to)
	}
	end(4*time.Second+50*ms, OK, false)
	d.SetWorkerLimits(5*time.Second, 2, -1, out)
	sent := 0
	for range 6 {
		if ask(5*time.Second, 0) != 0 {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d jobs are out at one worker, of 2", sent)
	}
	if d.SetWorkerLimits(6*time.Second, -1, -1, out); ask(6*time.Second, 0) != 0 {
		t.Error("a job is sent where none may be out")
	}
	d, out = mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(ms, ListFull, []Worker{{ID: 2, State: Ready, Weight: 1}, {ID: 3, State: Ready, Weight: 1}}, out)
	ask(100*ms, 0)
	if acts := end(200*ms, Failed, true); len(acts) != 1 || acts[0].what != "reject" {
		t.Errorf("after its last try: %+v", acts)
	}
}
