package dispatch

import (
	"math"
	"time"
)

// loadReport is the latest load report of a worker. Slots and memory that own attempts used at the time of
// the report count as free in it: own attempts outstanding now are known exactly and are subtracted by the
// code that uses the report.
type loadReport struct {
	receivedAt time.Duration // 0: there is no report, or it no longer applies
	known      bool          // a report was received since the worker was first listed
	free       float64       // in slots
	freeMemory float64       // below 0: not stated
	meanFree   float64       // running mean of free
}

const (
	// meanFreeStep is the weight of one report in the mean of free slots, which covers some ten reports. A
	// report fades to this mean with age (estimatedWait). With more weight, the mean is no more reliable than
	// the report.
	meanFreeStep = 0.1
	// maxLoadFigure bounds the absolute values in a report; a report with a larger value is ignored.
	maxLoadFigure = 1e6
	// reportedErrorWeight is the weight of a reported share of errors, relative to the share of failed own
	// attempts: part of the errors are the fault of the jobs.
	reportedErrorWeight = 0.5
)

// loadFigures holds the values of one report.
type loadFigures struct {
	freeSlots, freeMemory float64 // below 0: not stated
	errorRate             float64 // errors per second
	active                float64 // running jobs, at least 1; 0: not stated
}

func (d *dispatcher) ProbeAnswered(now time.Duration, id WorkerID, code Code, load []float64, out Actions) {
	d.beginEvent(now, out)
	if w := d.fleet.workers[id]; w != nil && code == OK {
		d.recordLoad(w, load, false)
	}
}

// recordLoad applies a load report. Its free slots are used only if it came with the end of a job: the report
// of a probe or a rejection may be older than the latest sends.
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
	r.free, r.freeMemory, r.receivedAt = f.freeSlots+w.usage.slots, -1, d.now
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

// parseLoad parses a report. A report with the wrong number of values or with an impossible value counts as
// one that states nothing.
func (d *dispatcher) parseLoad(load []float64) loadFigures {
	f := loadFigures{freeSlots: -1, freeMemory: -1}
	if len(load) != len(d.Workers.LoadFields) {
		return f
	}
	for _, v := range load {
		if !(math.Abs(v) < maxLoadFigure) { // also true for NaN
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
