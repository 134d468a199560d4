package workflowsteps

// This file owns one step at this dispatcher, from its claim to its end. It must never let more than
// one try of a claim reach a worker.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/expansion"
	"yardflow/internal/fleet/workflow/template"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/fault"
	"yardflow/scheduling/dispatch"
)

// job is what a worker is sent of a step.
type job struct {
	Flow    string                             `json:"flow"`
	Step    string                             `json:"step"`
	Items   []string                           `json:"items,omitempty"`
	Results map[string]string                  `json:"results,omitempty"`
	Tallies map[string]expansion.OutcomeCounts `json:"tallies,omitempty"`
}

// key names a step, the same for all its tries.
func key(t *claims.ClaimedStep) string {
	return fmt.Sprintf("%s/%s%v", t.Workflow, t.Step, t.Ref.Path)
}

// step carries one step to its end.
func (r *Runner) step(ctx context.Context, o *run, t claims.ClaimedStep, told time.Duration) {
	defer o.stop()
	e := r.carry(ctx, o, &t, told)
	e.ClaimNumber = t.ClaimNumber
	r.mu.Lock()
	delete(r.out, t.ClaimNumber)
	r.hand.EndStep(e)
	r.mu.Unlock()
	signal(r.poke)
}

func (r *Runner) carry(ctx context.Context, o *run, t *claims.ClaimedStep, told time.Duration) claims.StepEnd {
	cfg := r.h.Settings.Get()
	class, tenant := slices.Index(cfg.Classes, t.Class), 0
	if len(cfg.Tenants) > 0 {
		tenant = slices.Index(cfg.Tenants, t.Tenant)
	}
	if class < 0 || tenant < 0 {
		r.h.Log("flows: " + fault.Text(&SettingsError{t}))
		return claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: 2 * time.Second} // another's settings may have them
	}
	c := &cfg.Dispatch.Classes[class]
	version, at, admits := r.h.AdmissionGate()
	r.mu.Lock()
	bit := r.pools.Bit(t.Pool)
	o.once = c.Semantics == dispatch.AtMostOnce
	r.mu.Unlock()
	switch {
	case t.RunUncertain && c.Semantics != dispatch.Retryable:
		return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "it may have run before the keepers were restored"}
	case !admits || t.Pool != "" && bit == 0:
		return claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: time.Second}
	}
	q := broker.Request{Settings: &cfg.Dispatch, Class: class, Tenant: tenant, Slots: 1, Team: t.Team, WorkflowStep: true, BestEffort: !t.Overdue, Pools: bit, PolicyVersion: version, AdmittedAt: at,
		Deadline: time.Now().Add(c.Deadline)}
	if c.Semantics == dispatch.Deduplicated && t.RepeatWindowLeft > 0 {
		left := t.RepeatWindowLeft - (r.h.Now() - told)
		if left <= 0 {
			return claims.StepEnd{Outcome: claims.OutcomeUnknown, Reason: "the time is over in which it may be repeated"}
		}
		q.EarlierWorker, q.EarlierRunAge = &dispatch.Worker{Zone: t.PinnedCell - 1, Cell: t.PinnedCell - 1}, max(c.DedupWindow-left, 0)
		q.Deadline = time.Now().Add(min(c.Deadline, left))
	}
	body, err := json.Marshal(job{t.Workflow, t.Step, t.ItemValues, t.Results, t.FanOutCounts})
	if err != nil {
		return claims.StepEnd{Outcome: claims.OutcomeFailed, Reason: err.Error()}
	}
	j := httpfront.InternalJob{ID: fmt.Sprintf("%s#%d", key(t), t.ClaimNumber), Class: t.Class, Tenant: t.Tenant, Body: body, MaySend: func() bool { return r.may(o, t.ClaimNumber) }}
	if c.Semantics == dispatch.Deduplicated {
		j.IdempotencyKey = key(t)
	}
	s := httpfront.NewInternalRequest(cfg, j, q)
	do := r.h.Workers.AttemptFunc(s)
	var last *broker.Outcome // of the one try that may have run
	answer := r.b.Serve(ctx, q, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		if last != nil || !a.InPool(t.Pool) || !r.mark(ctx, t, c, a) {
			return broker.Outcome{Code: broker.NotSent}
		}
		out := do(ctx, a)
		if out.MayHaveRun() {
			last = &out
			o.stop() // another try is another claim's: the ledger counts them
		} else {
			r.mu.Lock()
			o.sent = false
			r.mu.Unlock()
		}
		return out
	})
	return ended(t, c, answer, last)
}

// ended words how a step has ended.
func ended(t *claims.ClaimedStep, c *dispatch.Class, answer broker.Answer, last *broker.Outcome) claims.StepEnd {
	e := claims.StepEnd{Repeatable: c.Semantics != dispatch.AtMostOnce}
	switch {
	case last == nil:
		e.Outcome, e.RetryAfter = claims.OutcomeRequeue, max(answer.RetryAfter, pause)
	case last.Code == broker.OK && t.ResultUsed && len(last.Result) > template.MaxResultBytes:
		e.Outcome, e.Repeatable, e.Reason = claims.OutcomeFailed, false, fault.Text(&claims.ResultError{Step: t.Step, Bytes: len(last.Result), Limit: template.MaxResultBytes})
	case last.Code == broker.OK:
		if e.Outcome = claims.OutcomeDone; t.ResultUsed {
			e.Result = last.Result
		}
	case last.Code == broker.BadRequest:
		e.Outcome, e.Repeatable, e.Reason = claims.OutcomeFailed, false, "the worker found it unusable"
	case last.Code == broker.Failed:
		e.Outcome, e.Reason = claims.OutcomeFailed, "the worker says that it has failed"
	case last.Code == broker.TimedOut:
		e.Outcome, e.Reason = claims.OutcomeUnknown, "no answer in its time"
	default:
		e.Outcome, e.Reason = claims.OutcomeUnknown, "its connection broke"
	}
	return e
}

// mark has the keepers write that a step may run at a worker; true once they have.
func (r *Runner) mark(ctx context.Context, t *claims.ClaimedStep, c *dispatch.Class, a *broker.Attempt) bool {
	m := claims.DispatchIntent{ClaimNumber: t.ClaimNumber, AtMostOnce: c.Semantics == dispatch.AtMostOnce, NotRunBefore: t.RepeatWindowLeft == 0}
	if c.Semantics == dispatch.Deduplicated {
		m.DedupWindow = c.DedupWindow * 9 / 10 // as long as the module would send it again
		switch c.DedupScope {
		case dispatch.ScopeCell:
			m.PinnedCell = a.Cell + 1
		case dispatch.ScopeZone:
			m.PinnedCell = a.Zone + 1
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hand.RequestIntent(m)
	signal(r.poke)
	for !r.hand.IntentRecorded(t.ClaimNumber) {
		changed := r.changed
		gone := r.hand.Revoked(t.ClaimNumber)
		r.mu.Unlock()
		if gone {
			r.mu.Lock()
			return false
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		r.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// may tells whether a step's first byte may leave now.
func (r *Runner) may(o *run, no uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.sent = r.hand.MaySend(r.h.Now(), no)
	return o.sent
}
