package outlier

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Evaluate ejects the workers against which the evidence is sufficient now, and ends ejections whose evidence has faded
// away.
func (d *Detector) Evaluate(now time.Duration) {
	if d.Settings == nil {
		return
	}
	d.forgetOld(now)
	d.endUnfounded(now)
	reportersIn := map[int]int{} // by zone
	for _, zone := range d.ReporterZones {
		reportersIn[zone]++
	}
	for _, r := range d.Records {
		d.evaluate(now, r, reportersIn)
	}
}

// evaluate weighs the evidence on one worker.
func (d *Detector) evaluate(now time.Duration, r Record, reportersIn map[int]int) {
	o := r.Observations
	t := o.tally(now, d.Settings)
	if t.failing == 0 {
		o.SuspectedSince = 0
		return
	}
	if o.SuspectedSince == 0 {
		o.SuspectedSince = max(now, 1) // 0 would mean that it is no suspect
	}
	// Reporters that know better have had time to say so, or all have said what they know.
	objectionsHeard := func(reported, reporters int) bool {
		return now-o.SuspectedSince >= d.Settings.ObjectionWindow || reported >= reporters && reporters > d.Settings.MinReporters
	}
	independent := len(t.failingZones) > 1 || len(reportersIn) < 2
	if t.failing >= d.Settings.MinReporters && t.failures >= d.Settings.failuresToEject() && t.failing > 2*t.healthy && independent &&
		objectionsHeard(t.failing+t.healthy, len(d.ReporterZones)) {
		d.eject(now, r.Subject, AllZones, t.failing)
		return
	}
	// The reports of one zone count for that zone alone. They are few, so each must have seen it fail more than once.
	for _, zone := range slices.Sorted(maps.Keys(t.failingOften)) {
		failing, healthy := t.failingOften[zone], t.healthyIn[zone]
		if failing >= d.Settings.MinReporters && failing > 2*healthy && objectionsHeard(failing+healthy, reportersIn[zone]) {
			d.eject(now, r.Subject, zone, failing)
		}
	}
}

// tally counts the reporters by their opinion on one worker.
type tally struct {
	failing, healthy int
	failures         int64        // the weight of all failures, of each reporter up to a bound
	failingZones     map[int]bool // that have a reporter of a failing worker
	failingOften     map[int]int  // by zone: reporters that have seen it fail more than once
	healthyIn        map[int]int  // by zone
}

// seenOften is the weight from which on a reporter has seen a worker fail more than once: a job and a quarter.
const seenOften = OneJob * 5 / 4

// tally counts what all reporters say. Successes before the first of the failures tell nothing of now.
func (o *Observations) tally(now time.Duration, s *Settings) tally {
	t := tally{failingZones: map[int]bool{}, failingOften: map[int]int{}, healthyIn: map[int]int{}}
	firstFailure := time.Duration(math.MaxInt64)
	for _, e := range o.ByReporter {
		if o.opinion(e, now, s.HalfLife) == failing {
			firstFailure = min(firstFailure, e.ObservedAt)
		}
	}
	for _, e := range o.ByReporter { // sums alone: the order makes no difference
		switch view := o.opinion(e, now, s.HalfLife); {
		case view == failing:
			t.failing++
			t.failingZones[e.Zone] = true
			weight := Decay(e.Failures, now-e.ObservedAt, s.HalfLife)
			t.failures += min(weight, s.maxFailuresOfOne())
			if weight >= seenOften {
				t.failingOften[e.Zone]++
			}
		case view == healthy && e.ObservedAt >= firstFailure:
			t.healthyIn[e.Zone]++
			t.healthy++
		}
	}
	return t
}
