package workflowsteps

import (
	"context"
	"math/rand/v2"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/workflow/claims"
)

const (
	// maxReported is how many steps one report has at most.
	maxReported = claims.MaxClaimsPerAnswer
	// deferredIntentPause is how long to wait before an intent is reported again that the coordinators cannot record
	// before their next tick (see claims.DispatchIntent).
	deferredIntentPause = retryPause / 5
)

// reportLoop reports intents and ends to the coordinators until ctx ends: one call after the other, each with all that
// there is to report.
func (r *Runner) reportLoop(ctx context.Context) {
	for {
		report := r.nextReport()
		if report == nil {
			select {
			case <-r.reportSignal:
				continue
			case <-ctx.Done():
				return
			}
		}
		answer, ok := r.call(ctx, report)
		if !ok {
			if !sleep(ctx, time.Duration((0.5+rand.Float64())*float64(retryPause))) {
				return
			}
			continue
		}
		r.mu.Lock()
		r.claimant.ReportAnswered(report, answer)
		r.broadcastChange()
		r.mu.Unlock()
		signal(r.claimSignal)
		if report.RecordIntents != nil && len(answer.Recorded)+len(answer.Rejected) < len(report.RecordIntents.Intents) {
			sleep(ctx, deferredIntentPause)
		}
	}
}

// nextReport returns what is to be reported now, nil where there is nothing or the lease is not valid.
func (r *Runner) nextReport() *claims.Command {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.claimant.CheckLease(r.config.Now()) {
		return nil
	}
	return r.claimant.NextReport(maxReported)
}

// sleep waits for a pause, and reports false where ctx has ended before.
func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-ctx.Done():
		return false
	}
}

// call has the coordinators execute a command, and reports false where it may not have been executed.
func (r *Runner) call(ctx context.Context, c *claims.Command) (a claims.Answer, ok bool) {
	result, err := r.config.CallCoordinator(ctx, statemachine.Command{Workflow: c})
	switch {
	case err != nil:
		return a, false // whoever renews the lease meets the same error, and logs it
	case result.Workflow != nil:
		return *result.Workflow, true
	case result.Code == (&claims.LeaseError{}).Code():
		r.mu.Lock()
		r.claimant.Invalidate()
		r.cancelRevoked()
		r.mu.Unlock()
	default:
		r.config.Log("workflow steps: " + result.Err)
	}
	return a, false
}
