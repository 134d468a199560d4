package placement

import "time"

const (
	// starvationTimeout is how long a unit that fits on some worker may wait for a better placement. The requirement behind
	// it: no job may be without a running task for 3 s while it fits and less than half of its service is in use.
	starvationTimeout = 2 * time.Second
	// starvationMaxUtilization is the CPU utilization of the service from which on a job may wait without a running task.
	starvationMaxUtilization = 0.5
)

// isStarving reports whether the unit has waited for longer than starvationTimeout, and either its tasks run until they
// are stopped, or no task of its job is placed while less than half of the service is in use. A starving unit takes any
// worker on which it fits, regardless of headroom and of how much longer it runs there.
func (s *Scheduler) isStarving(unit *Unit) bool {
	if s.now-unit.EnqueuedAt <= starvationTimeout {
		return false
	}
	return unit.Step().LongRunning || s.usedCPU < starvationMaxUtilization*s.serviceCPU && !unit.Job.HasPlacedTask()
}
