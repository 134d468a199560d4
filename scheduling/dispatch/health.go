package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Failures. A worker's errorShare is a recent share of failed attempts, 0 to 1; one failure after a good
// time is mostly chance, so it costs a few seconds, and each that follows soon costs more.
const (
	// failureWeight is the error share that one failure tells of. With 0.3 one lost connection kept a
	// worker out for 10 to 25 s.
	failureWeight = 0.15
	// connectionLossWeight is that of a connection lost while in use, which is mostly the connection's fault.
	connectionLossWeight = 0.07
	// errorShareGrowth is the factor on the share at each further failure: four failures in a row of a worker
	// that was good bring it over loggedErrorShare. With more, fewer failures, which may be chance, do.
	errorShareGrowth = 1.5
	// successDecay is what is left of the share after a success: a third after three.
	successDecay = 0.7
	// suspectErrorShare is the share above which AtMostOnce requests stay away and the slot limit shrinks:
	// one failure is over it, one connection lost is not. Lower, and a single lost connection takes a
	// worker's slots away.
	suspectErrorShare = 0.1
	// loggedErrorShare is the share above which operators are told of the worker.
	loggedErrorShare = 0.75
)

// Late and lost attempts.
const (
	// lateStartFactor is how many typical start delays an attempt may wait before its start counts as late,
	// with two event gaps and lateStartSlackSeconds added. With less, delays of the network shrink limits;
	// with more, jobs wait at workers before they do.
	lateStartFactor       = 3
	lateStartSlackSeconds = 0.01
	// overdueRuns is the number of expected runs past which an attempt is overdue. Sizes are long-tailed:
	// with less, long jobs are held against their workers.
	overdueRuns = 3.0
	// lostRuns is the multiple of that past which one is presumed lost while later ones succeed: twelve
	// expected runs. At six long jobs were caught too, and their slots were given out twice.
	lostRuns = 4
	// overtakeSlack is how long connecting may delay a job against one sent after it, where workers
	// serve first in, first out. An attempt that is overtaken by more is presumed lost.
	overtakeSlack = 400 * time.Millisecond
	// latenessStep is the least rise (ln) of a worker's lateness that is worth the time of a new rank.
	latenessStep = 0.1
)

// recordFailure counts a failure of one attempt at w. The worker loses rank and, unless it is a single
// lost connection, its slots for a backoff that grows while it goes on failing and ends in a trial.
// When all workers fail, all lose alike.
func (d *dispatcher) recordFailure(w *worker, weight float64, out Actions) {
	w.errorShare = min(errorShareGrowth*w.errorShare+weight, 1)
	if w.errorShare > suspectErrorShare {
		d.shrinkLimit(w, maxFailureDoublings)
	}
	if w.errorShare > loggedErrorShare {
		next := w.limit.backoffUntil - d.now
		d.log(out, "failing", fmt.Sprintf("worker %x fails, next trial in %v", uint64(w.ID), next))
	}
}

// probationWorker is the worker on probation where r may show whether it is healthy again; nil: none
// is, or r may not go there. It comes before all faster ones: one dispatcher may have few jobs for it.
func (d *dispatcher) probationWorker(r *request) *worker {
	w := d.fleet.probation
	if w != nil && w.Health == OnProbation && w.listed && d.eligible(w, r) && d.slowStartAllows(w, r) {
		return w
	}
	return nil
}

// superviseAttempt looks at an outstanding attempt: no notification of its start, an overdue run or
// silence lowers its worker's limit and rank before any outcome does.
func (d *dispatcher) superviseAttempt(a *attempt, out Actions) {
	if !a.lost && d.presumedLost(a) {
		d.markLost(a, out)
	}
	if a.lost {
		return
	}
	w := a.worker
	if a.startedAt == 0 {
		w.wait.ObserveAtLeast(d.now, (d.now - a.sentAt).Seconds(), &d.fleetWait)
		d.checkStart(a)
	} else {
		d.observeSlots(w, w.usage.startedSlots)
	}
	d.checkRun(a)
}

// presumedLost tells whether no more is to be heard of a, for no fault of its worker: first in, first out,
// a job sent well after it could not have started before it; and a run very far past what is expected,
// while later ones succeed, is a stream that stopped.
func (d *dispatcher) presumedLost(a *attempt) bool {
	if a.startedAt == 0 {
		if !d.Workers.FIFO || !d.Workers.StartNotifications {
			return false
		}
		return a.worker.startedSentAt > a.sentAt+overtakeSlack ||
			d.sparse() && d.now-a.sentAt > reclaimAfter && d.reclaims.available() && d.reclaimable(a.request)
	}
	return a.worker.succeededSentAt > a.sentAt &&
		(d.now-a.startedAt).Seconds() > lostRuns*overdueRuns*d.expectedRun(a.request, a.worker) &&
		(d.Workers.ProgressInterval == 0 || d.now-a.lastNotifiedAt > 2*d.Workers.ProgressInterval)
}

// markLost frees what a holds at its worker, and reclaims it where it may be retried.
func (d *dispatcher) markLost(a *attempt, out Actions) {
	a.lost = true
	w, r := a.worker, a.request
	if a.startedAt != 0 {
		w.usage.startedSlots -= r.Slots
	}
	w.usage.release(r)
	d.unplanAttempt(a)
	if d.reclaimable(r) {
		d.reclaims.spend()
		out.Cancel(r.ID, a.number)
	}
}

// checkStart shrinks the limit of a worker where a has not started in time: once an attempt.
func (d *dispatcher) checkStart(a *attempt) {
	w, r := a.worker, a.request
	allowed := lateStartFactor**d.typicalStartDelay(w) + (2 * d.MinEventGap).Seconds() + lateStartSlackSeconds
	if !d.Workers.StartNotifications || a.startLate || (d.now-a.sentAt).Seconds() <= allowed {
		return
	}
	a.startLate = true
	d.recordOvercommitOutcome(a, true)
	w.usage.slots -= r.Slots // what waits does not run
	d.shrinkLimit(w, maxRejectionDoublings)
	w.usage.slots += r.Slots
}

// checkRun stops the growth of a worker's limit and lowers its rank where a is overdue.
func (d *dispatcher) checkRun(a *attempt) {
	w := a.worker
	age, due := (d.now - a.startedOrSentAt()).Seconds(), overdueRuns*d.expectedRun(a.request, w)
	if age <= due {
		return
	}
	if !a.overdue {
		a.overdue = true
		w.limit.slots = min(w.limit.slots, max(w.usage.busy(), 1))
	}
	interval := d.Workers.ProgressInterval
	if a.startedAt != 0 && interval > 0 && d.now-a.lastNotifiedAt < interval*3/2 {
		return // a long job that still notifies of its progress
	}
	if lateness := math.Log(age / due); lateness > w.speed.logLateness+latenessStep {
		w.speed.logLateness = lateness
		d.rerank(w)
	}
}
