package simulation

// This file owns what must hold of a play when it is over.

import "yardflow/internal/fleet/workflow/claims"

// done tells whether all flows have ended, or wait for an operator.
func (p *play) done(keys map[string]int) bool {
	if p.stormy() {
		return false
	}
	for key := range keys {
		f := p.s.Workflows.Flows[key]
		if f == nil || f.State < claims.Finished && f.State != claims.Held {
			return false
		}
	}
	return true
}

func (p *play) judge(keys map[string]int) {
	p.res.Flows, p.res.Expired = len(keys), p.s.Workflows.Expired
	for key := range keys {
		f := p.s.Workflows.Flows[key]
		switch {
		case f == nil:
			p.wrong("flow %s is lost", key)
			continue
		case f.State < claims.Finished && f.State != claims.Held:
			p.wrong("flow %s is %v in the end: %+v", key, f.State, f.Ends)
			continue
		case f.State != claims.Finished:
			continue
		}
		p.res.Steps += f.Ends[0] + f.Ends[1] + f.Ends[2] + f.Ends[3]
		p.res.Unknown += f.Ends[2]
		if want := 2*keys[key] + 1; keys[key]%4 != 0 && f.Ends[0]+f.Ends[1]+f.Ends[2]+f.Ends[3] != want {
			p.wrong("flow %s has ended with %v of %d steps", key, f.Ends, want)
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
		if f.Ends[0] > ran {
			p.wrong("flow %s has %d steps done, and %d ran to their end", key, f.Ends[0], ran)
		}
	}
}
