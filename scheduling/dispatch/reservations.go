package dispatch

import (
	"math"
	"time"

	"yardflow/scheduling/backfill"
)

// Reservations for large jobs. Package backfill plans the workers' slots. The dispatcher reports outstanding
// attempts to the plan and consults it when it picks a worker.
const (
	// largeJobExpectation is the time after a large job for which another one is expected. When no large job
	// is expected, small jobs are served as if reservations were off.
	largeJobExpectation = 10 * time.Second
	// reservationCandidates is the number of fastest workers that are considered for a large job. Considering
	// more takes processor time for workers where the job would end later.
	reservationCandidates = 8
	// reservationLead is the time before the latest start of a large job at which slots are reserved for it.
	// Earlier reservations gave no benefit and left more slots idle.
	reservationLead = 2 * time.Second
	// scarceUsedShare is the share of the fleet's slots in use from which slots count as scarce and
	// reservations are made.
	scarceUsedShare = 0.6
)

// largeJobs is the dispatcher's state of reservations for large jobs.
type largeJobs struct {
	plan        *backfill.Plan // nil: nothing is reserved
	share       float64        // this process's share of the plan's bounds; 0: all of them
	waiting     bool           // a large job waits, so others go to the worker with the tightest fit
	expectUntil time.Duration  // another large job is expected until then
}

// configureReservations creates the plan, updates its settings or removes it, by the current settings.
func (d *dispatcher) configureReservations() {
	switch {
	case d.Backfill == nil:
		d.large.plan, d.large.waiting = nil, false
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

// isLarge reports whether r is a large job, for which slots may be reserved.
func (d *dispatcher) isLarge(r *request) bool {
	return d.Backfill.IsLarge(r.Slots, d.expectedWork(r)/d.speeds.meanRun.Seconds())
}

// expectLargeJobs extends the time for which large jobs are expected, if r is one.
func (d *dispatcher) expectLargeJobs(r *request) {
	if d.large.plan != nil && d.isLarge(r) {
		d.large.expectUntil = d.now + largeJobExpectation
	}
}

// slotsScarce reports whether reservations may be needed: large jobs are expected, and most slots are in use.
func (d *dispatcher) slotsScarce() bool {
	p := d.large.plan
	return p != nil && !d.sparse() && p.WarmedUp(d.now) && d.now < d.large.expectUntil &&
		p.UsedSlots() >= scarceUsedShare*d.fleet.slots
}

// serveLargeJobs sends each queued large job that would otherwise start too late to a worker with free
// capacity. If there is none, it reserves slots at the worker where the job would end first.
func (d *dispatcher) serveLargeJobs(out Actions) {
	d.large.waiting = false
	if !d.slotsScarce() {
		return
	}
	for i := 0; i < len(d.queue); i++ {
		r := d.queue[i]
		if d.now >= r.latestStart || !d.isLarge(r) {
			continue
		}
		d.large.waiting = true
		w, at := d.bestReservation(r)
		if w == nil || d.large.plan.ReservationOf(uint64(r.ID)) == nil && at+reservationLead < r.latestStart {
			continue // no worker, or on time without a reservation
		}
		if f, _ := d.pickWorker(r); f != nil && d.send(r, f, out) {
			i--
		} else {
			d.large.plan.Reserve(d.now, uint64(w.ID), uint64(r.ID), r.Slots, d.usableSlots(w), at)
		}
	}
}

// bestReservation returns the worker where r would end first, given the slots that it needs, and the time at
// which these slots come free. The worker is nil if none can run r.
func (d *dispatcher) bestReservation(r *request) (best *worker, at time.Duration) {
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

// mayBackfill reports whether the plan allows r to start at w; see [backfill.Plan.MayBackfill].
func (d *dispatcher) mayBackfill(w *worker, r *request) bool {
	return d.large.plan == nil || d.large.plan.MayBackfill(d.now, uint64(w.ID), uint64(r.ID), r.Slots,
		d.usableSlots(w), d.runTime(r, w), d.slowStartOf(w))
}

// planAttempt adds an attempt to the plan when it is sent, and updates it when it starts.
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

// releaseReservation releases the slots reserved for a request that has ended.
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

// runTime returns the estimated distribution of the run time of r at w when w is warm.
func (d *dispatcher) runTime(r *request, w *worker) backfill.RunTime {
	return backfill.RunTime{LogMean: math.Log(d.expectedRun(r, w)), LogStdDev: math.Sqrt(r.stats.logVariance)}
}

// slowStartOf returns the warm-up of w in the form of package backfill.
func (d *dispatcher) slowStartOf(w *worker) backfill.SlowStart {
	if w.Launched == 0 {
		return backfill.SlowStart{}
	}
	return backfill.SlowStart{Launched: w.Launched, Share: d.SlowStart.Share, Time: d.SlowStart.Time}
}
