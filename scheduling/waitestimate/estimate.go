// Package waitestimate estimates how long a job would wait at a worker, from what one dispatcher of
// many sees. It meets each worker seldom, so a report of free slots is long out of date when it is used;
// but a queue that has built up stays for some seconds, and how long the last job waited there tells of
// it. What is known of a worker decays into the fleet's mean, which all of this dispatcher's jobs give.
//
// It has no clock and no randomness: times are passed in, on a clock that does not run back. It never
// chooses a worker. An estimate is never below the lesser, and never above the greater, of the worker's
// last wait and the fleet's mean.
package waitestimate

import (
	"math"
	"time"
)

// DecayTime is the time in which what is known of one worker's queue decays to 1/e. By measurement on two
// calm days of 300 dispatchers, what an own job has waited correlates with the queue of its worker then
// by 0.5 to 0.65, half a second later by 0.13 to 0.24, and 2 s later not at all.
const DecayTime = 1500 * time.Millisecond

// meanJobs is how many jobs the fleet's mean wait is taken over. Fewer make it noisy, more slow to follow a
// change of load.
const meanJobs = 40

// FleetWait is the mean wait in the fleet, over the latest jobs. The zero value has seen none.
type FleetWait struct {
	mean float64 // seconds
	jobs float64 // seen, up to meanJobs
}

// Observe takes in one wait, in seconds.
func (f *FleetWait) Observe(wait float64) {
	f.jobs = min(f.jobs+1, meanJobs)
	f.mean += (wait - f.mean) / f.jobs
}

// Mean is the mean wait in seconds; 0 before any was seen.
func (f *FleetWait) Mean() float64 { return f.mean }

// WorkerWait is what is known of one worker; the zero value knows nothing.
type WorkerWait struct {
	last       float64       // seconds
	observedAt time.Duration // 0: never
}

// Observe takes in how long a job has waited, in seconds; now is on the host's clock, over 0.
func (w *WorkerWait) Observe(now time.Duration, wait float64) { w.last, w.observedAt = wait, now }

// ObserveAtLeast takes in that a job has waited for so long, in seconds, and still does.
func (w *WorkerWait) ObserveAtLeast(now time.Duration, wait float64, fleet *FleetWait) {
	if wait > w.Expected(now, fleet) {
		w.Observe(now, wait)
	}
}

// Expected is the wait that a job sent now is expected to have, in seconds.
func (w *WorkerWait) Expected(now time.Duration, fleet *FleetWait) float64 {
	if w.observedAt == 0 {
		return fleet.mean
	}
	return fleet.mean + (w.last-fleet.mean)*math.Exp(-float64(now-w.observedAt)/float64(DecayTime))
}
