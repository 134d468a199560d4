// Package stateclock decides when the clock of the replicated state may advance. The clock is a counter of ticks that the
// head of the chain proposes; the state measures with it how long it keeps the records of finished jobs.
//
// Every control machine keeps a [Witness], whether or not it is the head. The witness holds a lower bound of the time that
// has passed since the present tick was committed: the time since this machine applied the tick. A machine that becomes the
// head goes on from its own witness, so a change of the head neither shortens a tick nor starts it anew.
//
// Invariants, which the tests check in random schedules of restarts, pauses and changes of the head:
//
//   - Never early: between the commits of two consecutive ticks at least one Interval passes, whoever proposes them.
//   - Never standing still: the clock advances if there is always a machine that has applied the present tick and stays up
//     until the next one.
//
// The package has no I/O and reads no clock: callers pass the time on any monotonic clock of their process.
package stateclock

import "time"

// Interval is the time that has to pass before the clock advances by one tick.
const Interval = 5 * time.Second

// Witness is what one machine knows of the time since the present tick. It is not safe for concurrent use.
type Witness struct {
	tick       uint64
	isObserved bool          // a tick has been observed
	observedAt time.Duration // when this machine applied the tick
}

// Observe records that the replicated state shows a tick at the given time. Observations of the same tick after the first
// one change nothing.
func (w *Witness) Observe(now time.Duration, tick uint64) {
	if w.isObserved && tick == w.tick {
		return
	}
	w.tick, w.isObserved, w.observedAt = tick, true, now
}

// Age returns a lower bound of the time since the present tick was committed, or 0 if no tick was observed.
func (w *Witness) Age(now time.Duration) time.Duration {
	if !w.isObserved {
		return 0
	}
	return now - w.observedAt
}

// MayAdvance reports whether a whole Interval has passed since the present tick was committed.
func (w *Witness) MayAdvance(now time.Duration) bool { return w.Age(now) >= Interval }
