package dispatch

import "time"

// Slow start of workers. A worker that has just started has a part of its capacity, which grows to all of it
// over SlowStartSettings.Time. Over any period of CrashLoadTime, the load from all dispatchers together must
// stay below CrashLoadFactor times the worker's present capacity.
const (
	// slowStartSafety is the share of this bound that all dispatchers together use: job sizes are estimates,
	// and a crashing worker loses all jobs that run there. With a larger share, long jobs that arrive
	// together overload the worker.
	slowStartSafety = 0.3
	// sparseSlowStartFactor is the sum of all dispatchers' shares of a worker's budget in a sparse fleet. It
	// is above 1, since some of the dispatchers with a home share of the worker have no job for it.
	sparseSlowStartFactor = 1.2
	// fewDispatchers is the largest number of dispatchers with which each may use any warming worker: the
	// only dispatcher with a home share of the worker may have ejected it, or be down. The shares of the
	// budget then add up to at most 1.5, so the load is at most 0.45 of the bound.
	fewDispatchers = 4
	// fewDispatchersShare is the least share of the budget that each of few dispatchers has, in units of an
	// equal share.
	fewDispatchersShare = 0.5
	// minWarmUpShare is the least share of its capacity that a worker is assumed to have, so that no estimate
	// divides by zero.
	minWarmUpShare = 0.05
)

// slowStartBudget is a token bucket of slot-seconds at one worker.
type slowStartBudget struct {
	tokens      float64       // if negative, nothing may be sent
	refilledAt  time.Duration // time of the latest refill
	incarnation time.Duration // start time of the worker incarnation that the budget is for
}

// warmUpShare returns the least share of its full capacity that w has now, 0 to 1.
func (d *dispatcher) warmUpShare(w *worker) float64 {
	age := d.now - w.Launched
	if w.Launched == 0 || age >= d.SlowStart.Time {
		return 1
	}
	grown := (1 - d.SlowStart.Share) * float64(max(age, 0)) / float64(d.SlowStart.Time)
	return max(d.SlowStart.Share+grown, minWarmUpShare)
}

// slowStartAllows reports whether the slow-start budget of w allows r now. The budget is this dispatcher's
// share of the load that a warming worker can bear. It is divided by home shares: with equal shares for all,
// the few dispatchers with a home share could hardly use the worker. The budget starts with a random debt of
// at most the cost of one job.
func (d *dispatcher) slowStartAllows(w *worker, r *request) bool {
	if d.warmUpShare(w) == 1 {
		return true
	}
	share := d.slowStartShare(w)
	cost := r.Slots * d.expectedRun(r, w)
	maxLoad := d.SlowStart.CrashLoadFactor * d.warmUpShare(w) * d.fleet.kindSlots(w)
	if share == 0 || maxLoad*d.SlowStart.CrashLoadTime.Seconds() < 2*cost {
		return false
	}
	rate := slowStartSafety * maxLoad * share
	b := &w.slowStart
	if b.incarnation != w.Launched {
		b.incarnation, b.refilledAt = w.Launched, d.now
		b.tokens = -d.random.Float64() * cost
	}
	b.tokens = min(b.tokens+rate*(d.now-b.refilledAt).Seconds(), cost/2)
	b.refilledAt = d.now
	return b.tokens >= 0
}

// slowStartShare returns this dispatcher's share of the slow-start budget of w.
func (d *dispatcher) slowStartShare(w *worker) float64 {
	switch share := w.home.share; {
	case d.granted.slowStartPart >= 0:
		return d.granted.slowStartPart // the parts granted by the fleet add up to 1
	case d.sparse():
		return share * (sparseSlowStartFactor / sparseHomeShares)
	case d.usageKnown():
		return share / float64(d.Fleet.Count)
	case d.Fleet.Count <= fewDispatchers:
		return max(share, fewDispatchersShare/float64(d.Fleet.Count))
	default:
		return share
	}
}

// spendSlowStart deducts the cost of r from the slow-start budget of w.
func (d *dispatcher) spendSlowStart(w *worker, r *request) {
	if d.warmUpShare(w) < 1 {
		w.slowStart.tokens -= r.Slots * d.expectedRun(r, w)
	}
}
