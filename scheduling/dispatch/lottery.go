package dispatch

import "math"

// Weighted random choice, where dispatchers outnumber workers. Waits and penalties are in seconds;
// the values were found on virtual days of 80 dispatchers with 60 workers, and 300 with 188.
const (
	// lotteryTieWait is the difference up to which expected waits count as equal and are drawn among; a
	// shorter wait counts as none.
	lotteryTieWait = 0.02
	// lotterySpeedPower is the power of a worker's speed in the odds of that draw: a little more than in
	// proportion. A larger one sends the fast workers more than their slots bear.
	lotterySpeedPower = 1.3
	// lotteryOwnJobsWait is the wait that own jobs in all slots of a worker stand for: own jobs spread over
	// workers. With less, several of them stand in one queue that this dispatcher knows to be short.
	lotteryOwnJobsWait = 3.0
	// lotteryNonHomeWait is the penalty of a worker that is no home: for as long a wait a job stays with
	// the few workers whose queues this dispatcher knows.
	lotteryNonHomeWait = 0.8
	// lotteryOtherPoolWait is the penalty of a worker of another class's pool. With 1 s less value was
	// served on time while workers joined (0.79 to 0.83 against 0.847).
	lotteryOtherPoolWait = 0.4
)

// sparse tells whether this dispatcher's share of the fleet is less than one worker. Too few of its jobs
// pass there to know who has capacity, so workers are drawn instead of counted.
func (d *dispatcher) sparse() bool {
	return d.Fleet.Count > len(d.fleet.ranked) && !d.usageKnown()
}

// drawWorker draws the worker for r in a sparse fleet; nil where none is eligible or the wait is hopeless.
// Where the last jobs had the least wait this one should, at home for as long as that will do, so that
// a worker's few dispatchers know its queue; among equals by slots and speed. It does not choose by when
// r would end: all dispatchers would rush the fastest workers first.
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
		r.latestStart = d.now // it counts as too late from now on
		return nil
	}
	return best
}

// lotteryWait is the wait expected at w with its penalties and a random tie-break, in seconds.
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
