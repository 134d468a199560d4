package simulation

// This file owns the keepers of a play and the messages on their way. It must never judge.

import (
	"bytes"
	"time"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/workflow/claims"
	"yardflow/internal/fleet/workflow/expansion"
)

func (p *play) tick() {
	if p.now < p.still {
		p.told = p.now // whoever leads next counts from its own beginning
		p.lead, p.no = p.lead+1, 0
		return
	}
	p.no++
	t := statemachine.Tick{Elapsed: p.now - p.told, GrantsSeen: p.s.GrantCount, LeaderTerm: p.lead, Number: p.no}
	p.told = p.now
	if p.stormy() && p.rnd.IntN(100) == 0 {
		return // its word is lost
	}
	apply := func() {
		if p.now >= p.still && p.lead == t.LeaderTerm && t.Number > p.last {
			p.last = t.Number
			p.apply(statemachine.Command{Tick: &t})
		}
	}
	if t.Number == 1 {
		p.last = 0
	}
	if p.now < p.stalled { // it reads its clock, and is not heard for a while
		p.after(p.stalled-p.now, apply)
		return
	}
	p.after(p.pause(10*time.Millisecond), apply)
}

// apply has all keepers carry out a command: they must answer alike, however each has come to its
// state.
func (p *play) apply(c statemachine.Command) statemachine.Result {
	r := p.s.Apply(c)
	if p.twin == nil {
		return r
	}
	a, err := statemachine.Encode(r)
	b, err2 := statemachine.Encode(p.twin.Apply(c))
	if err != nil || err2 != nil || !bytes.Equal(a, b) || p.s.Revision != p.twin.Revision {
		p.wrong("two keepers answer %+v differently: %v, %v; revisions %d, %d", c, err, err2, p.s.Revision, p.twin.Revision)
		p.twin = nil
	}
	return r
}

// lookBack has the keepers go on from a snapshot of what they have agreed on, or one of them.
func (p *play) lookBack() {
	text, err := p.s.Snapshot()
	var other *statemachine.State
	if err == nil {
		other, err = statemachine.Restore(text)
	}
	switch {
	case err != nil:
	case p.plant != NoFault: // planted faults are in one state alone
		p.s = other
	default:
		p.s, p.twin = other, p.s
	}
	if err != nil {
		p.wrong("%v", err)
	}
	if p.plant == ForgetIntentsInSnapshot {
		for _, f := range p.s.Workflows.Workflows {
			if f.Tree != nil {
				f.Tree.ForEachStep(func(_ expansion.StepRef, r *expansion.StepRun) { r.PossiblyExecutedAt, r.IntentSequence = 0, 0 })
			}
		}
	}
}

// send carries a command there and its answer back, if they get there.
func (p *play) send(d *dispatcher, c statemachine.Command, answer func(r statemachine.Result)) {
	life := d.life
	lost := func() bool {
		return p.now < d.cut || p.stormy() && p.rnd.IntN(20) == 0
	}
	way := func() time.Duration {
		if p.stormy() && p.rnd.IntN(20) == 0 {
			return p.pause(2 * lease)
		}
		return 2*time.Millisecond + p.pause(15*time.Millisecond)
	}
	arrive := func(twice bool) {
		if p.now < p.still {
			return // no keeper leads
		}
		r := p.apply(c)
		if twice || lost() {
			return
		}
		back := way()
		if p.now < d.slow {
			back += lease * 4 / 5
		}
		p.after(back, func() { p.at(d, life, func() { answer(r) }) })
	}
	if lost() {
		return
	}
	p.after(way(), func() { arrive(false) })
	if p.stormy() && p.rnd.IntN(15) == 0 {
		p.after(way()+p.pause(lease), func() { arrive(true) })
	}
}

// at has a dispatcher do something, once it stands still no more, if it still lives that life.
func (p *play) at(d *dispatcher, life uint64, f func()) {
	switch {
	case !d.up || d.life != life:
	case p.now < d.thaw:
		p.after(d.thaw-p.now, func() { p.at(d, life, f) })
	default:
		f()
	}
}

func (p *play) submit(key string, titles int) {
	form := "course"
	if titles%4 == 0 {
		form = "undone"
	}
	in := map[string]expansion.Input{}
	if form == "course" {
		in["titles"] = expansion.Input{Count: titles}
	}
	r := p.apply(statemachine.Command{Workflow: &claims.Command{Submit: &claims.Submission{Key: key, Template: form, Inputs: in}}})
	if r.Workflow == nil {
		p.after(100*time.Millisecond, func() { p.submit(key, titles) })
	}
}
