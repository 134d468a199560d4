package placement

import (
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// A run that goes wrong may be the fault of its worker or of its job. What tells them apart is how the job's step does at
// other workers: a step that fails wherever it runs speaks against the job, a worker that fails steps which do well elsewhere
// speaks against the worker. As long as a step has run nowhere else nothing is known, and its job is one witness, however many
// of its runs fail: other workers are preferred then, but the worker is not in backoff. Two such jobs put it into backoff.

const (
	// maxRecordedWorkers bounds the workers that a step record names of each kind.
	maxRecordedWorkers = 8
	// maxStepRecords is the number of step records beyond which outdated ones are dropped, and then all.
	maxStepRecords = 4096
	// backoffWitnesses is the number of jobs whose unconfirmed blame puts a worker into backoff.
	backoffWitnesses = 2
	// maxWithdrawnRuns bounds the runs of a job that count against a worker again once the job's step does well elsewhere.
	maxWithdrawnRuns = 5
	// evidenceLifetime is how long the outcomes of a step, and unconfirmed blame, count after the newest outcome.
	evidenceLifetime = 30 * time.Second
	// failsEverywhereWorkers is the number of workers at which a step must have failed, and at none done well, to count as
	// one that fails everywhere though further workers are eligible: two may be sick at a time.
	failsEverywhereWorkers = 3
)

// RunRef names the step of a run. All repetitions of a step count as one.
type RunRef struct {
	Job  string
	Step int
}

// RunFault describes a run that went wrong.
type RunFault struct {
	RunRef
	// Weight, from 0 to 1, is how strongly the run counts against its worker.
	Weight float64
	// Step is the definition of the step, or nil if it is not known.
	Step *job.Step
}

// stepRecord holds the workers at which runs of a step have ended. A worker is in one of the lists, by its newest outcome.
type stepRecord struct {
	failedAt, doneAt []string
	updatedAt        time.Duration
}

// record moves a worker to the list of its newest outcome.
func (r *stepRecord) record(now time.Duration, worker string, done bool) {
	r.updatedAt = now
	into, other := &r.failedAt, &r.doneAt
	if done {
		into, other = other, into
	}
	*other = slices.DeleteFunc(*other, func(id string) bool { return id == worker })
	if !slices.Contains(*into, worker) && len(*into) < maxRecordedWorkers {
		*into = append(*into, worker)
	}
}

// countOthers returns the number of workers in the list but for one.
func countOthers(workers []string, worker string) int {
	if slices.Contains(workers, worker) {
		return len(workers) - 1
	}
	return len(workers)
}

// neverDone reports whether runs of the step have failed, and none has done well.
func (r *stepRecord) neverDone() bool { return len(r.failedAt) > 0 && len(r.doneAt) == 0 }

// evidence holds the records of the steps whose runs have ended lately.
type evidence struct {
	records map[RunRef]*stepRecord
	// neverDone are the steps of which runs have failed, and none has done well.
	neverDone map[RunRef]bool
}

func newEvidence() evidence {
	return evidence{records: map[RunRef]*stepRecord{}, neverDone: map[RunRef]bool{}}
}

// record adds an outcome of a step and returns the step's record.
func (e *evidence) record(now time.Duration, ref RunRef, worker string, done bool) *stepRecord {
	known := e.records[ref]
	if known == nil {
		e.makeRoom(now)
		known = &stepRecord{}
		e.records[ref] = known
	}
	known.record(now, worker, done)
	if known.neverDone() {
		e.neverDone[ref] = true
	} else {
		delete(e.neverDone, ref)
	}
	return known
}

// makeRoom drops outdated records, or all, if there are too many.
func (e *evidence) makeRoom(now time.Duration) {
	if len(e.records) < maxStepRecords {
		return
	}
	for ref, known := range e.records {
		if now-known.updatedAt > evidenceLifetime {
			e.forget(ref)
		}
	}
	if len(e.records) >= maxStepRecords {
		*e = newEvidence()
	}
}

func (e *evidence) forget(ref RunRef) {
	delete(e.records, ref)
	delete(e.neverDone, ref)
}

// forgetJob drops the records of a job that has ended.
func (e *evidence) forgetJob(id string, steps int) {
	for step := range steps {
		e.forget(RunRef{id, step})
	}
}

// failsEverywhere reports whether the unit's step has done well nowhere, and has failed at several workers or at all that are
// eligible.
func (s *Scheduler) failsEverywhere(unit *Unit) bool {
	ref := RunRef{unit.Job.ID, unit.StepKey.Step}
	if !s.evidence.neverDone[ref] {
		return false
	}
	return len(s.evidence.records[ref].failedAt) >= s.workersToFailEverywhere(unit.Step())
}

// workersToFailEverywhere returns at how many workers a step must have failed, and at none done well, to count as one that
// fails everywhere. Step is nil if its definition is not known.
func (s *Scheduler) workersToFailEverywhere(step *job.Step) int {
	if step == nil {
		return failsEverywhereWorkers
	}
	return min(failsEverywhereWorkers, s.countEligible(step))
}

func (s *Scheduler) countEligible(step *job.Step) int {
	count := 0
	for _, worker := range s.workerList {
		if eligible(worker, step) {
			count++
		}
	}
	return count
}

// RecordRunDone records that a run ended done. It confirms what failed runs of the step at other workers said against those.
// SeveralTasks is set if the step has further tasks, for which this run is evidence.
func (s *Scheduler) RecordRunDone(now time.Duration, id string, ref RunRef, severalTasks bool) {
	if !severalTasks && s.evidence.records[ref] == nil {
		return
	}
	if record := s.evidence.record(now, ref, id, true); len(record.failedAt) == 0 {
		return
	}
	for _, worker := range s.workerList {
		if worker.id != id {
			worker.confirmBlame(now, ref)
		}
	}
}

// RecordRunFault records that a run went wrong at a worker. It counts against the worker unless the job is more likely at
// fault.
func (s *Scheduler) RecordRunFault(now time.Duration, id string, fault RunFault) {
	record := s.evidence.record(now, fault.RunRef, id, false)
	worker := s.workers[id]
	if worker == nil {
		return
	}
	done := countOthers(record.doneAt, id)
	switch {
	case done > 0:
		worker.recordFault(now, fault.Weight*float64(done)/float64(done+s.soundWorkersFailedAt(now, record, fault.Job, id)))
	case s.speaksAgainstJob(now, record, &fault, id):
		s.withdrawBlame(now, fault.RunRef)
		worker.holdBack(now, fault)
	default:
		worker.blameUnconfirmed(now, fault)
	}
}

// speaksAgainstJob reports whether a step that failed at the worker, and has done well nowhere, has failed at so many others
// that its job is at fault: at failsEverywhereWorkers that no other job speaks against, or at half of all that are eligible.
func (s *Scheduler) speaksAgainstJob(now time.Duration, record *stepRecord, fault *RunFault, id string) bool {
	others := countOthers(record.failedAt, id)
	if others == 0 {
		return false
	}
	if 1+s.soundWorkersFailedAt(now, record, fault.Job, id) >= failsEverywhereWorkers {
		return true
	}
	return fault.Step != nil && 2*(1+others) >= s.countEligible(fault.Step)
}

// soundWorkersFailedAt returns at how many other workers the step has failed that no other job speaks against.
func (s *Scheduler) soundWorkersFailedAt(now time.Duration, record *stepRecord, jobID, id string) int {
	count := 0
	for _, other := range record.failedAt {
		if worker := s.workers[other]; other != id && worker != nil && !worker.isSuspectedByOthers(now, jobID) {
			count++
		}
	}
	return count
}

// withdrawBlame takes back what runs of a step said against workers, since it fails elsewhere too.
func (s *Scheduler) withdrawBlame(now time.Duration, ref RunRef) {
	for _, worker := range s.workerList {
		worker.withdrawBlame(now, ref)
	}
}

// blame is what the failed runs of one job say against a worker while the job's step has run nowhere else, or failed there
// too.
type blame struct {
	RunRef
	weight    float64
	runs      int
	added     float64 // to the worker's fault rate
	at        time.Duration
	withdrawn bool // the step has failed elsewhere too
}

// blameUnconfirmed counts a fault against the worker that may be the job's. Once several jobs are witnesses, it counts like
// any other.
func (w *workerState) blameUnconfirmed(now time.Duration, fault RunFault) {
	known := w.blameOf(now, fault)
	known.runs++
	if known.withdrawn {
		return
	}
	before := w.faults.rate(now)
	w.avoid(now, fault.Weight)
	known.added += w.faults.lastRate - before
	if w.witnesses() >= backoffWitnesses {
		w.backoffUntil = max(w.backoffUntil, w.avoidUntil)
	}
}

// witnesses returns the number of jobs with unconfirmed blame that is not withdrawn.
func (w *workerState) witnesses() int {
	count := 0
	for i := range w.unconfirmed {
		if !w.unconfirmed[i].withdrawn {
			count++
		}
	}
	return count
}

// isSuspectedByOthers reports whether the worker is in backoff, or another job than this one speaks against it.
func (w *workerState) isSuspectedByOthers(now time.Duration, jobID string) bool {
	if now < w.backoffUntil {
		return true
	}
	return slices.ContainsFunc(w.unconfirmed, func(b blame) bool { return b.Job != jobID && !b.withdrawn })
}

// holdBack records a fault that does not count unless the step does well elsewhere.
func (w *workerState) holdBack(now time.Duration, fault RunFault) {
	known := w.blameOf(now, fault)
	known.withdrawn = true
	known.runs++
}

// blameOf returns the entry of the fault's job, and adds one if there is none. It drops outdated ones.
func (w *workerState) blameOf(now time.Duration, fault RunFault) *blame {
	w.unconfirmed = slices.DeleteFunc(w.unconfirmed, func(b blame) bool { return now-b.at > evidenceLifetime })
	for i := range w.unconfirmed {
		if w.unconfirmed[i].Job == fault.Job {
			return &w.unconfirmed[i]
		}
	}
	w.unconfirmed = append(w.unconfirmed, blame{RunRef: fault.RunRef, weight: fault.Weight, at: now})
	return &w.unconfirmed[len(w.unconfirmed)-1]
}

// confirmBlame makes the blame of a step final, since the step does well elsewhere.
func (w *workerState) confirmBlame(now time.Duration, ref RunRef) {
	for i, b := range w.unconfirmed {
		if b.RunRef != ref {
			continue
		}
		w.unconfirmed = slices.Delete(w.unconfirmed, i, i+1)
		if b.withdrawn {
			for range min(b.runs, maxWithdrawnRuns) {
				w.recordFault(now, b.weight)
			}
		}
		w.backoffUntil = max(w.backoffUntil, w.avoidUntil)
		return
	}
}

// withdrawBlame takes the blame of a step back, and ends the backoff if the rest does not justify one.
func (w *workerState) withdrawBlame(now time.Duration, ref RunRef) {
	for i := range w.unconfirmed {
		b := &w.unconfirmed[i]
		if b.RunRef != ref || b.withdrawn {
			continue
		}
		b.withdrawn = true
		w.faults.takeBack(now, b.added, b.at)
		if w.faults.lastRate <= backoffFaultRate {
			w.avoidUntil, w.backoffUntil = min(w.avoidUntil, now), min(w.backoffUntil, now)
			w.faults.backoffs = 0
		}
		return
	}
}
