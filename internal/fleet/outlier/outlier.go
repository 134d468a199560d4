// Package outlier is outlier ejection for a whole fleet of dispatchers: each reports which workers failed its jobs, and a
// worker that enough of them, independently, have seen fail is ejected for all, or for one zone, until trials show that
// it is healthy again. The Reporter is a dispatcher's half, the Detector the coordinators'.
//
// Invariants:
//
//   - Evidence is one register for each incarnation of a worker and each reporter, in which a report with a greater
//     sequence number replaces an earlier one. Merging is a join (commutative, associative, idempotent), so the order of
//     reports, and how often each arrives, make no difference.
//   - Evidence halves with each half-life and is forgotten in the end.
//   - One reporter alone, wrong or lying, ejects no worker. Reporters of one zone alone eject it for that zone alone.
//   - At most a stated part of the workers is ejected in any zone, whatever is reported.
//
// The package reads no clock, draws no random numbers and does no input or output. It never takes a worker out of use:
// the decision module of a dispatcher gets the notices and decides. docs/VERDICTS.md describes it for operators.
package outlier

import (
	"cmp"
	"errors"
	"time"
)

// OneJob is the weight of one job in the evidence, which is in thousandths of jobs.
const OneJob = 1000

// AllZones is the zone of an ejection that holds in every zone.
const AllZones = -1

// Bounds of what is kept and taken in, so that no reporter can fill the coordinators' state.
const (
	// maxRecords is how many incarnations of workers are kept. Reports on further ones are not taken in until the
	// evidence on some has faded away.
	maxRecords = 4096
	// maxReports is how many reports are taken from one message, and how many suspects are named in one.
	maxReports = 256
	// maxWorkerID is the longest worker ID, in bytes, on which a report is taken in.
	maxWorkerID = 200
	// maxWeight is the greatest weight of one report: 1000 jobs.
	maxWeight = 1000 * OneJob
	// forgottenAfter is after how many half-lives evidence is forgotten: by then it weighs a thousandth.
	forgottenAfter = 10
)

// ErrDisabled says to operators that no outliers are detected.
var ErrDisabled = errors.New("no verdicts: the policy in force has no [verdicts] enabled")

// Incarnation is one incarnation of a worker: its ID, and when it started.
type Incarnation struct {
	Worker  string
	Started int64 // Unix time in milliseconds; 0: not known, long ago
}

func (i Incarnation) compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(i.Worker, o.Worker), cmp.Compare(i.Started, o.Started))
}

// vanishedAfter is after how many half-lives nothing is left of any weight: 2^40 is over a billion jobs.
const vanishedAfter = 40

// Decay is what is left of a weight at an age: half after each half-life, and linear between two of them, so that it
// needs whole numbers alone and gives the same on every machine.
func Decay(weight int64, age, halfLife time.Duration) int64 {
	if age <= 0 {
		return weight
	}
	halvings := age / halfLife
	if halvings > vanishedAfter {
		return 0
	}
	weight >>= uint(halvings)
	return weight - weight*int64(age%halfLife)/int64(2*halfLife)
}
