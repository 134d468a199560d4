package placement

import (
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// eligible reports whether the worker could run a task of the step if it were idle.
func eligible(worker *workerState, step *job.Step) bool {
	return !worker.draining && worker.hasLabel(step.RequiredLabel) && worker.capacity.Covers(step.Demand())
}

// backoffRule says at which workers with faults a unit may be placed.
type backoffRule uint8

const (
	avoidSuspects backoffRule = iota // no worker that is to be avoided
	tryOneTask                       // none in backoff, and one that is to be avoided for one task at a time
	ignoreBackoff                    // any worker
)

// admits reports whether a unit may be placed at the worker, whatever its room: the worker's faults allow it, and if the
// unit's step fails everywhere, no starving unit waits for room there.
func (s *Scheduler) admits(now time.Duration, unit *Unit, worker *workerState, rule backoffRule) bool {
	isAvoided := now < worker.avoidUntil
	switch {
	case rule == avoidSuspects && isAvoided,
		rule == tryOneTask && (now < worker.backoffUntil || isAvoided && worker.hasOwnTasks()):
		return false
	}
	return len(s.starving) == 0 || !s.failsEverywhere(unit) || !s.isAwaited(worker)
}

// isAwaited reports whether a starving unit could run at the worker if there was room.
func (s *Scheduler) isAwaited(worker *workerState) bool {
	return slices.ContainsFunc(s.starving, func(step *job.Step) bool { return eligible(worker, step) })
}

// feasible reports whether an eligible worker that admits the unit can take a task of it now. Headroom is the fraction of the service's CPU
// that the unit must leave free; placed has the number of tasks of its step per worker, if the step has an anti-affinity
// limit.
func (s *Scheduler) feasible(now time.Duration, unit *Unit, worker *workerState, headroom float64,
	placed map[string]int) bool {
	step := unit.Step()
	if worker.id == unit.avoid && now-unit.EnqueuedAt < initialBackoff || !s.fits(worker, step.Demand(), headroom) {
		return false
	}
	limit := step.AntiAffinity
	return limit <= 0 || placed[worker.id] < limit
}

// placedPerWorker returns the number of tasks of the unit's step per worker, or nil if the step has no anti-affinity limit.
// It counts once for all workers, because a job may have thousands of tasks.
func placedPerWorker(unit *Unit) map[string]int {
	if unit.Step().AntiAffinity <= 0 {
		return nil
	}
	return unit.Job.PlacedPerWorker(unit.StepKey)
}

// fits reports whether the demand fits on the worker and leaves the headroom free in the service as a whole: a large task
// may fill one worker if others have enough free. The headroom does not apply to an idle worker.
func (s *Scheduler) fits(worker *workerState, demand job.Resources, headroom float64) bool {
	if !worker.available().Covers(demand) {
		return false
	}
	if headroom == 0 || worker.used.Plus(worker.reserved) == (job.Resources{}) {
		return true
	}
	taken := dominantShare(demand, worker.capacity) * float64(worker.capacity.CPU)
	return s.freeCPU-taken >= headroom*s.totalCPU
}

// updateCPUTotals sums the service's free, used and total CPU at the beginning of a cycle, in thousandths of cores. A
// worker's free CPU is scaled by its scarcest resource (see workerState.freeCPU). Workers in backoff count only towards
// usedCPU and serviceCPU.
func (s *Scheduler) updateCPUTotals(now time.Duration) {
	s.freeCPU, s.totalCPU, s.usedCPU, s.serviceCPU, s.anyAvoided = 0, 0, 0, 0, false
	for _, worker := range s.workerList {
		if worker.draining {
			continue
		}
		s.serviceCPU += float64(worker.capacity.CPU)
		s.usedCPU += float64(worker.capacity.CPU) - worker.freeCPU()
		s.anyAvoided = s.anyAvoided || now < worker.avoidUntil
		if now < worker.backoffUntil {
			continue
		}
		s.totalCPU += float64(worker.capacity.CPU)
		s.freeCPU += worker.freeCPU()
	}
}

// dominantShare returns the fraction of a worker's capacity that the amount takes, in the resource for which this fraction
// is largest (as defined by dominant resource fairness).
func dominantShare(amount, capacity job.Resources) float64 {
	share := 0.0
	for _, pair := range [3][2]int64{{amount.CPU, capacity.CPU}, {amount.MemoryMB, capacity.MemoryMB},
		{amount.GPU, capacity.GPU}} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
