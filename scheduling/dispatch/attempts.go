package dispatch

import (
	"slices"
	"time"
)

// minProgressShare is the completed share above which a progress notification is used to estimate the whole
// run time. Below it, the estimate depends on the rounding of the share.
const minProgressShare = 0.02

// attempt is one try of a request at one worker, from its send until its outcome.
type attempt struct {
	request        *request
	worker         *worker
	number         int // number within the request, from 0
	index          int // index in dispatcher.attempts
	sentAt         time.Duration
	startedAt      time.Duration // 0: no start notification so far
	lastNotifiedAt time.Duration // time of the latest notification, or of the send if there was none
	startLate      bool
	overdue        bool // running for much longer than expected
	overcommitted  bool // sent by sendOvercommitted, and outcome not yet recorded in the overcommit pacer
	lost           bool // presumed lost; its capacity has been released
}

// startedOrSentAt is the time when a started if that is known, else the time of its send.
func (a *attempt) startedOrSentAt() time.Duration {
	if a.startedAt != 0 {
		return a.startedAt
	}
	return a.sentAt
}

// reserve adds an attempt of r to the usage; release removes it.
func (u *workerUsage) reserve(r *request) {
	u.slots += r.Slots
	u.memory += r.Memory
}

func (u *workerUsage) release(r *request) {
	u.slots = max(u.slots-r.Slots, 0)
	u.memory = max(u.memory-r.Memory, 0)
}

// attemptAllowed reports whether the semantics of r allow another attempt at w. After an attempt that may
// have run, an AtMostOnce request gets no other attempt. A Deduplicated one may go only to workers that drop
// its repeats, and only in the first nine tenths of the window; the last tenth covers the time to reach w.
// Without hedging, no attempt is allowed while another one is outstanding.
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

// retryUseful reports whether a request that may have run can be sent again. A Deduplicated request must
// have half of its window left, for finding a worker.
func (d *dispatcher) retryUseful(r *request) bool {
	if r.class.Semantics == AtMostOnce {
		return false
	}
	return r.class.Semantics == Retryable || d.now < r.mayHaveRun.sentAt+r.class.DedupWindow/2
}

// send starts an attempt of r at w and reports whether it did; every attempt starts here. It refuses a
// request that has its final answer, has no attempt left or is past its deadline, an attempt that
// attemptAllowed forbids, a worker that is not listed as ready, and a send beyond the slow-start budget.
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

// removeAttempt removes an ended attempt from its request, its worker's usage and the list of attempts.
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
		// The completed share gives an estimate of the whole run time long before the run ends.
		if run := (now - a.startedOrSentAt()).Seconds() / n.FractionDone; run > 0 {
			d.learnRunTime(a.request, a.worker, run)
		}
	}
}

// outstandingAttempt returns the attempt if it is outstanding, else nil.
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
	d.recordOvercommitOutcome(a, false)
	d.planAttempt(a)
	if a.lost { // the attempt was only late, so it uses capacity after all
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
		d.answerUnserved(r, out) // it was not sent again at once, and waiting has no value
	}
}

// completeAttempt handles the end of an attempt: it frees the capacity, updates the estimates, and then ends
// the request, queues it again or answers it.
func (d *dispatcher) completeAttempt(a *attempt, o Outcome, out Actions) {
	r, w := a.request, a.worker
	atLimit := w.usage.busy() >= w.limit.slots
	d.removeAttempt(a)
	neverRan := o.Code == Rejected || o.Code == ConnectFailed || o.Code == NotSent
	d.recordOvercommitOutcome(a, neverRan)
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
	case len(r.outstanding) > 0: // another attempt may still succeed
	case r.attemptCount >= d.Attempts.Max || o.FinalAttempt || d.nearDeadline(r) ||
		r.mayHaveRun.worker != nil && !d.retryUseful(r):
		d.answerUnserved(r, out)
	default:
		d.enqueue(r)
	}
}

// learnOutcome updates the worker's estimates and slot limit with the outcome of an attempt.
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
		d.shrinkLimit(w, maxRejectionDoublings)
	case ConnectionLost:
		d.recordFailure(w, connectionLossWeight, out)
	case Failed, TimedOut, ConnectFailed, Unknown:
		if !a.lost {
			d.recordFailure(w, failureWeight, out)
		}
	}
}

// spreadRetries excludes w from the next attempts of r after one there that did not run. It sets r.holdUntil
// so that the remaining attempts are spread evenly over the time until the latest start, or until the
// deadline if the latest start has passed.
func (d *dispatcher) spreadRetries(r *request, w *worker) {
	r.rejectedBy = append(r.rejectedBy, w)
	end := r.latestStart
	if d.now >= end {
		end = r.deadline
	}
	r.holdUntil = d.now + (end-d.now)/time.Duration(1+max(d.Attempts.Max-r.attemptCount, 0))
}

// markNeverRan records that a did not run. If a was the first attempt that might have run, the first
// outstanding attempt takes its place.
func (r *request) markNeverRan(a *attempt) {
	if r.mayHaveRun != (priorRun{a.worker, a.sentAt}) {
		return
	}
	r.mayHaveRun = priorRun{}
	if len(r.outstanding) > 0 {
		r.mayHaveRun = priorRun{r.outstanding[0].worker, r.outstanding[0].sentAt}
	}
}
