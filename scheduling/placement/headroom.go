package placement

import (
	"math"
	"time"
)

// Parameters of the headroom: the CPU capacity kept free for urgent tasks, as a fraction of the service's total.
const (
	// maxUrgentHeadroom bounds the headroom derived from the urgent fraction of the queued work.
	maxUrgentHeadroom = 0.15
	// contentionHeadroom is the headroom if every recently placed unit of higher priority had to wait.
	contentionHeadroom = 0.8
	// minRemoteHeadroom is the least headroom for a task placed outside the rack of its data: it runs longer there, and so
	// occupies resources for longer.
	minRemoteHeadroom = 0.25
	// urgentWorkWindow is the time constant of the exponential decay of the amounts of queued work.
	urgentWorkWindow = 20 * time.Second
	// maxPromptDelay is the longest time in the queue for which a placed unit counts as not having waited.
	maxPromptDelay = 100 * time.Millisecond
	// contentionStepSize is the weight of one unit in the moving average of the fraction that had to wait.
	contentionStepSize = 0.04
	// priorityClasses is the number of distinct priority classes; all lower priorities fall into the last one.
	priorityClasses = 3
)

// urgentHeadroom tracks the demand from which the headroom is computed. The headroom lets urgent tasks of any dispatcher
// find a worker at once.
type urgentHeadroom struct {
	urgentWork    float64 // decayed sum of the work queued by units of priority 0, in thousandths of cores times ms
	allWork       float64 // decayed sum of the work queued by all units
	workUpdatedAt time.Duration
	// contention is, for each class, the fraction of recently placed units of higher priority that had to wait.
	contention [priorityClasses]float64
}

// recordWork adds the estimated work of a newly queued unit.
func (h *urgentHeadroom) recordWork(unit *Unit) {
	if unit.EnqueuedAt > h.workUpdatedAt {
		decay := math.Exp(-float64(unit.EnqueuedAt-h.workUpdatedAt) / float64(urgentWorkWindow))
		h.urgentWork *= decay
		h.allWork *= decay
		h.workUpdatedAt = unit.EnqueuedAt
	}
	step := unit.Step()
	work := float64(step.CPU) * float64(step.EstimateMs) * float64(len(unit.TaskIndices))
	h.allWork += work
	if unit.Job.Priority == 0 {
		h.urgentWork += work
	}
}

// recordWait updates the contention of all classes below the placed unit's priority, by whether the unit had to wait.
func (h *urgentHeadroom) recordWait(now time.Duration, unit *Unit) {
	waited := 0.0
	if now-unit.EnqueuedAt > maxPromptDelay {
		waited = 1
	}
	for lower := priorityClass(unit) + 1; lower < priorityClasses; lower++ {
		h.contention[lower] += contentionStepSize * (waited - h.contention[lower])
	}
}

// priorityClass returns the unit's priority class; 0 is the most urgent.
func priorityClass(unit *Unit) int { return min(max(unit.Job.Priority, 0), priorityClasses-1) }

// requiredHeadroom returns the fraction of the service's CPU that the unit must leave free. It is 0 for urgent units and
// gangs; for others it is the urgent fraction of the queued work, plus an amount that grows with contention. A unit that has
// waited for half of the time until its deadline need not leave the second amount free.
//
// Contention changes with placements, not with time, so it stays high once no more urgent units arrive. A starving unit
// therefore need not leave anything free.
func (s *Scheduler) requiredHeadroom(unit *Unit) float64 {
	if unit.Job.Priority == 0 || s.urgent.allWork == 0 || unit.Step().Gang || s.isStarving(unit) {
		return 0
	}
	base := min(s.urgent.urgentWork/s.urgent.allWork, maxUrgentHeadroom)
	if s.now-unit.EnqueuedAt > (unit.Deadline-unit.EnqueuedAt)/2 {
		return base
	}
	return base + s.urgent.contention[priorityClass(unit)]*(contentionHeadroom-base)
}

// requiredRemoteHeadroom returns the fraction of the service's CPU that the unit must leave free when it is placed outside
// the rack of its data. Headroom is what it must leave free within that rack.
func (s *Scheduler) requiredRemoteHeadroom(unit *Unit, headroom float64) float64 {
	if s.isStarving(unit) {
		return headroom
	}
	return max(headroom, minRemoteHeadroom)
}
