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
	Flow    string                     `json:"flow"`
	Step    string                     `json:"step"`
	Items   []string                   `json:"items,omitempty"`
	Results map[string]string          `json:"results,omitempty"`
	Tallies map[string]expansion.Tally `json:"tallies,omitempty"`
}

// key names a step, the same for all its tries.
func key(t *claims.Task) string {
	return fmt.Sprintf("%s/%s%v", t.Flow, t.Step, t.Ref.Path)
}

// step carries one step to its end.
func (r *Runner) step(ctx context.Context, o *run, t claims.Task, told time.Duration) {
	defer o.stop()
	e := r.carry(ctx, o, &t, told)
	e.No = t.No
	r.mu.Lock()
	delete(r.out, t.No)
	r.hand.End(e)
	r.mu.Unlock()
	signal(r.poke)
}

func (r *Runner) carry(ctx context.Context, o *run, t *claims.Task, told time.Duration) claims.Ended {
	cfg := r.h.Live.Get()
	class, tenant := slices.Index(cfg.Classes, t.Class), 0
	if len(cfg.Tenants) > 0 {
		tenant = slices.Index(cfg.Tenants, t.Tenant)
	}
	if class < 0 || tenant < 0 {
		r.h.Log("flows: " + fault.Text(&SettingsError{t}))
		return claims.Ended{How: claims.Back, After: 2 * time.Second} // another's settings may have them
	}
	c := &cfg.Module.Classes[class]
	version, at, admits := r.h.Gate()
	r.mu.Lock()
	bit := r.pools.Bit(t.Pool)
	o.once = c.Semantics == dispatch.AtMostOnce
	r.mu.Unlock()
	switch {
	case t.Doubt && c.Semantics != dispatch.Retryable:
		return claims.Ended{How: claims.Unknown, Why: "it may have run before the keepers were restored"}
	case !admits || t.Pool != "" && bit == 0:
		return claims.Ended{How: claims.Back, After: time.Second}
	}
	q := broker.Request{Settings: &cfg.Module, Class: class, Tenant: tenant, Slots: 1, Team: t.Team, Step: true, Spare: !t.Aged, Pools: bit, Policy: version, Admitted: at,
		Deadline: time.Now().Add(c.Deadline)}
	if c.Semantics == dispatch.Deduplicated && t.Left > 0 {
		left := t.Left - (r.h.Now() - told)
		if left <= 0 {
			return claims.Ended{How: claims.Unknown, Why: "the time is over in which it may be repeated"}
		}
		q.Ran, q.RanFor = &dispatch.Worker{Zone: t.Cell - 1, Cell: t.Cell - 1}, max(c.DedupWindow-left, 0)
		q.Deadline = time.Now().Add(min(c.Deadline, left))
	}
	body, err := json.Marshal(job{t.Flow, t.Step, t.Values, t.Results, t.Tallies})
	if err != nil {
		return claims.Ended{How: claims.Failed, Why: err.Error()}
	}
	j := httpfront.Job{ID: fmt.Sprintf("%s#%d", key(t), t.No), Class: t.Class, Tenant: t.Tenant, Body: body, May: func() bool { return r.may(o, t.No) }}
	if c.Semantics == dispatch.Deduplicated {
		j.Key = key(t)
	}
	s := httpfront.NewJob(cfg, j, q)
	do := r.h.Lines.Do(s)
	var last *broker.Outcome // of the one try that may have run
	answer := r.b.Serve(ctx, q, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		if last != nil || !a.In(t.Pool) || !r.mark(ctx, t, c, a) {
			return broker.Outcome{Code: broker.NeverSent}
		}
		out := do(ctx, a)
		if out.Ran() {
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
func ended(t *claims.Task, c *dispatch.Class, answer broker.Answer, last *broker.Outcome) claims.Ended {
	e := claims.Ended{Repeats: c.Semantics != dispatch.AtMostOnce}
	switch {
	case last == nil:
		e.How, e.After = claims.Back, max(answer.ComeBack, pause)
	case last.Code == broker.OK && t.Takes && len(last.Result) > template.MaxResult:
		e.How, e.Repeats, e.Why = claims.Failed, false, fault.Text(&claims.ResultError{Step: t.Step, Bytes: len(last.Result), Most: template.MaxResult})
	case last.Code == broker.OK:
		if e.How = claims.Done; t.Takes {
			e.Result = last.Result
		}
	case last.Code == broker.Rejected:
		e.How, e.Repeats, e.Why = claims.Failed, false, "the worker found it unusable"
	case last.Code == broker.Failed:
		e.How, e.Why = claims.Failed, "the worker says that it has failed"
	case last.Code == broker.TimedOut:
		e.How, e.Why = claims.Unknown, "no answer in its time"
	default:
		e.How, e.Why = claims.Unknown, "its connection broke"
	}
	return e
}

// mark has the keepers write that a step may run at a worker; true once they have.
func (r *Runner) mark(ctx context.Context, t *claims.Task, c *dispatch.Class, a *broker.Attempt) bool {
	m := claims.Marked{No: t.No, Once: c.Semantics == dispatch.AtMostOnce, Anew: t.Left == 0}
	if c.Semantics == dispatch.Deduplicated {
		m.Window = c.DedupWindow * 9 / 10 // as long as the module would send it again
		switch c.DedupScope {
		case dispatch.ScopeCell:
			m.Cell = a.Cell + 1
		case dispatch.ScopeZone:
			m.Cell = a.Zone + 1
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hand.Ask(m)
	signal(r.poke)
	for !r.hand.Written(t.No) {
		changed := r.changed
		gone := r.hand.Void(t.No)
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
	o.sent = r.hand.May(r.h.Now(), no)
	return o.sent
}
