// Package workerpool divides workers among dispatchers and among classes of jobs, so that not all of them use
// all workers. Each dispatcher has an arc of a ring of workers, and each class has a pool of workers in
// proportion to its work.
//
// Classes have separate pools because, when many dispatchers that do not communicate send to one worker, each
// knows almost nothing about the worker's queue. With 300 dispatchers, the wait of a dispatcher's own last
// job has a correlation of 0.04 to 0.13 with the worker's queue a second later, and a load report at most
// 0.1. In a shared pool, a short job that must start at once therefore often waits behind a long job that
// could have waited itself. With separate pools, short jobs do not meet long ones. This is size-based
// partitioning as in SITA (Harchol-Balter, Crovella and Murta, 1999), by class instead of size, since sizes
// are unknown.
//
// Invariants: arcs of equal lengths that begin at equal distances cover all workers equally; a worker's pool
// depends only on its id and the shares, so adding or removing workers does not move others. The package has
// no clock and no randomness, and does not choose workers.
package workerpool

import "math"

// minSize is the least size that a place counts as, to avoid a division by zero.
const minSize = 1e-9

// ArcCoverage returns the share (0 to 1) of each place on a ring that lies in an arc, in the order of the
// places. The arc begins at start and has the given length, both in the unit of the sizes, and may wrap
// around the end of the ring.
func ArcCoverage(sizes []float64, start, length float64) []float64 {
	covered := make([]float64, len(sizes))
	for at, i := -start, 0; i < 2*len(sizes) && at < length; i++ { // two rounds, as the arc may wrap around
		n, size := i%len(sizes), sizes[i%len(sizes)]
		inArc := max(min(at+size, length)-max(at, 0), 0)
		covered[n] = min(covered[n]+inArc/max(size, minSize), 1)
		at += size
	}
	return covered
}

// PoolAt returns the index of a worker's pool, given the worker's position (0 to 1, a hash of its id) and the
// shares of the pools, in any unit.
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

// minShareChange is the change, as a part of the sum of all shares, above which a share counts as changed.
// Shares are rough estimates, and after each change some workers have jobs of a class that no longer belongs
// to their pool.
const minShareChange = 0.05

// SharesChanged reports whether any share, as a part of the sum of all shares, differs by more than 0.05.
func SharesChanged(was, now []float64) bool {
	if len(was) != len(now) {
		return true
	}
	wasSum, nowSum := 0.0, 0.0
	for i := range was {
		wasSum, nowSum = wasSum+was[i], nowSum+now[i]
	}
	for i := range was {
		if math.Abs(was[i]/wasSum-now[i]/nowSum) > minShareChange {
			return true
		}
	}
	return false
}

// RecentWork is the work of one class's jobs in about the last 50 s, in slot-seconds. It decays
// exponentially.
type RecentWork float64

const (
	// priorWork is the work, in slot-seconds, that is added to the observed work of each class, which draws
	// the shares towards equal ones. One of many dispatchers sees a few dozen jobs, of which single long jobs
	// are a large part; with a smaller prior, one long job would change the shares completely.
	priorWork = 8.0
	// decayPerSecond is the factor by which the work decays per second: a time constant of about 50 s.
	decayPerSecond = 0.98
)

// Add adds the work of one run, in slot-seconds.
func (w *RecentWork) Add(slotSeconds float64) { *w += RecentWork(slotSeconds) }

// Decay applies the decay of one second.
func (w *RecentWork) Decay() { *w *= decayPerSecond }

// Estimate returns the observed work plus the prior, in slot-seconds, for comparison with other classes.
func (w *RecentWork) Estimate() float64 { return float64(*w) + priorWork }
