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
	if h.Doubts() || h.Look(0) || h.Doubts() {
		t.Error("it doubts before it has ever asked")
	}
	h.Renew(0, 0, time.Second, 0)
	_, asked := h.Claim(0, 4, nil)
	if !h.Doubts() {
		t.Error("an answer is out, and it does not doubt")
	}
	if h.Look(2 * time.Second) {
		t.Error("the stay holds after its end")
	}
	if got := h.Took(asked, []claims.Task{{No: 7}}); got != nil || !h.Doubts() {
		t.Errorf("after a lapse %v is begun; it doubts: %t", got, h.Doubts())
	}
	h.Renew(2*time.Second, 2*time.Second, time.Second, 0)
	c, asked := h.Claim(2*time.Second, 0, nil)
	if c.Heard != 0 {
		t.Errorf("it has heard of %d", c.Heard)
	}
	if got := h.Took(asked, []claims.Task{{No: 7}}); len(got) != 1 || h.Doubts() {
		t.Errorf("told again, %v is begun; it doubts: %t", got, h.Doubts())
	}
}
