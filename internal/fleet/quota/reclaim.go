package quota

import (
	"maps"
	"slices"
	"time"
)

// StartExpiry sets when the leases of a holder up to a number end.
func (a *Allocator) StartExpiry(holderName string, number uint64, expiry time.Duration) {
	if holder := a.Holders[holderName]; holder != nil {
		holder.Leases.StartExpiry(number, expiry)
	}
}

// Release takes back what a holder had: it has said that it admits nothing any more.
func (a *Allocator) Release(holderName string, now time.Duration) {
	if holder := a.Holders[holderName]; holder != nil {
		holder.Leases.Release(now)
		a.reclaim(holderName, holder, now)
	}
}

// Advance lets time pass: what was given under leases that have ended is reclaimed.
func (a *Allocator) Advance(now time.Duration) {
	for _, holderName := range slices.Sorted(maps.Keys(a.Holders)) {
		a.reclaim(holderName, a.Holders[holderName], now)
	}
}

// reclaim takes back what a holder had under leases that have ended, but for what may still run on. A holder with
// neither an active lease nor anything running is forgotten.
func (a *Allocator) reclaim(holderName string, holder *Holder, now time.Duration) {
	firstActive := holder.Leases.OldestActive(now)
	if firstActive == 0 {
		return // the oldest lease is active, and so are all later ones
	}
	runsOn := false
	for name := range holder.Limits { // each limit by itself: the order makes no difference
		state := a.Limits[name]
		usage := state.Usages[holderName]
		if usage == nil {
			continue
		}
		if state.dropExpired(usage, holder, now) {
			runsOn = true
		}
		if firstActive < 0 && state.endUsage(usage, holder, now) {
			runsOn = true
		}
		state.setOutstanding(usage, usage.mayBeInUse())
		if usage.Outstanding == 0 && usage.Demand == 0 {
			delete(state.Usages, holderName)
		}
	}
	switch {
	case runsOn:
	case firstActive < 0:
		delete(a.Holders, holderName)
	default:
		holder.Leases.DropOldest(firstActive)
	}
}

// dropExpired forgets the allocations of leases that have ended. Of concurrency, requests that were admitted under one
// may run on for ReclaimDelay; it reports whether some may.
func (s *LimitState) dropExpired(usage *Usage, holder *Holder, now time.Duration) (runsOn bool) {
	usage.Allocations = slices.DeleteFunc(usage.Allocations, func(a Allocation) bool {
		l, expired, found := holder.Leases.Expired(a.Grant, now)
		if expired && s.Limit.Kind.countsConcurrency() && l.Expiry+s.Limit.ReclaimDelay > now && a.Extra > 0 {
			runsOn = true
			return false
		}
		return expired || !found
	})
	return runsOn
}

// endUsage ends the usage of a holder without any active lease, and reports whether what it had open may run on.
func (s *LimitState) endUsage(usage *Usage, holder *Holder, now time.Duration) (runsOn bool) {
	usage.Demand = 0
	if usage.InUse > 0 && holder.Leases.LatestExpiry()+s.Limit.ReclaimDelay > now {
		return true
	}
	usage.InUse = 0
	return false
}
