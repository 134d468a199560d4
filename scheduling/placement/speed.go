package placement

import (
	"math"
	"time"
)

// Parameters of the slowness estimates. Slowness is the natural logarithm of the ratio of run times to their estimates.
const (
	workerSlownessStepSize = 0.1  // weight of one run in the slowness of its worker
	kindSlownessStepSize   = 0.03 // weight of one run in the slowness of its worker's kind
	// maxLogDeviation bounds the effect of one run. A run counts as at least 1/e of the expected time, and as at most e
	// times the time that its worker's present slowness predicts.
	maxLogDeviation = 1.0
)

// slowness returns ln of the ratio of run times at the worker to their estimates. Recent faults count as additional
// slowness, so that healthy workers are preferred.
func (s *Scheduler) slowness(worker *workerState) float64 {
	return s.kindSlowness[worker.kind] + worker.slowness + 2*worker.faults.rate(s.now)
}

// ObserveRuntime updates the slowness of a worker and its kind from a run that ended done. Took is the run's time,
// expected the time that it would take at a healthy worker of usual speed. ObserveRuntime also records the success, which
// resets the growth of the worker's backoff.
func (s *Scheduler) ObserveRuntime(id string, took, expected time.Duration) {
	worker := s.workers[id]
	if worker == nil || took <= 0 || expected <= 0 {
		return
	}
	worker.faults.recordSuccess()
	observed := math.Log(float64(took) / float64(expected))
	observed = min(max(observed, -maxLogDeviation), maxLogDeviation+worker.slowness)
	kind := s.kindSlowness[worker.kind]
	s.kindSlowness[worker.kind] = kind + kindSlownessStepSize*(observed-worker.slowness-kind)
	worker.slowness += workerSlownessStepSize * (observed - kind - worker.slowness)
}
