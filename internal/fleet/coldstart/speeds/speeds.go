// Package speeds is what a fleet has learned together of how fast jobs run, for a dispatcher that starts with nothing: how
// long jobs run, how much work each class brings, and how fast and wide each kind of worker is. Single workers are left
// out, since what is known of one is its queue of the moment.
//
// Estimates are means, weighed by the number of jobs behind them (the evidence), of logarithms: run times vary by factors,
// and a mean of logarithms does not follow single long jobs.
//
// The package reads no clock and does no input or output. It never takes in a figure that can't be one.
package speeds

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
)

// Estimates are what is known, as the decision module has it in its memory.
type Estimates struct {
	Version        int                      `cbor:"1,keyasint,omitempty"` // of the module's memory; others are not merged
	MeanLogRunTime float64                  `cbor:"2,keyasint,omitempty"` // ln of seconds, of all jobs
	JobCount       float64                  `cbor:"3,keyasint,omitempty"` // the evidence for it
	Kinds          []Kind                   `cbor:"4,keyasint,omitempty"` // of workers, in the order of the settings
	Classes        map[string]ClassEstimate `cbor:"5,keyasint,omitempty"` // of jobs, by name
}

// Kind is one kind of worker.
type Kind struct {
	LogSlowdown float64 `cbor:"1,keyasint,omitempty" json:"Slow"` // ln of how many times MeanLogRunTime's a job runs here
	JobCount    float64 `cbor:"2,keyasint,omitempty" json:"Seen"` // the evidence for it
	Slots       float64 `cbor:"3,keyasint,omitempty"`             // the most jobs that were seen to run at once
}

// ClassEstimate is the work of one class of jobs, as ln of slot-seconds, and the number of jobs behind it. It is a pair,
// since it is stored as one.
type ClassEstimate [2]float64

func (c ClassEstimate) logWork() float64  { return c[0] }
func (c ClassEstimate) jobCount() float64 { return c[1] }

// Bounds of what is taken in, so that no dispatcher fills the coordinators' state.
const (
	maxKinds   = 64
	maxClasses = 256
	maxSlots   = 1e5  // of one worker
	maxLog     = 20   // e^20 seconds are 15 years
	maxFigure  = 1e9  // of any figure
	maxWeight  = 1000 // jobs: the most that what is known weighs against news, since the machines of a kind may change
)

// slotsDecay is what is left of a kind's slots with each merge, so that a width that was seen by chance fades.
const slotsDecay = 0.99

// HasData reports whether anything is known.
func (e *Estimates) HasData() bool { return e.JobCount > 0 }

// Decode reads what one dispatcher's module has learned; nil where it can't be read, or has learned nothing.
func Decode(moduleMemory []byte) *Estimates {
	var m struct {
		Version int
		MeanRun float64
		Kinds   []Kind
		Classes map[string]ClassEstimate
	}
	if json.Unmarshal(moduleMemory, &m) != nil {
		return nil
	}
	e := &Estimates{Version: m.Version, MeanLogRunTime: m.MeanRun, Kinds: m.Kinds, Classes: m.Classes}
	for _, name := range slices.Sorted(maps.Keys(m.Classes)) { // in one order, so that the sum has the same last bits
		e.JobCount += m.Classes[name].jobCount()
	}
	if !e.valid() || e.JobCount == 0 {
		return nil
	}
	return e
}

// Encode returns the memory of a module, for one that has learned nothing yet. It says that it holds estimates alone.
func (e *Estimates) Encode() []byte {
	memory, err := json.Marshal(struct {
		Classes map[string]ClassEstimate
		Kinds   []Kind
		MeanRun float64
		Speeds  bool
		Version int
	}{e.Classes, e.Kinds, e.MeanLogRunTime, true, e.Version})
	if err != nil {
		return nil
	}
	return memory
}

// valid reports whether all figures can be what they stand for.
func (e *Estimates) valid() bool {
	figures := []float64{e.MeanLogRunTime}
	for _, k := range e.Kinds {
		figures = append(figures, k.LogSlowdown, k.JobCount, k.Slots)
		if k.JobCount < 0 || k.Slots < 0 || k.Slots > maxSlots {
			return false
		}
	}
	for _, c := range e.Classes {
		figures = append(figures, c.logWork(), c.jobCount())
		if math.Abs(c.logWork()) > maxLog || c.jobCount() < 0 {
			return false
		}
	}
	impossible := func(v float64) bool { return math.IsNaN(v) || math.Abs(v) > maxFigure }
	return len(e.Kinds) <= maxKinds && len(e.Classes) <= maxClasses && math.Abs(e.MeanLogRunTime) < maxLog && !slices.ContainsFunc(figures, impossible)
}

// Merge takes in what one dispatcher has learned since it last reported. Estimates that can't be, or are of another
// version, are left out.
func (e *Estimates) Merge(learned *Estimates) {
	if !learned.valid() || learned.JobCount <= 0 || e.HasData() && e.Version != learned.Version {
		return
	}
	e.Version = learned.Version
	if e.Classes == nil {
		e.Classes = map[string]ClassEstimate{}
	}
	e.MeanLogRunTime = mergeMeans(e.MeanLogRunTime, e.JobCount, learned.MeanLogRunTime, learned.JobCount)
	e.JobCount = min(e.JobCount+learned.JobCount, maxWeight)
	for i, k := range learned.Kinds {
		if i == len(e.Kinds) {
			e.Kinds = append(e.Kinds, k)
			continue
		}
		known := &e.Kinds[i]
		known.LogSlowdown = mergeMeans(known.LogSlowdown, known.JobCount, k.LogSlowdown, k.JobCount)
		known.Slots = max(known.Slots*slotsDecay, k.Slots)
		known.JobCount = min(known.JobCount+k.JobCount, maxWeight)
	}
	for _, name := range slices.Sorted(maps.Keys(learned.Classes)) {
		if len(e.Classes) >= maxClasses {
			break
		}
		news, known := learned.Classes[name], e.Classes[name]
		e.Classes[name] = ClassEstimate{
			mergeMeans(known.logWork(), known.jobCount(), news.logWork(), news.jobCount()),
			min(known.jobCount()+news.jobCount(), maxWeight),
		}
	}
}

// mergeMeans is the mean of what is known by so many jobs, which weigh maxWeight at most, and news of others.
func mergeMeans(known, knownJobs, news, newJobs float64) float64 {
	knownJobs = min(knownJobs, maxWeight)
	if knownJobs+newJobs == 0 {
		return known
	}
	return (known*knownJobs + news*newJobs) / (knownJobs + newJobs)
}
