package dispatch

import "time"

// retryAfter is the advice when a rejected client should come back: not before a slot may come
// free, and spread over the fleet's warm-up while much of it is cold, so that no one wave comes back.
func (d *dispatcher) retryAfter() time.Duration {
	at := max(d.speeds.meanRun, seconds(d.overcommit.gapSeconds))
	spread := min(seconds(d.fleet.warmingShare*d.SlowStart.Time.Seconds()), d.Attempts.MaxRetryAfter-at)
	if spread > 0 {
		at += time.Duration(d.random.Float64() * float64(spread))
	}
	return min(d.Attempts.MaxRetryAfter, at)
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
