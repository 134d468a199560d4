package placement

import (
	"math"
	"time"
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
)

// faultRecord tracks the recent rate of faults at a worker: runs that went wrong because of the worker.
type faultRecord struct {
	lastRate   float64 // from 0 to 1, as of lastRateAt
	lastRateAt time.Duration
	backoffs   int // number of backoffs since the last run that ended done
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
func (f *faultRecord) nextBackoff() time.Duration {
	backoff := min(initialBackoff<<min(f.backoffs, maxBackoffDoublings), maxBackoff)
	f.backoffs++
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
	w.avoid(now, weight)
	if w.faults.lastRate > backoffFaultRate {
		w.backoffUntil = max(w.backoffUntil, w.avoidUntil)
	}
}

// avoid counts a fault that may be that of a job. A worker whose fault rate exceeds backoffFaultRate gets tasks for a while
// only if no other worker can take them.
func (w *workerState) avoid(now time.Duration, weight float64) {
	w.faults.recordFault(now, weight)
	if w.faults.lastRate > backoffFaultRate {
		w.avoidUntil = max(w.avoidUntil, now+w.faults.nextBackoff())
	}
}
