package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestLeaseEndsAtItsHolderFirst checks that a lease has ended at its holder when it ends at its granter, for clocks that
// drift by at most MaxClockDrift and requests that take up to 2 ms; a slower request only ends later at the granter. With
// clocks that drift by up to three times as much, it must find leases that are held too long.
func TestLeaseEndsAtItsHolderFirst(t *testing.T) {
	if seed, overlap := longestOverlap(MaxClockDrift); overlap > 0 {
		t.Errorf("seed %d: the lease is held until %v after its end at the granter", seed, overlap)
	}
	if _, overlap := longestOverlap(3 * MaxClockDrift); overlap <= 0 {
		t.Error("no lease is held too long although the clocks drift beyond the bound: the test could not find a fault")
	}
}

// longestOverlap simulates many leases with clocks that drift up to a bound. It returns the seed of the lease that is held
// longest after its end at the granter, and for how long, in real time.
func longestOverlap(drift float64) (worstSeed uint64, overlap time.Duration) {
	overlap = -time.Hour
	for seed := range uint64(20000) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		rate := func() float64 { return 1 + drift*(2*rnd.Float64()-1) }
		holderClock, granterClock := rate(), rate()
		length := time.Duration(1+rnd.IntN(10000)) * time.Millisecond
		requested := time.Duration(rnd.IntN(10000)) * time.Millisecond
		granted := requested + time.Duration(rnd.IntN(3))*time.Millisecond // the granter measures from after this

		var holder Holder
		holder.Renew(time.Duration(float64(requested)*holderClock), length)
		heldUntil := time.Duration(float64(holder.Expiry()) / holderClock)

		var granter Granter
		granter.Grant(1, 0)
		granter.StartExpiry(1, time.Duration(float64(granted)*granterClock)+length)
		endedAt := time.Duration(float64(granter.LatestExpiry()) / granterClock)

		if over := heldUntil - endedAt; over > overlap {
			worstSeed, overlap = seed, over
		}
	}
	return worstSeed, overlap
}

// TestGranterCountsALeaseUntilItHasExpired checks that a granter considers a lease as in use until its expiry is known and
// has passed, that it drops the leases which are older than the one that the holder has acknowledged, and that Release ends
// all leases.
func TestGranterCountsALeaseUntilItHasExpired(t *testing.T) {
	var granter Granter
	granter.Grant(1, 0)
	granter.Grant(2, 0)
	granter.StartExpiry(1, 10*time.Second)
	if _, expired, found := granter.Expired(1, 10*time.Second-1); expired || !found {
		t.Errorf("lease 1 just before its expiry: expired %t, found %t", expired, found)
	}
	if _, expired, _ := granter.Expired(1, 10*time.Second); !expired {
		t.Error("lease 1 is still in use at its expiry")
	}
	if _, expired, _ := granter.Expired(2, time.Hour); expired {
		t.Error("lease 2 has expired although its expiry is not known")
	}
	if got := granter.OldestActive(10 * time.Second); got != 1 {
		t.Errorf("the oldest active lease is at %d, want 1", got)
	}
	granter.Grant(3, 2)
	if _, _, found := granter.Expired(1, 0); found {
		t.Error("lease 1 was not dropped although the holder has acknowledged lease 2")
	}
	granter.Release(time.Minute)
	if got := granter.OldestActive(time.Minute); got != -1 {
		t.Errorf("after the release the oldest active lease is at %d, want none", got)
	}
}
