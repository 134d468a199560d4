package placement

import (
	"math"
	"time"
)

// Constants of the estimates of speed, in natural logarithms of run time against the estimate.
const (
	workerSpeedStepSize = 0.1  // weight of one run in its worker's slowness
	kindSpeedStepSize   = 0.03 // and in its kind's
	// maxSurprise bounds what one run tells: e times as long, or an e-th of the time.
	maxSurprise = 1.0
)

// slowness returns how many times as long (ln) work takes at the worker as its estimate says. Recent faults count as
// slowness, so that sound workers come first.
func (s *Scheduler) slowness(worker *workerState) float64 {
	return s.kindSlowness[worker.kind] + worker.slowness + 2*worker.faults.rate(s.now)
}

// ObserveRuntime learns from a run that ended done how fast a worker is: by how long the run took, against what was
// expected at a sound worker of usual speed. It also ends the growth of the worker's backoff.
func (s *Scheduler) ObserveRuntime(id string, took, expected time.Duration) {
	worker := s.workers[id]
	if worker == nil || took <= 0 || expected <= 0 {
		return
	}
	worker.faults.recordSuccess()
	observed := math.Log(float64(took) / float64(expected))
	observed = min(max(observed, -maxSurprise), maxSurprise+worker.slowness)
	kind := s.kindSlowness[worker.kind]
	s.kindSlowness[worker.kind] = kind + kindSpeedStepSize*(observed-worker.slowness-kind)
	worker.slowness += workerSpeedStepSize * (observed - kind - worker.slowness)
}
