// Package aging decides in which order ready steps of workflows are handed out: by how soon each must start for its
// workflow to end in its target time, with ageing, so that none waits for ever.
//
// Each step has a moment by which it should be served ([ServeBy]): the latest at which it may start (its workflow's
// target end less its remaining critical path), but not before it became ready, and at most [MaxDelay] after that. Steps
// are served in the order of these moments. A step that becomes ready after another's moment never overtakes it, so that
// a step waits at most for what was ready before it or became ready within MaxDelay ([MaxWait]).
//
// The package has no clock, randomness or I/O.
package aging

import "time"

// MaxDelay is how much later than others a step may be served for lack of urgency. A step that has been ready for longer
// is overdue: it competes with clients' requests as an equal (claims.ClaimedStep.Overdue).
const MaxDelay = 30 * time.Second

// ServeBy returns the moment by which a step should be served, from when it became ready and the latest moment at which
// it may start (0: there is none).
func ServeBy(ready, latestStart time.Duration) time.Duration {
	if latestStart == 0 || latestStart > ready+MaxDelay {
		return ready + MaxDelay
	}
	return max(latestStart, ready)
}

// MaxWait returns the longest time that a ready step waits where steps are served at a rate and others become ready at a
// lower rate (both per second), and ahead steps are ready before it.
func MaxWait(ahead int, served, becomingReady float64) time.Duration {
	return time.Duration((float64(ahead) + becomingReady*MaxDelay.Seconds()) / served * float64(time.Second))
}
