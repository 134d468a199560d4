package dispatch

import "math"

// Weighted random choice for fleets with more dispatchers than workers. Waits and penalties are in seconds.
// The values come from simulated days of 80 dispatchers with 60 workers and of 300 dispatchers with 188.
const (
	// lotteryTieWait is the scale of the random tie-break: expected waits that differ by less count as equal,
	// and the worker is drawn among them. A shorter wait counts as no wait.
	lotteryTieWait = 0.02
	// lotterySpeedPower is the exponent of a worker's speed in the odds of that draw, slightly more than
	// proportional. A larger one sends fast workers more jobs than their slots can run.
	lotterySpeedPower = 1.3
	// lotteryOwnJobsWait is the penalty of a worker whose slots are all used by own jobs. It spreads own jobs
	// over workers. With less, several own jobs wait in a queue that this dispatcher knows to be short.
	lotteryOwnJobsWait = 3.0
	// lotteryNonHomeWait is the penalty of a worker outside the home share. Up to this additional wait, a job
	// stays with the few workers whose queues this dispatcher knows.
	lotteryNonHomeWait = 0.8
	// lotteryOtherPoolWait is the penalty of a worker in the pool of another class. With 1 s, less value was
	// served on time while workers joined (0.79 to 0.83, compared with 0.847).
	lotteryOtherPoolWait = 0.4
)

// sparse reports whether this dispatcher's share of the fleet is less than one worker and the usage of the
// other dispatchers is unknown. It then sends too few jobs to each worker to know which ones have capacity,
// so workers are drawn at random by expected wait.
func (d *dispatcher) sparse() bool {
	return d.Fleet.Count > len(d.fleet.ranked) && !d.usageKnown()
}

// drawWorker returns the worker for r in a sparse fleet, or nil if no worker is eligible or r is shed because
// the wait is too long. It picks the worker with the shortest expected wait according to the latest jobs
// there, preferably a home worker, so that the few dispatchers of a worker know its queue. Ties are broken
// at random, weighted by slots and speed. It does not minimise the time at which r ends, since all
// dispatchers would then send to the fastest workers first.
func (d *dispatcher) drawWorker(r *request) *worker {
	var best *worker
	least := math.Inf(1)
	for _, w := range d.fleet.ranked {
		if d.now < w.limit.backoffUntil || !d.eligible(w, r) || !d.slowStartAllows(w, r) {
			continue
		}
		if wait := d.lotteryWait(w, r); wait < least {
			best, least = w, wait
		}
	}
	if best != nil && d.shedsLoad(r, best) {
		r.latestStart = d.now // r counts as late from now on
		return nil
	}
	return best
}

// lotteryWait is the expected wait at w with all penalties and a random tie-break, in seconds.
func (d *dispatcher) lotteryWait(w *worker, r *request) float64 {
	slots := d.fleet.kindSlots(w)
	tie := lotteryTieWait * d.random.ExpFloat64() / (slots * math.Pow(d.currentSpeed(w), lotterySpeedPower))
	expected := max(w.wait.Expected(d.now, &d.fleetWait), lotteryTieWait)
	wait := expected + lotteryOwnJobsWait*w.usage.slots/slots + tie
	if w.home.pool != r.stats.pool {
		wait += lotteryOtherPoolWait
	}
	return wait + lotteryNonHomeWait*(1-w.home.share)
}
