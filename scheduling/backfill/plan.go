// Package backfill plans each worker's slots over time, so that slots can be reserved for a large job
// while small jobs fill the gaps.
//
// The terms are those of the scheduling literature. A reservation keeps slots at one worker for a job, from
// the time at which they are expected to come free, the shadow time. A backfill is a smaller job that starts
// in a gap before the reserved job. It either ends, by the configured quantile of its run time, before the
// shadow time, or fits into the extra slots that the reserved job does not need (EASY: Lifka, The ANL/IBM SP
// Scheduling System, 1995). In mode Easy, only one job at a time has a reservation, the most urgent one; in
// mode Conservative, every job that needs a reservation has one (Mu'alem and Feitelson, 2001).
//
// Invariants: once a reserved job starts, the reserved slots and the slots in use at its worker do not exceed
// the worker's slots; every reservation ends within ReservationTTL; no reservation is made while the share of
// slot time that reserved slots were idle exceeds IdleBudget; and a job that reservations have kept waiting
// for MaxJobDelay may start.
//
// The package does no I/O and has no clock or randomness: the caller passes in times, on a clock that does
// not run backwards. The package does not decide whether or where a job is sent; it only reports what the
// plan allows. The same calls give the same plan.
package backfill

import (
	"math"
	"slices"
	"time"
)

const (
	// budgetWindow is the time constant with which older slot time fades from the idle budget. With a shorter
	// window, a single reservation uses up the budget.
	budgetWindow = 60 * time.Second
	// warmUpTime is the time after the first tick during which slot counts and run times are unreliable.
	warmUpTime = 5 * time.Second
)

// Plan is one dispatcher's plan of the slots of all its workers. It is not safe for concurrent use.
type Plan struct {
	Settings
	share        float64 // this process's share of the bounds, above 0 and up to 1
	workers      map[uint64]*workerPlan
	reservations map[uint64]*Reservation  // by job
	delayedSince map[uint64]time.Duration // by job: when a reservation first kept it waiting
	usedSlots    float64                  // by all runs
	idle         idleMeter
	ticked       bool
	firstTick    time.Duration

	// Counts since the plan was made: reservations made, ended because their job started, and ended by
	// ReservationTTL; starts allowed before a reserved job, and jobs that a reservation has kept waiting.
	Created, Fulfilled, Expired int
	Backfilled, Delayed         int
}

// workerPlan is the plan of one worker.
type workerPlan struct {
	runs         []run
	reservations []*Reservation
	usedSlots    float64
	slots        float64       // the worker's slots, as of the last call that stated them
	countedUntil time.Duration // idle time is counted up to this time
}

// run is a job that runs at a worker or was sent to it.
type run struct {
	job       uint64
	slots     float64
	startedAt time.Duration // or sent, until the start is known
	RunTime
}

// idleMeter measures slot time, which fades exponentially with budgetWindow.
type idleMeter struct {
	idle, total float64 // slot-seconds left idle by reservations, and all slot-seconds
	at          time.Duration
}

// advance adds the slot time of the whole fleet since the last call and fades older slot time.
func (m *idleMeter) advance(now time.Duration, slots float64) {
	if dt := now - m.at; dt > 0 && m.at != 0 {
		fade := math.Exp(-dt.Seconds() / budgetWindow.Seconds())
		m.idle *= fade
		m.total = m.total*fade + slots*dt.Seconds()
	}
	m.at = now
}

// New returns an empty plan. The settings must be valid.
func New(s Settings) *Plan {
	return &Plan{
		Settings: s, share: 1, workers: map[uint64]*workerPlan{},
		reservations: map[uint64]*Reservation{}, delayedSince: map[uint64]time.Duration{},
	}
}

// SetShare limits this process to a share of the bounds, above 0 and up to 1, if several processes make
// reservations.
func (p *Plan) SetShare(share float64) { p.share = share }

// Start records that a job was sent to a worker, or that it has started there.
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

// End records that a job is no longer at a worker.
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

// Forget releases the reservation of a job that has ended, and discards the time for which it was delayed.
func (p *Plan) Forget(now time.Duration, job uint64) {
	p.Release(now, job, false)
	delete(p.delayedSince, job)
}

// Tick ends expired reservations and updates the idle budget, for a fleet with the given number of slots. It
// returns the jobs whose reservations have expired, ordered by id.
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

// UsedSlots returns the number of slots that all runs take.
func (p *Plan) UsedSlots() float64 { return p.usedSlots }

// WarmedUp reports whether warmUpTime has passed since the first tick.
func (p *Plan) WarmedUp(now time.Duration) bool { return p.ticked && now-p.firstTick >= warmUpTime }

// IdleShare returns the share of slot time, over about the last minute, that reservations have left idle.
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

// countIdle adds the slot time that reservations at a worker have left idle since the last call.
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
