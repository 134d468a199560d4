package backfill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reservation keeps slots at one worker for one job.
type Reservation struct {
	Job, Worker          uint64
	Slots                float64
	CreatedAt, ExpiresAt time.Duration // Tick ends it at ExpiresAt
	ShadowTime           time.Duration // when its slots are expected to be free, as last computed
	IdleSlotSeconds      float64       // slot time that it has left idle
}

// ReservationOf returns a job's reservation, or nil if it has none.
func (p *Plan) ReservationOf(job uint64) *Reservation { return p.reservations[job] }

// Reservations returns all reservations, ordered by creation time.
func (p *Plan) Reservations() []Reservation {
	var all []Reservation
	for _, r := range p.reservations {
		all = append(all, *r)
	}
	slices.SortFunc(all, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.CreatedAt, b.CreatedAt), cmp.Compare(a.Job, b.Job))
	})
	return all
}

// AtLimit reports whether the bounds forbid a further reservation now.
func (p *Plan) AtLimit() bool {
	maxCount := float64(p.MaxReservations)
	if p.Mode == Easy {
		maxCount = 1
	}
	return float64(len(p.reservations)) >= math.Ceil(maxCount*p.share) ||
		p.idle.idle > p.IdleBudget*p.share*max(p.idle.total, 1)
}

// ShadowTime returns the time at which a worker is expected to have enough free slots for a job, and the
// number of extra free slots then. The prediction uses the configured quantile of the remaining times of the
// worker's runs. Capacity is the worker's number of slots; ok is false if it is too small. A reservation of
// the job itself does not count as used.
func (p *Plan) ShadowTime(
	now time.Duration, worker, job uint64, slots, capacity float64, s SlowStart,
) (at time.Duration, extra float64, ok bool) {
	if slots > capacity {
		return 0, 0, false
	}
	w := p.workers[worker]
	if w == nil {
		return now, capacity - slots, true
	}
	own := p.reservations[job]
	at, extra, ok = p.freeAt(now, w, slots, capacity-w.reservedSlots(own), s)
	if own != nil && own.Worker == worker && ok {
		own.ShadowTime = at
	}
	return at, extra, ok
}

// reservedSlots returns the number of slots reserved at a worker, without those of one reservation (except;
// nil: none).
func (w *workerPlan) reservedSlots(except *Reservation) float64 {
	reserved := 0.0
	for _, r := range w.reservations {
		if r != except {
			reserved += r.Slots
		}
	}
	return reserved
}

// freeAt returns the time at which a number of slots of a worker's capacity are expected to be free, and the
// number of extra free slots then.
func (p *Plan) freeAt(
	now time.Duration, w *workerPlan, slots, capacity float64, s SlowStart,
) (at time.Duration, extra float64, ok bool) {
	free := capacity - w.usedSlots
	if free >= slots {
		return now, free - slots, true
	}
	type end struct {
		at    time.Duration
		slots float64
	}
	ends := make([]end, 0, 16)
	for _, r := range w.runs {
		left := r.Remaining(now-r.startedAt, p.Quantile)
		ends = append(ends, end{now + s.RunTimeFrom(now, left), r.slots})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
	for i, e := range ends {
		if free += e.slots; free < slots {
			continue
		}
		for _, same := range ends[i+1:] { // runs that end at the same time free their slots too
			if same.at <= e.at {
				free += same.slots
			}
		}
		return e.at, free - slots, true
	}
	return 0, 0, false
}

// Reserve reserves slots for a job at a worker, from the shadow time on. It returns false if the bounds or
// the worker's capacity do not allow a reservation. A job that has a reservation already keeps it. The
// reservation moves to another worker only if the job's slots come free there sooner by a tenth of
// ReservationTTL, since each move wastes the slots left idle so far; a moved reservation keeps its age. If
// the worker's capacity does not allow a due move, the job loses its reservation.
func (p *Plan) Reserve(
	now time.Duration, worker, job uint64, slots, capacity float64, shadowTime time.Duration,
) bool {
	createdAt, expiresAt := now, now+p.ReservationTTL
	if old := p.reservations[job]; old != nil {
		if old.Worker == worker || shadowTime+p.ReservationTTL/10 >= old.ShadowTime {
			return true
		}
		createdAt, expiresAt = old.CreatedAt, old.ExpiresAt
		p.Release(now, job, false)
	} else if p.AtLimit() {
		return false
	}
	if slots > capacity {
		return false
	}
	w := p.worker(worker)
	totalReserved := slots
	for _, r := range w.reservations {
		totalReserved += r.Slots
	}
	if totalReserved > capacity {
		p.dropIfEmpty(worker, w)
		return false
	}
	p.countIdle(now, w)
	w.slots = capacity
	r := &Reservation{
		Job: job, Worker: worker, Slots: slots,
		CreatedAt: createdAt, ExpiresAt: expiresAt, ShadowTime: shadowTime,
	}
	w.reservations = append(w.reservations, r)
	if p.reservations[job] = r; createdAt == now {
		p.Created++
	}
	return true
}

// Release ends a job's reservation. Used is set if the job starts, at this or another worker.
func (p *Plan) Release(now time.Duration, job uint64, used bool) {
	r := p.reservations[job]
	if r == nil {
		return
	}
	w := p.workers[r.Worker]
	p.countIdle(now, w)
	w.reservations = slices.DeleteFunc(w.reservations, func(o *Reservation) bool { return o == r })
	delete(p.reservations, job)
	if used {
		p.Fulfilled++
	}
	p.dropIfEmpty(r.Worker, w)
}

// RemoveWorker ends all reservations at a worker that must not be sent further jobs. It returns the jobs that
// had these reservations, which need slots at other workers.
func (p *Plan) RemoveWorker(now time.Duration, worker uint64) (jobs []uint64) {
	if w := p.workers[worker]; w != nil {
		for _, r := range slices.Clone(w.reservations) {
			jobs = append(jobs, r.Job)
			p.Release(now, r.Job, false)
		}
	}
	return jobs
}

// MayBackfill reports whether a job may start at a worker now. It may if it delays no reservation there, by
// the configured quantile of its run time, if it has a reservation there itself, or if reservations have kept
// it waiting for MaxJobDelay. Capacity is the worker's number of slots.
func (p *Plan) MayBackfill(
	now time.Duration, worker, job uint64, slots, capacity float64, r RunTime, s SlowStart,
) bool {
	w := p.workers[worker]
	if w == nil || len(w.reservations) == 0 {
		return true
	}
	if own := p.reservations[job]; own != nil && own.Worker == worker {
		return true
	}
	p.countIdle(now, w)
	w.slots = capacity
	reserved := w.reservedSlots(nil)
	if capacity-w.usedSlots-reserved >= slots { // enough free slots besides the reserved ones
		return true
	}
	at, extra, ok := p.freeAt(now, w, reserved, capacity, s)
	for _, o := range w.reservations {
		o.ShadowTime = at
	}
	if ok && (now+s.RunTimeFrom(now, r.Quantile(p.Quantile)) <= at || extra >= slots) {
		p.Backfilled++
		return true
	}
	return p.delayedLongEnough(now, job)
}

// delayedLongEnough records that reservations keep a job waiting, and reports whether they have done so for
// MaxJobDelay.
func (p *Plan) delayedLongEnough(now time.Duration, job uint64) bool {
	since, before := p.delayedSince[job]
	if !before {
		p.delayedSince[job] = now
		p.Delayed++
		return p.MaxJobDelay == 0
	}
	return now-since >= p.MaxJobDelay
}
