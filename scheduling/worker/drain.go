package worker

import "time"

const (
	// departureMargin is how long before the departure of a draining worker its last runs are stopped. The remaining time
	// comes from the platform's list, which is up to 0.8 s old, and a stop takes up to 0.4 s.
	departureMargin = 1500 * time.Millisecond
	// overrunFactor is the tolerance for runs that may not end in time: a run without checkpoints is relocated at once if
	// its estimated remaining time exceeds this factor times the time until the worker's departure.
	overrunFactor = 1.25
)

// Drain records that the worker drains: no more runs are dispatched to it, including runs that were placed before. The
// worker leaves after the remaining time, and runs still executing there end with it. Remaining is 0 if the time is not
// known; only the first known time counts.
func (o *Owner) Drain(now, remaining time.Duration) {
	o.draining = true
	if o.departureAt == 0 && remaining > 0 {
		o.departureAt = now + remaining
	}
	o.collectActions(now)
}

// Undispatched returns the number of runs that are placed at the worker but not dispatched yet.
func (o *Owner) Undispatched() int {
	count := 0
	for _, r := range o.runs {
		if r.phase == pending {
			count++
		}
	}
	return count
}

// mustRelocate reports whether a run must be stopped now and continue elsewhere, because the worker leaves before the
// run's end. A run with checkpoints, or one that runs until it is stopped, stays as long as possible. Any other run that
// cannot end in time loses its work anyway, so it is relocated at once.
func (o *Owner) mustRelocate(now time.Duration, r *run) bool {
	if o.departureAt == 0 || r.Stopping {
		return false
	}
	timeLeft := o.departureAt - departureMargin - now
	if r.UntilStopped || r.RecordCheckpoints {
		return timeLeft <= 0 && (r.UntilStopped || r.remaining(now) > departureMargin/2)
	}
	return float64(timeLeft+departureMargin)*overrunFactor < float64(r.remaining(now))
}

// remaining estimates the run's remaining time, from its progress or, before any progress, from the client's estimate.
func (r *run) remaining(now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.percent > 0 {
		return elapsed * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
	}
	return max(time.Duration(r.EstimateMs)*time.Millisecond-elapsed, 0)
}
