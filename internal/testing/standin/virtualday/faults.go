package virtualday

// This file makes workers and dispatchers fail, drain and come back.

import (
	"cmp"
	"slices"
	"time"

	"yardflow/scheduling/dispatch"
)

// fault makes something happen to a worker; changes that a roster knows of are told
// at once.
func (d *day) fault(f Fault) {
	if f.Worker == Holder && !d.chooseHolder(&f) {
		return
	}
	if f.Do == "die" || f.Do == "upgrade" {
		d.strike(f)
		return
	}
	i := f.Worker % len(d.workers)
	if f.Do == "exclude" || f.Do == "include" {
		d.override(i, f.Do == "exclude")
		return
	}
	if w := d.workers[i]; d.change(w, f) {
		d.at(d.now+d.ListLate, func() { d.listChange(w) })
	}
}

// chooseHolder names the worker at which a reservation stands now, or that of the fault before. Where there is none, the
// fault is tried again a little later.
func (d *day) chooseHolder(f *Fault) bool {
	const retryAfter = 5 * time.Millisecond
	held := d.hosts[0].m.Reservations()
	switch {
	case f.Do == "back":
		f.Worker = d.holder
	case held != nil && len(held.Reservations) > 0:
		f.Worker = int(held.Reservations[0].Worker) - 1
		d.holder = f.Worker
		d.res.Hit++
	default:
		if d.now < base+d.Length {
			again := *f
			d.at(d.now+retryAfter, func() { d.fault(again) })
		}
		return false
	}
	return true
}

// override bans a worker, or takes it in again, at every dispatcher at the same moment.
func (d *day) override(i int, ban bool) {
	w := d.workers[i]
	if w.out = ban; !ban {
		w.launched = max(w.launched, d.now)
	}
	for _, h := range d.hosts {
		d.call(func() { h.m.UpdateWorkers(d.now, dispatch.ListOverride, []dispatch.Worker{d.entry(i)}, h) })
	}
}

// change carries a fault out at a worker and reports whether the list changes by it.
func (d *day) change(w *worker, f Fault) (listed bool) {
	speed := d.Speeds[(f.Worker%len(d.workers))%len(d.Speeds)]
	switch f.Do {
	case "slow":
		d.take(w, w.m.Speed(d.now, speed/f.Factor))
	case "errors":
		w.errors = f.Factor
	case "hang":
		d.take(w, w.m.Speed(d.now, 0))
		w.hung, w.hungAt = true, d.now
	case "drain":
		w.state, w.drained, listed = dispatch.Draining, d.now, true
		d.take(w, w.m.Drain(d.now, f.Factor > 0))
	case "restart":
		d.take(w, w.m.Restart(d.now, 0.3, 8*time.Second))
		w.state, w.launched, listed = dispatch.Ready, d.now, true
	case "back":
		w.errors, w.hung, w.drained = 0, false, 0
		d.take(w, w.m.Speed(d.now, speed))
		w.m.Resume()
		listed, w.state = w.state != dispatch.Ready, dispatch.Ready
	}
	return listed
}

// listChange brings the list to all dispatchers that are up, and checks that none holds a reservation at a worker that
// drains.
func (d *day) listChange(w *worker) {
	if w.state != dispatch.Ready {
		w.drained = d.now
	}
	for _, h := range d.hosts {
		if h.down {
			continue
		}
		d.call(func() { h.m.UpdateWorkers(d.now, dispatch.ListFull, d.list(), h) })
		held := h.m.Reservations()
		if held == nil || w.state == dispatch.Ready {
			continue
		}
		for _, r := range held.Reservations {
			if dispatch.WorkerID(r.Worker) == w.id {
				d.broken("a reservation stands at a worker that drains")
			}
		}
	}
}

// strike is a fault of a dispatcher. What one that dies had open is its clients' to bring
// again, to whoever is up; its jobs run on at the workers. It comes back knowing nothing
// but the list.
func (d *day) strike(f Fault) {
	i := f.Worker % len(d.front)
	old := d.front[i]
	if f.Do == "upgrade" {
		if h, err := d.start(i, old.m.Snapshot()); err == nil {
			d.front[i] = h
		}
		return
	}
	if old.down {
		return
	}
	old.down = true
	for _, j := range d.open() {
		if j.host != old {
			continue
		}
		j.dead = true
		if d.Classes[j.class].Semantics != dispatch.Retryable && j.mayRun {
			d.res.Classes[j.class].Failed++
			continue
		}
		own := *j
		own.dead, own.attempts, own.out, own.mayRun, own.now = false, 0, 0, false, nil
		d.count++
		own.id = dispatch.RequestID(1<<40 + d.count)
		d.at(d.now+50*time.Millisecond, func() { d.arrive(&own) })
	}
	d.at(d.now+time.Duration(f.Factor*1e9), func() {
		if h, err := d.start(i, nil); err == nil {
			d.front[i] = h
		}
	})
}

// open is the jobs that wait for their answer, in the order of their arrival.
func (d *day) open() (out []*job) {
	for _, j := range d.jobs {
		if !j.answered && !j.dead {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
