// Package wallclock tells the time of day for tasks that are due at a time. A machine's time of day may jump by seconds
// and back; its steady clock does not. So one reading proves nothing: a jump is believed only once it has lasted.
//
// A Clock has no I/O, clock or randomness: it is handed readings of both clocks.
package wallclock

import "time"

const (
	// tolerance is how far two readings may differ that count as the same: delays between readings, and the drift of
	// two clocks since the last one.
	tolerance = 200 * time.Millisecond
	// believeAfter is how long a jump must last at most until it is believed.
	believeAfter = 20 * time.Second
)

// Clock follows a machine's time of day. The zero Clock believes its first reading.
type Clock struct {
	read     bool
	zero     time.Time     // the time of day at the zero of the steady clock, as it is believed
	believed time.Duration // since when, on the steady clock
	doubtful bool          // the newest readings contradict it
	other    time.Time     // by them, the time of day at the zero of the steady clock
	since    time.Duration // since when they do
}

// Now takes a reading of both clocks and returns the time of day. A reading that contradicts those before is believed once
// it has lasted as long as what it contradicts has been believed, and after 20 s in any case: a process that started
// during a jump has seen nothing else.
func (c *Clock) Now(steady time.Duration, wall time.Time) time.Time {
	zero := wall.Add(-steady)
	switch {
	case !c.read:
		c.read, c.zero, c.believed = true, zero, steady
	case near(zero, c.zero):
		c.zero, c.doubtful = zero, false
	case !c.doubtful || !near(zero, c.other):
		c.doubtful, c.other, c.since = true, zero, steady
	case steady-c.since >= min(believeAfter, c.since-c.believed):
		c.zero, c.believed, c.doubtful = zero, c.since, false
	default:
		c.other = zero
	}
	return c.zero.Add(steady)
}

func near(a, b time.Time) bool { return a.Sub(b).Abs() <= tolerance }
