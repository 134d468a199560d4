package placement

import (
	"time"

	"yardflow/scheduling/achq"
)

// minThresholdUpdates is how many steps a threshold must have learned from before it is used; until then it follows the
// rule of its start.
const minThresholdUpdates = 5

// slowerChoice is the choice to take a slower worker or to wait, where all that are as fast as the fastest are full.
type slowerChoice struct {
	parameters   *achq.Parameters // the slower worker's
	runtimeRatio float64          // how many times as long the work takes there
	fasterSlots  float64          // how many such tasks fit on the faster workers
	remote       bool             // it is slower for being away from the unit's data
}

// accepts draws whether a unit goes to a slower worker. The worker's threshold starts at the number of queued tasks that
// the faster workers get through meanwhile (the paper's RSRT rule), for this dispatcher's share of them. A unit that has
// waited for as long as the slower worker takes longer, or must not rest, does not wait any more.
func (s *Scheduler) accepts(now time.Duration, unit *Unit, slower *slowerChoice) bool {
	extraMs := (slower.runtimeRatio - 1) * float64(unit.Step().EstimateMs)
	if now-unit.EnqueuedAt >= time.Duration(extraMs)*time.Millisecond || s.mustNotRest(unit) {
		return true
	}
	if slower.parameters.Updates < minThresholdUpdates {
		slower.parameters.Threshold = min((slower.runtimeRatio-1)*slower.fasterSlots/float64(s.peers), achq.MaxQueueLength)
	}
	probability := achq.AcceptanceProbability(s.competing(unit, slower), slower.parameters)
	accepted := s.random.Float64() < probability
	s.learner.RecordDecision(slower.parameters, probability, accepted)
	return accepted
}

// competing counts what is queued for the same faster workers: all units, or the tasks whose data is in the same rack.
func (s *Scheduler) competing(unit *Unit, slower *slowerChoice) int {
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

// beginStep opens a step of the learner, which lasts until the next decision.
func (s *Scheduler) beginStep(now time.Duration) {
	s.stepBegan = now
	s.learner.BeginStep(float64(len(s.queue)+s.runningTasks), s.features)
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

// features appends the non-zero components of the state: the length of the queue and the share of each worker that own
// tasks take, divided by their number.
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
