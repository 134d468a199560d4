package placement

import (
	"math"
	"slices"
	"time"

	"yardflow/scheduling/achq"
	"yardflow/scheduling/job"
)

// workerState is a worker as its dispatcher knows it.
type workerState struct {
	id       string
	rack     string // "" where it has no such label
	kind     string // workers of a kind are expected to be about as fast
	labels   []string
	capacity job.Resources
	used     job.Resources // by all dispatchers, as last committed
	reserved job.Resources // by own decisions without an outcome
	draining bool
	ownOrder float64 // random, from 0 to 1: this dispatcher's preference among workers that are alike
	ownShare float64 // dominant share that tasks of own jobs take

	local  achq.Parameters // for work that is not away from its data
	remote achq.Parameters // for work that is slower here for being away from its data

	slowness float64 // ln of its run times against those of its kind
	faults   faultRecord
	// backoffUntil is when the worker gets tasks again after faults.
	backoffUntil time.Duration
}

// available returns what is neither in use nor reserved.
func (w *workerState) available() job.Resources { return w.capacity.Minus(w.used).Minus(w.reserved) }

// freeCPU returns such a part of the worker's processors, in thousandths of cores, as is free of the resource of which it
// has least left.
func (w *workerState) freeCPU() float64 {
	taken := dominantShare(w.used.Plus(w.reserved), w.capacity)
	return max(1-taken, 0) * float64(w.capacity.CPU)
}

func (w *workerState) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.labels, label)
}

// SetWorker adds a worker, or updates a known one. The first label is its kind, the second its rack.
func (s *Scheduler) SetWorker(id string, labels []string, capacity, used job.Resources, draining bool) {
	worker := s.workers[id]
	if worker == nil {
		worker = &workerState{id: id, ownOrder: s.random.Float64()}
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

// SetUsed updates how much of a worker is in use by all dispatchers. Unknown workers are ignored, here and below.
func (s *Scheduler) SetUsed(id string, used job.Resources) {
	if worker := s.workers[id]; worker != nil {
		worker.used = used
	}
}

// RemoveWorker forgets a worker with all that was learned of it.
func (s *Scheduler) RemoveWorker(id string) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	delete(s.workers, id)
	s.workerList = slices.DeleteFunc(s.workerList, func(w *workerState) bool { return w == worker })
}

// TaskStarted records that a task of an own job is placed at a worker.
func (s *Scheduler) TaskStarted(id string, demand job.Resources) { s.countOwn(id, demand, 1) }

// TaskEnded records that a task of an own job is no longer placed at a worker.
func (s *Scheduler) TaskEnded(id string, demand job.Resources) { s.countOwn(id, demand, -1) }

func (s *Scheduler) countOwn(id string, demand job.Resources, sign float64) {
	s.runningTasks += int(sign)
	if worker := s.workers[id]; worker != nil {
		worker.ownShare = max(0, worker.ownShare+sign*dominantShare(demand, worker.capacity))
	}
}

// waveShare is the part of a service, 1 in so many, that the tasks of a step may take at once before the step runs in
// waves, by the protocol's definition of a job's objective.
const waveShare = 4

// Waves returns in how many waves a step runs: more than one where all its tasks together demand more than a quarter of
// the workers that are eligible for it.
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
	wanted := float64(step.Count) * shares / workers // in whole workers
	return max(int(math.Ceil(wanted*waveShare/workers)), 1)
}
