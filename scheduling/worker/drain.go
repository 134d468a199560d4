package worker

import "time"

const (
	// departureMargin is how long before a draining worker leaves its last runs are stopped: the time that remains comes
	// through the platform's list, up to 0.8 s old, and a stop takes up to 0.4 s.
	departureMargin = 1500 * time.Millisecond
	// overrunFactor is how many times its estimated remaining time a run may take, before it counts as one that can't end
	// in time.
	overrunFactor = 1.25
)

// Drain records that the worker drains: no run is dispatched there any more, also where it was placed before. It leaves with
// all that still runs there once the remaining time has passed, 0 where that is not known. Only the first time counts.
func (o *Owner) Drain(now, remaining time.Duration) {
	o.draining = true
	if o.departureAt == 0 && remaining > 0 {
		o.departureAt = now + remaining
	}
	o.act(now)
}

// Undispatched returns how many runs are placed at the worker and were not dispatched yet.
func (o *Owner) Undispatched() int {
	count := 0
	for _, r := range o.runs {
		if r.phase == pending {
			count++
		}
	}
	return count
}

// mustMove reports whether a run is to be stopped so that it goes on elsewhere, since the worker leaves before its end. A
// run with checkpoints or without an end of its own stays as long as it can; another one that cannot end in time loses its
// work anyway and is moved at once.
func (o *Owner) mustMove(now time.Duration, r *run) bool {
	if o.departureAt == 0 || r.Stopping {
		return false
	}
	left := o.departureAt - departureMargin - now
	if r.UntilStopped || r.RecordCheckpoints {
		return left <= 0 && (r.UntilStopped || r.remaining(now) > departureMargin/2)
	}
	return float64(left+departureMargin)*overrunFactor < float64(r.remaining(now))
}

// remaining estimates how long the run still takes: by its progress, or by the client's estimate before there is any.
func (r *run) remaining(now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.percent > 0 {
		return elapsed * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
	}
	return max(time.Duration(r.EstimateMs)*time.Millisecond-elapsed, 0)
}
