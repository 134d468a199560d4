package dispatch

import "slices"

// serveQueue takes ACHQ's decisions at an arrival or completion: the head of the queue goes to the
// fastest worker with capacity, at once if that is the fastest overall, else with the probability of
// its soft threshold.
func (d *dispatcher) serveQueue(out Actions) {
	d.closeStep()
	d.serveLargeJobs(out)
	unplaced := 0
	for i := 0; i < len(d.queue) && unplaced < queueLookAhead; {
		r := d.queue[i]
		w, fastest := d.pickWorker(r)
		if w == nil {
			if unplaced++; unrestricted(r) {
				break // what fits nowhere for it fits nowhere for those behind
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
		d.openStep() // the next decision of this event is a step of no length
		d.closeStep()
	}
	d.openStep()
}

// unrestricted tells whether nothing about a request itself keeps it from any worker.
func unrestricted(r *request) bool {
	return r.Slots == 1 && len(r.rejectedBy) == 0 && r.class.WorkerKind < 0 &&
		r.mayHaveRun.worker == nil && r.Pools == 0
}

// pickWorker returns the fastest worker with capacity for r, and the fastest that could run it at all;
// nil where there is none.
func (d *dispatcher) pickWorker(r *request) (w, fastest *worker) {
	if p := d.probationWorker(r); p != nil {
		return p, p
	}
	if d.sparse() {
		w = d.drawWorker(r)
		return w, w
	}
	for _, c := range d.fleet.ranked {
		// Seen at a glance: it has no capacity for this dispatcher.
		never := c.limit.slots < 1 && c.home.share == 0 && d.now-c.report.at >= d.speeds.meanRun
		if fastest != nil && never || !d.eligible(c, r) {
			continue
		}
		if fastest == nil {
			fastest = c
		}
		if !d.hasCapacity(c, r) || !d.slowStartAllows(c, r) || !d.mayBackfill(c, r) ||
			w != nil && d.spareSlots(c) >= d.spareSlots(w) {
			continue
		}
		if w = c; !d.large.waiting { // else the tightest fit, so that slots stay free together
			break
		}
	}
	return w, fastest
}

// eligible tells whether w may be given r at all, capacity aside.
func (d *dispatcher) eligible(w *worker, r *request) bool {
	limit := d.granted.jobsPerWorker
	switch {
	case r.class.WorkerKind >= 0 && r.class.WorkerKind != w.Kind, r.Pools != 0 && r.Pools&w.Pools == 0,
		!d.attemptAllowed(r, w), limit != 0 && w.usage.jobs >= limit,
		r.BestEffort && w.usage.busy()+r.Slots > d.homeSlots(w): // capacity that is surely its own
		return false
	case r.class.Semantics == AtMostOnce && w.errorShare > suspectErrorShare && d.now < r.latestStart:
		return false // it has one attempt: not where errors were seen
	case w.Health == Ejected,
		w.Health == OnProbation && (r.class.Semantics == AtMostOnce || w.usage.jobs > 0):
		return false
	}
	return !slices.Contains(r.rejectedBy, w)
}

// hasCapacity tells whether w has capacity for r. Beyond the slot limit there is capacity where a
// fresh report leaves a slot to spare for other dispatchers that saw it too; not where slots are
// scarce, since a report may be older than what was sent.
func (d *dispatcher) hasCapacity(w *worker, r *request) bool {
	if w.report.at != 0 && d.now-w.report.at < d.speeds.meanRun && !d.usageKnown() {
		spare := w.report.free - w.usage.slots - r.Slots
		if spare < 0 || w.report.freeMemory >= 0 && w.report.freeMemory-w.usage.memory < r.Memory {
			return false
		} else if spare >= 1 && !d.slotsScarce() {
			return true
		}
	}
	if w.home.share > 0 && d.now >= w.limit.backoffUntil {
		w.limit.slots = max(w.limit.slots, d.homeSlots(w)) // back to the own share after a backoff
	}
	if w.usage.busy() > 0 && w.usage.memory+w.usage.peerMemory+r.Memory > d.fleet.kindSlots(w) {
		return false
	}
	return w.usage.busy()+r.Slots <= w.limit.slots || w.usage.busy() == 0 && w.limit.slots >= 1
}

// usableSlots is how many slots of w are this dispatcher's to fill, as hasCapacity has it.
func (d *dispatcher) usableSlots(w *worker) float64 {
	return max(w.limit.slots, d.homeSlots(w))
}

// spareSlots is how many of those its own jobs leave free.
func (d *dispatcher) spareSlots(w *worker) float64 { return d.usableSlots(w) - w.usage.slots }
