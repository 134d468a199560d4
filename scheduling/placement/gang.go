package placement

import (
	"cmp"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// findGang returns workers for all members of a gang, or nil: a gang is placed as a whole or not at all. If the step asks
// for a single rack, or its data is in one rack, placements within one rack come first. A placement over several racks is
// slower; in that case slower describes the choice between taking it and waiting.
func (s *Scheduler) findGang(now time.Duration, unit *Unit, rule backoffRule) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	if !step.SameRack && step.Affinity == "" {
		return s.packGang(now, unit, "", rule), nil
	}
	var best []string
	for _, rack := range s.racksFor(step) {
		packed := s.packGang(now, unit, rack, rule)
		if packed != nil && (best == nil || s.workers[packed[0]].randomPreference < s.workers[best[0]].randomPreference) {
			best = packed
		}
	}
	if best != nil {
		return best, nil
	}
	if packed := s.packGang(now, unit, "", rule); packed != nil {
		first := s.workers[packed[0]]
		slots := float64(len(unit.TaskIndices)) * float64(s.peers)
		return packed, &slowerChoice{parameters: &first.remote, runtimeRatio: s.remoteFactor, fasterSlots: slots}
	}
	return nil, nil
}

// racksFor returns the racks that have an eligible worker and in which the step runs at full speed.
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

// packGang assigns the members of a gang to the workers of a rack ("" for any rack), filling one worker after the other,
// the fastest and fullest first. It returns nil if not all members fit.
func (s *Scheduler) packGang(now time.Duration, unit *Unit, rack string, rule backoffRule) []string {
	step := unit.Step()
	candidates := []*workerState{}
	for _, worker := range s.workerList {
		if eligible(worker, step) && s.admits(now, unit, worker, rule) && (rack == "" || worker.rack == rack) &&
			worker.available().Covers(step.Demand()) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int { return cmp.Compare(s.gangScore(a), s.gangScore(b)) })
	workers := []string{}
	for _, worker := range candidates {
		available := worker.available()
		for count := 0; len(workers) < len(unit.TaskIndices) && available.Covers(step.Demand()); count++ {
			if step.AntiAffinity > 0 && count >= step.AntiAffinity || count > 0 && rule == tryOneTask && now < worker.avoidUntil {
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

// gangScore ranks workers for a gang; the lowest score is the best.
func (s *Scheduler) gangScore(worker *workerState) float64 {
	return s.slowness(worker)/similarSpeed + dominantShare(worker.available(), worker.capacity) +
		randomPreferenceWeight*worker.randomPreference
}
