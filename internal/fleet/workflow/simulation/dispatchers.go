package simulation

// This file owns what the dispatchers of a play do, and the judgement of each send as it is made.

import (
	"fmt"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/workflow/claimant"
	"yardflow/internal/fleet/workflow/claims"
)

// clock is a dispatcher's own.
func (p *play) clock(d *dispatcher) time.Duration {
	return time.Hour + time.Duration(float64(p.now)*(1+d.drift))
}

func (p *play) begin(d *dispatcher) {
	p.lives++
	d.life, d.up, d.seq, d.grant = p.lives, true, 0, 0
	d.hand, d.out, d.saying, d.claiming = claimant.New(d.name, d.life), map[uint64]*try{}, false, false
	p.renew(d, d.life)
	p.work(d, d.life)
}

func (p *play) renew(d *dispatcher, life uint64) {
	p.hold(d, life)
	if d.life == life && d.up {
		p.after(lease/3-p.pause(lease/15), func() { p.renew(d, life) })
	}
}

// hold asks for a lease and a stay once.
func (p *play) hold(d *dispatcher, life uint64) {
	p.at(d, life, func() {
		asked := p.clock(d)
		d.seq++
		v := p.s.CurrentPolicy().Version
		p.send(d, statemachine.Command{LeaseRequest: &statemachine.LeaseRequest{Name: d.name, Incarnation: d.life, Seq: d.seq, KnownVersion: v, ServingVersion: v, CurrentGrant: d.grant}}, func(r statemachine.Result) {
			if r.ClaimLease > 0 {
				if p.plant == LeaseFromAnswer {
					asked = p.clock(d)
				}
				if d.hand.Renew(asked, p.clock(d), r.ClaimLease, r.Generation) {
					p.lapse(d)
				}
			}
			d.grant = max(d.grant, r.Grant)
		})
	})
}

// lapse calls off what may be another's, but what is never to be repeated.
func (p *play) lapse(d *dispatcher) {
	if p.plant == KeepRunningAfterLapse {
		return
	}
	for _, no := range d.held() {
		if t := d.out[no]; t.at != nil && t.task.Class != "once" && !t.over {
			t.at.to = min(t.at.to, p.now)
			p.end(d, no, t, claims.StepEnd{Outcome: claims.OutcomeUnknown, Repeatable: true, Reason: "called off"})
		}
	}
}

func (p *play) end(d *dispatcher, no uint64, t *try, e claims.StepEnd) {
	t.over = true
	e.ClaimNumber = no
	d.hand.EndStep(e)
	delete(d.out, no)
}

// work does what a dispatcher's loops do, again and again.
func (p *play) work(d *dispatcher, life uint64) {
	p.at(d, life, func() {
		now := p.clock(d)
		if !d.hand.CheckLease(now) {
			p.lapse(d)
		} else {
			p.say(d)
			p.claim(d)
		}
		for _, no := range d.held() {
			p.carry(d, no, d.out[no])
		}
	})
	if d.life == life && d.up {
		p.after(5*time.Millisecond+p.pause(10*time.Millisecond), func() { p.work(d, life) })
	}
}

func (p *play) say(d *dispatcher) {
	c := d.hand.NextReport(4)
	if c == nil || d.saying {
		return
	}
	d.saying = true
	life := d.life
	p.send(d, statemachine.Command{Workflow: c}, func(r statemachine.Result) {
		d.saying = false
		if r.Workflow != nil {
			d.hand.ReportAnswered(c, *r.Workflow)
			if c.RecordIntents != nil && p.stormy() && p.rnd.IntN(60) == 0 {
				d.thaw = max(d.thaw, p.now+p.pause(3*lease)) // between the keepers' word and the first byte
			}
		} else if r.Code == (&claims.LeaseError{}).Code() {
			d.hand.Invalidate()
			p.lapse(d)
		}
	})
	p.after(200*time.Millisecond, func() { p.at(d, life, func() { d.saying = false }) })
}

func (p *play) claim(d *dispatcher) {
	want := 3
	if d.hand.NeedsResync() {
		want = 0
	} else if d.hand.HeldSteps() >= want {
		return
	}
	if d.claiming {
		return
	}
	d.claiming = true
	life, told := d.life, p.clock(d)
	c, asked := d.hand.NextClaim(told, want, []string{""})
	p.send(d, statemachine.Command{Workflow: &claims.Command{Claim: c}}, func(r statemachine.Result) {
		d.claiming = false
		if r.Workflow == nil {
			return
		}
		if p.plant == AcceptStaleAnswer {
			_, asked = d.hand.NextClaim(told, want, nil)
		}
		for _, t := range d.hand.AcceptClaimed(asked, r.Workflow.Claimed) {
			d.out[t.ClaimNumber] = &try{task: t, told: told, cell: p.rnd.IntN(cells)}
		}
	})
	p.after(200*time.Millisecond, func() { p.at(d, life, func() { d.claiming = false }) })
}

func name(t *claims.ClaimedStep) string {
	return fmt.Sprintf("%s/%s%v", t.Workflow, t.Step, t.Ref.Path)
}

// carry takes one step as far as it goes now.
func (p *play) carry(d *dispatcher, no uint64, t *try) {
	now := p.clock(d)
	switch {
	case t.at != nil:
		return
	case d.hand.Revoked(no) && p.plant != SkipLeaseCheck && p.plant != AcceptStaleAnswer:
		p.end(d, no, t, claims.StepEnd{Outcome: claims.OutcomeRequeue})
		return
	case t.task.Class == "keyed" && t.task.RepeatWindowLeft > 0 && now-t.told >= t.task.RepeatWindowLeft:
		p.end(d, no, t, claims.StepEnd{Outcome: claims.OutcomeUnknown, Repeatable: true})
		return
	}
	m := claims.DispatchIntent{ClaimNumber: no, AtMostOnce: t.task.Class == "once", NotRunBefore: t.task.RepeatWindowLeft == 0}
	if t.task.Class == "keyed" {
		if t.task.PinnedCell > 0 {
			t.cell = t.task.PinnedCell - 1
		}
		m.PinnedCell, m.DedupWindow = t.cell+1, window*9/10
	}
	d.hand.RequestIntent(m)
	may := d.hand.MaySend(now, no)
	switch p.plant {
	case SendWithoutIntent:
		may = d.hand.CheckLease(now) && !d.hand.Revoked(no)
	case SkipLeaseCheck:
		may = d.hand.IntentRecorded(no)
	}
	if !may {
		return
	}
	if p.rnd.IntN(12) == 0 { // it can't be reached: it has not run
		p.end(d, no, t, claims.StepEnd{Outcome: claims.OutcomeRequeue, RetryAfter: 20 * time.Millisecond})
		return
	}
	long := 400 * time.Millisecond
	if p.rnd.IntN(6) == 0 {
		long = 2 * lease
	}
	r := &run{from: p.now, to: p.now + 10*time.Millisecond + p.pause(long), cell: t.cell, by: d, life: d.life, ok: p.rnd.IntN(15) > 0}
	t.at = r
	p.check(t, r)
	p.runs[name(&t.task)] = append(p.runs[name(&t.task)], r)
	p.class[name(&t.task)] = t.task.Class
	life := d.life
	p.after(r.to-p.now, func() {
		lost := p.stormy() && p.rnd.IntN(10) == 0
		if r.to != p.now {
			return // called off
		}
		p.at(d, life, func() {
			if t.over {
				return
			}
			e := claims.StepEnd{Outcome: claims.OutcomeDone, Repeatable: t.task.Class != "once"}
			switch {
			case lost:
				e.Outcome, e.Reason = claims.OutcomeUnknown, "its answer was lost"
			case !r.ok:
				e.Outcome, e.Reason = claims.OutcomeFailed, "failed"
			}
			p.end(d, no, t, e)
		})
	})
}

// check judges a send at the moment at which it is made.
func (p *play) check(t *try, r *run) {
	before := p.runs[name(&t.task)]
	p.res.Sends++
	if p.s.Workflows.Claims[t.task.ClaimNumber] == nil {
		p.wrong("%s is sent by %s under a claim that was taken back", name(&t.task), r.by.name)
	}
	if len(before) == 0 {
		if t.task.Step == "package" && t.task.Class == "keyed" {
			loan := fmt.Sprintf("%s/loan%v", t.task.Workflow, t.task.Ref.Path)
			if all := p.runs[loan]; len(all) != 1 || all[0].to > p.now {
				p.wrong("%s is sent before %s has ended", name(&t.task), loan)
			}
		}
		return
	}
	p.res.Repeated++
	first := before[0]
	for _, o := range before {
		if o.to > p.now && !(p.now < o.by.thaw && o.by.life == o.life) {
			p.wrong("%s is sent by %s while it is out from %s", name(&t.task), r.by.name, o.by.name)
		}
	}
	switch t.task.Class {
	case "once":
		p.wrong("%s is sent again, %v after %s sent it", name(&t.task), p.now-first.from, first.by.name)
	case "keyed":
		if r.cell != first.cell {
			p.wrong("%s goes to cell %d, and went to cell %d", name(&t.task), r.cell, first.cell)
		}
		if p.now-first.from > window {
			p.wrong("%s is repeated after %v", name(&t.task), p.now-first.from)
		}
	}
}
