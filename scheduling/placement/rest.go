package placement

import "time"

const (
	// maxRest is how long a unit that could be placed may wait for something better. No job may have nothing at work for 3 s
	// while it has room and less than half of its service is in use.
	maxRest = 2 * time.Second
	// restUse is the part of the service in use from which on a job may rest.
	restUse = 0.5
)

// mustNotRest reports whether the unit has waited long enough to take any worker that it fits on, whatever is kept free for
// others and however much longer its work takes there: its tasks run until they are stopped, or nothing of its job is placed
// while less than half of the service is in use.
func (s *Scheduler) mustNotRest(unit *Unit) bool {
	if s.now-unit.EnqueuedAt <= maxRest {
		return false
	}
	return unit.Step().LongRunning || s.usedCPU < restUse*s.serviceCPU && !unit.Job.HasPlacedTask()
}
