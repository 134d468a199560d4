// Package waitestimate keeps what one dispatcher of many can know of how long a job would
// wait at a worker. It meets each worker seldom, so a report of free slots is long out
// of date when it is used; but a queue that has built up stays for some seconds, and
// how long the last job waited there tells of it. What is known fades into what is
// common to the fleet, which all of this dispatcher's jobs together tell.
//
// It owns these figures. It has no clock and no randomness, and it must never choose.
package waitestimate

import (
	"math"
	"time"
)

// DecayTime is the time in which what is known of one worker's queue fades to 1/e. By
// measurement: what an own job has waited tells of the jobs at its worker then with a
// correlation of 0.5 to 0.65, half a second later of 0.13 to 0.24, 2 s later of none
// (two calm days of 300 dispatchers).
const DecayTime = 1500 * time.Millisecond

// FleetWait is the wait that is usual in the fleet, in seconds.
type FleetWait struct{ mean, seen float64 }

// commonMemory is how many jobs the usual wait is taken over.
const commonMemory = 40

// Observe takes in one wait, in seconds.
func (c *FleetWait) Observe(wait float64) {
	c.seen = min(c.seen+1, commonMemory)
	c.mean += (wait - c.mean) / c.seen
}

// Mean is the usual wait in seconds; 0 before any was seen.
func (c *FleetWait) Mean() float64 { return c.mean }

// WorkerWait is what is known of one worker; the zero value knows nothing.
type WorkerWait struct {
	last float64       // seconds
	at   time.Duration // when it held; 0: never seen
}

// Observe takes in how long a job waited, in seconds; now is on the host's clock, over 0.
func (w *WorkerWait) Observe(now time.Duration, wait float64) { w.last, w.at = wait, now }

// ObserveAtLeast takes in that a job has waited so long already, in seconds, and still does.
func (w *WorkerWait) ObserveAtLeast(now time.Duration, wait float64, c *FleetWait) {
	if wait > w.Expected(now, c) {
		w.last, w.at = wait, now
	}
}

// Expected is the wait that is expected, in seconds.
func (w *WorkerWait) Expected(now time.Duration, c *FleetWait) float64 {
	if w.at == 0 {
		return c.mean
	}
	return c.mean + (w.last-c.mean)*math.Exp(-float64(now-w.at)/float64(DecayTime))
}
