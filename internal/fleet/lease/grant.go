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

// MaxClockDrift is the bound on how much faster or slower one monotonic clock runs than another.
const MaxClockDrift = 0.01

// Lease is one that was given.
type Lease struct {
	Number uint64        `cbor:"No" json:"No"`
	Expiry time.Duration `cbor:"Until" json:"Until"` // it ends; 0: it does not count yet, and holds
}

// Granter are one holder's, the oldest first.
type Granter []Lease

// Grant adds one. Its holder goes by the one numbered heard: older ones are in use no more.
func (l *Granter) Grant(no, heard uint64) {
	*l = append(slices.DeleteFunc(*l, func(g Lease) bool { return g.Number < heard }), Lease{Number: no})
}

// StartExpiry notes that all up to a number count, until then.
func (l Granter) StartExpiry(no uint64, until time.Duration) {
	for i := range l {
		if l[i].Number <= no && l[i].Expiry == 0 {
			l[i].Expiry = until
		}
	}
}

// Release notes that the holder acts by none of them any more, by its own word.
func (l Granter) Release(now time.Duration) {
	for i := range l {
		l[i].Expiry = max(now, 1)
	}
}

// Expired is the one of a number, and whether it is known to be over; false where there is none.
func (l Granter) Expired(no uint64, now time.Duration) (g Lease, over, ok bool) {
	i := slices.IndexFunc(l, func(g Lease) bool { return g.Number == no })
	if i < 0 {
		return Lease{}, false, false
	}
	return l[i], l[i].Expiry > 0 && l[i].Expiry <= now, true
}

// OldestActive is the place of the oldest that may be held; -1: none may.
func (l Granter) OldestActive(now time.Duration) int {
	return slices.IndexFunc(l, func(g Lease) bool { return g.Expiry == 0 || g.Expiry > now })
}

// LatestExpiry is when the newest ends; 0: there is none, or it does not count yet.
func (l Granter) LatestExpiry() time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[len(l)-1].Expiry
}

// DropOldest forgets so many of the oldest.
func (l *Granter) DropOldest(n int) { *l = slices.Delete(*l, 0, n) }

// Holder is a holder's half of one lease. The zero value holds nothing.
type Holder struct {
	until  time.Duration // 0: none
	length time.Duration // as it was given
}

// Renew takes up a lease that was asked for at a moment of the holder's clock.
func (h *Holder) Renew(asked, length time.Duration) {
	h.length = length
	h.until = asked + time.Duration(float64(length)*(1-2*MaxClockDrift))
}

// Release ends it by the holder's own doing.
func (h *Holder) Release() { h.until = 0 }

// Valid tells whether it holds at a moment. It is asked then, never kept as a flag: whoever was
// stopped for a while finds out at its next look.
func (h Holder) Valid(now time.Duration) bool { return h.until > now }

// Expiry is when it ends; 0: there is none.
func (h Holder) Expiry() time.Duration { return h.until }

// Duration is that of the latest, as it was given.
func (h Holder) Duration() time.Duration { return h.length }
