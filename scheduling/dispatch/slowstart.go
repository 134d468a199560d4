package dispatch

import "time"

// Slow start: a worker that has just started bears a part of its load, which grows over
// SlowStartSettings.Time. All dispatchers together must stay below CrashLoadFactor times what it has at
// the moment, over CrashLoadTime.
const (
	// slowStartSafety is the part of that budget that is used, over all dispatchers: jobs' sizes are
	// estimates, and a worker that crashes costs all that runs there. With more, long jobs that come together
	// overload it.
	slowStartSafety = 0.3
	// sparseSlowStartFactor is what all parts come to in a sparse fleet: over 1, since some of the
	// dispatchers whose home a worker is have no job for it.
	sparseSlowStartFactor = 1.2
	// fewDispatchers is up to how many dispatchers each may use any warming worker: its one home may
	// have ejected it, or be down. All parts come to at most 1.5 then, 0.45 of what the worker bears.
	fewDispatchers = 4
	// fewDispatchersShare is the least share of the budget that each of few has, in even shares.
	fewDispatchersShare = 0.5
	// leastWarmUpShare is the share of its capacity that a worker is taken to have at the least, so
	// that no estimate divides by nothing.
	leastWarmUpShare = 0.05
)

// slowStartBudget is a token bucket of slot-seconds at one worker.
type slowStartBudget struct {
	tokens      float64 // below 0: nothing may be sent
	at          time.Duration
	incarnation time.Duration // the worker's start that it is for
}

// warmUpShare is the share of its capacity that w has now at the least.
func (d *dispatcher) warmUpShare(w *worker) float64 {
	age := d.now - w.Launched
	if w.Launched == 0 || age >= d.SlowStart.Time {
		return 1
	}
	grown := (1 - d.SlowStart.Share) * float64(max(age, 0)) / float64(d.SlowStart.Time)
	return max(d.SlowStart.Share+grown, leastWarmUpShare)
}

// slowStartAllows tells whether the budget of w bears r now. The budget is a part of what a warming worker
// bears, by own share (split evenly, its few owners could hardly use it), from a random phase.
func (d *dispatcher) slowStartAllows(w *worker, r *request) bool {
	if d.warmUpShare(w) == 1 {
		return true
	}
	share := d.slowStartShare(w)
	cost := r.Slots * d.expectedRun(r, w)
	bears := d.SlowStart.CrashLoadFactor * d.warmUpShare(w) * d.fleet.kindSlots(w)
	if share == 0 || bears*d.SlowStart.CrashLoadTime.Seconds() < 2*cost {
		return false
	}
	rate := slowStartSafety * bears * share
	b := &w.slowStart
	if b.incarnation != w.Launched {
		b.incarnation, b.at = w.Launched, d.now
		b.tokens = -d.random.Float64() * cost
	}
	b.tokens = min(b.tokens+rate*(d.now-b.at).Seconds(), cost/2)
	b.at = d.now
	return b.tokens >= 0
}

// slowStartShare is this dispatcher's share of the slow-start budget of w.
func (d *dispatcher) slowStartShare(w *worker) float64 {
	switch share := w.home.share; {
	case d.granted.slowStartPart >= 0:
		return d.granted.slowStartPart // all parts that the fleet grants come to one whole
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

// spendSlowStart takes what r costs from the budget of w.
func (d *dispatcher) spendSlowStart(w *worker, r *request) {
	if d.warmUpShare(w) < 1 {
		w.slowStart.tokens -= r.Slots * d.expectedRun(r, w)
	}
}
