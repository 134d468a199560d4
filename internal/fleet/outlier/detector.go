package outlier

import (
	"maps"
	"slices"
	"time"
)

// Detector is the coordinators' half: the evidence, and who is ejected by it. It is a part of their replicated state, so
// the same calls give the same state everywhere. Times are on the state's clock.
type Detector struct {
	Settings      *Settings      // nil: no outliers are detected
	Records       []Record       `cbor:"Cases" json:"Cases"` // sorted by subject
	Ejections     []*Ejection    `cbor:"Sentences" json:"Sentences"`
	ReporterZones map[string]int `cbor:"Zones" json:"Zones"`     // by reporter, of those that are active
	WorkerCounts  map[string]int `cbor:"Workers" json:"Workers"` // by reporter: how many workers it knows
	TrialCount    uint64         `cbor:"Trials" json:"Trials"`   // trials handed out so far
	Revision      uint64         `cbor:"No" json:"No"`           // grows with each ejection and reinstatement
}

// NewDetector returns a detector without settings: it detects nothing until Configure.
func NewDetector() *Detector {
	return &Detector{ReporterZones: map[string]int{}, WorkerCounts: map[string]int{}}
}

// InitMaps makes the maps that a snapshot left out because they were empty.
func (d *Detector) InitMaps() {
	if d.ReporterZones == nil {
		d.ReporterZones = map[string]int{}
	}
	if d.WorkerCounts == nil {
		d.WorkerCounts = map[string]int{}
	}
	for _, r := range d.Records {
		if r.Observations.ByReporter == nil {
			r.Observations.ByReporter = map[string]Evidence{}
		}
	}
}

// Configure changes the settings; nil ends all ejections and forgets the evidence.
func (d *Detector) Configure(s *Settings) {
	d.Settings = s
	if s == nil {
		if len(d.Ejections) > 0 {
			d.Revision++
		}
		d.Records, d.Ejections = nil, nil
	}
}

// find is the index of a subject's record, or where it would be.
func (d *Detector) find(subject Incarnation) (int, bool) {
	return slices.BinarySearchFunc(d.Records, subject, func(r Record, s Incarnation) int { return r.Subject.compare(s) })
}

// AddReports takes in what a reporter says, and how many workers it knows. What it says counts as one reporter's,
// whatever it is.
func (d *Detector) AddReports(now time.Duration, reporter string, zone, workers int, reports []Report) {
	if d.Settings == nil {
		return
	}
	d.ReporterZones[reporter], d.WorkerCounts[reporter] = zone, max(workers, 0)
	for _, r := range reports[:min(len(reports), maxReports)] {
		if r.Subject.Worker == "" || len(r.Subject.Worker) > maxWorkerID {
			continue
		}
		observations := d.observationsOf(r.Subject)
		if observations == nil {
			continue
		}
		evidence := Evidence{Zone: zone, Sequence: r.Sequence, Failures: min(max(r.Failures, 0), maxWeight), Successes: min(max(r.Successes, 0), maxWeight),
			ObservedAt: now - min(max(r.Age, 0), forgottenAfter*d.Settings.HalfLife)}
		previous, known := observations.ByReporter[reporter]
		if known {
			evidence = Newer(previous, evidence)
		}
		observations.ByReporter[reporter] = evidence
		if !known || evidence.Sequence != previous.Sequence {
			d.endTrial(now, reporter, r)
		}
	}
}

// observationsOf returns the observations of a subject, new ones where there are none; nil where there is no room for
// them.
func (d *Detector) observationsOf(subject Incarnation) *Observations {
	i, ok := d.find(subject)
	if !ok {
		if len(d.Records) >= maxRecords {
			return nil
		}
		d.Records = slices.Insert(d.Records, i, Record{subject, &Observations{ByReporter: map[string]Evidence{}}})
	}
	return d.Records[i].Observations
}

// RemoveReporter takes a reporter out of the count of those that may object; its evidence fades by itself.
func (d *Detector) RemoveReporter(reporter string) {
	delete(d.ReporterZones, reporter)
	delete(d.WorkerCounts, reporter)
}

// forgetOld forgets evidence that has faded away, and records without any.
func (d *Detector) forgetOld(now time.Duration) {
	oldest := now - forgottenAfter*d.Settings.HalfLife
	d.Records = slices.DeleteFunc(d.Records, func(r Record) bool {
		maps.DeleteFunc(r.Observations.ByReporter, func(_ string, e Evidence) bool { return e.ObservedAt < oldest })
		return len(r.Observations.ByReporter) == 0 && r.Observations.ClearedAt < oldest
	})
}
