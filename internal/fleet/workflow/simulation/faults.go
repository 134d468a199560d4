package simulation

// This file owns what goes wrong, and what is judged while it does.

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/expansion"
)

// harm draws what goes wrong next.
func (p *play) harm() {
	if !p.stormy() {
		return
	}
	d := p.all[p.rnd.IntN(len(p.all))]
	switch p.rnd.IntN(40) {
	case 0:
		p.kill(d)
		p.after(p.pause(2*lease), func() {
			if !d.up {
				p.begin(d)
			}
		})
	case 1, 2:
		d.thaw = max(d.thaw, p.now+p.pause(3*lease))
	case 3, 4:
		d.cut = max(d.cut, p.now+p.pause(3*lease))
	case 5:
		if p.rnd.IntN(3) > 0 {
			break
		}
		p.still = max(p.still, p.now+p.pause(lease)) // the leader is lost
	case 6, 7:
		p.lookBack()
	case 13, 14:
		p.operate()
	case 11, 12:
		// The last word that gets through is answered late; then it is cut off, with something out.
		d = p.longest(d)
		d.slow = max(d.slow, p.now+20*time.Millisecond)
		p.hold(d, d.life)
		p.after(20*time.Millisecond, func() { d.cut = max(d.cut, p.now+lease+p.pause(lease)) })
	case 10:
		p.stalled = p.now + p.pause(lease)
	case 8:
		if p.plant == EarlyReclaim {
			p.s.Workflows.ReclaimFrom(p.s.Now, claims.DispatcherKey(d.name, d.life))
		}
	case 9:
		if p.plant == RequeuePossiblyRun {
			p.forget()
		}
	}
}

// watch judges what is out: one that could call it off has done so before the keepers take it back.
func (p *play) watch() {
	for _, d := range p.all {
		for _, no := range d.held() {
			t := d.out[no]
			if d.up && p.now >= d.thaw && t.at != nil && !t.over && t.task.Class != "once" && p.now < t.at.to && p.s.Workflows.Claims[no] == nil {
				p.wrong("%s is still out from %s, which has not called it off", name(&t.task), d.name)
			}
		}
	}
}

// longest is the dispatcher whose try of what may be repeated runs longest; d where none has any.
func (p *play) longest(d *dispatcher) *dispatcher {
	most := time.Duration(0)
	for _, o := range p.all {
		for _, no := range o.held() {
			if t := o.out[no]; t.at != nil && t.task.Class != "once" && t.at.to-p.now > most {
				d, most = o, t.at.to-p.now
			}
		}
	}
	return d
}

// operate is what an operator does now and then: one settles a step that is stuck, or cancels a flow.
func (p *play) operate() {
	for _, key := range slices.Sorted(maps.Keys(p.s.Workflows.Workflows)) {
		f := p.s.Workflows.Workflows[key]
		var stuck *expansion.StepRef
		if f.Tree != nil && f.State == claims.WorkflowHeld {
			f.Tree.ForEachStep(func(r expansion.StepRef, run *expansion.StepRun) {
				if run.State == expansion.AwaitingOperator {
					stuck = &r
				}
			})
		}
		if stuck != nil {
			p.apply(statemachine.Command{Workflow: &claims.Command{Resolve: &claims.Resolution{Workflow: key, RequestedBy: "o", Step: *stuck, Outcome: claims.OutcomeFailed}}})
			return
		}
		if f.Tree != nil && p.rnd.IntN(60) == 0 {
			p.apply(statemachine.Command{Workflow: &claims.Command{Cancel: &claims.Cancellation{Workflow: key, RequestedBy: "o"}}})
			return
		}
	}
}

// forget is what a ledger would do that did not know that a step may have run.
func (p *play) forget() {
	for _, f := range p.s.Workflows.Workflows {
		if f.Tree != nil {
			f.Tree.ForEachStep(func(_ expansion.StepRef, r *expansion.StepRun) {
				if r.State == expansion.Claimed {
					r.PossiblyExecutedAt, r.IntentSequence = 0, 0
				}
			})
		}
	}
	for _, who := range p.s.Workflows.Holders() {
		p.s.Workflows.ReclaimFrom(p.s.Now, who)
	}
}

// kill ends a dispatcher, and with its connections what it has out.
func (p *play) kill(d *dispatcher) {
	d.up, d.thaw = false, 0
	for _, no := range d.held() {
		if t := d.out[no]; t.at != nil && t.task.Class != "once" {
			t.at.to = min(t.at.to, p.now)
		}
	}
}
