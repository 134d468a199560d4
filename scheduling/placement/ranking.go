package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"yardflow/scheduling/job"
)

const (
	// similarSpeed is the difference of slowness (ln) up to which workers count as equally fast, so that the better
	// filled one is taken: about 16%.
	similarSpeed = 0.15
	// ownOrderWeight is the weight of a dispatcher's own random order in a score, so that dispatchers which decide at the
	// same time prefer different workers among those that are alike.
	ownOrderWeight = 0.25
	// maxAlternatives is how many workers a decision names beside the chosen one.
	maxAlternatives = 3
)

// candidate is a feasible worker for a unit.
type candidate struct {
	worker   *workerState
	slowness float64 // ln of how many times as long the work takes there as usual
	score    float64 // by which workers of similar speed are ranked; the least is the best: it is filled most
	remote   bool    // it is away from the unit's data
}

// betterThan reports whether c ranks before another candidate: by speed, and where that is similar, by score.
func (c *candidate) betterThan(other *candidate) bool {
	return c.slowness < other.slowness-similarSpeed || c.slowness < other.slowness+similarSpeed && c.score < other.score
}

// slownessFor returns how slow the worker is for a step (ln), and whether it is away from the step's data.
func (s *Scheduler) slownessFor(worker *workerState, step *job.Step, remotePenalty float64) (slowness float64, remote bool) {
	slowness = s.slowness(worker)
	if remote = step.Affinity != "" && worker.rack != step.Affinity; remote {
		slowness += remotePenalty
	}
	return slowness, remote
}

// findWorker returns the best feasible worker for a task. Where it is not about as fast as the fastest eligible one, slower
// says what to decide by.
func (s *Scheduler) findWorker(now time.Duration, unit *Unit) (workers []string, slower *slowerChoice) {
	step := unit.Step()
	s.candidates = s.candidates[:0]
	remotePenalty := math.Log(s.remoteFactor)
	nearHeadroom := s.headroomFor(unit)
	farHeadroom := s.remoteHeadroomFor(unit, nearHeadroom)
	placed := placedPerWorker(unit)
	best, fastest := -1, math.Inf(1)
	for _, worker := range s.workerList {
		if !eligible(worker, step) {
			continue
		}
		slowness, remote := s.slownessFor(worker, step, remotePenalty)
		fastest = min(fastest, slowness)
		headroom := nearHeadroom
		if remote {
			headroom = farHeadroom
		}
		if !s.feasible(now, unit, worker, headroom, placed) {
			continue
		}
		score := dominantShare(worker.available().Minus(step.Demand()), worker.capacity) + ownOrderWeight*worker.ownOrder
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
		slower = &slowerChoice{parameters: &chosen.worker.local, runtimeRatio: math.Exp(chosen.slowness - fastest), remote: chosen.remote}
		if chosen.remote {
			slower.parameters = &chosen.worker.remote
		}
		slower.fasterSlots = s.slotsFasterThan(step, chosen.slowness-similarSpeed)
	}
	return []string{chosen.worker.id}, slower
}

// alternatives returns workers that are about as fast as the chosen one and feasible too, the best first. Dispatchers
// decide on a view that is some milliseconds old, so what is free at the chosen worker may be taken.
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

// slotsFasterThan returns how many tasks of the step fit on all eligible workers together, were these idle, that are
// faster than a bound (ln).
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
