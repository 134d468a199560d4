// Package stateclock decides when the clock of the replicated state may advance. The clock is a counter of ticks that the
// head of the chain proposes; the state measures with it how long it keeps the records of finished jobs.
//
// Every control machine keeps a [Witness], whether or not it is the head. The witness holds a lower bound of the time that
// has passed since the present tick was committed: the time since this machine applied the tick, or the age of the tick that
// the state had recorded, and the time since then. A machine that becomes the head goes on from its own witness, so a change
// of the head neither shortens a tick nor starts it anew.
//
// Invariants, which the tests check in random schedules of restarts, pauses and changes of the head:
//
//   - Never early: between the commits of two consecutive ticks at least one Interval passes, whoever proposes them.
//   - Never standing still: the clock advances if there is always a machine that has applied the present tick and stays up
//     until the next one, or if heads stay up for longer than RecordInterval and the state records ages.
//
// The package has no I/O and reads no clock: callers pass the time on any monotonic clock of their process.
package stateclock

import "time"

// Interval is the time that has to pass before the clock advances by one tick.
const Interval = 5 * time.Second

// RecordInterval is by how much the age of a tick has to exceed the recorded one to be recorded again.
const RecordInterval = time.Second

// Witness is what one machine knows of the time since the present tick. It is not safe for concurrent use.
type Witness struct {
	tick       uint64
	isObserved bool          // a tick has been observed
	beganAt    time.Duration // the tick was committed at this time of the process's clock, or earlier
}

// Observe records that the replicated state shows a tick, with its recorded age, at the given time.
func (w *Witness) Observe(now time.Duration, tick uint64, recordedAge time.Duration) {
	if !w.isObserved || tick != w.tick {
		w.tick, w.isObserved, w.beganAt = tick, true, now
	}
	w.beganAt = min(w.beganAt, now-recordedAge)
}

// Age returns a lower bound of the time since the present tick was committed, or 0 if no tick was observed.
func (w *Witness) Age(now time.Duration) time.Duration {
	if !w.isObserved {
		return 0
	}
	return now - w.beganAt
}

// MayAdvance reports whether a whole Interval has passed since the present tick was committed.
func (w *Witness) MayAdvance(now time.Duration) bool { return w.Age(now) >= Interval }

// MayRecord reports whether the age of the present tick exceeds the recorded one by RecordInterval.
func (w *Witness) MayRecord(now, recordedAge time.Duration) bool {
	return w.Age(now)-recordedAge >= RecordInterval
}
