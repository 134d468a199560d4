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

// nextBackoff returns how long the worker gets no tasks. The duration doubles each time, up to maxBackoff.
func (f *faultRecord) nextBackoff() time.Duration {
	backoff := min(initialBackoff<<min(f.backoffs, maxBackoffDoublings), maxBackoff)
	f.backoffs++
	return backoff
}

// RecordFault records that a run went wrong because of the worker. Weight, from 0 to 1, is how strongly this counts against
// the worker. A worker whose fault rate exceeds backoffFaultRate gets no tasks for a while, longer each time.
func (s *Scheduler) RecordFault(now time.Duration, id string, weight float64) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	worker.faults.recordFault(now, weight)
	if worker.faults.lastRate > backoffFaultRate {
		worker.backoffUntil = max(worker.backoffUntil, now+worker.faults.nextBackoff())
	}
}
