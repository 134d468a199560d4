package dispatch

import "time"

// Reclaiming of attempts. With more dispatchers than workers, a dispatcher discovers a queue that others have
// filled only when its own job waits in it. An attempt that has not started and may be retried is then
// reclaimed: it is cancelled and its request is sent to another worker.
const (
	// reclaimAfter is the time after which an attempt that has not started is reclaimed. On 8 simulated days
	// of 80 dispatchers, 0.752 of the value was served on time with 200 ms, 0.739 with 500 ms and 0.730
	// without reclaiming.
	reclaimAfter = 200 * time.Millisecond
	// reclaimShare is the number of attempts that may be reclaimed per first send. A cancelled job that stays
	// in its worker's queue is wasted work and makes other jobs late: without a budget, a fleet reclaimed a
	// fifth of its sends and served half as much as with random choice of workers. With 0.15, the share of
	// long jobs on time fell from 0.945 to 0.934.
	reclaimShare = 0.3
	// maxReclaimBurst is the largest number of attempts that may be reclaimed at once.
	maxReclaimBurst = 2.0
)

// reclaimBudget is a retry budget: each first send earns tokens, and each reclaimed attempt spends one.
type reclaimBudget struct{ tokens float64 }

func (b *reclaimBudget) earn()           { b.tokens = min(b.tokens+reclaimShare, maxReclaimBurst) }
func (b *reclaimBudget) spend()          { b.tokens = max(b.tokens-1, 0) }
func (b *reclaimBudget) available() bool { return b.tokens >= 1 }

// reclaimable reports whether an attempt of r that has not started may be cancelled and retried elsewhere.
func (d *dispatcher) reclaimable(r *request) bool {
	return d.Attempts.Cancellation && r.attemptCount < d.Attempts.Max && d.now < r.latestStart &&
		d.retryUseful(r) && !r.BestEffort
}
