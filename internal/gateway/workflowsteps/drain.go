package workflowsteps

import (
	"time"

	"yardflow/internal/platform/fault"
	"yardflow/internal/platform/timers"
)

// Drain stops claiming, and gives back the steps that have not been sent yet. Steps at workers go on.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
	for _, s := range r.running {
		if !s.sent {
			s.cancel()
		}
	}
}

// WaitUntilIdle waits until all claimed steps have ended and their ends are reported, or until a moment. What is left
// then is logged.
func (r *Runner) WaitUntilIdle(until time.Time) {
	timeout := time.NewTimer(timers.Positive(time.Until(until)))
	defer timeout.Stop()
	for {
		r.mu.Lock()
		left, changed := r.claimant.HeldSteps(), r.changed
		r.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			r.config.Log("workflow steps: " + fault.Text(&AbandonedStepsError{Steps: left}))
			return
		}
	}
}
