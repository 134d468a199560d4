package simulation

// This file owns what must hold of a play when it is over.

import "yardflow/internal/fleet/workflow/claims"

// done tells whether all flows have ended, or wait for an operator.
func (p *play) done(keys map[string]int) bool {
	if p.stormy() {
		return false
	}
	for key := range keys {
		f := p.s.Workflows.Workflows[key]
		if f == nil || f.State < claims.WorkflowDone && f.State != claims.WorkflowHeld {
			return false
		}
	}
	return true
}

func (p *play) judge(keys map[string]int) {
	p.res.Workflows, p.res.ExpiredClaims = len(keys), p.s.Workflows.ExpiredClaims
	for key := range keys {
		f := p.s.Workflows.Workflows[key]
		switch {
		case f == nil:
			p.wrong("flow %s is lost", key)
			continue
		case f.State < claims.WorkflowDone && f.State != claims.WorkflowHeld:
			p.wrong("flow %s is %v in the end: %+v", key, f.State, f.EndCounts)
			continue
		case f.State != claims.WorkflowDone:
			continue
		}
		p.res.Steps += f.EndCounts[0] + f.EndCounts[1] + f.EndCounts[2] + f.EndCounts[3]
		p.res.Unknown += f.EndCounts[2]
		if want := 2*keys[key] + 1; keys[key]%4 != 0 && f.EndCounts[0]+f.EndCounts[1]+f.EndCounts[2]+f.EndCounts[3] != want {
			p.wrong("flow %s has ended with %v of %d steps", key, f.EndCounts, want)
		}
		ran := 0
		for at, all := range p.runs {
			if len(at) > len(key) && at[:len(key)+1] == key+"/" {
				for _, r := range all {
					if r.ok && r.to <= p.now {
						ran++
						break
					}
				}
			}
		}
		if f.EndCounts[0] > ran {
			p.wrong("flow %s has %d steps done, and %d ran to their end", key, f.EndCounts[0], ran)
		}
	}
}
