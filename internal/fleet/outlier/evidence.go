package outlier

import (
	"cmp"
	"time"
)

// Report is what one reporter says of one incarnation of a worker.
type Report struct {
	Subject   Incarnation   `cbor:"Of"`
	Sequence  uint64        `cbor:"Stamp"` // grows with each report of this reporter
	Failures  int64         `cbor:"Bad"`   // decayed weight of the jobs that failed since one succeeded
	Successes int64         `cbor:"Good"`  // decayed weight of the jobs that succeeded since one failed
	Age       time.Duration // of the latest of these jobs
	Trial     uint64        // the trial whose outcome it is, and nothing else; 0: it is of no trial
}

// Evidence is a report as the detector keeps it.
type Evidence struct {
	Zone       int           // of the reporter
	Sequence   uint64        `cbor:"Stamp" json:"Stamp"`
	Failures   int64         `cbor:"Bad" json:"Bad"`   // as of ObservedAt
	Successes  int64         `cbor:"Good" json:"Good"` // as of ObservedAt
	ObservedAt time.Duration `cbor:"At" json:"At"`     // the latest of the jobs, on the detector's clock
}

// Newer merges two reports of one reporter: the greater sequence number counts, and of equal ones the worse report.
func Newer(a, b Evidence) Evidence {
	order := cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Failures, b.Failures), cmp.Compare(b.Successes, a.Successes),
		cmp.Compare(a.ObservedAt, b.ObservedAt), cmp.Compare(a.Zone, b.Zone))
	if order < 0 {
		return b
	}
	return a
}

// opinion is what a reporter holds of a worker.
type opinion int

const (
	undecided opinion = iota
	healthy
	failing
)

// minWeight is the weight from which on evidence makes an opinion: half a job.
const minWeight = OneJob / 2

// opinion is what the reporter holds of the worker now.
func (e Evidence) opinion(now, halfLife time.Duration) opinion {
	failures, successes := Decay(e.Failures, now-e.ObservedAt, halfLife), Decay(e.Successes, now-e.ObservedAt, halfLife)
	switch {
	case failures >= minWeight && failures > successes:
		return failing
	case successes >= minWeight && successes >= failures:
		return healthy
	}
	return undecided
}

// Observations are the evidence of all reporters on one incarnation of a worker.
type Observations struct {
	ByReporter     map[string]Evidence `cbor:"By" json:"By"`
	SuspectedSince time.Duration       `cbor:"Since" json:"Since"`       // the first report against it was taken in; 0: it is no suspect
	ClearedAt      time.Duration       `cbor:"Pardoned" json:"Pardoned"` // its latest reinstatement: evidence up to then does not count
}

// Merge takes in the evidence of others.
func (o *Observations) Merge(others *Observations) {
	for reporter, evidence := range others.ByReporter {
		o.ByReporter[reporter] = Newer(o.ByReporter[reporter], evidence)
	}
	o.ClearedAt = max(o.ClearedAt, others.ClearedAt)
}

// opinion is what a piece of the evidence says of the worker now.
func (o *Observations) opinion(e Evidence, now, halfLife time.Duration) opinion {
	if e.ObservedAt <= o.ClearedAt {
		return undecided
	}
	return e.opinion(now, halfLife)
}

// Record is what is known of one incarnation of a worker.
type Record struct {
	Subject      Incarnation   `cbor:"Of" json:"Of"`
	Observations *Observations `cbor:"Case" json:"Case"`
}
