package placement

import (
	"time"

	"yardflow/scheduling/achq"
)

// minThresholdUpdates is the number of updates after which a learned threshold is used. Until then the threshold is set
// to its initial value, as accepts describes.
const minThresholdUpdates = 5

// slowerChoice describes the choice between taking a slower worker and waiting for one of the faster workers, which are
// full.
type slowerChoice struct {
	parameters   *achq.Parameters // learned parameters of the slower worker
	runtimeRatio float64          // run time there relative to the faster workers
	fasterSlots  float64          // number of such tasks that fit on the faster workers
	remote       bool             // the worker is slower because it is outside the rack of the unit's data
}

// accepts decides at random whether a unit takes the slower worker. The initial threshold is the number of queued tasks
// that the faster workers complete during the extra run time on the slower one (the RSRT rule of the ACHQ paper), scaled
// to this dispatcher's share of the faster workers. A unit always accepts if it is starving or has already waited for
// that extra time.
func (s *Scheduler) accepts(now time.Duration, unit *Unit, slower *slowerChoice) bool {
	extraMs := (slower.runtimeRatio - 1) * float64(unit.Step().EstimateMs)
	if now-unit.EnqueuedAt >= time.Duration(extraMs)*time.Millisecond || s.isStarving(unit) {
		return true
	}
	if slower.parameters.Updates < minThresholdUpdates {
		slower.parameters.Threshold = min((slower.runtimeRatio-1)*slower.fasterSlots/float64(s.peers), achq.MaxQueueLength)
	}
	probability := achq.AcceptanceProbability(s.competingQueueLength(unit, slower), slower.parameters)
	accepted := s.random.Float64() < probability
	s.learner.RecordDecision(slower.parameters, probability, accepted)
	return accepted
}

// competingQueueLength returns the length of the queue for the same faster workers: all units or, if the slower worker is
// remote, the tasks whose data is in the same rack as the unit's.
func (s *Scheduler) competingQueueLength(unit *Unit, slower *slowerChoice) int {
	if !slower.remote {
		return len(s.queue)
	}
	count := 0
	for _, other := range s.queue {
		if other.Step().Affinity == unit.Step().Affinity {
			count += len(other.TaskIndices)
		}
	}
	return count
}

// beginStep opens a step of the learner. The last step of a cycle lasts until the next cycle; the other steps have no
// length, because all decisions of a cycle are made at the same time.
func (s *Scheduler) beginStep(now time.Duration) {
	s.stepBegan = now
	s.learner.BeginStep(float64(len(s.queue)+s.placedTasks), s.features)
}

// endStep closes the learner's open step.
func (s *Scheduler) endStep(now time.Duration) {
	s.learner.EndStep((now - s.stepBegan).Seconds(), len(s.workerList), s.features, func(scale float64) {
		for _, worker := range s.workerList {
			worker.local.ValueWeight *= scale
			worker.remote.ValueWeight *= scale
		}
	})
}

// features appends the non-zero components of the learner's state, each divided by the number of components: the length of
// the queue, and each worker's share that tasks of this dispatcher's jobs take.
func (s *Scheduler) features(into []achq.Feature) []achq.Feature {
	components := float64(1 + len(s.workerList))
	if n := len(s.queue); n > 0 {
		into = append(into, achq.Feature{Value: min(float64(n)/achq.MaxQueueLength, 1) / components})
	}
	for _, worker := range s.workerList {
		if worker.ownShare > 0 {
			into = append(into, achq.Feature{Parameters: &worker.local, Value: worker.ownShare / components})
		}
	}
	return into
}
