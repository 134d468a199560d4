package placement

import (
	"time"

	"yardflow/scheduling/job"
)

// eligible reports whether the worker could ever run a task of the step, however much of it is in use.
func eligible(worker *workerState, step *job.Step) bool {
	return !worker.draining && worker.hasLabel(step.RequiredLabel) && worker.capacity.Covers(step.Demand())
}

// feasible reports whether an eligible worker can take a task of the unit now; headroom is the part of the service that the
// unit has to leave free, and placed how many tasks of its step are at each worker where that is bounded.
func (s *Scheduler) feasible(now time.Duration, unit *Unit, worker *workerState, headroom float64, placed map[string]int) bool {
	step := unit.Step()
	if now < worker.backoffUntil || worker.id == unit.avoid && now-unit.EnqueuedAt < initialBackoff ||
		!s.fits(worker, step.Demand(), headroom) {
		return false
	}
	most := step.AntiAffinity
	return most <= 0 || placed[worker.id] < most
}

// placedPerWorker returns how many tasks of the unit's step are at each worker where the step bounds that, or nil. It is
// counted once for all workers: a job may have thousands of tasks.
func placedPerWorker(unit *Unit) map[string]int {
	if unit.Step().AntiAffinity <= 0 {
		return nil
	}
	return unit.Job.PlacedPerWorker(unit.StepKey)
}

// fits reports whether the demand fits at the worker, and leaves the headroom free of the service as a whole. A large task
// may fill one worker where others have enough free; an idle worker may always be filled.
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

// countFreeCPU adds up what is free of the service at the beginning of a cycle, in thousandths of cores: of each worker
// such a part of its processors as is free of the resource of which it has least left. What is used is counted of workers
// that get nothing for a while after a fault too.
func (s *Scheduler) countFreeCPU(now time.Duration) {
	s.freeCPU, s.totalCPU, s.usedCPU, s.serviceCPU = 0, 0, 0, 0
	for _, worker := range s.workerList {
		if worker.draining {
			continue
		}
		s.serviceCPU += float64(worker.capacity.CPU)
		s.usedCPU += float64(worker.capacity.CPU) - worker.freeCPU()
		if now < worker.backoffUntil {
			continue
		}
		s.totalCPU += float64(worker.capacity.CPU)
		s.freeCPU += worker.freeCPU()
	}
}

// dominantShare returns the part of a worker that the amount takes, by the resource of which it takes most (as dominant
// resource fairness defines it).
func dominantShare(amount, capacity job.Resources) float64 {
	part := 0.0
	for _, pair := range [3][2]int64{{amount.CPU, capacity.CPU}, {amount.MemoryMB, capacity.MemoryMB}, {amount.GPU, capacity.GPU}} {
		if pair[1] > 0 {
			part = max(part, float64(pair[0])/float64(pair[1]))
		}
	}
	return part
}
