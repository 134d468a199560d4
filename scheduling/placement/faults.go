package placement

import (
	"math"
	"time"

	"yardflow/scheduling/job"
)

// Parameters of a worker's backoff after faults.
const (
	// backoffFaultRate is the fault rate above which a worker backs off: it gets no tasks for a while.
	backoffFaultRate = 0.35
	initialBackoff   = 400 * time.Millisecond
	maxBackoff       = 8 * time.Second
	// maxBackoffDoublings bounds the exponent, so that the shift cannot overflow: the fifth doubling exceeds maxBackoff.
	maxBackoffDoublings = 5
	// faultDecay is the time constant of the exponential decay of the fault rate.
	faultDecay = 4 * time.Second
	// successDecay is the factor by which a run that ended done reduces the fault rate.
	successDecay = 0.9
	// trialFaultRate is the fault rate above which a worker is on trial: it gets tasks only if no other worker can take them,
	// and one at a time.
	trialFaultRate = 0.05
	// trialPatience is how long a unit waits for another worker than one that is on trial and has a task.
	trialPatience = 2500 * time.Millisecond
	// sameMoment is the time within which faults of a worker count as one event: they lengthen its backoff once.
	sameMoment = 100 * time.Millisecond
)

// faultRecord tracks the recent rate of faults at a worker: runs that went wrong because of the worker.
type faultRecord struct {
	lastRate   float64 // from 0 to 1, as of lastRateAt
	lastRateAt time.Duration
	backoffs   int           // number of backoffs since the last run that ended done
	backedOff  time.Duration // start of the newest backoff
}

// rate returns the fault rate decayed to the present time.
func (f *faultRecord) rate(now time.Duration) float64 {
	return f.lastRate * math.Exp(-float64(max(now-f.lastRateAt, 0))/float64(faultDecay))
}

func (f *faultRecord) recordSuccess() {
	f.lastRate *= successDecay
	f.backoffs = 0
}

func (f *faultRecord) recordFault(now time.Duration, weight float64) {
	f.lastRate = f.rate(now)
	f.lastRateAt = now
	f.lastRate += weight * (1 - f.lastRate)
}

// takeBack reduces the fault rate by what a fault at an earlier time has left of an amount that it added.
func (f *faultRecord) takeBack(now time.Duration, added float64, addedAt time.Duration) {
	left := added * math.Exp(-float64(now-addedAt)/float64(faultDecay))
	f.lastRate = max(f.rate(now)-left, 0)
	f.lastRateAt = now
}

// nextBackoff returns how long the worker gets no tasks. The duration doubles each time, up to maxBackoff.
func (f *faultRecord) nextBackoff(now time.Duration) time.Duration {
	backoff := min(initialBackoff<<min(f.backoffs, maxBackoffDoublings), maxBackoff)
	f.backoffs++
	f.backedOff = now
	return backoff
}

// RecordFault records a fault of the worker that no job can have caused: it doesn't answer, say. Weight, from 0 to 1, is how
// strongly this counts against the worker.
func (s *Scheduler) RecordFault(now time.Duration, id string, weight float64) {
	if worker := s.workers[id]; worker != nil {
		worker.recordFault(now, weight)
	}
}

// recordFault counts a fault. A worker whose fault rate exceeds backoffFaultRate gets no tasks for a while, longer each
// time.
func (w *workerState) recordFault(now time.Duration, weight float64) {
	w.faults.recordFault(now, weight)
	isSameEvent := w.faults.backoffs > 0 && now-w.faults.backedOff < sameMoment
	if w.faults.lastRate > backoffFaultRate && !isSameEvent {
		w.extendBackoff(now)
	}
}

func (w *workerState) extendBackoff(now time.Duration) {
	w.backoffUntil = max(w.backoffUntil, now+w.faults.nextBackoff(now))
}

// onTrial reports whether the worker has had faults lately, be they its own or those of jobs. Other workers are preferred then,
// and where there are none, what is not known yet shows at the cost of one run at a time.
func (w *workerState) onTrial(now time.Duration) bool { return w.faults.rate(now) > trialFaultRate }

// hasOwnTasks reports whether tasks of this dispatcher's jobs are placed at the worker, or about to be.
func (w *workerState) hasOwnTasks() bool { return w.ownTasks > 0 || w.reserved != (job.Resources{}) }
