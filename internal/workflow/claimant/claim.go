package claimant

import (
	"slices"
	"time"

	"yardflow/internal/workflow/claims"
)

// PendingClaim identifies a claim request whose answer is awaited.
type PendingClaim struct {
	askedAt                         time.Duration
	lapses, lastSeenClaim, requests uint64 // of the Claimant when it asked
}

// NextClaim returns the request, made at now, to hold wanted claims at once, those held already counted.
func (c *Claimant) NextClaim(now time.Duration, wanted int, pools []string) (*claims.ClaimRequest, PendingClaim) {
	c.requests++
	c.unseenPossible = true // until the answer is accepted
	request := &claims.ClaimRequest{Dispatcher: c.Dispatcher, Incarnation: c.Incarnation, WantedSteps: wanted, LastSeenClaim: c.lastSeenClaim, Pools: pools}
	return request, PendingClaim{now, c.lapses, c.lastSeenClaim, c.requests}
}

// AcceptClaimed takes in the answer to a claim request, and returns the steps to start. Claims that it repeats are
// confirmed; claims that it should have repeated and has not are no longer held. An answer to a request from before a
// lapse, or from before a later request, is dropped: it may be older than what is known, and its claims are told again.
func (c *Claimant) AcceptClaimed(p PendingClaim, answer []claims.ClaimedStep) (start []claims.ClaimedStep) {
	if p.lapses != c.lapses || p.lastSeenClaim != c.lastSeenClaim || p.requests != c.requests {
		return nil
	}
	c.unseenPossible = false
	c.dropUnconfirmed(p.lastSeenClaim, answer)
	for _, t := range answer {
		c.lastSeenClaim = max(c.lastSeenClaim, t.ClaimNumber)
		if s := c.steps[t.ClaimNumber]; s != nil {
			s.revoked = false
			continue
		}
		c.steps[t.ClaimNumber] = &claimedStep{ClaimedStep: t, askedAt: p.askedAt}
		start = append(start, t)
	}
	return start
}

// dropUnconfirmed forgets the revoked claims that an answer does not repeat. The answer repeats all claims later than
// lastSeenClaim; where it is full, only those up to its last.
func (c *Claimant) dropUnconfirmed(lastSeenClaim uint64, answer []claims.ClaimedStep) {
	lastTold := uint64(1<<64 - 1)
	if len(answer) == claims.MaxClaimsPerAnswer {
		lastTold = answer[len(answer)-1].ClaimNumber
	}
	for number, s := range c.steps { // each by itself: the order does not matter
		due := s.revoked && number > lastSeenClaim && number <= lastTold
		if due && !slices.ContainsFunc(answer, func(t claims.ClaimedStep) bool { return t.ClaimNumber == number }) {
			delete(c.steps, number)
		}
	}
}
