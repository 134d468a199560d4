// Package workerpool divides workers among those who would else meet at all of them: the dispatchers,
// each of which keeps to an arc of a ring of workers, and the classes of jobs, each of which has a pool of
// workers in proportion to its work.
//
// Why classes are kept apart: where many dispatchers that cannot talk send to one worker, each knows
// next to nothing of what waits there. With 300 of them, what an own job has waited correlates with the
// worker's queue a second later by 0.04 to 0.13, a load report by 0.1 at the most. So a short job that has to
// start at once cannot be kept from standing behind a long one that could as well have waited. With
// workers of their own the short ones meet no long one at all: size-based partition in the manner of
// Harchol-Balter, Crovella and Murta (SITA, 1999), by class here, since sizes are not known.
//
// Invariants: arcs of equal lengths that begin at even distances cover every worker alike; a worker's
// pool depends on its own id and the shares alone, so workers that come and go move no other. The
// package has no clock and no randomness, and never chooses a worker.
package workerpool

import "math"

// leastSize is what a worker's size counts as at the least, so that nothing is divided by 0.
const leastSize = 1e-9

// ArcCoverage returns, for each place on a ring in order, what part of it (0 to 1) lies in an arc. Places
// have sizes; the arc begins at start and goes on for length, both in the unit of the sizes, and may
// pass the ring's end.
func ArcCoverage(sizes []float64, start, length float64) []float64 {
	covered := make([]float64, len(sizes))
	for at, i := -start, 0; i < 2*len(sizes) && at < length; i++ { // twice round
		n, size := i%len(sizes), sizes[i%len(sizes)]
		inArc := max(min(at+size, length)-max(at, 0), 0)
		covered[n] = min(covered[n]+inArc/max(size, leastSize), 1)
		at += size
	}
	return covered
}

// PoolAt returns the index of the pool that a worker is in, by its position (0 to 1, spread evenly by its
// id alone) and the pools' shares, in any unit.
func PoolAt(position float64, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		if position -= s / sum; position < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// leastShareChange is the part of the whole by which a share has to change to count: what is known of it
// is rough, and with each change some workers hold jobs that are in the wrong pool then.
const leastShareChange = 0.05

// SharesChanged tells whether any share is another part of the whole than it was, by more than 0.05.
func SharesChanged(was, now []float64) bool {
	if len(was) != len(now) {
		return true
	}
	wasSum, nowSum := 0.0, 0.0
	for i := range was {
		wasSum, nowSum = wasSum+was[i], nowSum+now[i]
	}
	for i := range was {
		if math.Abs(was[i]/wasSum-now[i]/nowSum) > leastShareChange {
			return true
		}
	}
	return false
}

// RecentWork is the work that one class has lately brought, in slot-seconds.
type RecentWork float64

const (
	// priorWork is the work, in slot-seconds, that each class is taken to have brought beside what was
	// seen. One dispatcher of many sees a few dozen jobs, of which single long ones are a good part, so its
	// shares are drawn to even ones; with less, one long job would turn them over.
	priorWork = 8.0
	// decayPerSecond is what is left of the work after a second: a memory of some 50 s.
	decayPerSecond = 0.98
)

// Add takes in a run, in slot-seconds.
func (w *RecentWork) Add(slotSeconds float64) { *w += RecentWork(slotSeconds) }

// Decay lets a second pass.
func (w *RecentWork) Decay() { *w *= decayPerSecond }

// Estimate is the class's work in comparison with others', in slot-seconds: what was seen and the prior.
func (w *RecentWork) Estimate() float64 { return float64(*w) + priorWork }
