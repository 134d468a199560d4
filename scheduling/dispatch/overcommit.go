package dispatch

import (
	"math"
	"time"
)

// Pacing of sends beyond known capacity.
const (
	// overcommitGrowth is the factor on the gap after a send that found no capacity; with more, a few
	// rejections in a row stop all sends while there is capacity left to find.
	overcommitGrowth = 1.3
	// overcommitDecay is the divisor of the gap after a send that found capacity: back to normal within
	// a few of them.
	overcommitDecay = 2.0
	// overcommitLeastRuns is the gap, in mean runs, that the first wasted send sets: well below what
	// one worker could use.
	overcommitLeastRuns = 1.0 / 256
	// overcommitMostRuns is the largest gap, in mean runs. Without a bound a dispatcher would not notice
	// when the overload has ended.
	overcommitMostRuns = 4.0
)

// overcommitPacer spaces out the sends that go to workers without known capacity while most of them
// are rejected or kept waiting. Such attempts cost workers and dispatchers time, use up the attempts of
// their requests, and move the queue to where nothing can be reclaimed or reordered.
type overcommitPacer struct {
	nextAt     time.Duration // no such send before
	gapSeconds float64       // mean time between two
}

// settle takes in how such a send ended: wasted, or with capacity found after all.
func (p *overcommitPacer) settle(wasted bool, meanRun float64) {
	if wasted {
		grown := max(p.gapSeconds*overcommitGrowth, overcommitLeastRuns*meanRun)
		p.gapSeconds = min(grown, overcommitMostRuns*meanRun)
	} else {
		p.gapSeconds /= overcommitDecay
	}
}

// settleOvercommit takes in how an attempt ended that was sent beyond known capacity; once for each.
func (d *dispatcher) settleOvercommit(a *attempt, wasted bool) {
	if a.overcommitted {
		d.overcommit.settle(wasted, d.speeds.meanRun.Seconds())
	}
	a.overcommitted = false
}

// mayOvercommit tells whether r may be sent now to where no capacity is known. A large job would
// keep a queue waiting there; so would any while a large one is due.
func (d *dispatcher) mayOvercommit(r *request) bool {
	return d.now >= r.holdUntil && d.now >= d.overcommit.nextAt &&
		(!d.slotsScarce() || r.Slots == 1 && !d.large.due)
}

// sendOvercommitted sends r to where it should end first, with known capacity or not.
func (d *dispatcher) sendOvercommitted(r *request, out Actions) bool {
	r.rejectedBy = r.rejectedBy[:0]
	w := d.guessWorker(r)
	if d.usageKnown() {
		w, _ = d.pickWorker(r) // where all usage is known, what has no capacity would only wait at a worker
	}
	if w == nil || !d.send(r, w, out) {
		return false
	}
	d.attempts[len(d.attempts)-1].overcommitted = true
	d.overcommit.nextAt = d.now + seconds(d.overcommit.gapSeconds*(0.5+d.random.Float64()))
	return true
}

// guessWeight is how many times worse a wait that is only guessed counts than the same time of a known
// slow run. A smaller one has jobs join queues at fast workers on old reports.
const guessWeight = 8.0

// guessWorker picks, for a request that can be held no longer, the worker where it should end first
// by what is known, with capacity or not; nil where none may be sent it.
func (d *dispatcher) guessWorker(r *request) *worker {
	var best *worker
	least := math.Inf(1)
	for _, w := range d.fleet.ranked {
		if w.rankTime >= least {
			break // none behind can end sooner
		}
		if !d.eligible(w, r) || !d.slowStartAllows(w, r) || !d.mayBackfill(w, r) {
			continue
		}
		wait := d.guessedWait(w, r)
		if wait > 0 && r.demoted {
			continue
		}
		if t := w.rankTime + wait; t < least {
			best, least = w, t
		}
	}
	return best
}

// guessedWait is the time, in seconds, that r is taken to wait for capacity at w. A report fades into the
// worker's average, and a worker in backoff counts as busy.
func (d *dispatcher) guessedWait(w *worker, r *request) float64 {
	run := d.speeds.meanRun.Seconds()
	free := max(w.limit.slots, 1) - w.usage.busy()
	if w.report.known {
		fade := max(1-(d.now-w.report.at).Seconds()/(2*run), 0)
		free = w.report.meanFree - w.usage.slots + (w.report.free-w.report.meanFree)*fade
	}
	if d.now < w.limit.backoffUntil {
		free = min(free, 0)
	}
	return guessWeight * max(r.Slots-free, 0) * run / d.fleet.kindSlots(w)
}
