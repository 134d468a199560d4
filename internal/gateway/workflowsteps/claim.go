package workflowsteps

import (
	"context"
	"time"

	"yardflow/internal/workflow/claimant"
	"yardflow/internal/workflow/claims"
)

const (
	retryPause         = 100 * time.Millisecond // after a call that failed or brought nothing, and the least before a step is handed out again
	maxBackoffDoubling = 5                      // claim requests that bring nothing back off up to retryPause << 5, 3.2 s
)

// claimRequest is a request for steps under way.
type claimRequest struct {
	command *claims.ClaimRequest
	pending claimant.PendingClaim
	askedAt time.Duration // of Config.Now
	resync  bool          // it only asks which claims are held
}

// Run claims steps and reports on them until ctx ends. Steps that run then go on: see [Runner.Drain] and
// [Runner.WaitUntilIdle].
func (r *Runner) Run(ctx context.Context) {
	go r.reportLoop(ctx)
	for {
		select {
		case <-r.claimSignal:
		case <-ctx.Done():
			return
		}
		for r.claimOnce(ctx) {
		}
	}
}

// claimAfter has steps claimed, if they are wanted then, after a pause.
func (r *Runner) claimAfter(pause time.Duration) {
	time.AfterFunc(pause, func() { signal(r.claimSignal) })
}

// claimOnce requests steps once, and reports whether to request more at once.
func (r *Runner) claimOnce(ctx context.Context) (more bool) {
	request, ok := r.nextClaim()
	if !ok {
		return false
	}
	answer, ok := r.call(ctx, &claims.Command{Claim: request.command})
	if !ok {
		r.claimAfter(retryPause)
		return false
	}
	return r.startClaimed(ctx, request, answer)
}

// nextClaim returns the next request for steps, false where none is to be made now.
func (r *Runner) nextClaim() (request claimRequest, ok bool) {
	stats := r.broker.Stats()
	anyServing, servingPools := r.broker.ReadyPools()
	_, _, admits := r.config.AdmissionGate()
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.claimant.HeldSteps()
	request.resync = r.claimant.NeedsResync()
	load := claimant.Load{
		HeldSteps:      held,
		RunningSteps:   max(len(r.running)-stats.StepsWaiting, 0),
		OpenRequests:   stats.Open - stats.Steps,
		QueuedRequests: stats.Waiting,
		StepShare:      r.stepShare,
	}
	target := load.TargetSteps()
	if !r.hasWorkflows || r.draining || !admits || !anyServing {
		target = 0
	}
	if !r.claimant.CheckLease(r.config.Now()) || !request.resync && (!r.stepsReady || target <= held) {
		return request, false
	}
	if request.resync {
		target = 0 // what is held has to be known first
	}
	request.askedAt = r.config.Now()
	request.command, request.pending = r.claimant.NextClaim(request.askedAt, target, append(r.pools.Names(servingPools), ""))
	return request, true
}

// startClaimed starts the steps that the answer to a request tells of, and reports whether to request more at once.
func (r *Runner) startClaimed(ctx context.Context, request claimRequest, answer claims.Answer) (more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.claimant.AcceptClaimed(request.pending, answer.Claimed)
	if !request.resync {
		r.stepsReady = answer.MoreReady
	}
	for _, s := range start {
		if s.DispatcherShare > 0 {
			r.stepShare = s.DispatcherShare
		}
		// A step outlives Run's ctx: it ends by itself, by Drain, or when its claim is revoked.
		stepCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		running := &runningStep{cancel: cancel}
		r.running[s.ClaimNumber] = running
		go r.runStep(stepCtx, running, s, request.askedAt)
	}
	if request.resync {
		signal(r.reportSignal) // reports of revoked claims have waited
		return true
	}
	r.emptyClaims++
	if len(start) > 0 {
		r.emptyClaims = 0
	} else if answer.MoreReady { // others were quicker
		r.claimAfter(retryPause << min(r.emptyClaims, maxBackoffDoubling))
	}
	return len(start) > 0
}
