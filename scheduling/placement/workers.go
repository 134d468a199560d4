package placement

import (
	"math"
	"slices"
	"time"

	"yardflow/scheduling/achq"
	"yardflow/scheduling/job"
)

// workerState is a dispatcher's view of a worker.
type workerState struct {
	id               string
	rack             string // "" if the worker has no rack label
	kind             string // workers of the same kind are expected to be about equally fast
	labels           []string
	capacity         job.Resources
	used             job.Resources // by tasks of all dispatchers, as last committed
	reserved         job.Resources // by decisions of this dispatcher whose outcome is not known yet
	draining         bool
	randomPreference float64 // random, from 0 to 1: makes dispatchers rank similar workers differently; lower is preferred
	ownShare         float64 // dominant share that tasks of this dispatcher's jobs take
	ownTasks         int     // number of these tasks

	local  achq.Parameters // for tasks whose data is not in another rack
	remote achq.Parameters // for tasks that are slower here because their data is in another rack

	slowness float64 // ln of the ratio of its run times to those of its kind
	faults   faultRecord
	// unconfirmed is the part of the faults that may be the fault of the jobs.
	unconfirmed []blame
	// backoffUntil is the time until which the worker gets no tasks because of faults, and avoidUntil that until which it gets
	// tasks only if no other worker can take them. The second is not before the first.
	backoffUntil time.Duration
	avoidUntil   time.Duration
}

// available returns the capacity that is neither in use nor reserved.
func (w *workerState) available() job.Resources { return w.capacity.Minus(w.used).Minus(w.reserved) }

// freeCPU returns the worker's CPU capacity, in thousandths of cores, times the free fraction of its scarcest resource.
func (w *workerState) freeCPU() float64 {
	taken := dominantShare(w.used.Plus(w.reserved), w.capacity)
	return max(1-taken, 0) * float64(w.capacity.CPU)
}

// hasOwnTasks reports whether tasks of this dispatcher's jobs are placed at the worker, or about to be.
func (w *workerState) hasOwnTasks() bool { return w.ownTasks > 0 || w.reserved != (job.Resources{}) }

func (w *workerState) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

// SetWorker adds a worker, or updates a known one. The first label is its kind, the second its rack.
func (s *Scheduler) SetWorker(id string, labels []string, capacity, used job.Resources, draining bool) {
	worker := s.workers[id]
	if worker == nil {
		worker = &workerState{id: id, randomPreference: s.random.Float64()}
		s.workers[id] = worker
		at, _ := slices.BinarySearchFunc(s.workerList, id, func(w *workerState, id string) int {
			if w.id < id {
				return -1
			}
			return 1
		})
		s.workerList = slices.Insert(s.workerList, at, worker)
	}
	worker.labels, worker.capacity, worker.used, worker.draining = labels, capacity, used, draining
	if len(labels) > 0 {
		worker.kind = labels[0]
	}
	if len(labels) > 1 {
		worker.rack = labels[1]
	}
}

// SetUsed updates the resources that tasks of all dispatchers use at a worker. It ignores unknown workers.
func (s *Scheduler) SetUsed(id string, used job.Resources) {
	if worker := s.workers[id]; worker != nil {
		worker.used = used
	}
}

// RemoveWorker removes a worker and everything learned about it. It ignores unknown workers.
func (s *Scheduler) RemoveWorker(id string) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	delete(s.workers, id)
	s.workerList = slices.DeleteFunc(s.workerList, func(w *workerState) bool { return w == worker })
}

// AddPlacedTask records that a task of one of this dispatcher's jobs is placed at a worker.
func (s *Scheduler) AddPlacedTask(id string, demand job.Resources) { s.countOwnTask(id, demand, 1) }

// RemovePlacedTask records that a task of one of this dispatcher's jobs is no longer placed at a worker.
func (s *Scheduler) RemovePlacedTask(id string, demand job.Resources) { s.countOwnTask(id, demand, -1) }

func (s *Scheduler) countOwnTask(id string, demand job.Resources, sign float64) {
	s.placedTasks += int(sign)
	if worker := s.workers[id]; worker != nil {
		worker.ownTasks = max(0, worker.ownTasks+int(sign))
		worker.ownShare = max(0, worker.ownShare+sign*dominantShare(demand, worker.capacity))
	}
}

// waveDivisor limits the demand of a step that runs in a single wave to 1/waveDivisor of its eligible workers, by the
// protocol's definition of a job's objective.
const waveDivisor = 4

// Waves returns the number of waves in which a step runs. It is more than one if the tasks of the step together demand more
// than a quarter of its eligible workers.
func (s *Scheduler) Waves(step *job.Step) int {
	workers, shares := 0.0, 0.0
	for _, worker := range s.workerList {
		if eligible(worker, step) {
			workers++
			shares += dominantShare(step.Demand(), worker.capacity)
		}
	}
	if workers == 0 {
		return 1
	}
	demand := float64(step.Count) * shares / workers // in whole workers
	return max(int(math.Ceil(demand*waveDivisor/workers)), 1)
}
