package dispatch

import (
	"fmt"
	"math"
	"time"
)

// Failures. A worker's errorShare is its recent share of failed attempts, 0 to 1. A single failure after a
// period without failures is mostly chance, so it lowers the worker's use for a few seconds only. Each
// further failure soon after it has a larger effect.
const (
	// failureWeight is what one failure adds to the error share. With 0.3, one lost connection kept a
	// worker out of use for 10 to 25 s.
	failureWeight = 0.15
	// connectionLossWeight is what a connection lost while in use adds; the connection is mostly at fault.
	connectionLossWeight = 0.07
	// errorShareGrowth multiplies the share at each failure: four failures in a row of a worker without
	// earlier failures raise it above loggedErrorShare. With more, fewer failures do so, which may be chance.
	errorShareGrowth = 1.5
	// successDecay multiplies the share at each success: a third is left after three successes.
	successDecay = 0.7
	// suspectErrorShare is the share above which AtMostOnce requests avoid the worker and its slot limit
	// shrinks. One failure exceeds it, one lost connection does not. With a lower value, a single lost
	// connection shrinks the worker's slot limit.
	suspectErrorShare = 0.1
	// loggedErrorShare is the share above which failures of the worker are logged.
	loggedErrorShare = 0.75
)

// Late and lost attempts.
const (
	// lateStartFactor is the number of typical start delays after which the start of an attempt counts as
	// late; two event gaps and lateStartSlackSeconds are added. With less, network delays shrink slot limits;
	// with more, jobs wait at workers before the limits shrink.
	lateStartFactor       = 3
	lateStartSlackSeconds = 0.01
	// overdueRuns is the number of expected run times after which an attempt is overdue. Job sizes are
	// long-tailed: with less, workers are penalised for long jobs.
	overdueRuns = 3.0
	// lostRuns is the multiple of overdueRuns after which a running attempt is presumed lost if later ones
	// have succeeded: twelve expected run times. At six, long jobs were presumed lost too, and their slots
	// were used twice.
	lostRuns = 4
	// overtakeSlack is the longest time by which connecting may delay a job relative to one sent after it,
	// where workers serve first in, first out. If an attempt that was sent more than this after another one
	// has started first, the earlier one is presumed lost.
	overtakeSlack = 400 * time.Millisecond
	// latenessStep is the smallest increase (ln) of a worker's lateness that justifies the cost of reranking.
	latenessStep = 0.1
)

// recordFailure records a failed attempt at w. The worker loses rank. Unless the failure is a single lost
// connection, it also loses slots for a backoff that grows with further failures and ends in a trial. When
// all workers fail, all of them are penalised alike, so their order stays.
func (d *dispatcher) recordFailure(w *worker, weight float64, out Actions) {
	w.errorShare = min(errorShareGrowth*w.errorShare+weight, 1)
	if w.errorShare > suspectErrorShare {
		d.shrinkLimit(w, maxFailureDoublings)
	}
	if w.errorShare > loggedErrorShare {
		wait := w.limit.backoffUntil - d.now
		d.log(out, "failing", fmt.Sprintf("worker %x keeps failing; next trial in %v", uint64(w.ID), wait))
	}
}

// probationWorker returns the worker on probation that r may be sent to, to test whether the worker has
// recovered, or nil if there is none. It takes precedence over faster workers, since one dispatcher may have
// few jobs that can test it.
func (d *dispatcher) probationWorker(r *request) *worker {
	w := d.fleet.probation
	if w != nil && w.Health == OnProbation && w.listed && d.eligible(w, r) && d.slowStartAllows(w, r) {
		return w
	}
	return nil
}

// superviseAttempt checks an outstanding attempt. A missing start notification, an overdue run or a missing
// progress notification lowers the worker's slot limit or rank before the outcome is known.
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

// presumedLost reports whether a is presumed lost without a fault of its worker. At a first-in, first-out
// worker, an attempt that has not started is presumed lost if a job sent well after it has started, or, in a
// sparse fleet, if it has waited for reclaimAfter and may be reclaimed. A running attempt is presumed lost
// if it takes far longer than expected, without progress notifications, while later ones succeed: its
// response stream has probably stopped.
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

// markLost releases the capacity of a at its worker, and cancels a if its request may be reclaimed.
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

// checkStart shrinks the worker's slot limit if a has not started in time, at most once per attempt.
func (d *dispatcher) checkStart(a *attempt) {
	w, r := a.worker, a.request
	allowed := lateStartFactor**d.typicalStartDelay(w) + (2 * d.MinEventGap).Seconds() + lateStartSlackSeconds
	if !d.Workers.StartNotifications || a.startLate || (d.now-a.sentAt).Seconds() <= allowed {
		return
	}
	a.startLate = true
	d.recordOvercommitOutcome(a, true)
	w.usage.slots -= r.Slots // the waiting attempt does not use a slot
	d.shrinkLimit(w, maxRejectionDoublings)
	w.usage.slots += r.Slots
}

// checkRun caps the worker's slot limit at its present usage and lowers its rank if a is overdue.
func (d *dispatcher) checkRun(a *attempt) {
	w := a.worker
	age, overdueAge := (d.now - a.startedOrSentAt()).Seconds(), overdueRuns*d.expectedRun(a.request, w)
	if age <= overdueAge {
		return
	}
	if !a.overdue {
		a.overdue = true
		w.limit.slots = min(w.limit.slots, max(w.usage.busy(), 1))
	}
	interval := d.Workers.ProgressInterval
	if a.startedAt != 0 && interval > 0 && d.now-a.lastNotifiedAt < interval*3/2 {
		return // the job is long, but still sends progress notifications
	}
	if lateness := math.Log(age / overdueAge); lateness > w.speed.logLateness+latenessStep {
		w.speed.logLateness = lateness
		d.rerank(w)
	}
}
