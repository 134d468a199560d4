package claims

// This file owns what operators are shown of flows. It must never change one.

import (
	"slices"
	"time"

	"yardflow/internal/fleet/workflow/expansion"
)

// mostViews is how many flows, or steps of one, are shown at the most.
const mostViews = 200

// Show tells how far flows are.
func (l *Ledger) Show(now time.Duration, c *Show) (a Answer, err error) {
	if c.Flow != "" {
		f, err := l.flow(c.Flow)
		if err != nil {
			return a, err
		}
		v := l.view(now, f)
		if f.Tree != nil {
			f.Tree.Each(func(r expansion.Ref, run *expansion.Run) {
				if len(v.Steps) == mostViews || run.State.Ended() || run.State == expansion.Waiting {
					return
				}
				s := StepView{Name: f.g.Nodes[r.Step].Name, Ref: r, Values: f.Tree.Values(r), State: run.State.String(), For: max(now-run.Since, 0), Why: run.Why, MayRun: run.Marked > 0}
				if h := l.Claims[run.Claim]; run.State == expansion.Claimed && h != nil {
					s.Who = h.Who
				}
				v.Steps = append(v.Steps, s)
			})
		}
		a.Views = []View{v}
		return a, nil
	}
	a.Counts = map[string]int{}
	var all []*Flow
	for _, f := range l.Flows {
		a.Counts[f.State.String()]++
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *Flow) int { return int(int64(b.No) - int64(a.No)) })
	for _, f := range all[:min(len(all), mostViews)] {
		a.Views = append(a.Views, l.view(now, f))
	}
	return a, nil
}

func (l *Ledger) view(now time.Duration, f *Flow) View {
	v := View{Key: f.Key, Template: f.Form, Who: f.Who, State: f.State.String(), Why: f.Why, Age: now - f.At, Makespan: f.Makespan, Ends: f.Ends, Out: f.Out, Doubt: f.Doubt}
	if f.Tree != nil {
		v.Ends, v.Live = f.Tree.Ends, f.Tree.Live
	}
	return v
}
