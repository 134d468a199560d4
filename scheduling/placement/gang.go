package placement

import (
	"cmp"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// findGang returns workers for all members of a gang, or nil: a gang is placed as a whole or not at all. Where the step wants
// one rack, or has its data in one, that rack comes first; a placement over several racks is slower, and slower says what
// to decide by.
func (s *Scheduler) findGang(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	if !step.SameRack && step.Affinity == "" {
		return s.packGang(now, unit, ""), nil
	}
	var best []string
	for _, rack := range s.racksFor(step) {
		packed := s.packGang(now, unit, rack)
		if packed != nil && (best == nil || s.workers[packed[0]].ownOrder < s.workers[best[0]].ownOrder) {
			best = packed
		}
	}
	if best != nil {
		return best, nil
	}
	if packed := s.packGang(now, unit, ""); packed != nil {
		first := s.workers[packed[0]]
		slots := float64(len(unit.TaskIndices)) * float64(s.peers)
		return packed, &slowerChoice{parameters: &first.remote, runtimeRatio: s.remoteFactor, fasterSlots: slots}
	}
	return nil, nil
}

// racksFor returns the racks in which the step is not slowed, and that have an eligible worker.
func (s *Scheduler) racksFor(step *job.Step) []string {
	racks := []string{}
	for _, worker := range s.workerList {
		if eligible(worker, step) && !slices.Contains(racks, worker.rack) &&
			(step.Affinity == "" || worker.rack == step.Affinity) {
			racks = append(racks, worker.rack)
		}
	}
	return racks
}

// packGang fills the workers of a rack ("" for any) one after the other, the fastest and fullest first, until all members
// have one. It returns nil where some have none.
func (s *Scheduler) packGang(now time.Duration, unit *Unit, rack string) []string {
	step := unit.Step()
	candidates := []*workerState{}
	for _, worker := range s.workerList {
		if eligible(worker, step) && now >= worker.backoffUntil && (rack == "" || worker.rack == rack) &&
			worker.available().Covers(step.Demand()) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int { return cmp.Compare(s.gangScore(a), s.gangScore(b)) })
	workers := []string{}
	for _, worker := range candidates {
		available := worker.available()
		for count := 0; len(workers) < len(unit.TaskIndices) && available.Covers(step.Demand()); count++ {
			if step.AntiAffinity > 0 && count >= step.AntiAffinity {
				break
			}
			workers = append(workers, worker.id)
			available = available.Minus(step.Demand())
		}
	}
	if len(workers) < len(unit.TaskIndices) {
		return nil
	}
	return workers
}

// gangScore ranks workers for a gang; the least is the best.
func (s *Scheduler) gangScore(worker *workerState) float64 {
	return s.slowness(worker)/similarSpeed + dominantShare(worker.available(), worker.capacity) + ownOrderWeight*worker.ownOrder
}
