// Package wallclock filters jumps out of a machine's wall clock, for tasks that are scheduled for a time of day. The wall
// clock may jump by seconds and back, if someone sets it or a time server is wrong; a monotonic clock does not jump. A
// single reading of the wall clock therefore proves nothing, and a jump is accepted only after it has lasted for some
// time.
//
// A Clock has no I/O, clock or randomness: its caller passes it readings of both clocks. It is not safe for concurrent use.
package wallclock

import "time"

const (
	// tolerance is the largest difference between the origins of two readings that agree. It covers the delay between
	// reading the two clocks, and their drift since the newest reading.
	tolerance = 200 * time.Millisecond
	// acceptAfter is the time after which a lasting jump is accepted in any case.
	acceptAfter = 20 * time.Second
)

// Clock tracks a machine's time of day. The zero Clock accepts its first reading.
//
// A reading is stored as its origin: the wall-clock time at which the monotonic clock read zero. Two readings agree if their
// origins differ by at most tolerance.
type Clock struct {
	started    bool
	origin     time.Time     // the accepted origin
	acceptedAt time.Duration // monotonic time since when readings have agreed with the accepted origin

	contradicted   bool          // the newest reading does not agree with the accepted origin
	rivalOrigin    time.Time     // origin of the newest reading that contradicts the accepted origin
	rivalFirstRead time.Duration // monotonic time since when readings have agreed with rivalOrigin
}

// Now takes a reading of both clocks and returns the time of day. A contradicting origin is accepted once readings have
// agreed with it for as long as they had agreed with the accepted origin before, and after 20 s in any case. The first
// condition is for a process that started during a jump and so has seen no other origin: it must recover faster than it
// accepts a later jump.
func (c *Clock) Now(monotonic time.Duration, wall time.Time) time.Time {
	origin := wall.Add(-monotonic)
	switch {
	case !c.started:
		c.started, c.origin, c.acceptedAt = true, origin, monotonic
	case agree(origin, c.origin):
		c.origin, c.contradicted = origin, false
	case !c.contradicted || !agree(origin, c.rivalOrigin):
		c.contradicted, c.rivalOrigin, c.rivalFirstRead = true, origin, monotonic
	case monotonic-c.rivalFirstRead >= min(acceptAfter, c.rivalFirstRead-c.acceptedAt):
		c.origin, c.acceptedAt, c.contradicted = origin, c.rivalFirstRead, false
	default:
		c.rivalOrigin = origin
	}
	return c.origin.Add(monotonic)
}

func agree(a, b time.Time) bool { return a.Sub(b).Abs() <= tolerance }
