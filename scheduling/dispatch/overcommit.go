package dispatch

import (
	"math"
	"time"
)

// Pacing of overcommitted sends. A request whose hold time has passed is sent to the worker where it is
// expected to end first, even if no free capacity is known there.
const (
	// overcommitGrowth multiplies the gap after an overcommitted send that found no capacity. With a larger
	// factor, a few rejections in a row stop all such sends while some workers still have capacity.
	overcommitGrowth = 1.3
	// overcommitDecay divides the gap after an overcommitted send that found capacity, so that a few
	// successes bring the rate back to normal.
	overcommitDecay = 2.0
	// overcommitMinGapRuns is the gap after the first wasted send, in mean run times. It is well below the
	// interval at which even one worker could take jobs.
	overcommitMinGapRuns = 1.0 / 256
	// overcommitMaxGapRuns is the largest gap, in mean run times. Without a bound a dispatcher would not
	// notice the end of an overload.
	overcommitMaxGapRuns = 4.0
)

// overcommitPacer increases the gaps between overcommitted sends while most of them are rejected or kept
// waiting. Such attempts cost workers and dispatchers time, use up the attempts of their requests, and move
// the queue to the workers, where requests cannot be reclaimed or reordered.
type overcommitPacer struct {
	nextAt     time.Duration // no overcommitted send before this time
	gapSeconds float64       // mean time between two overcommitted sends
}

// recordOutcome adapts the gap to the outcome of an overcommitted send: wasted, or capacity was found.
func (p *overcommitPacer) recordOutcome(wasted bool, meanRun float64) {
	if wasted {
		grown := max(p.gapSeconds*overcommitGrowth, overcommitMinGapRuns*meanRun)
		p.gapSeconds = min(grown, overcommitMaxGapRuns*meanRun)
	} else {
		p.gapSeconds /= overcommitDecay
	}
}

// recordOvercommitOutcome passes the outcome of an overcommitted attempt to the pacer, once per attempt. It
// ignores other attempts.
func (d *dispatcher) recordOvercommitOutcome(a *attempt, wasted bool) {
	if a.overcommitted {
		d.overcommit.recordOutcome(wasted, d.speeds.meanRun.Seconds())
	}
	a.overcommitted = false
}

// mayOvercommit reports whether r may be sent now without known free capacity. While slots are scarce, only a
// job of one slot may, as a larger one would make a queue wait at its worker; and no job may while a large
// job waits.
func (d *dispatcher) mayOvercommit(r *request) bool {
	return d.now >= r.holdUntil && d.now >= d.overcommit.nextAt &&
		(!d.slotsScarce() || r.Slots == 1 && !d.large.waiting)
}

// sendOvercommitted sends r to the worker where it is expected to end first, with known capacity or not. If
// the usage of all dispatchers is known, it sends r only to a worker with capacity.
func (d *dispatcher) sendOvercommitted(r *request, out Actions) bool {
	r.rejectedBy = r.rejectedBy[:0]
	w := d.earliestEndWorker(r)
	if d.usageKnown() {
		w, _ = d.pickWorker(r) // with all usage known, a worker without capacity is certain to make r wait
	}
	if w == nil || !d.send(r, w, out) {
		return false
	}
	d.attempts[len(d.attempts)-1].overcommitted = true
	d.overcommit.nextAt = d.now + seconds(d.overcommit.gapSeconds*(0.5+d.random.Float64()))
	return true
}

// estimatedWaitWeight is the weight of a second of estimated waiting, relative to a second of known run time.
// With a smaller weight, jobs join the queues of fast workers on the basis of old load reports.
const estimatedWaitWeight = 8.0

// earliestEndWorker returns the worker where r is expected to end first, with free capacity or not, for a
// request that can be held no longer. It returns nil if r may not be sent to any worker.
func (d *dispatcher) earliestEndWorker(r *request) *worker {
	var best *worker
	least := math.Inf(1)
	for _, w := range d.fleet.ranked {
		if w.rankTime >= least {
			break // r cannot end sooner at any later worker
		}
		if !d.eligible(w, r) || !d.slowStartAllows(w, r) || !d.mayBackfill(w, r) {
			continue
		}
		wait := d.estimatedWait(w, r)
		if wait > 0 && r.demoted {
			continue
		}
		if t := w.rankTime + wait; t < least {
			best, least = w, t
		}
	}
	return best
}

// estimatedWait returns the weighted time, in seconds, for which r is expected to wait for capacity at w.
// With age, a load report fades to the worker's average. A worker in backoff counts as busy.
func (d *dispatcher) estimatedWait(w *worker, r *request) float64 {
	run := d.speeds.meanRun.Seconds()
	free := max(w.limit.slots, 1) - w.usage.busy()
	if w.report.known {
		fade := max(1-(d.now-w.report.receivedAt).Seconds()/(2*run), 0)
		free = w.report.meanFree - w.usage.slots + (w.report.free-w.report.meanFree)*fade
	}
	if d.now < w.limit.backoffUntil {
		free = min(free, 0)
	}
	return estimatedWaitWeight * max(r.Slots-free, 0) * run / d.fleet.kindSlots(w)
}
