package lease

import (
	"slices"
	"time"
)

// Granter is the granter's side of the protocol for one holder: the leases under which the holder may still act, oldest
// first. The zero value has granted no lease.
type Granter []Lease

// Grant adds a lease with a number greater than those of all earlier leases. acknowledged is the number of the lease under
// which the holder reports that it acts; it no longer uses older leases, so Grant drops them.
func (g *Granter) Grant(number, acknowledged uint64) {
	stillUsed := slices.DeleteFunc(*g, func(l Lease) bool { return l.Number < acknowledged })
	*g = append(stillUsed, Lease{Number: number})
}

// StartExpiry sets the expiry of all leases up to a number whose expiry is not known yet.
func (g Granter) StartExpiry(number uint64, expiry time.Duration) {
	for i := range g {
		if g[i].Number <= number && g[i].Expiry == 0 {
			g[i].Expiry = expiry
		}
	}
}

// Release ends all leases now, after the holder has reported that it no longer acts under any of them.
func (g Granter) Release(now time.Duration) {
	for i := range g {
		g[i].Expiry = max(now, 1) // 0 would mean that the expiry is not known
	}
}

// Expired returns the lease with a number, and whether the lease has expired. found is false if the granter has no such
// lease, or has dropped it.
func (g Granter) Expired(number uint64, now time.Duration) (l Lease, expired, found bool) {
	i := slices.IndexFunc(g, func(l Lease) bool { return l.Number == number })
	if i < 0 {
		return Lease{}, false, false
	}
	return g[i], !g[i].inUse(now), true
}

// OldestActive returns the index of the oldest lease that may still be in use, or -1 if there is none.
func (g Granter) OldestActive(now time.Duration) int {
	return slices.IndexFunc(g, func(l Lease) bool { return l.inUse(now) })
}

// LatestExpiry returns the expiry of the newest lease, or 0 if there is no lease or its expiry is not known yet.
func (g Granter) LatestExpiry() time.Duration {
	if len(g) == 0 {
		return 0
	}
	return g[len(g)-1].Expiry
}

// DropOldest drops the n oldest leases.
func (g *Granter) DropOldest(n int) { *g = slices.Delete(*g, 0, n) }
