package dispatch

import (
	"math"
	"time"

	"yardflow/scheduling/backfill"
)

// Reservations for large jobs. Package backfill plans the workers' slots; it is told here of what is
// outstanding, and asked when workers are picked.
const (
	// largeJobMemory is for how long after a large job another one is reckoned with. Without one, small jobs
	// are served as if reservations were off.
	largeJobMemory = 10 * time.Second
	// reservationCandidates is how many of the fastest workers are looked at for a large job; more cost
	// processor time for workers where it would end later.
	reservationCandidates = 8
	// reservationLead is how long before the latest start of a large job slots are reserved for it. Earlier
	// ones alone brought nothing, by measurement; they leave more slots idle.
	reservationLead = 2 * time.Second
	// scarceUsedShare is the part of the fleet's slots in use from which reservations are made.
	scarceUsedShare = 0.6
)

// largeJobs is the state of reservations.
type largeJobs struct {
	plan        *backfill.Plan // nil: nothing is reserved
	share       float64        // part of the plan's bounds that is this process's; 0: all
	due         bool           // a large job is: small ones go where they fit most tightly
	expectUntil time.Duration  // large jobs are reckoned with until then
}

// configureReservations makes the plan, bounds it anew, or ends it, by the settings in force.
func (d *dispatcher) configureReservations() {
	switch {
	case d.Backfill == nil:
		d.large.plan, d.large.due = nil, false
	case d.large.plan == nil:
		d.large.plan = backfill.New(*d.Backfill)
		d.SetReservationShare(d.large.share)
		for _, a := range d.attempts {
			d.planAttempt(a)
		}
	default:
		d.large.plan.Settings = *d.Backfill
	}
}

func (d *dispatcher) SetReservationShare(part float64) {
	if d.large.share = part; d.large.plan != nil && part > 0 {
		d.large.plan.SetShare(part)
	}
}

func (d *dispatcher) Reservations() *ReservationReport {
	p := d.large.plan
	if p == nil {
		return nil
	}
	return &ReservationReport{Reservations: p.Reservations(), IdleShare: p.IdleShare(), Created: p.Created,
		Fulfilled: p.Fulfilled, Expired: p.Expired, Backfilled: p.Backfilled, Delayed: p.Delayed}
}

// isLarge tells whether slots may be reserved for r.
func (d *dispatcher) isLarge(r *request) bool {
	return d.Backfill.IsLarge(r.Slots, d.expectedWork(r)/d.speeds.meanRun.Seconds())
}

// expectLargeJobs notes that large jobs come, where r is one.
func (d *dispatcher) expectLargeJobs(r *request) {
	if d.large.plan != nil && d.isLarge(r) {
		d.large.expectUntil = d.now + largeJobMemory
	}
}

// slotsScarce tells whether reservations may be needed: large jobs come, and most slots are used.
func (d *dispatcher) slotsScarce() bool {
	p := d.large.plan
	return p != nil && !d.sparse() && p.WarmedUp(d.now) && d.now < d.large.expectUntil &&
		p.UsedSlots() >= scarceUsedShare*d.fleet.slots
}

// serveLargeJobs sends large jobs that would else miss their time to wherever there is capacity, and
// reserves slots for them where they would end first.
func (d *dispatcher) serveLargeJobs(out Actions) {
	d.large.due = false
	if !d.slotsScarce() {
		return
	}
	for i := 0; i < len(d.queue); i++ {
		r := d.queue[i]
		if d.now >= r.latestStart || !d.isLarge(r) {
			continue
		}
		d.large.due = true
		w, at := d.earliestEnd(r)
		if w == nil || d.large.plan.ReservationOf(uint64(r.ID)) == nil && at+reservationLead < r.latestStart {
			continue // nowhere, or on time without
		}
		if f, _ := d.pickWorker(r); f != nil && d.send(r, f, out) {
			i--
		} else {
			d.large.plan.Reserve(d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.usableSlots(w), at)
		}
	}
}

// earliestEnd is where r would end first with the slots it needs, and when these are free.
func (d *dispatcher) earliestEnd(r *request) (best *worker, at time.Duration) {
	least := time.Duration(math.MaxInt64)
	for _, w := range d.fleet.ranked[:min(len(d.fleet.ranked), reservationCandidates)] {
		if d.now < w.limit.backoffUntil || !d.eligible(w, r) || !d.slowStartAllows(w, r) {
			continue
		}
		warmUp := d.slowStartOf(w)
		free, _, ok := d.large.plan.ShadowTime(
			d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.usableSlots(w), warmUp)
		if end := free + warmUp.RunTimeFrom(free, d.runTime(r, w).Quantile(0.5)); ok && end < least {
			best, at, least = w, free, end
		}
	}
	return best, at
}

// mayBackfill tells whether r would not delay what is reserved at w.
func (d *dispatcher) mayBackfill(w *worker, r *request) bool {
	return d.large.plan == nil || d.large.plan.MayBackfill(d.now, uint64(w.ID), uint64(r.ID), r.Slots,
		d.usableSlots(w), d.runTime(r, w), d.slowStartOf(w))
}

// planAttempt tells the plan of an attempt, at its send and again at its start.
func (d *dispatcher) planAttempt(a *attempt) {
	if d.large.plan != nil && !a.lost {
		d.large.plan.Start(a.startedOrSentAt(), uint64(a.worker.ID), uint64(a.request.ID), a.request.Slots,
			d.runTime(a.request, a.worker))
	}
}

func (d *dispatcher) unplanAttempt(a *attempt) {
	if d.large.plan != nil {
		d.large.plan.End(d.now, uint64(a.worker.ID), uint64(a.request.ID))
	}
}

// releaseReservation frees what is reserved for a request that has ended.
func (d *dispatcher) releaseReservation(r *request) {
	if d.large.plan != nil {
		d.large.plan.Forget(d.now, uint64(r.ID))
	}
}

func (d *dispatcher) tickReservations() {
	if d.large.plan != nil {
		d.large.plan.Tick(d.now, d.fleet.slots)
	}
}

// runTime is what is known of the run time of r at w once that is warm.
func (d *dispatcher) runTime(r *request, w *worker) backfill.RunTime {
	return backfill.RunTime{LogMean: math.Log(d.expectedRun(r, w)), LogStdDev: math.Sqrt(r.stats.logVariance)}
}

// slowStartOf is how w warms up.
func (d *dispatcher) slowStartOf(w *worker) backfill.SlowStart {
	if w.Launched == 0 {
		return backfill.SlowStart{}
	}
	return backfill.SlowStart{Launched: w.Launched, Share: d.SlowStart.Share, Time: d.SlowStart.Time}
}
