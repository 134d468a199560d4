package virtualday

// This file owns what the module is measured against: policies that put any job at a worker
// as soon as it comes, by chance, by the better of two, or by the true state of all, which no
// real dispatcher sees. They repeat what may be repeated once, and must never look at
// anything that their kind would not see.

import (
	"math/rand/v2"
	"time"

	"yardflow/scheduling/dispatch"
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
	list map[dispatch.WorkerID]dispatch.Worker
	ids  []dispatch.WorkerID // of those that are ready, as the list has them
	own  map[dispatch.WorkerID]int
	rnd  *rand.Rand
}

func newPlain(d *day, h *host) *plain {
	return &plain{d: d, h: h, list: map[dispatch.WorkerID]dispatch.Worker{}, own: map[dispatch.WorkerID]int{},
		rnd: rand.New(rand.NewPCG(d.Seed, uint64(100+len(d.hosts))))}
}

func (p *plain) UpdateWorkers(_ time.Duration, _ dispatch.ListForm, list []dispatch.Worker, _ dispatch.Actions) {
	for _, w := range list {
		p.list[w.ID] = w
	}
	p.ids = p.ids[:0]
	for _, w := range p.d.workers {
		if l, ok := p.list[w.id]; ok && l.State == dispatch.Ready {
			p.ids = append(p.ids, w.id)
		}
	}
}

func (p *plain) Arrive(_ time.Duration, r dispatch.Request, out dispatch.Actions) {
	p.send(r.ID, out)
}

func (p *plain) send(id dispatch.RequestID, out dispatch.Actions) {
	if len(p.ids) == 0 {
		out.Reject(id, 0)
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
			if l, ok := p.list[v.id]; !ok || l.State != dispatch.Ready || v.state != dispatch.Ready || v.hung || v.errors > 0 {
				continue
			}
			p.d.take(v, v.m.Advance(p.d.now))
			if t := v.m.Starts() + v.m.Takes(j.work) + 2*p.d.delay(p.h, v); end == 0 || t < end {
				w, end = v.id, t
			}
		}
		if end == 0 || end > j.aim { // it would take the place of one that can be in time
			out.Reject(id, 0)
			return
		}
	}
	p.own[w]++
	out.Send(id, w, 0)
}

func (p *plain) AttemptEnded(_ time.Duration, o dispatch.Outcome, out dispatch.Actions) {
	p.own[o.Worker]--
	j := p.d.jobs[o.ID]
	if o.Answered || j == nil {
		return
	}
	if j.attempts < 2 && (!j.mayRun || p.d.Classes[j.class].Semantics == dispatch.Retryable) {
		p.send(o.ID, out)
	} else if !j.mayRun || p.d.Classes[j.class].Semantics == dispatch.Retryable {
		out.Reject(o.ID, 0)
	} else {
		out.Fail(o.ID)
	}
}

func (p *plain) Notify(time.Duration, dispatch.Notification, dispatch.Actions) {}
func (p *plain) StreamStarted(time.Duration, dispatch.RequestID, int, dispatch.Actions) {
}
func (p *plain) ClientDisconnected(time.Duration, dispatch.RequestID, dispatch.Actions) {}
func (p *plain) ProbeAnswered(time.Duration, dispatch.WorkerID, dispatch.Code, []float64, dispatch.Actions) {
}
func (p *plain) PeerMessage(time.Duration, int, []byte, dispatch.Actions)       {}
func (p *plain) Reconfigure(time.Duration, dispatch.Settings, dispatch.Actions) {}
func (p *plain) Snapshot() []byte                                               { return nil }
func (p *plain) Restore([]byte)                                                 {}
func (p *plain) Reservations() *dispatch.ReservationReport                      { return nil }
func (p *plain) SetReservationShare(float64)                                    {}
func (p *plain) SetWorkerLimits(time.Duration, int, float64, dispatch.Actions)  {}
func (p *plain) Timer(time.Duration, uint64, dispatch.Actions)                  {}
