package day

// This file owns what the module is measured against: policies that put any job at a worker
// as soon as it comes, by chance, by the better of two, or by the true state of all, which no
// real dispatcher sees. They repeat what may be repeated once, and must never look at
// anything that their kind would not see.

import (
	"math/rand/v2"
	"time"

	"yardflow"
)

// Policy is a way to choose workers.
type Policy int

// The policies beside the module.
const (
	Random Policy = iota + 1
	TwoChoices
	Seeing // knows every queue, size, speed and fault as they are now
)

type plain struct {
	d    *day
	h    *host
	list map[linnetlift.WorkerID]linnetlift.Worker
	ids  []linnetlift.WorkerID // of those that are ready, as the list has them
	own  map[linnetlift.WorkerID]int
	rnd  *rand.Rand
}

func newPlain(d *day, h *host) *plain {
	return &plain{d: d, h: h, list: map[linnetlift.WorkerID]linnetlift.Worker{}, own: map[linnetlift.WorkerID]int{},
		rnd: rand.New(rand.NewPCG(d.Seed, uint64(100+len(d.hosts))))}
}

func (p *plain) List(_ time.Duration, _ linnetlift.ListForm, list []linnetlift.Worker, _ linnetlift.Actions) {
	for _, w := range list {
		p.list[w.ID] = w
	}
	p.ids = p.ids[:0]
	for _, w := range p.d.workers {
		if l, ok := p.list[w.id]; ok && l.State == linnetlift.Ready {
			p.ids = append(p.ids, w.id)
		}
	}
}

func (p *plain) Arrive(_ time.Duration, r linnetlift.Request, out linnetlift.Actions) {
	p.send(r.ID, out)
}

func (p *plain) send(id linnetlift.RequestID, out linnetlift.Actions) {
	if len(p.ids) == 0 {
		out.Refuse(id, 0)
		return
	}
	w := p.ids[p.rnd.IntN(len(p.ids))]
	switch p.d.Policy {
	case TwoChoices:
		if v := p.ids[p.rnd.IntN(len(p.ids))]; p.own[v] < p.own[w] {
			w = v
		}
	case Seeing:
		j, end := p.d.jobs[id], time.Duration(0)
		for _, v := range p.d.workers {
			if l, ok := p.list[v.id]; !ok || l.State != linnetlift.Ready || v.state != linnetlift.Ready || v.hung || v.errors > 0 {
				continue
			}
			p.d.take(v, v.m.Advance(p.d.now))
			if t := v.m.Starts() + v.m.Takes(j.work) + 2*p.d.delay(p.h, v); end == 0 || t < end {
				w, end = v.id, t
			}
		}
		if end == 0 || end > j.aim { // it would take the place of one that can be in time
			out.Refuse(id, 0)
			return
		}
	}
	p.own[w]++
	out.Send(id, w, 0)
}

func (p *plain) Outcome(_ time.Duration, o linnetlift.Outcome, out linnetlift.Actions) {
	p.own[o.Worker]--
	j := p.d.jobs[o.ID]
	if o.Ended || j == nil {
		return
	}
	if j.attempts < 2 && (!j.mayRun || p.d.Classes[j.class].Semantics == linnetlift.Retryable) {
		p.send(o.ID, out)
	} else if !j.mayRun || p.d.Classes[j.class].Semantics == linnetlift.Retryable {
		out.Refuse(o.ID, 0)
	} else {
		out.Fail(o.ID)
	}
}

func (p *plain) Note(time.Duration, linnetlift.Note, linnetlift.Actions) {}
func (p *plain) StreamStarted(time.Duration, linnetlift.RequestID, int, linnetlift.Actions) {
}
func (p *plain) ClientGone(time.Duration, linnetlift.RequestID, linnetlift.Actions) {}
func (p *plain) Probed(time.Duration, linnetlift.WorkerID, linnetlift.Code, []float64, linnetlift.Actions) {
}
func (p *plain) PeerMessage(time.Duration, int, []byte, linnetlift.Actions)    {}
func (p *plain) Retune(time.Duration, linnetlift.Settings, linnetlift.Actions) {}
func (p *plain) Memory() []byte                                                { return nil }
func (p *plain) Recall([]byte)                                                 {}
func (p *plain) RoomHeld() *linnetlift.RoomHeld                                { return nil }
func (p *plain) ShareRoom(float64)                                             {}
func (p *plain) Bound(time.Duration, int, float64, linnetlift.Actions)         {}
func (p *plain) Timer(time.Duration, uint64, linnetlift.Actions)               {}
