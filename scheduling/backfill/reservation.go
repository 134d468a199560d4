package backfill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reservation is slots kept for one job at one worker.
type Reservation struct {
	Job, Worker          uint64
	Slots                float64
	CreatedAt, ExpiresAt time.Duration // it ends by itself at ExpiresAt
	ShadowTime           time.Duration // when its slots were expected to be free, as of the last look
	IdleSlotSeconds      float64       // that it has left idle
}

// ReservationOf is a job's reservation; nil: it has none.
func (p *Plan) ReservationOf(job uint64) *Reservation { return p.reservations[job] }

// Reservations are all there are, by the time at which they were made.
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

// AtLimit tells whether no further reservation may be made now.
func (p *Plan) AtLimit() bool {
	most := float64(p.MaxReservations)
	if p.Mode == Easy {
		most = 1
	}
	return float64(len(p.reservations)) >= math.Ceil(most*p.share) ||
		p.idle.idle > p.IdleBudget*p.share*max(p.idle.total, 1)
}

// ShadowTime is when a worker of so many slots (capacity) is expected to have as many free as a job
// needs, by the quantile of what its runs have left, and how many there are beyond them then. It is not ok
// where the worker has not as many. What is reserved for the job itself does not stand in its way.
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

// reservedSlots adds up what is reserved at a worker, but for one reservation; nil: all.
func (w *workerPlan) reservedSlots(but *Reservation) float64 {
	reserved := 0.0
	for _, r := range w.reservations {
		if r != but {
			reserved += r.Slots
		}
	}
	return reserved
}

// freeAt is when so many slots of a worker's capacity are expected to be free, and how many are free
// beyond them then.
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
		for _, same := range ends[i+1:] { // what ends with it is free as well
			if same.at <= e.at {
				free += same.slots
			}
		}
		return e.at, free - slots, true
	}
	return 0, 0, false
}

// Reserve keeps a job's slots at a worker, from the shadow time on. It is false where the bounds do not
// allow it. A job that has a reservation keeps it, and its age with it; it moves where its slots come free
// sooner by a tenth of a reservation's life, since each move leaves idle what was kept so far.
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
	promised := slots
	for _, r := range w.reservations {
		promised += r.Slots
	}
	if promised > capacity {
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

// Release ends a job's reservation: it was used, or is of no use any more.
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

// RemoveWorker ends all reservations at a worker that may get nothing new, and returns whose they were:
// slots are to be reserved for them elsewhere.
func (p *Plan) RemoveWorker(now time.Duration, worker uint64) (jobs []uint64) {
	if w := p.workers[worker]; w != nil {
		for _, r := range slices.Clone(w.reservations) {
			jobs = append(jobs, r.Job)
			p.Release(now, r.Job, false)
		}
	}
	return jobs
}

// MayBackfill tells whether a job may start at a worker of so many slots (capacity) now without delaying
// a reservation there, by the quantile of its run time. One that has a reservation there itself, or has
// waited for MaxJobDelay because of them, may.
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
	if capacity-w.usedSlots-reserved >= slots { // slots beyond what is reserved are anybody's
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

// delayedLongEnough notes that reservations keep a job waiting, and tells whether they have for
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
