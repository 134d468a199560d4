package lease

import (
	"slices"
	"time"
)

// Granter is the granter's half for one holder: the leases that the holder may still act under, the oldest first. The
// zero value has granted nothing.
type Granter []Lease

// Grant adds a lease with a number that is greater than all before. acknowledged is the number of the latest lease
// that the holder says it acts under: it uses older ones no more, and they are forgotten.
func (g *Granter) Grant(number, acknowledged uint64) {
	stillUsed := slices.DeleteFunc(*g, func(l Lease) bool { return l.Number < acknowledged })
	*g = append(stillUsed, Lease{Number: number})
}

// StartExpiry sets the expiry of all leases up to a number that have none yet.
func (g Granter) StartExpiry(number uint64, expiry time.Duration) {
	for i := range g {
		if g[i].Number <= number && g[i].Expiry == 0 {
			g[i].Expiry = expiry
		}
	}
}

// Release ends all leases now: the holder has said that it acts under none of them any more.
func (g Granter) Release(now time.Duration) {
	for i := range g {
		g[i].Expiry = max(now, 1) // 0 would mean that the expiry is not known
	}
}

// Expired returns the lease with a number and whether it is known to have ended; found is false where the granter has
// no such lease (any more).
func (g Granter) Expired(number uint64, now time.Duration) (l Lease, expired, found bool) {
	i := slices.IndexFunc(g, func(l Lease) bool { return l.Number == number })
	if i < 0 {
		return Lease{}, false, false
	}
	return g[i], !g[i].inUse(now), true
}

// OldestActive is the index of the oldest lease that may still be in use; -1 where none is.
func (g Granter) OldestActive(now time.Duration) int {
	return slices.IndexFunc(g, func(l Lease) bool { return l.inUse(now) })
}

// LatestExpiry is the expiry of the newest lease; 0 where there is none, or its expiry is not known yet.
func (g Granter) LatestExpiry() time.Duration {
	if len(g) == 0 {
		return 0
	}
	return g[len(g)-1].Expiry
}

// DropOldest forgets the n oldest leases.
func (g *Granter) DropOldest(n int) { *g = slices.Delete(*g, 0, n) }
