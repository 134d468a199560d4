// Package backfill plans each worker's slots over time, so that slots can be reserved for a large job
// while small ones fill the gaps.
//
// The terms are those of the scheduling literature. A reservation keeps a job's slots at one worker
// from the time at which they are expected to come free, its shadow time. A backfill is a smaller job
// that starts ahead of it in a gap: either it ends, by the stated quantile of its run time, before the
// shadow time, or it fits into the extra slots that the reserved job leaves (EASY: Lifka, The ANL/IBM SP
// Scheduling System, 1995). Under Easy one job at a time has a reservation, the most urgent; under
// Conservative each that is due has one (Mu'alem and Feitelson, 2001).
//
// Invariants: what is reserved at a worker and what runs there never exceed its slots together, once the
// reserved job starts; every reservation ends, by ReservationTTL at the latest; the time for which
// reserved slots lie idle stays within IdleBudget, beyond which none is made; and a job that a
// reservation has kept waiting for MaxJobDelay passes.
//
// This package does no I/O and has no clock or randomness: time is what the caller passes in, on a clock
// that does not run back. It never decides whether or where a job is sent; it says what a plan would bear.
// The same calls give the same plan.
package backfill

import (
	"math"
	"slices"
	"time"
)

const (
	// budgetWindow is how far back the idle budget looks: what is older fades. A shorter one lets a
	// single reservation use the budget up.
	budgetWindow = 60 * time.Second
	// warmUpTime is for how long after the first tick slots and run times are guesses.
	warmUpTime = 5 * time.Second
)

// Plan is one dispatcher's plan of all its workers. It is not safe for concurrent use.
type Plan struct {
	Settings
	share        float64 // part of the bounds that is this process's, over 0 to 1
	workers      map[uint64]*workerPlan
	reservations map[uint64]*Reservation  // by job
	delayedSince map[uint64]time.Duration // when a reservation first kept a job waiting
	usedSlots    float64                  // of all runs
	idle         idleMeter
	ticked       bool
	firstTick    time.Duration

	// Counts since the start: reservations made, used by their job, and ended by age; jobs that
	// started ahead of a reservation, and jobs that one has kept waiting.
	Created, Fulfilled, Expired int
	Backfilled, Delayed         int
}

// workerPlan is one worker's side of the plan.
type workerPlan struct {
	runs         []run
	reservations []*Reservation
	usedSlots    float64
	slots        float64 // as last told
	countedUntil time.Duration
}

// run is one job at work, or on its way to a worker.
type run struct {
	job       uint64
	slots     float64
	startedAt time.Duration
	RunTime
}

// idleMeter is the slot time of the last budgetWindow, fading.
type idleMeter struct {
	idle, total float64 // slot-seconds left idle by reservations, and passed at all
	at          time.Duration
}

// advance lets time pass for a fleet of so many slots.
func (m *idleMeter) advance(now time.Duration, slots float64) {
	if dt := now - m.at; dt > 0 && m.at != 0 {
		fade := math.Exp(-dt.Seconds() / budgetWindow.Seconds())
		m.idle *= fade
		m.total = m.total*fade + slots*dt.Seconds()
	}
	m.at = now
}

// New makes an empty plan. The settings must be valid.
func New(s Settings) *Plan {
	return &Plan{
		Settings: s, share: 1, workers: map[uint64]*workerPlan{},
		reservations: map[uint64]*Reservation{}, delayedSince: map[uint64]time.Duration{},
	}
}

// SetShare bounds this process to its part, over 0 to 1, where several make reservations side by side.
func (p *Plan) SetShare(part float64) { p.share = part }

// Start notes that a job was sent, or that it has begun.
func (p *Plan) Start(now time.Duration, worker, job uint64, slots float64, r RunTime) {
	p.Release(now, job, true)
	delete(p.delayedSince, job)
	w := p.worker(worker)
	p.countIdle(now, w)
	for i := range w.runs {
		if w.runs[i].job == job {
			w.runs[i].startedAt, w.runs[i].RunTime = now, r
			return
		}
	}
	w.runs = append(w.runs, run{job, slots, now, r})
	w.usedSlots += slots
	p.usedSlots += slots
}

// End notes that a job is no longer at a worker.
func (p *Plan) End(now time.Duration, worker, job uint64) {
	w := p.workers[worker]
	if w == nil {
		return
	}
	p.countIdle(now, w)
	if i := slices.IndexFunc(w.runs, func(r run) bool { return r.job == job }); i >= 0 {
		w.usedSlots = max(w.usedSlots-w.runs[i].slots, 0)
		p.usedSlots = max(p.usedSlots-w.runs[i].slots, 0)
		w.runs = slices.Delete(w.runs, i, i+1)
	}
	p.dropIfEmpty(worker, w)
}

// Forget notes that a job has ended altogether: what is reserved for it is free.
func (p *Plan) Forget(now time.Duration, job uint64) {
	p.Release(now, job, false)
	delete(p.delayedSince, job)
}

// Tick ends reservations whose time is up and goes on with the idle budget, for a fleet of so many
// slots. It returns the jobs that have lost theirs, in the order of their ids.
func (p *Plan) Tick(now time.Duration, slots float64) (expired []uint64) {
	p.idle.advance(now, slots)
	if !p.ticked {
		p.ticked, p.firstTick = true, now
	}
	for job, r := range p.reservations {
		if now >= r.ExpiresAt {
			expired = append(expired, job)
		}
	}
	slices.Sort(expired)
	for _, job := range expired {
		p.Expired++
		p.Release(now, job, false)
	}
	return expired
}

// UsedSlots is how many slots all runs take.
func (p *Plan) UsedSlots() float64 { return p.usedSlots }

// WarmedUp tells whether the plan has known of the fleet for long enough.
func (p *Plan) WarmedUp(now time.Duration) bool { return p.ticked && now-p.firstTick >= warmUpTime }

// IdleShare is the part of the slot time of the last minute or so that reservations have left idle.
func (p *Plan) IdleShare() float64 { return p.idle.idle / max(p.idle.total, 1) }

func (p *Plan) worker(id uint64) *workerPlan {
	w := p.workers[id]
	if w == nil {
		w = &workerPlan{}
		p.workers[id] = w
	}
	return w
}

func (p *Plan) dropIfEmpty(id uint64, w *workerPlan) {
	if len(w.runs) == 0 && len(w.reservations) == 0 {
		delete(p.workers, id)
	}
}

// countIdle adds up what reservations leave idle at a worker, up to now.
func (p *Plan) countIdle(now time.Duration, w *workerPlan) {
	dt := (now - w.countedUntil).Seconds()
	if dt <= 0 {
		return
	}
	if w.countedUntil = now; len(w.reservations) == 0 {
		return
	}
	free := max(w.slots-w.usedSlots, 0)
	for _, r := range w.reservations {
		idle := min(free, r.Slots)
		free -= idle
		r.IdleSlotSeconds += idle * dt
		p.idle.idle += idle * dt
	}
}
