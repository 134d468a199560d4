// Package workerpool parts loan workers among those who would else meet at all of them: the
// dispatchers, each of which keeps to an arc of a circle, and the classes of jobs, each of
// which has a pool in the measure of its work.
//
// Why classes are parted: where many dispatchers that cannot talk send to one worker, each
// knows next to nothing of what waits there (seen with 300 of them: what an own job has
// waited tells of the worker's queue a second later with a correlation of 0.13 to 0.04, a
// load report with 0.1 at the most). So a short job that has to start at once can't be kept
// from standing behind a long one that could as well have waited. With workers of their own
// the short ones meet no long one at all: parting by size, in the manner of Harchol-Balter,
// Crovella and Murta (SITA, 1999), by class here, since sizes are not told.
//
// It owns that arithmetic. It has no clock and no randomness, and must never choose a worker.
package workerpool

import "math"

// ArcCoverage gives of each place on a circle, in order, what part of it (0 to 1) lies in an arc.
// Places have sizes; the arc begins at start and goes on for length, both in the unit of
// the sizes, and may pass the circle's end.
func ArcCoverage(sizes []float64, start, length float64) []float64 {
	out := make([]float64, len(sizes))
	for at, i := -start, 0; i < 2*len(sizes) && at < length; i++ { // twice round
		n, size := i%len(sizes), sizes[i%len(sizes)]
		out[n] = min(out[n]+max(min(at+size, length)-max(at, 0), 0)/max(size, 1e-9), 1)
		at += size
	}
	return out
}

// PoolAt tells whose pool a worker is in, by its spot (0 to 1, spread evenly by its id alone,
// so that others that come and go leave it where it is) and the pools' shares, in any unit.
func PoolAt(spot float64, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		if spot -= s / sum; spot < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// step is the part of the whole by which a share has to have moved: what is known of it is
// rough, and with each move some workers hold jobs that are in the wrong pool then.
const step = 0.05

// SharesChanged tells whether a share is another part of the whole than it was.
func SharesChanged(was, now []float64) bool {
	if len(was) != len(now) {
		return true
	}
	a, b := 0.0, 0.0
	for i := range was {
		a, b = a+was[i], b+now[i]
	}
	for i := range was {
		if math.Abs(was[i]/a-now[i]/b) > step {
			return true
		}
	}
	return false
}

// RecentWork is the work that one class has lately brought, in slot seconds.
type RecentWork float64

// prior is the work, in slot seconds, that each class is taken to have brought before any
// was seen: as much as the others. One dispatcher of many sees a few dozen jobs, of which
// single long ones are a good part, so its shares are drawn to even ones.
const prior = 8.0

// fade is what is left of a flow after a second: a memory of some 50 s.
const fade = 0.98

// Add takes in a run, in slot seconds.
func (f *RecentWork) Add(seconds float64) { *f += RecentWork(seconds) }

// Decay lets a second pass.
func (f *RecentWork) Decay() { *f *= fade }

// Estimate is the class's work beside that of others.
func (f *RecentWork) Estimate() float64 { return float64(*f) + prior }
