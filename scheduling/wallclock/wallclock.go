// Package wallclock filters a machine's time of day for tasks that are due at a time. A time of day may jump by seconds and
// back, where it is set or a time server errs; a steady (monotonic) clock does not jump. So a single reading proves
// nothing: a jump is accepted only once it has lasted.
//
// A Clock has no I/O, clock or randomness: it is handed readings of both clocks. It is not safe for concurrent use.
package wallclock

import "time"

const (
	// tolerance is the difference up to which two readings agree: the delay between reading the two clocks, and their
	// drift since the newest reading.
	tolerance = 200 * time.Millisecond
	// acceptAfter is how long a jump must last at most until it is accepted.
	acceptAfter = 20 * time.Second
)

// Clock follows a machine's time of day. The zero Clock accepts its first reading.
//
// A reading is kept as its origin: the time of day at which the steady clock read zero. Readings agree where their origins
// do.
type Clock struct {
	started    bool
	origin     time.Time     // the accepted one
	acceptedAt time.Duration // steady clock: since when readings agreed with it

	contradicted   bool          // the newest readings do not agree with the accepted origin
	rivalOrigin    time.Time     // theirs
	rivalFirstRead time.Duration // steady clock: since when readings agree with the rival
}

// Now takes a reading of both clocks and returns the time of day. A reading that contradicts the accepted ones is accepted
// once it has lasted as long as those had, and after 20 s in any case: a process that started during a jump has seen
// nothing else, and must not take as long to recover as it takes to believe a jump later on.
func (c *Clock) Now(steady time.Duration, wall time.Time) time.Time {
	origin := wall.Add(-steady)
	switch {
	case !c.started:
		c.started, c.origin, c.acceptedAt = true, origin, steady
	case agree(origin, c.origin):
		c.origin, c.contradicted = origin, false
	case !c.contradicted || !agree(origin, c.rivalOrigin):
		c.contradicted, c.rivalOrigin, c.rivalFirstRead = true, origin, steady
	case steady-c.rivalFirstRead >= min(acceptAfter, c.rivalFirstRead-c.acceptedAt):
		c.origin, c.acceptedAt, c.contradicted = origin, c.rivalFirstRead, false
	default:
		c.rivalOrigin = origin
	}
	return c.origin.Add(steady)
}

func agree(a, b time.Time) bool { return a.Sub(b).Abs() <= tolerance }
