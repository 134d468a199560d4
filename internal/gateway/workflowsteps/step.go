package workflowsteps

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/fault"
	"yardflow/internal/workflow/claims"
	"yardflow/internal/workflow/expansion"
	"yardflow/internal/workflow/template"
	"yardflow/scheduling/dispatch"
)

// Pauses before a step is handed out again that cannot run here now.
const (
	notInSettingsPause = 2 * time.Second // another dispatcher's settings may have its class and tenant
	notAdmittedPause   = time.Second     // no work is admitted here, or the policy in force here lacks its pool
)

// jobBody is the body of the job that a worker is sent for a step.
type jobBody struct {
	Workflow     string                             `json:"flow"`
	Step         string                             `json:"step"`
	ItemValues   []string                           `json:"items,omitempty"`
	Results      map[string]string                  `json:"results,omitempty"`
	FanOutCounts map[string]expansion.OutcomeCounts `json:"tallies,omitempty"`
}

// idempotencyKey names a step, the same for all its attempts.
func idempotencyKey(t *claims.ClaimedStep) string {
	return fmt.Sprintf("%s/%s%v", t.Workflow, t.Step, t.Ref.Path)
}

// runStep runs a claimed step and notes its end, to be reported.
func (r *Runner) runStep(ctx context.Context, running *runningStep, t claims.ClaimedStep, askedAt time.Duration) {
	defer running.cancel()
	end := r.serve(ctx, running, &t, askedAt)
	end.ClaimNumber = t.ClaimNumber
	r.mu.Lock()
	delete(r.running, t.ClaimNumber)
	r.claimant.EndStep(end)
	r.mu.Unlock()
	signal(r.reportSignal)
}

// serve has the broker serve a step, and returns how it has ended.
func (r *Runner) serve(ctx context.Context, running *runningStep, t *claims.ClaimedStep, askedAt time.Duration) claims.StepEnd {
	settings := r.config.Settings.Get()
	classIndex, tenant, ok := lookupSettings(settings, t)
	if !ok {
		r.config.Log("workflow steps: " + fault.Text(&SettingsError{t}))
		return claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: notInSettingsPause}
	}
	class := &settings.Dispatch.Classes[classIndex]
	policyVersion, admittedAt, admits := r.config.AdmissionGate()
	poolBit := r.begin(running, t, class)
	switch {
	case t.RunUncertain && class.Semantics != dispatch.Retryable:
		return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "it may have run before the coordinators were restored"}
	case !admits || t.Pool != "" && poolBit == 0:
		return claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: notAdmittedPause}
	}
	request := broker.Request{Settings: &settings.Dispatch, Class: classIndex, Tenant: tenant, Slots: 1, Team: t.Team, WorkflowStep: true, BestEffort: !t.Overdue, Pools: poolBit, PolicyVersion: policyVersion,
		AdmittedAt: admittedAt, Deadline: time.Now().Add(class.Deadline)}
	if class.Semantics == dispatch.Deduplicated && t.RepeatWindowLeft > 0 {
		left := t.RepeatWindowLeft - (r.config.Now() - askedAt)
		if left <= 0 {
			return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "the time is over in which it may be repeated"}
		}
		restrictRepeat(&request, t, class, left)
	}
	job, err := r.newJob(running, t, class)
	if err != nil {
		return claims.StepEnd{Outcome: claims.OutcomeFailed, Reason: err.Error()}
	}
	send := r.config.Workers.AttemptFunc(httpfront.NewInternalRequest(settings, job, request))
	var ran *broker.Outcome // of the one attempt that may have run
	answer := r.broker.Serve(ctx, request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		if ran != nil || !a.InPool(t.Pool) || !r.recordIntent(ctx, t, class, a) {
			return broker.Outcome{Code: broker.NotSent}
		}
		outcome := send(ctx, a)
		if outcome.MayHaveRun() {
			ran = &outcome
			running.cancel() // a further attempt needs a new claim: the coordinators count attempts
		} else {
			r.setNotSent(running)
		}
		return outcome
	})
	return stepEnd(t, class, answer, ran)
}

// lookupSettings returns the indices of a step's class and tenant in the settings, false where they lack one.
func lookupSettings(settings *config.Config, t *claims.ClaimedStep) (class, tenant int, ok bool) {
	class = slices.Index(settings.Classes, t.Class)
	if len(settings.Tenants) > 0 {
		tenant = slices.Index(settings.Tenants, t.Tenant)
	}
	return class, tenant, class >= 0 && tenant >= 0
}

// begin notes how a running step may be cancelled, and returns the bit of its pool.
func (r *Runner) begin(running *runningStep, t *claims.ClaimedStep, class *dispatch.Class) (poolBit uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running.atMostOnce = class.Semantics == dispatch.AtMostOnce
	return r.pools.Bit(t.Pool)
}

// restrictRepeat restricts the repeat of a step to the cell, or zone, that it may have run in, and to the time left in
// which workers there drop a repeat.
func restrictRepeat(request *broker.Request, t *claims.ClaimedStep, class *dispatch.Class, left time.Duration) {
	request.EarlierWorker = &dispatch.Worker{Zone: t.PinnedCell - 1, Cell: t.PinnedCell - 1}
	request.EarlierRunAge = max(class.DedupWindow-left, 0)
	request.Deadline = time.Now().Add(min(class.Deadline, left))
}

// newJob returns what is sent to a worker.
func (r *Runner) newJob(running *runningStep, t *claims.ClaimedStep, class *dispatch.Class) (httpfront.InternalJob, error) {
	body, err := json.Marshal(jobBody{t.Workflow, t.Step, t.ItemValues, t.Results, t.FanOutCounts})
	if err != nil {
		return httpfront.InternalJob{}, err
	}
	key := idempotencyKey(t)
	job := httpfront.InternalJob{ID: fmt.Sprintf("%s#%d", key, t.ClaimNumber), Class: t.Class, Tenant: t.Tenant, Body: body, MaySend: func() bool { return r.maySend(running, t.ClaimNumber) }}
	if class.Semantics == dispatch.Deduplicated {
		job.IdempotencyKey = key
	}
	return job, nil
}

// maySend reports whether a step's first byte may be sent now, and if so notes that it may have been.
func (r *Runner) maySend(running *runningStep, claim uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	running.sent = r.claimant.MaySend(r.config.Now(), claim)
	return running.sent
}

// setNotSent notes that no byte of a step has reached a worker after all.
func (r *Runner) setNotSent(running *runningStep) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running.sent = false
}

// recordIntent has the coordinators record that a step is about to be sent, and reports true once they have. It gives up
// where the claim is revoked or ctx ends.
func (r *Runner) recordIntent(ctx context.Context, t *claims.ClaimedStep, class *dispatch.Class, a *broker.Attempt) bool {
	intent := newIntent(t, class, a)
	r.mu.Lock()
	r.claimant.RequestIntent(intent)
	r.mu.Unlock()
	signal(r.reportSignal)
	for {
		r.mu.Lock()
		recorded, revoked, changed := r.claimant.IntentRecorded(t.ClaimNumber), r.claimant.Revoked(t.ClaimNumber), r.changed
		r.mu.Unlock()
		if recorded {
			return true
		}
		if revoked {
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return false
		}
	}
}

// newIntent returns the intent to send a step in an attempt. Where workers drop repeats, it names the cell that does.
func newIntent(t *claims.ClaimedStep, class *dispatch.Class, a *broker.Attempt) claims.DispatchIntent {
	intent := claims.DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: class.Semantics == dispatch.AtMostOnce, NotRunBefore: t.RepeatWindowLeft == 0}
	if class.Semantics != dispatch.Deduplicated {
		return intent
	}
	intent.DedupWindow = class.DedupWindow * 9 / 10 // as long as the decision module would send it again
	switch class.DedupScope {
	case dispatch.ScopeCell:
		intent.PinnedCell = a.Cell + 1
	case dispatch.ScopeZone:
		intent.PinnedCell = a.Zone + 1
	}
	return intent
}

// stepEnd returns how a step has ended, from the broker's answer and the outcome of the attempt that may have run (nil:
// none has).
func stepEnd(t *claims.ClaimedStep, class *dispatch.Class, answer broker.Answer, ran *broker.Outcome) claims.StepEnd {
	repeatable := class.Semantics != dispatch.AtMostOnce
	if ran == nil {
		return claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: max(answer.RetryAfter, retryPause), Repeatable: repeatable}
	}
	switch ran.Code {
	case broker.OK:
		if !t.ResultUsed {
			return claims.StepEnd{Outcome: claims.OutcomeDone, Repeatable: repeatable}
		}
		if len(ran.Result) > template.MaxResultBytes {
			return claims.StepEnd{Outcome: claims.OutcomeFailed, Reason: fault.Text(&claims.ResultError{Step: t.Step, Bytes: len(ran.Result), Limit: template.MaxResultBytes})}
		}
		return claims.StepEnd{Outcome: claims.OutcomeDone, Result: ran.Result, Repeatable: repeatable}
	case broker.BadRequest:
		return claims.StepEnd{Outcome: claims.OutcomeFailed, Reason: "the worker rejected it"}
	case broker.Failed:
		return claims.StepEnd{Outcome: claims.OutcomeFailed, Reason: "the worker answered that it has failed", Repeatable: repeatable}
	case broker.TimedOut:
		return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "no answer before its deadline", Repeatable: repeatable}
	default:
		return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "the connection to the worker broke", Repeatable: repeatable}
	}
}
