// Package lease is leases with numbers, as all of the fleet's agreements have them: the granter's
// half, which knows what may still be held, and the holder's half, which knows what it may do now.
//
// A lease is numbered (the number fences: whoever acts by an older one is refused), and it counts
// as held from when it was given until the granter's clock has passed an end that was set only
// after it was given, so that it is over at its holder first: that one counts from before it
// asked, on its own monotonic clock, and takes the lease as shorter by twice the drift.
//
// It has no clock, draw or I/O; times are handed in, each half's by its own clock.
package lease

import (
	"slices"
	"time"
)

// Drift is the bound on how much faster or slower one monotonic clock runs than another.
const Drift = 0.01

// Lease is one that was given.
type Lease struct {
	No    uint64
	Until time.Duration // it ends; 0: it does not count yet, and holds
}

// Leases are one holder's, the oldest first.
type Leases []Lease

// Give adds one. Its holder goes by the one numbered heard: older ones are in use no more.
func (l *Leases) Give(no, heard uint64) {
	*l = append(slices.DeleteFunc(*l, func(g Lease) bool { return g.No < heard }), Lease{No: no})
}

// Counted notes that all up to a number count, until then.
func (l Leases) Counted(no uint64, until time.Duration) {
	for i := range l {
		if l[i].No <= no && l[i].Until == 0 {
			l[i].Until = until
		}
	}
}

// End notes that the holder acts by none of them any more, by its own word.
func (l Leases) End(now time.Duration) {
	for i := range l {
		l[i].Until = max(now, 1)
	}
}

// Over is the one of a number, and whether it is known to be over; false where there is none.
func (l Leases) Over(no uint64, now time.Duration) (g Lease, over, ok bool) {
	i := slices.IndexFunc(l, func(g Lease) bool { return g.No == no })
	if i < 0 {
		return Lease{}, false, false
	}
	return l[i], l[i].Until > 0 && l[i].Until <= now, true
}

// Oldest is the place of the oldest that may be held; -1: none may.
func (l Leases) Oldest(now time.Duration) int {
	return slices.IndexFunc(l, func(g Lease) bool { return g.Until == 0 || g.Until > now })
}

// Last is when the newest ends; 0: there is none, or it does not count yet.
func (l Leases) Last() time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].Until
}

// Drop forgets so many of the oldest.
func (l *Leases) Drop(n int) { *l = slices.Delete(*l, 0, n) }

// Held is a holder's half of one lease. The zero value holds nothing.
type Held struct {
	until  time.Duration // 0: none
	length time.Duration // as it was given
}

// Take takes up a lease that was asked for at a moment of the holder's clock.
func (h *Held) Take(asked, length time.Duration) {
	h.length = length
	h.until = asked + time.Duration(float64(length)*(1-2*Drift))
}

// Leave ends it by the holder's own doing.
func (h *Held) Leave() { h.until = 0 }

// Holds tells whether it holds at a moment. It is asked then, never kept as a flag: whoever was
// stopped for a while finds out at its next look.
func (h Held) Holds(now time.Duration) bool { return h.until > now }

// Until is when it ends; 0: there is none.
func (h Held) Until() time.Duration { return h.until }

// Length is that of the latest, as it was given.
func (h Held) Length() time.Duration { return h.length }
