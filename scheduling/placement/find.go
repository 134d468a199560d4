package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// slowness returns how many times as long (ln) work takes at the worker as at a usual one.
func (p *Scheduler) slowness(worker *Worker) float64 {
	return p.kinds[worker.Kind] + worker.slow + 2*worker.badness(p.now)
}

// able reports whether the unit may go to the worker, room aside.
func able(worker *Worker, step *job.Step) bool {
	return !worker.Draining && worker.hasLabel(step.RequiredLabel) && worker.Capacity.Covers(step.Demand())
}

// find returns where the unit would go now, and what decides where that is not as fast as the fastest of all.
func (p *Scheduler) find(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	if unit.Step().Gang {
		return p.findGang(now, unit)
	}
	step := unit.Step()
	p.fitting = p.fitting[:0]
	far, reserve := math.Log(p.farX), p.reserve(unit)
	var best *Worker
	bestSlow, bestScore, fastest, bestFar := 0.0, 0.0, math.Inf(1), false
	for _, worker := range p.list {
		if !able(worker, step) {
			continue
		}
		slow := p.slowness(worker)
		isFar := step.Affinity != "" && worker.Rack != step.Affinity
		if isFar {
			slow += far
		}
		fastest = min(fastest, slow)
		if now < worker.pauseUntil || worker.ID == unit.avoid && now-unit.EnqueuedAt < pauseBase ||
			!p.fits(worker, step.Demand(), reserve) || isFar && !p.fits(worker, step.Demand(), max(reserve, reserveFar)) {
			continue
		}
		if most := step.AntiAffinity; most > 0 && unit.Job.CountPlacedAt(unit.StepKey, worker.ID) >= most {
			continue
		}
		score := share(worker.room().Minus(step.Demand()), worker.Capacity) + jitter*worker.order
		p.fitting = append(p.fitting, candidate{worker, slow, score})
		if best == nil || slow < bestSlow-nearEqual || slow < bestSlow+nearEqual && score < bestScore {
			best, bestSlow, bestScore, bestFar = worker, slow, score, isFar
		}
	}
	if best == nil {
		return nil, nil
	}
	if bestSlow > fastest+2*nearEqual {
		slower = &slowerChoice{arm: &best.near, ratio: math.Exp(bestSlow - fastest), sameFar: bestFar}
		if bestFar {
			slower.arm = &best.far
		}
		slower.faster = p.fasterRoom(step, bestSlow-nearEqual)
	}
	return []string{best.ID}, slower
}

// candidate is a worker that has room for a unit, how slow it would be there, and how little it suits.
type candidate struct {
	worker *Worker
	slow   float64
	score  float64
}

// others returns workers that are about as fast as the chosen one and have room too, the best suited first.
// Dispatchers decide on pictures that are some milliseconds old, so the chosen worker's room may be gone.
func (p *Scheduler) others(unit *Unit, chosen []string) []string {
	if unit.Step().Gang || len(p.fitting) < 2 {
		return nil
	}
	bound := math.Inf(1)
	for _, c := range p.fitting {
		if c.worker.ID == chosen[0] {
			bound = c.slow + nearEqual
		}
	}
	best := make([]candidate, 0, otherChoices+1)
	for _, c := range p.fitting {
		if c.slow > bound || c.worker.ID == chosen[0] {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if best = slices.Insert(best, at, c); len(best) > otherChoices {
			best = best[:otherChoices]
		}
	}
	list := make([]string, len(best))
	for i, c := range best {
		list[i] = c.worker.ID
	}
	return list
}

// fasterRoom returns how many tasks of the step all workers hold at which it is faster than a bound.
func (p *Scheduler) fasterRoom(step *job.Step, bound float64) float64 {
	room := 0.0
	for _, worker := range p.list {
		slow := p.slowness(worker)
		if step.Affinity != "" && worker.Rack != step.Affinity {
			slow += math.Log(p.farX)
		}
		if able(worker, step) && slow < bound {
			room += 1 / max(share(step.Demand(), worker.Capacity), 0.01)
		}
	}
	return room
}

// findGang looks for room for all members, in one rack where the step asks for that.
func (p *Scheduler) findGang(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	if !step.SameRack && step.Affinity == "" {
		return p.fill(now, unit, ""), nil
	}
	racks := []string{}
	for _, worker := range p.list {
		if able(worker, step) && !slices.Contains(racks, worker.Rack) &&
			(step.Affinity == "" || worker.Rack == step.Affinity) {
			racks = append(racks, worker.Rack)
		}
	}
	best := []string(nil)
	for _, rack := range racks {
		found := p.fill(now, unit, rack)
		if found != nil && (best == nil || p.workers[found[0]].order < p.workers[best[0]].order) {
			best = found
		}
	}
	if best != nil {
		return best, nil
	}
	if found := p.fill(now, unit, ""); found != nil {
		first := p.workers[found[0]]
		return found, &slowerChoice{arm: &first.far, ratio: p.farX, faster: float64(len(unit.TaskIndices)) * float64(p.peers)}
	}
	return nil, nil
}

// fill places all members on workers of a rack ("" for any), or returns nil.
func (p *Scheduler) fill(now time.Duration, unit *Unit, rack string) []string {
	step := unit.Step()
	candidates := []*Worker{}
	for _, worker := range p.list {
		if able(worker, step) && now >= worker.pauseUntil && (rack == "" || worker.Rack == rack) &&
			worker.room().Covers(step.Demand()) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *Worker) int {
		scoreA := p.slowness(a)/nearEqual + share(a.room(), a.Capacity) + jitter*a.order
		scoreB := p.slowness(b)/nearEqual + share(b.room(), b.Capacity) + jitter*b.order
		switch {
		case scoreA < scoreB:
			return -1
		case scoreA > scoreB:
			return 1
		}
		return 0
	})
	workers := []string{}
	for _, worker := range candidates {
		room := worker.room()
		for count := 0; len(workers) < len(unit.TaskIndices) && room.Covers(step.Demand()); count++ {
			if step.AntiAffinity > 0 && count >= step.AntiAffinity {
				break
			}
			workers = append(workers, worker.ID)
			room = room.Minus(step.Demand())
		}
	}
	if len(workers) < len(unit.TaskIndices) {
		return nil
	}
	return workers
}
