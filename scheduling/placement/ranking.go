package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

const (
	// similarSpeed is the difference in slowness (ln) up to which workers count as equally fast, about 16%. Among equally
	// fast workers the fuller one is preferred.
	similarSpeed = 0.15
	// randomPreferenceWeight is the weight of randomPreference in a score. It makes dispatchers that decide at the same time
	// prefer different workers among similar ones.
	randomPreferenceWeight = 0.25
	// maxAlternatives is the maximum number of alternative workers in a decision.
	maxAlternatives = 3
)

// candidate is a feasible worker for a unit.
type candidate struct {
	worker   *workerState
	slowness float64 // ln of the ratio of the run time there to the usual run time
	score    float64 // ranks workers of similar speed; the lowest score (the fullest worker) is the best
	remote   bool    // the worker is outside the rack of the unit's data
}

// betterThan reports whether c ranks before another candidate: by speed, and for similar speeds by score.
func (c *candidate) betterThan(other *candidate) bool {
	return c.slowness < other.slowness-similarSpeed || c.slowness < other.slowness+similarSpeed && c.score < other.score
}

// slownessFor returns the worker's slowness (ln) for a step, and whether it is outside the rack of the step's data.
func (s *Scheduler) slownessFor(worker *workerState, step *job.Step, remotePenalty float64) (slowness float64, remote bool) {
	slowness = s.slowness(worker)
	if remote = step.Affinity != "" && worker.rack != step.Affinity; remote {
		slowness += remotePenalty
	}
	return slowness, remote
}

// findWorker returns the best feasible worker for a task. If it is clearly slower than the fastest eligible worker, slower
// describes the choice between taking it and waiting.
func (s *Scheduler) findWorker(now time.Duration, unit *Unit, rule backoffRule) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	s.candidates = s.candidates[:0]
	remotePenalty := math.Log(s.remoteFactor)
	localHeadroom := s.requiredHeadroom(unit)
	remoteHeadroom := s.requiredRemoteHeadroom(unit, localHeadroom)
	placed := placedPerWorker(unit)
	best, fastest := -1, math.Inf(1)
	for _, worker := range s.workerList {
		if !eligible(worker, step) {
			continue
		}
		slowness, remote := s.slownessFor(worker, step, remotePenalty)
		fastest = min(fastest, slowness)
		headroom := localHeadroom
		if remote {
			headroom = remoteHeadroom
		}
		if !s.admits(now, unit, worker, rule) || !s.feasible(now, unit, worker, headroom, placed) {
			continue
		}
		score := dominantShare(worker.available().Minus(step.Demand()), worker.capacity) +
			randomPreferenceWeight*worker.randomPreference
		s.candidates = append(s.candidates, candidate{worker, slowness, score, remote})
		if last := len(s.candidates) - 1; best < 0 || s.candidates[last].betterThan(&s.candidates[best]) {
			best = last
		}
	}
	if best < 0 {
		return nil, nil
	}
	chosen := &s.candidates[best]
	if chosen.slowness > fastest+2*similarSpeed {
		slower = &slowerChoice{parameters: &chosen.worker.local, runtimeRatio: math.Exp(chosen.slowness - fastest),
			remote: chosen.remote}
		if chosen.remote {
			slower.parameters = &chosen.worker.remote
		}
		slower.fasterSlots = s.slotsFasterThan(step, chosen.slowness-similarSpeed)
	}
	return []string{chosen.worker.id}, slower
}

// alternatives returns feasible workers about as fast as the chosen one, the best first. They are needed because dispatchers
// decide on a view that is some milliseconds old, so another dispatcher may already have taken the chosen worker's capacity.
func (s *Scheduler) alternatives(unit *Unit, chosen []string) []string {
	if unit.Step().Gang || len(s.candidates) < 2 {
		return nil
	}
	bound := math.Inf(1)
	for _, c := range s.candidates {
		if c.worker.id == chosen[0] {
			bound = c.slowness + similarSpeed
		}
	}
	best := make([]candidate, 0, maxAlternatives+1)
	for _, c := range s.candidates {
		if c.slowness > bound || c.worker.id == chosen[0] {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
		if best = slices.Insert(best, at, c); len(best) > maxAlternatives {
			best = best[:maxAlternatives]
		}
	}
	ids := make([]string, len(best))
	for i, c := range best {
		ids[i] = c.worker.id
	}
	return ids
}

// slotsFasterThan returns how many tasks of the step would fit on all idle eligible workers whose slowness is below a bound
// (ln).
func (s *Scheduler) slotsFasterThan(step *job.Step, bound float64) float64 {
	slots, remotePenalty := 0.0, math.Log(s.remoteFactor)
	for _, worker := range s.workerList {
		slowness, _ := s.slownessFor(worker, step, remotePenalty)
		if eligible(worker, step) && slowness < bound {
			slots += 1 / max(dominantShare(step.Demand(), worker.capacity), 0.01)
		}
	}
	return slots
}
