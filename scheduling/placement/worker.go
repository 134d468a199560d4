package placement

import (
	"math"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

func (w *Worker) room() job.Resources { return w.Capacity.Minus(w.Used).Minus(w.Reserved) }

func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// SetWorker enters a worker or what has changed of it.
func (p *Scheduler) SetWorker(id, service string, labels []string, capacity, used job.Resources, draining bool) {
	worker := p.workers[id]
	if worker == nil {
		worker = &Worker{ID: id, Service: service, order: p.random.Float64()}
		p.workers[id] = worker
		at, _ := slices.BinarySearchFunc(p.list, id, func(w *Worker, id string) int {
			if w.ID < id {
				return -1
			}
			return 1
		})
		p.list = slices.Insert(p.list, at, worker)
	}
	worker.Labels, worker.Capacity, worker.Used, worker.Draining = labels, capacity, used, draining
	if len(labels) > 0 {
		worker.Kind = labels[0]
	}
	if len(labels) > 1 {
		worker.Rack = labels[1]
	}
}

// SetUsed enters how much of a worker is taken.
func (p *Scheduler) SetUsed(id string, used job.Resources) {
	if worker := p.workers[id]; worker != nil {
		worker.Used = used
	}
}

// RemoveWorker forgets a worker.
func (p *Scheduler) RemoveWorker(id string) {
	worker := p.workers[id]
	if worker == nil {
		return
	}
	delete(p.workers, id)
	p.list = slices.DeleteFunc(p.list, func(w *Worker) bool { return w == worker })
}

// ReleaseReservation gives back what a placement under way had reserved.
func (p *Scheduler) ReleaseReservation(id string, amount job.Resources) {
	if worker := p.workers[id]; worker != nil {
		worker.Reserved = worker.Reserved.Minus(amount)
	}
}

// TaskStarted enters that an own task now runs at a worker, and Ended that it does no more.
func (p *Scheduler) TaskStarted(id string, asks job.Resources) { p.own(id, asks, 1) }

// TaskEnded enters that an own task runs no more at a worker.
func (p *Scheduler) TaskEnded(id string, asks job.Resources) { p.own(id, asks, -1) }

func (p *Scheduler) own(id string, asks job.Resources, sign float64) {
	p.running += int(sign)
	if worker := p.workers[id]; worker != nil {
		worker.own = max(0, worker.own+sign*share(asks, worker.Capacity))
	}
}

// share returns the largest part of a worker that the amount takes.
func share(amount, capacity job.Resources) float64 {
	part := 0.0
	for _, pair := range [3][2]int64{{amount.CPU, capacity.CPU}, {amount.MemoryMB, capacity.MemoryMB}, {amount.GPU, capacity.GPU}} {
		if pair[1] > 0 {
			part = max(part, float64(pair[0])/float64(pair[1]))
		}
	}
	return part
}

// ObserveRuntime enters how long a run took against what was expected of it at a sound worker of usual speed.
func (p *Scheduler) ObserveRuntime(id string, took, expected time.Duration) {
	worker := p.workers[id]
	if worker == nil || took <= 0 || expected <= 0 {
		return
	}
	worker.bad *= 0.9
	worker.pauses = 0
	seen := math.Log(float64(took) / float64(expected))
	seen = min(max(seen, -surprise), surprise+worker.slow)
	kind := p.kinds[worker.Kind]
	p.kinds[worker.Kind] = kind + kindStep*(seen-worker.slow-kind)
	worker.slow += speedStep * (seen - kind - worker.slow)
}

// badness returns how little the worker is to be trusted, which fades with time.
func (w *Worker) badness(now time.Duration) float64 {
	return w.bad * math.Exp(-float64(max(now-w.badAt, 0))/float64(forgiveIn))
}

// RecordFault enters that a run did not end well through the worker's fault. It is left alone for a while,
// longer each time.
func (p *Scheduler) RecordFault(now time.Duration, id string, weight float64) {
	worker := p.workers[id]
	if worker == nil {
		return
	}
	worker.bad = worker.badness(now)
	worker.badAt = now
	worker.bad += weight * (1 - worker.bad)
	if worker.bad > distrust {
		pause := min(pauseBase<<min(worker.pauses, 5), pauseMost)
		worker.pauses++
		worker.pauseUntil = max(worker.pauseUntil, now+pause)
	}
}
