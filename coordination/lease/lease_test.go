package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Whatever the clocks, within the bound on drift, and however late the messages: a lease has ended at its holder when it
// has ended at its granter. With clocks that drift twice as much, it has not.
func TestLeaseEndsAtItsHolderFirst(t *testing.T) {
	if seed, overlap := longestOverlap(MaxClockDrift); overlap > 0 {
		t.Errorf("seed %d: held for %v longer than granted", seed, overlap)
	}
	if _, overlap := longestOverlap(3 * MaxClockDrift); overlap <= 0 {
		t.Error("clocks beyond the bound make no difference: the test would not find a fault")
	}
}

// longestOverlap plays many leases between clocks that drift up to a bound, and returns by how much the worst was held
// beyond its end at the granter, in real time.
func longestOverlap(drift float64) (worst uint64, overlap time.Duration) {
	overlap = -time.Hour
	for seed := range uint64(20000) {
		rnd := rand.New(rand.NewPCG(seed, 7))
		rate := func() float64 { return 1 + drift*(2*rnd.Float64()-1) }
		holderClock, granterClock := rate(), rate()
		length := time.Duration(1+rnd.IntN(10000)) * time.Millisecond
		requested := time.Duration(rnd.IntN(10000)) * time.Millisecond
		granted := requested + time.Duration(rnd.IntN(3))*time.Millisecond // the granter counts from after this

		var holder Holder
		holder.Renew(time.Duration(float64(requested)*holderClock), length)
		heldUntil := time.Duration(float64(holder.Expiry()) / holderClock)

		var granter Granter
		granter.Grant(1, 0)
		granter.StartExpiry(1, time.Duration(float64(granted)*granterClock)+length)
		endedAt := time.Duration(float64(granter.LatestExpiry()) / granterClock)

		if over := heldUntil - endedAt; over > overlap {
			worst, overlap = seed, over
		}
	}
	return worst, overlap
}

// A granter takes a lease to be in use until its expiry is known and has passed, and forgets those that the holder has
// acknowledged to have left behind.
func TestGranterCountsALeaseUntilItHasExpired(t *testing.T) {
	var granter Granter
	granter.Grant(1, 0)
	granter.Grant(2, 0)
	granter.StartExpiry(1, 10*time.Second)
	if _, expired, found := granter.Expired(1, 10*time.Second-1); expired || !found {
		t.Errorf("lease 1 just before its expiry: expired %t, found %t", expired, found)
	}
	if _, expired, _ := granter.Expired(1, 10*time.Second); !expired {
		t.Error("lease 1 is in use at its expiry")
	}
	if _, expired, _ := granter.Expired(2, time.Hour); expired {
		t.Error("lease 2 has expired without a known expiry")
	}
	if got := granter.OldestActive(10 * time.Second); got != 1 {
		t.Errorf("the oldest active lease is at %d, want 1", got)
	}
	granter.Grant(3, 2)
	if _, _, found := granter.Expired(1, 0); found {
		t.Error("lease 1 is kept, although the holder acts under lease 2")
	}
	granter.Release(time.Minute)
	if got := granter.OldestActive(time.Minute); got != -1 {
		t.Errorf("after the release the oldest active lease is at %d, want none", got)
	}
}
