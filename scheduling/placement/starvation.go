package placement

import "time"

const (
	// starvationTimeout is how long a unit that fits on some worker may wait for a better placement. The requirement behind
	// it: no job may be without a running task for 3 s while it fits and less than half of its service is in use.
	starvationTimeout = 2 * time.Second
	// starvationMaxUtilisation is the CPU utilisation of the service from which on a job may wait without a running task.
	starvationMaxUtilisation = 0.5
	// maxReservation is how long after it starves a unit keeps units whose step fails everywhere from its workers.
	maxReservation = 10 * time.Second
	// maxStarvingSteps bounds the steps for which room is kept in a cycle.
	maxStarvingSteps = 16
)

// isStarving reports whether the unit has waited for longer than starvationTimeout, and either its tasks run until they
// are stopped, or no task of its job is placed while less than half of the service is in use. A starving unit takes any
// worker on which it fits, regardless of headroom and of how much longer it runs there.
func (s *Scheduler) isStarving(unit *Unit) bool {
	if s.now-unit.EnqueuedAt <= starvationTimeout {
		return false
	}
	return unit.Step().LongRunning || s.usedCPU < starvationMaxUtilisation*s.serviceCPU && !unit.Job.HasPlacedTask()
}

// noteStarving records a unit that found no worker, if it is starving. Units whose step fails everywhere are not placed
// where it could run, so that the room that comes back is left to it; for a gang that takes several of them. It ends after
// maxReservation, so that a unit that fits nowhere keeps nobody out for good.
func (s *Scheduler) noteStarving(unit *Unit) {
	if len(s.evidence.neverDone) == 0 || len(s.starving) >= maxStarvingSteps || s.failsEverywhere(unit) ||
		s.now-unit.EnqueuedAt > starvationTimeout+maxReservation || !s.isStarving(unit) {
		return
	}
	s.starving = append(s.starving, unit.Step())
}
