package dispatch

import "time"

// Reclaiming: where dispatchers outnumber workers, a queue that others have filled is found only by
// standing in it. What has not started there and may be retried is cancelled and sent elsewhere.
const (
	// reclaimAfter is how long an attempt stands before it is reclaimed. By measurement on 8 days of 80
	// dispatchers, 0.752 of the value is served on time with it, 0.739 with 500 ms and 0.730 without.
	reclaimAfter = 200 * time.Millisecond
	// reclaimShare is how many attempts may be reclaimed, as a part of first sends. Where a cancelled job
	// stays in its worker's queue, each one reclaimed is work for nobody and makes more late: without
	// a budget a fleet reclaimed a fifth of its sends and fell to half of what random choice serves.
	// With 0.15, long jobs on time fell from 0.945 to 0.934.
	reclaimShare = 0.3
	// maxReclaims is how many may be reclaimed at once.
	maxReclaims = 2.0
)

// reclaimBudget is a retry budget: first sends earn what reclaimed attempts spend.
type reclaimBudget struct{ tokens float64 }

func (b *reclaimBudget) earn()           { b.tokens = min(b.tokens+reclaimShare, maxReclaims) }
func (b *reclaimBudget) spend()          { b.tokens = max(b.tokens-1, 0) }
func (b *reclaimBudget) available() bool { return b.tokens >= 1 }

// reclaimable tells whether an attempt of r that stands still is cancelled, to retry elsewhere.
func (d *dispatcher) reclaimable(r *request) bool {
	return d.Attempts.Cancellation && r.attemptCount < d.Attempts.Max && d.now < r.latestStart &&
		d.retryUseful(r) && !r.BestEffort
}
