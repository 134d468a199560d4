package worker

import "time"

const (
	// leaveMargin is how long before a worker leaves its last runs are stopped: what it tells of the time that
	// remains comes through the platform's list, up to 0.8 s old, and a stop takes up to 0.4 s.
	leaveMargin = 1500 * time.Millisecond
	// overrun is how much longer a run may take than it seems to, before it counts as one that can't end in time.
	overrun = 1.25
)

// Drain enters that the worker drains and that it leaves once so much time is over, with all that runs there.
func (a *Owner) Drain(now, remaining time.Duration) {
	if a.leavesAt == 0 {
		a.leavesAt = now + remaining
	}
	a.act(now)
}

// mustMove reports whether a run is to go on elsewhere, since the worker leaves before its end. One whose work
// is saved, or that never ends, stays as long as it can; one whose work here is in vain begins anew at once.
func (a *Owner) mustMove(now time.Duration, r *run) bool {
	if a.leavesAt == 0 || r.Stopping {
		return false
	}
	left := a.leavesAt - leaveMargin - now
	if r.UntilStopped || r.RecordCheckpoints {
		return left <= 0 && (r.UntilStopped || r.remaining(now) > leaveMargin/2)
	}
	return float64(left+leaveMargin)*overrun < float64(r.remaining(now))
}

// remaining estimates how long the run still takes: by its progress, or by the client's guess before there is any.
func (r *run) remaining(now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if r.percent > 0 {
		return elapsed * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
	}
	return max(time.Duration(r.EstimateMs)*time.Millisecond-elapsed, 0)
}
