package claimant

import (
	"testing"
	"time"

	"yardflow/internal/workflow/claims"
)

// TestALostClaimIsAskedForAgain checks that a claim request whose answer is lost, or comes after a lapse, is repeated
// although nothing else is ready: else its steps would run nowhere for as long as this dispatcher lives.
func TestALostClaimIsAskedForAgain(t *testing.T) {
	c := New("d", 1)
	if c.NeedsResync() || c.CheckLease(0) || c.NeedsResync() {
		t.Error("it needs a resync before it has ever asked")
	}
	c.Renew(0, 0, time.Second, 0)
	_, pending := c.NextClaim(0, 4, nil)
	if !c.NeedsResync() {
		t.Error("an answer is awaited, and it needs no resync")
	}
	if c.CheckLease(2 * time.Second) {
		t.Error("the lease is valid after its expiry")
	}
	if got := c.AcceptClaimed(pending, []claims.ClaimedStep{{ClaimNumber: 7}}); got != nil || !c.NeedsResync() {
		t.Errorf("after a lapse %v is started; it needs a resync: %t", got, c.NeedsResync())
	}
	c.Renew(2*time.Second, 2*time.Second, time.Second, 0)
	request, pending := c.NextClaim(2*time.Second, 0, nil)
	if request.LastSeenClaim != 0 {
		t.Errorf("it has seen claim %d", request.LastSeenClaim)
	}
	if got := c.AcceptClaimed(pending, []claims.ClaimedStep{{ClaimNumber: 7}}); len(got) != 1 || c.NeedsResync() {
		t.Errorf("told again, %v is started; it needs a resync: %t", got, c.NeedsResync())
	}
}
