package claims

// This file owns what operators are shown of flows. It must never change one.

import (
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

// mostViews is how many flows, or steps of one, are shown at the most.
const mostViews = 200

// Query tells how far flows are.
func (l *Table) Query(now time.Duration, c *StatusQuery) (a Answer, err error) {
	if c.Workflow != "" {
		f, err := l.flow(c.Workflow)
		if err != nil {
			return a, err
		}
		v := l.view(now, f)
		if f.Tree != nil {
			f.Tree.ForEachStep(func(r expansion.StepRef, run *expansion.StepRun) {
				if len(v.Steps) == mostViews || run.State.Ended() || run.State == expansion.Waiting {
					return
				}
				s := StepStatus{Name: f.g.Nodes[r.Step].Name, Ref: r, ItemValues: f.Tree.ItemValues(r), State: run.State.String(), InStateFor: max(now-run.StateSince, 0), Reason: run.Reason, PossiblyExecuted: run.PossiblyExecutedAt > 0}
				if h := l.Claims[run.ClaimNumber]; run.State == expansion.Claimed && h != nil {
					s.ClaimedBy = h.Who
				}
				v.Steps = append(v.Steps, s)
			})
		}
		a.Statuses = []WorkflowStatus{v}
		return a, nil
	}
	a.CountsByState = map[string]int{}
	var all []*Workflow
	for _, f := range l.Workflows {
		a.CountsByState[f.State.String()]++
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *Workflow) int { return int(int64(b.Number) - int64(a.Number)) })
	for _, f := range all[:min(len(all), mostViews)] {
		a.Statuses = append(a.Statuses, l.view(now, f))
	}
	return a, nil
}

func (l *Table) view(now time.Duration, f *Workflow) WorkflowStatus {
	v := WorkflowStatus{Key: f.Key, Template: f.TemplateVersion, Submitter: f.Submitter, State: f.State.String(), Reason: f.Reason, Age: now - f.SubmittedAt, Makespan: f.Makespan, EndCounts: f.EndCounts, OpenClaims: f.OpenClaims, RunUncertain: f.RunUncertain}
	if f.Tree != nil {
		v.EndCounts, v.LiveItems = f.Tree.EndCounts, f.Tree.LiveItems
	}
	return v
}
