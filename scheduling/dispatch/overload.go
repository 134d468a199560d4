package dispatch

import "time"

// Pacing of sends beyond known capacity.
const (
	overcommitGrowth = 1.3 // factor on the gap after a send that found no capacity
	overcommitDecay  = 2.0 // divisor of the gap after one that did: back to normal within a few sends
	// The gap is between these parts and multiples of the mean run once it grows: it begins well
	// below what one worker could use, and ends where a dispatcher tries once in four runs.
	overcommitLeastRuns = 1.0 / 256
	overcommitMostRuns  = 4.0
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

// retryAfter is the advice when a rejected client should come back: not before a slot may come
// free, and spread over the fleet's warm-up while much of it is cold, so that no one wave comes back.
func (d *dispatcher) retryAfter() time.Duration {
	at := max(d.speeds.meanRun, seconds(d.overcommit.gapSeconds))
	spread := min(seconds(d.fleet.warmingShare*d.SlowStartTime.Seconds()), d.MaxRetryAfter-at)
	if spread > 0 {
		at += time.Duration(d.random.Float64() * float64(spread))
	}
	return min(d.MaxRetryAfter, at)
}

// lotteryJoinOdds sheds load past what the fleet can do, where the usual wait is longer than a
// request's slack: it is tried with odds of so many times slack over expected wait, else given up at
// once, since what waits in vain keeps those behind it from being on time. On days of 80 dispatchers with
// too little capacity 0.730 of the value was served on time with it, 0.713 without. It is over 1, since the
// wait expected is rough.
const lotteryJoinOdds = 1.5

// shedsLoad tells whether r is better given up than sent to w, the worker where it would wait least.
func (d *dispatcher) shedsLoad(r *request, w *worker) bool {
	slack := (r.latestStart - d.now).Seconds()
	return d.fleetWait.Mean() > slack &&
		d.random.Float64() >= lotteryJoinOdds*slack/w.wait.Expected(d.now, &d.fleetWait)
}

// tokenBucket is a tenant's quota at this dispatcher.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// quotaBurstRequests is the least size of a tenant's bucket, in requests; it is a second of its rate where
// that is more. With less, two requests at once would be beyond any small quota.
const quotaBurstRequests = 2

// withinQuota takes one request from its tenant's quota, of which each dispatcher has an equal part.
// Beyond it the request is served too, with OverQuotaValueShare of its value.
func (d *dispatcher) withinQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(d.quotas) || d.Tenants[tenant].Quota <= 0 {
		return true
	}
	b, rate := &d.quotas[tenant], d.Tenants[tenant].Quota/float64(d.DispatcherCount)
	b.tokens = min(b.tokens+rate*(d.now-b.at).Seconds(), max(rate, quotaBurstRequests))
	b.at = d.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
