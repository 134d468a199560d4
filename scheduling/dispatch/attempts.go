package dispatch

import (
	"slices"
	"time"
)

// minProgressShare is the share done from which progress tells of the whole run; below it, rounding does.
const minProgressShare = 0.02

// attempt is one try of a request at one worker, from its send until its outcome.
type attempt struct {
	request        *request
	worker         *worker
	number         int // within the request, from 0
	index          int // in dispatcher.attempts
	sentAt         time.Duration
	startedAt      time.Duration // 0: no notification of its start
	lastNotifiedAt time.Duration // latest notification, or the send
	startLate      bool
	overdue        bool // it runs well past its expected time
	overcommitted  bool // sent without known capacity, and not settled yet
	lost           bool // presumed lost; it holds no capacity
}

// startedOrSentAt is when a began, as far as that is known.
func (a *attempt) startedOrSentAt() time.Duration {
	if a.startedAt != 0 {
		return a.startedAt
	}
	return a.sentAt
}

// reserve counts an attempt of r at the worker; release takes it away again.
func (u *workerUsage) reserve(r *request) {
	u.slots += r.Slots
	u.memory += r.Memory
}

func (u *workerUsage) release(r *request) {
	u.slots = max(u.slots-r.Slots, 0)
	u.memory = max(u.memory-r.Memory, 0)
}

// attemptAllowed tells whether one more attempt may go to w, by what the request's semantics allow
// after one that may have run: none for AtMostOnce, and for Deduplicated only where its repeats are
// dropped, with a tenth of the window to spare for the way there.
func (d *dispatcher) attemptAllowed(r *request, w *worker) bool {
	if r.mayHaveRun.worker == nil {
		return true
	}
	if len(r.outstanding) > 0 && !d.Attempts.Hedging || r.class.Semantics == AtMostOnce {
		return false
	}
	if r.class.Semantics == Retryable {
		return true
	}
	first := r.mayHaveRun.worker
	return d.now < r.mayHaveRun.sentAt+r.class.DedupWindow*9/10 && (r.class.DedupScope == ScopeAll ||
		r.class.DedupScope == ScopeZone && first.Zone == w.Zone ||
		r.class.DedupScope == ScopeCell && first.Cell == w.Cell)
}

// retryUseful tells whether a request that may have run can be sent again, with half of a
// deduplication window left for finding a worker.
func (d *dispatcher) retryUseful(r *request) bool {
	if r.class.Semantics == AtMostOnce {
		return false
	}
	return r.class.Semantics == Retryable || d.now < r.mayHaveRun.sentAt+r.class.DedupWindow/2
}

// send is the one way to begin an attempt. Whatever led to it, it sends nothing after the final answer,
// nothing that attemptAllowed forbids, only to workers that are listed as ready, and nothing
// beyond the slow-start budget.
func (d *dispatcher) send(r *request, w *worker, out Actions) bool {
	if r.ended || r.attemptCount >= d.Attempts.Max || !w.listed || d.now >= r.deadline ||
		!d.attemptAllowed(r, w) || !d.slowStartAllows(w, r) {
		return false
	}
	d.spendSlowStart(w, r)
	d.dequeue(r)
	if r.attemptCount == 0 {
		d.reclaims.earn()
	}
	a := &attempt{
		request: r, worker: w, number: r.attemptCount, index: len(d.attempts),
		sentAt: d.now, lastNotifiedAt: d.now,
	}
	d.attempts = append(d.attempts, a)
	r.outstanding = append(r.outstanding, a)
	r.attemptCount++
	if r.mayHaveRun.worker == nil {
		r.mayHaveRun = priorRun{w, d.now}
	}
	w.usage.reserve(r)
	w.usage.jobs++
	d.usageChanged()
	w.limit.slots = max(w.limit.slots, 1)
	d.planAttempt(a)
	out.Send(r.ID, w.ID, 0)
	return true
}

// removeAttempt takes an attempt that has ended out of all books.
func (d *dispatcher) removeAttempt(a *attempt) {
	r, w := a.request, a.worker
	if !a.lost {
		if a.startedAt != 0 {
			w.usage.startedSlots -= r.Slots
		}
		w.usage.release(r)
	}
	d.unplanAttempt(a)
	d.usageChanged()
	w.usage.jobs--
	r.outstanding = slices.DeleteFunc(r.outstanding, func(o *attempt) bool { return o == a })
	last := d.attempts[len(d.attempts)-1]
	d.attempts[a.index], last.index = last, a.index
	d.attempts = d.attempts[:len(d.attempts)-1]
}

func (d *dispatcher) Notify(now time.Duration, n Notification, out Actions) {
	d.beginEvent(now, out)
	a := d.outstandingAttempt(n.ID, n.Attempt)
	if a == nil {
		return
	}
	a.lastNotifiedAt = now
	switch {
	case n.Kind == NotificationStarted && a.startedAt == 0:
		d.attemptStarted(a)
	case n.Kind == NotificationProgress && n.FractionDone > minProgressShare && n.FractionDone <= 1:
		// The share done shows the whole run long before the end.
		if run := (now - a.startedOrSentAt()).Seconds() / n.FractionDone; run > 0 {
			d.learnRunTime(a.request, a.worker, run)
		}
	}
}

// outstandingAttempt finds an attempt that is outstanding; nil: it is not.
func (d *dispatcher) outstandingAttempt(id RequestID, number int) *attempt {
	r := d.requests[id]
	if r == nil {
		return nil
	}
	for _, a := range r.outstanding {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (d *dispatcher) attemptStarted(a *attempt) {
	w, r := a.worker, a.request
	a.startedAt = d.now
	w.startedSentAt = max(w.startedSentAt, a.sentAt)
	d.settleOvercommit(a, false)
	d.planAttempt(a)
	if a.lost { // it was only late: it holds a slot after all
		a.lost = false
		w.usage.reserve(r)
	}
	w.usage.startedSlots += r.Slots
	d.learnStartDelay(w, (d.now - a.sentAt).Seconds())
}

func (d *dispatcher) AttemptEnded(now time.Duration, o Outcome, out Actions) {
	d.beginEvent(now, out)
	if w := d.fleet.workers[o.Worker]; w != nil {
		d.recordLoad(w, o.Load, o.Code != Rejected)
	}
	a := d.outstandingAttempt(o.ID, o.Attempt)
	if a == nil {
		return
	}
	d.completeAttempt(a, o, out)
	d.decide(out)
	if r := a.request; r.queued && d.valueless(r) {
		d.answerUnserved(r, out) // no capacity at once, and nothing to wait for
	}
}

// completeAttempt takes the end of an attempt: it frees the capacity, learns, and ends the request,
// queues it again or answers it.
func (d *dispatcher) completeAttempt(a *attempt, o Outcome, out Actions) {
	r, w := a.request, a.worker
	atLimit := w.usage.busy() >= w.limit.slots
	d.removeAttempt(a)
	neverRan := o.Code == Rejected || o.Code == ConnectFailed || o.Code == NotSent
	d.settleOvercommit(a, neverRan)
	d.learnOutcome(a, o.Code, atLimit, out)
	if neverRan {
		d.spreadRetries(r, w)
	}
	d.rerank(w)
	if neverRan {
		r.markNeverRan(a)
	}
	switch {
	case o.Answered || r.ended:
		d.endRequest(r)
	case len(r.outstanding) > 0: // one of them may still succeed
	case r.attemptCount >= d.Attempts.Max || o.FinalAttempt || d.nearDeadline(r) ||
		r.mayHaveRun.worker != nil && !d.retryUseful(r):
		d.answerUnserved(r, out)
	default:
		d.enqueue(r)
	}
}

// learnOutcome takes in what the end of an attempt tells of its worker.
func (d *dispatcher) learnOutcome(a *attempt, code Code, atLimit bool, out Actions) {
	r, w := a.request, a.worker
	switch code {
	case OK:
		run := (d.now - a.startedOrSentAt()).Seconds()
		w.succeededSentAt = max(w.succeededSentAt, a.sentAt)
		d.learnRunTime(r, w, run)
		r.stats.recentWork.Add(run * r.Slots)
		w.errorShare *= successDecay
		w.speed.logLateness = 0
		if atLimit && !a.startLate && !a.overdue {
			d.growLimit(w, r.Slots)
		}
	case Rejected:
		d.shrinkLimit(w, rejectionBackoffs)
	case ConnectionLost:
		d.recordFailure(w, connectionLossWeight, out)
	case Failed, TimedOut, ConnectFailed, Unknown:
		if !a.lost {
			d.recordFailure(w, failureWeight, out)
		}
	}
}

// spreadRetries spreads the attempts of r that are left over the time in which they are of use, after w
// has rejected it.
func (d *dispatcher) spreadRetries(r *request, w *worker) {
	r.rejectedBy = append(r.rejectedBy, w)
	until := r.latestStart
	if d.now >= until {
		until = r.deadline
	}
	r.holdUntil = d.now + (until-d.now)/time.Duration(1+max(d.Attempts.Max-r.attemptCount, 0))
}

// markNeverRan notes that a did not run: where it was the first that might have, the next one outstanding is.
func (r *request) markNeverRan(a *attempt) {
	if r.mayHaveRun != (priorRun{a.worker, a.sentAt}) {
		return
	}
	r.mayHaveRun = priorRun{}
	if len(r.outstanding) > 0 {
		r.mayHaveRun = priorRun{r.outstanding[0].worker, r.outstanding[0].sentAt}
	}
}
