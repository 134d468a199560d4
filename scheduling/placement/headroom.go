package placement

import (
	"math"
	"time"
)

// Bounds of what is kept free for urgent tasks, as parts of the service's processors.
const (
	// maxUrgentHeadroom is the largest headroom that the urgent part of the work asks for.
	maxUrgentHeadroom = 0.15
	// pressureHeadroom is the headroom where all units of higher priority had to wait lately.
	pressureHeadroom = 0.8
	// remoteHeadroom is what work away from its data leaves free: it takes longer there, and so more of everything.
	remoteHeadroom = 0.25
	// urgentWorkWindow is the time constant with which work that was queued is forgotten.
	urgentWorkWindow = 20 * time.Second
	// promptWithin is how long after its queueing a unit is placed that did not have to wait.
	promptWithin = 100 * time.Millisecond
	// pressureStepSize is the weight of one unit in the part that had to wait.
	pressureStepSize = 0.04
	// priorityClasses is how many priorities are told apart; lower ones count as the last.
	priorityClasses = 3
)

// urgentHeadroom follows how much has to stay free, so that urgent tasks of any dispatcher find a worker at once.
type urgentHeadroom struct {
	urgentWork float64 // queued lately by units of priority 0, in thousandths of cores times ms
	allWork    float64 // queued lately by all units
	workAt     time.Duration
	// pressure is, for each class, the part of the lately placed units of higher priority that had to wait.
	pressure [priorityClasses]float64
}

// recordWork counts the work of a unit that is queued.
func (h *urgentHeadroom) recordWork(unit *Unit) {
	if unit.EnqueuedAt > h.workAt {
		decay := math.Exp(-float64(unit.EnqueuedAt-h.workAt) / float64(urgentWorkWindow))
		h.urgentWork *= decay
		h.allWork *= decay
		h.workAt = unit.EnqueuedAt
	}
	step := unit.Step()
	work := float64(step.CPU) * float64(step.EstimateMs) * float64(len(unit.TaskIndices))
	h.allWork += work
	if unit.Job.Priority == 0 {
		h.urgentWork += work
	}
}

// recordWait counts whether a unit that is placed had to wait, as pressure on those of lower priority.
func (h *urgentHeadroom) recordWait(now time.Duration, unit *Unit) {
	waited := 0.0
	if now-unit.EnqueuedAt > promptWithin {
		waited = 1
	}
	for lower := priorityClass(unit) + 1; lower < priorityClasses; lower++ {
		h.pressure[lower] += pressureStepSize * (waited - h.pressure[lower])
	}
}

// priorityClass returns the unit's priority among those told apart; 0 is the most urgent.
func priorityClass(unit *Unit) int { return min(max(unit.Job.Priority, 0), priorityClasses-1) }

// headroomFor returns the part of the service that the unit has to leave free: none for urgent units and gangs, else the
// urgent part of the work, and more where units of higher priority had to wait. A unit that has waited for half of its
// time until the deadline makes way for the first part alone.
// Pressure follows placements, not time, and stays where nothing urgent comes any more: a unit that must not rest leaves
// nothing free.
func (s *Scheduler) headroomFor(unit *Unit) float64 {
	if unit.Job.Priority == 0 || s.urgent.allWork == 0 || unit.Step().Gang || s.mustNotRest(unit) {
		return 0
	}
	base := min(s.urgent.urgentWork/s.urgent.allWork, maxUrgentHeadroom)
	if s.now-unit.EnqueuedAt > (unit.Deadline-unit.EnqueuedAt)/2 {
		return base
	}
	return base + s.urgent.pressure[priorityClass(unit)]*(pressureHeadroom-base)
}

// remoteHeadroomFor returns the part of the service that the unit has to leave free where it is placed away from its data.
func (s *Scheduler) remoteHeadroomFor(unit *Unit, headroom float64) float64 {
	if s.mustNotRest(unit) {
		return headroom
	}
	return max(headroom, remoteHeadroom)
}
