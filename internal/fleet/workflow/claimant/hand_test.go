package claimant

import (
	"testing"
	"time"

	"yardflow/internal/fleet/workflow/claims"
)

// A claim whose answer is lost, or comes after a lapse, is asked for again although nothing else is
// ready: else its steps would be nobody's for as long as this dispatcher lives.
func TestALostClaimIsAskedForAgain(t *testing.T) {
	h := New("d", 1)
	if h.NeedsResync() || h.CheckLease(0) || h.NeedsResync() {
		t.Error("it doubts before it has ever asked")
	}
	h.Renew(0, 0, time.Second, 0)
	_, asked := h.NextClaim(0, 4, nil)
	if !h.NeedsResync() {
		t.Error("an answer is out, and it does not doubt")
	}
	if h.CheckLease(2 * time.Second) {
		t.Error("the stay holds after its end")
	}
	if got := h.AcceptClaimed(asked, []claims.ClaimedStep{{ClaimNumber: 7}}); got != nil || !h.NeedsResync() {
		t.Errorf("after a lapse %v is begun; it doubts: %t", got, h.NeedsResync())
	}
	h.Renew(2*time.Second, 2*time.Second, time.Second, 0)
	c, asked := h.NextClaim(2*time.Second, 0, nil)
	if c.LastSeenClaim != 0 {
		t.Errorf("it has heard of %d", c.LastSeenClaim)
	}
	if got := h.AcceptClaimed(asked, []claims.ClaimedStep{{ClaimNumber: 7}}); len(got) != 1 || h.NeedsResync() {
		t.Errorf("told again, %v is begun; it doubts: %t", got, h.NeedsResync())
	}
}
