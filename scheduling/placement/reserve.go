package placement

import (
	"math"
	"time"

	"yardflow/scheduling/job"
)

// measure keeps which part of the work is urgent.
func (p *Scheduler) measure(unit *Unit) {
	if unit.EnqueuedAt > p.workAt {
		fade := math.Exp(-float64(unit.EnqueuedAt-p.workAt) / float64(reserveSpan))
		p.urgentWork *= fade
		p.allWork *= fade
		p.workAt = unit.EnqueuedAt
	}
	step := unit.Step()
	work := float64(step.CPU) * float64(step.EstimateMs) * float64(len(unit.TaskIndices))
	p.allWork += work
	if unit.Job.Priority == 0 {
		p.urgentWork += work
	}
}

// reserve returns the part of each worker that units of lower priority leave free, so that urgent ones of
// any dispatcher find room at once. It is the urgent part of the work, within a bound.
func (p *Scheduler) reserve(unit *Unit) float64 {
	if unit.Job.Priority == 0 || p.allWork == 0 || unit.Step().Gang {
		return 0
	}
	base := min(p.urgentWork/p.allWork, reserveMost)
	if p.now-unit.EnqueuedAt > (unit.Deadline-unit.EnqueuedAt)/2 {
		return base // it has made way for long enough
	}
	return base + p.pressure[rank(unit)]*(reserveFull-base)
}

// rank returns the unit's priority among those told apart.
func rank(unit *Unit) int { return min(max(unit.Job.Priority, 0), priorities-1) }

// placed keeps whether a unit had to wait, which those of lower priority make room for.
func (p *Scheduler) placed(now time.Duration, unit *Unit) {
	waited := 0.0
	if now-unit.EnqueuedAt > promptly {
		waited = 1
	}
	for lower := rank(unit) + 1; lower < priorities; lower++ {
		p.pressure[lower] += waitStep * (waited - p.pressure[lower])
	}
}

// fits reports whether a task has room at the worker beside what is reserved of the whole service.
func (p *Scheduler) fits(worker *Worker, asks job.Resources, reserve float64) bool {
	if !worker.room().Covers(asks) {
		return false
	}
	if reserve == 0 || worker.Used.Plus(worker.Reserved) == (job.Resources{}) {
		return true
	}
	taken := share(asks, worker.Capacity) * float64(worker.Capacity.CPU)
	return p.free-taken >= reserve*p.total
}

// countFree adds up what is free of the service, in thousandths of cores: of each worker as large a part
// as is free of what it has least of.
func (p *Scheduler) countFree(now time.Duration) {
	p.free, p.total = 0, 0
	for _, worker := range p.list {
		if worker.Draining || now < worker.pauseUntil {
			continue
		}
		p.total += float64(worker.Capacity.CPU)
		p.free += worker.freeCpu()
	}
}

func (w *Worker) freeCpu() float64 {
	used := share(w.Used.Plus(w.Reserved), w.Capacity)
	return max(1-used, 0) * float64(w.Capacity.CPU)
}

// wideFrom is the part of a service, 1 in so many, that a step may ask for before it runs in waves.
const wideFrom = 4

// Waves returns in how many waves a step runs: more than one where all its tasks together ask for more than
// a quarter of the workers that it may run on.
func (p *Scheduler) Waves(step *job.Step) int {
	workers, shares := 0.0, 0.0
	for _, worker := range p.list {
		if able(worker, step) {
			workers++
			shares += share(step.Demand(), worker.Capacity)
		}
	}
	if workers == 0 {
		return 1
	}
	wanted := float64(step.Count) * shares / workers // in whole workers
	return max(int(math.Ceil(wanted*wideFrom/workers)), 1)
}
