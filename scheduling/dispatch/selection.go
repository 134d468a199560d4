package dispatch

import "slices"

// serveQueue makes ACHQ's decisions at an arrival or completion: the request at the head of the queue goes to
// the fastest worker with capacity. It is sent at once if that worker is the fastest of all, else with the
// probability of the worker's soft threshold.
func (d *dispatcher) serveQueue(out Actions) {
	d.closeStep()
	d.serveLargeJobs(out)
	unplaced := 0
	for i := 0; i < len(d.queue) && unplaced < queueLookAhead; {
		r := d.queue[i]
		w, fastest := d.pickWorker(r)
		if w == nil {
			if unplaced++; unrestricted(r) {
				break // no worker has capacity for an unrestricted request, so none has for those behind it
			}
			i++
			continue
		}
		slower := w.rankTime > fastest.rankTime*(1+equalTimeMargin)
		if slower && d.now < r.holdUntil && !d.drawSend(w) {
			break
		}
		if !d.send(r, w, out) {
			unplaced++
			i++
			continue
		}
		d.openStep() // the time to the next decision of this event is a step of length 0
		d.closeStep()
	}
	d.openStep()
}

// unrestricted reports whether r has no property that excludes it from some workers.
func unrestricted(r *request) bool {
	return r.Slots == 1 && len(r.rejectedBy) == 0 && r.class.WorkerKind < 0 &&
		r.mayHaveRun.worker == nil && r.Pools == 0
}

// pickWorker returns the fastest worker with capacity for r and the fastest eligible worker; each is nil if
// there is none.
func (d *dispatcher) pickWorker(r *request) (w, fastest *worker) {
	if p := d.probationWorker(r); p != nil {
		return p, p
	}
	if d.sparse() {
		w = d.drawWorker(r)
		return w, w
	}
	for _, c := range d.fleet.ranked {
		// A cheap test that skips workers without capacity for this dispatcher.
		noCapacity := c.limit.slots < 1 && c.home.share == 0 && d.now-c.report.receivedAt >= d.speeds.meanRun
		if fastest != nil && noCapacity || !d.eligible(c, r) {
			continue
		}
		if fastest == nil {
			fastest = c
		}
		if !d.hasCapacity(c, r) || !d.slowStartAllows(c, r) || !d.mayBackfill(c, r) ||
			w != nil && d.spareSlots(c) >= d.spareSlots(w) {
			continue
		}
		if w = c; !d.large.waiting { // else pick the tightest fit, so that free slots stay together
			break
		}
	}
	return w, fastest
}

// eligible reports whether r may be sent to w, regardless of capacity.
func (d *dispatcher) eligible(w *worker, r *request) bool {
	limit := d.granted.jobsPerWorker
	switch {
	case r.class.WorkerKind >= 0 && r.class.WorkerKind != w.Kind, r.Pools != 0 && r.Pools&w.Pools == 0,
		!d.attemptAllowed(r, w), limit != 0 && w.usage.jobs >= limit,
		r.BestEffort && w.usage.busy()+r.Slots > d.homeSlots(w): // best effort stays within the home share
		return false
	case r.class.Semantics == AtMostOnce && w.errorShare > suspectErrorShare && d.now < r.latestStart:
		return false // its only attempt should not go to a worker with recent errors
	case w.Health == Ejected,
		w.Health == OnProbation && (r.class.Semantics == AtMostOnce || w.usage.jobs > 0):
		return false
	}
	return !slices.Contains(r.rejectedBy, w)
}

// hasCapacity reports whether w has capacity for r. There is capacity beyond the slot limit if a fresh load
// report leaves one more slot free, for another dispatcher that got the same report. This does not apply
// while slots are scarce, since a report may be older than the latest sends.
func (d *dispatcher) hasCapacity(w *worker, r *request) bool {
	if w.report.receivedAt != 0 && d.now-w.report.receivedAt < d.speeds.meanRun && !d.usageKnown() {
		spare := w.report.free - w.usage.slots - r.Slots
		if spare < 0 || w.report.freeMemory >= 0 && w.report.freeMemory-w.usage.memory < r.Memory {
			return false
		} else if spare >= 1 && !d.slotsScarce() {
			return true
		}
	}
	if w.home.share > 0 && d.now >= w.limit.backoffUntil {
		w.limit.slots = max(w.limit.slots, d.homeSlots(w)) // at least the home share after a backoff
	}
	if w.usage.busy() > 0 && w.usage.memory+w.usage.peerMemory+r.Memory > d.fleet.kindSlots(w) {
		return false
	}
	return w.usage.busy()+r.Slots <= w.limit.slots || w.usage.busy() == 0 && w.limit.slots >= 1
}

// usableSlots is the number of slots of w that hasCapacity lets this dispatcher fill.
func (d *dispatcher) usableSlots(w *worker) float64 {
	return max(w.limit.slots, d.homeSlots(w))
}

// spareSlots is the number of usable slots of w that own jobs leave free.
func (d *dispatcher) spareSlots(w *worker) float64 { return d.usableSlots(w) - w.usage.slots }
