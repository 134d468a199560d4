package dispatch

import (
	"math"
	"time"
)

// loadReport is the latest report of a worker. Own attempts are added back to what it says is free, since
// what is sent and ends after a report is known better than the report tells.
type loadReport struct {
	at         time.Duration // 0: none that counts
	known      bool          // one was taken in since the worker was first listed
	free       float64       // slots
	freeMemory float64       // below 0: not stated
	meanFree   float64       // running mean of free
}

const (
	// meanFreeStep is what one report moves the mean of free slots by: a memory of some ten reports. With
	// more, the mean is no better known than the latest report that fades into it.
	meanFreeStep = 0.1
	// maxLoadFigure bounds the figures of a report, of either sign; with one beyond it the report is ignored.
	maxLoadFigure = 1e6
	// reportedErrorWeight is what a reported share of errors counts, against 1 for one of own attempts: part
	// of the errors are the jobs' own.
	reportedErrorWeight = 0.5
)

// loadFigures is what one report says.
type loadFigures struct {
	freeSlots, freeMemory float64 // below 0: not stated
	errorRate             float64 // a second
	active                float64 // jobs at work, at least 1; 0: not stated
}

func (d *dispatcher) ProbeAnswered(now time.Duration, id WorkerID, code Code, load []float64, out Actions) {
	d.beginEvent(now, out)
	if w := d.fleet.workers[id]; w != nil && code == OK {
		d.recordLoad(w, load, false)
	}
}

// recordLoad takes in a load report. Free slots count only where a job has ended with the report:
// a probe's, or a rejection's, may be from before what was sent.
func (d *dispatcher) recordLoad(w *worker, load []float64, finished bool) {
	figures := d.parseLoad(load)
	if figures.freeSlots >= 0 && finished {
		d.recordFreeSlots(w, figures)
	}
	run := math.Exp(d.speeds.logMeanRun + d.fleet.kindOf(w).logSlowness + w.speed.logSlowness)
	if rate := figures.active / run; figures.errorRate > 0 && rate > 0 {
		w.errorShare = max(w.errorShare, reportedErrorWeight*figures.errorRate/(figures.errorRate+rate))
	}
}

func (d *dispatcher) recordFreeSlots(w *worker, f loadFigures) {
	r := &w.report
	r.free, r.freeMemory, r.at = f.freeSlots+w.usage.slots, -1, d.now
	if !r.known {
		r.meanFree, r.known = r.free, true
	}
	r.meanFree += meanFreeStep * (r.free - r.meanFree)
	if f.freeMemory >= 0 {
		r.freeMemory = f.freeMemory + w.usage.memory
	}
	if k := &d.fleet.kindOf(w).slots; f.freeSlots >= certainObservationFactor*k.seen && d.usageKnown() {
		k.seen = math.Round(f.freeSlots)
	}
	d.observeSlots(w, math.Round(f.freeSlots))
}

// parseLoad reads a report. One with a value too many or too few, or with a figure that cannot be,
// states nothing.
func (d *dispatcher) parseLoad(load []float64) loadFigures {
	f := loadFigures{freeSlots: -1, freeMemory: -1}
	if len(load) != len(d.Workers.LoadFields) {
		return f
	}
	for _, v := range load {
		if !(math.Abs(v) < maxLoadFigure) { // also what is not a number
			return f
		}
	}
	for i, field := range d.Workers.LoadFields {
		switch field {
		case LoadFreeSlots:
			f.freeSlots = load[i]
		case LoadFreeMemory:
			f.freeMemory = load[i]
		case LoadErrorRate:
			f.errorRate = load[i]
		case LoadActive:
			f.active = max(load[i], 1)
		}
	}
	return f
}
