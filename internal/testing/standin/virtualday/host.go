package virtualday

// This file carries out a dispatcher's actions.

import (
	"slices"
	"time"

	"yardflow/scheduling/dispatch"
)

type host struct {
	d    *day
	m    dispatch.Dispatcher
	n    int
	zone int
	down bool
}

// ---- a dispatcher's actions

func (h *host) Send(id dispatch.RequestID, w dispatch.WorkerID, _ time.Duration) {
	d, j := h.d, h.d.jobs[id]
	to := d.workers[int(w)-1]
	a := &attempt{job: j, n: j.attempts, worker: to}
	j.attempts++
	j.now = a
	if to.hung && d.now < to.hungAt+time.Second {
		d.res.IntoHung++
	}
	if j.out++; j.out > 1 {
		d.broken("request %d is out twice at once", id)
	}
	if j.mayRun && d.Classes[j.class].Semantics == dispatch.AtMostOnce {
		d.broken("unsafe request %d is sent again", id)
	}
	if to.state != dispatch.Ready && to.drained > 0 {
		if late := d.now - to.drained; late > d.res.LateSend {
			d.res.LateSend = late
		}
	}
	j.mayRun = true
	d.at(d.now+d.delay(h, to), func() { d.deliver(a) })
}

func (h *host) Reject(id dispatch.RequestID, _ time.Duration) { h.d.answer(h.d.jobs[id], "refused") }

func (h *host) Fail(id dispatch.RequestID) { h.d.answer(h.d.jobs[id], "failed") }

func (h *host) Subscribe() {}

func (h *host) Probe(dispatch.WorkerID) {}

func (h *host) Log(string) {}

func (h *host) Broadcast(msg []byte) {
	d, t := h.d, h.d.Talk
	if t == nil {
		d.broken("dispatcher %d talks, and may not", h.n)
		return
	}
	d.res.Told += len(msg)
	for _, to := range d.hosts {
		if to == h || min(to.n, h.n) < t.Deaf || d.air.Float64() < t.Lost {
			continue
		}
		m := slices.Clone(msg)
		if d.air.Float64() < t.Spoiled {
			m[d.air.IntN(len(m))] ^= 1 << d.air.IntN(8)
		}
		for n := 1; n > 0; n-- {
			d.at(d.now+time.Duration(d.air.Float64()*float64(t.Delay)), func() {
				if !to.down {
					d.call(func() { to.m.PeerMessage(d.now, h.n, m, to) })
				}
			})
			if d.air.Float64() < t.Doubled {
				n++
			}
		}
	}
}

func (h *host) Wake(in time.Duration, tag uint64) {
	h.d.at(h.d.now+in, func() {
		if !h.down {
			h.d.call(func() { h.m.Timer(h.d.now, tag, h) })
		}
	})
}

func (h *host) Cancel(id dispatch.RequestID, n int) {
	d := h.d
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.job.id == id && a.n == n {
				d.take(w, w.m.Cancel(d.now, uint64(id)))
				d.end(a, dispatch.Cancelled)
				return
			}
		}
	}
}
