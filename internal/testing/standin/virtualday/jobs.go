package virtualday

// This file follows jobs and attempts from their arrival to their end, and watches the rules.

import (
	"fmt"
	"slices"
	"time"

	"yardflow/internal/testing/standin/machine"
	"yardflow/scheduling/dispatch"
)

type job struct {
	id       dispatch.RequestID
	class    int
	tenant   int
	dead     bool // its dispatcher died
	work     time.Duration
	arrived  time.Duration
	aim      time.Duration // in time up to then
	deadline time.Duration
	to       int // the dispatcher that it comes to
	host     *host
	attempts int
	out      int // attempts out
	mayRun   bool
	ran      int
	answered bool
	begun    bool
	now      *attempt // the latest
}

type attempt struct {
	job    *job
	n      int
	worker *worker
	ended  bool
	ran    bool
}

func (d *day) broken(format string, args ...any) {
	if len(d.res.Broken) < 20 {
		d.res.Broken = append(d.res.Broken, fmt.Sprintf(format, args...))
	}
}

func (d *day) arrive(j *job) {
	d.jobs[j.id] = j
	again := j.arrived < d.now // a client's, whose dispatcher has died
	if !again {
		d.res.Classes[j.class].Jobs++
		for _, s := range d.scores(j) {
			s.Of += d.Classes[j.class].Value
		}
	}
	for n := range d.front { // the front layer has noticed who is down
		if j.host = d.front[(j.to+n)%len(d.front)]; !j.host.down {
			break
		}
	}
	if j.host.down {
		d.answer(j, "failed")
		return
	}
	d.call(func() {
		j.host.m.Arrive(d.now, dispatch.Request{ID: j.id, Class: j.class, ResolvedClass: &d.Classes[j.class].Class, Tenant: j.tenant, TimeLeft: j.deadline - d.now,
			Slots: float64(d.Classes[j.class].Slots), ClientRetry: again}, j.host)
	})
	d.at(j.deadline, func() {
		if j.answered || j.dead {
			return
		}
		d.answer(j, "late") // the host's own end of it, as the core words it
		if a := j.now; a != nil && !a.ended {
			w := a.worker
			delete(w.attempts, uint64(j.id))
			d.take(w, w.m.Cancel(d.now, uint64(j.id)))
			d.end(a, dispatch.TimedOut)
			return
		}
		d.call(func() { j.host.m.ClientDisconnected(d.now, j.id, j.host) })
	})
}

func (d *day) answer(j *job, what string) {
	if j.answered {
		d.broken("request %d is answered twice", j.id)
		return
	}
	j.answered = true
	c := &d.res.Classes[j.class]
	switch {
	case what == "refused":
		c.Refused++
	case what == "failed" || what == "late":
		c.Failed++
	case d.now+d.Delay > j.aim:
		c.Late++
	default:
		c.InTime++
		for _, s := range d.scores(j) {
			s.Worth += d.Classes[j.class].Value
		}
	}
}

// scores are those that a job counts in.
func (d *day) scores(j *job) []*Score {
	return []*Score{&d.res.Classes[j.class], &d.res.Tenants[j.tenant], &d.res.Windows[int((j.arrived-base)/(10*time.Second))]}
}

// ---- workers

func (d *day) deliver(a *attempt) {
	w := a.worker
	if a.ended || a.job.answered && !a.job.dead {
		d.end(a, dispatch.NotSent)
		return
	}
	if w.errors > 0 && d.rnd.Float64() < w.errors {
		a.ran = true
		d.at(d.now+20*time.Millisecond, func() { d.end(a, dispatch.Failed) })
		return
	}
	w.attempts[uint64(a.job.id)] = a
	if w.hung {
		return
	}
	c := d.Classes[a.job.class]
	d.take(w, w.m.Submit(d.now, machine.Job{ID: uint64(a.job.id), Slots: c.Slots, Work: a.job.work}))
}

// take deals with a machine's news, and sets its next moment.
func (d *day) take(w *worker, news []machine.Event) {
	for _, e := range news {
		a := w.attempts[e.Job]
		if a == nil {
			continue
		}
		switch e.Kind {
		case machine.Started:
			a.ran = true
			if a.job.ran++; a.job.ran > 1 && d.Classes[a.job.class].Semantics == dispatch.AtMostOnce {
				d.broken("unsafe request %d runs twice", a.job.id)
			}
			if !a.job.begun {
				a.job.begun = true
				if c := &d.res.Classes[a.job.class]; e.At-a.job.arrived > c.Wait {
					c.Wait = e.At - a.job.arrived
				}
			}
			d.at(d.now+d.delay(a.job.host, w), func() {
				if !a.ended && !a.job.dead {
					d.call(func() {
						a.job.host.m.Notify(d.now, dispatch.Notification{ID: a.job.id, Attempt: a.n, Worker: w.id, Kind: dispatch.NotificationStarted}, a.job.host)
					})
				}
			})
		case machine.Done:
			d.ends(a, dispatch.OK)
		case machine.Returned:
			d.ends(a, dispatch.Rejected)
		case machine.Lost:
			d.ends(a, dispatch.ConnectionLost)
		}
	}
	if w.timer != nil {
		w.timer.gone = true
	}
	if at, ok := w.m.Next(); ok && !w.hung {
		w.timer = d.at(max(at, d.now), func() {
			w.timer = nil
			d.take(w, w.m.Advance(d.now))
		})
	}
}

// ends tells an attempt's end to its dispatcher, a network's delay later.
func (d *day) ends(a *attempt, code dispatch.Code) {
	delete(a.worker.attempts, uint64(a.job.id))
	d.at(d.now+d.delay(a.job.host, a.worker), func() { d.end(a, code) })
}

func (d *day) end(a *attempt, code dispatch.Code) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.worker.attempts, uint64(a.job.id))
	j, w := a.job, a.worker
	j.out--
	if code == dispatch.Rejected || code == dispatch.NotSent {
		j.mayRun = j.ran > 0
	}
	if j.dead {
		return // nobody waits for it any more
	}
	if code == dispatch.OK && !j.answered {
		d.answer(j, "served")
	}
	if n := len(w.free); n == 0 || d.now >= w.free[n-1].at+d.Report {
		w.free = append(w.free, reading{d.now, float64(w.m.Free())})
	}
	var load []float64 // none yet
	for _, r := range slices.Backward(w.free) {
		if r.at <= d.now-d.ReportLate {
			load = []float64{r.free}
			break
		}
	}
	d.call(func() {
		j.host.m.AttemptEnded(d.now, dispatch.Outcome{ID: j.id, Attempt: a.n, Worker: w.id, Code: code, Answered: j.answered, Load: load}, j.host)
	})
}
