package placement

import (
	"math"
	"time"
)

// Bounds of a worker's backoff after faults.
const (
	// backoffFaultRate is the rate of faults beyond which a worker gets no tasks for a while.
	backoffFaultRate = 0.35
	initialBackoff   = 400 * time.Millisecond
	maxBackoff       = 8 * time.Second
	// maxBackoffDoublings bounds the exponent, so that the shift cannot overflow: the fifth doubling exceeds maxBackoff.
	maxBackoffDoublings = 5
	// faultDecay is the time constant with which faults are forgotten.
	faultDecay = 4 * time.Second
	// successDecay is what remains of the rate after a run that ended done.
	successDecay = 0.9
)

// faultRecord is how often runs at a worker did not end well lately, through its fault.
type faultRecord struct {
	rateThen float64 // from 0 to 1, as it was at ratedAt
	ratedAt  time.Duration
	backoffs int // since the last run that ended done
}

// rate returns the rate of faults now.
func (f *faultRecord) rate(now time.Duration) float64 {
	return f.rateThen * math.Exp(-float64(max(now-f.ratedAt, 0))/float64(faultDecay))
}

func (f *faultRecord) recordSuccess() {
	f.rateThen *= successDecay
	f.backoffs = 0
}

func (f *faultRecord) recordFault(now time.Duration, weight float64) {
	f.rateThen = f.rate(now)
	f.ratedAt = now
	f.rateThen += weight * (1 - f.rateThen)
}

// nextBackoff returns how long the worker is to get no tasks, which doubles each time.
func (f *faultRecord) nextBackoff() time.Duration {
	backoff := min(initialBackoff<<min(f.backoffs, maxBackoffDoublings), maxBackoff)
	f.backoffs++
	return backoff
}

// RecordFault records that a run did not end well through the worker's fault. Weight, from 0 to 1, says how much that
// shows. A worker with many faults gets no tasks for a while, longer each time.
func (s *Scheduler) RecordFault(now time.Duration, id string, weight float64) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	worker.faults.recordFault(now, weight)
	if worker.faults.rateThen > backoffFaultRate {
		worker.backoffUntil = max(worker.backoffUntil, now+worker.faults.nextBackoff())
	}
}
