// Package claimant is a dispatcher's half of the workflow protocol: which steps the dispatcher has claimed, which of them
// it may send to a worker now, and what it has yet to report to the coordinators. Package claims is the other half.
//
// Invariants:
//   - a step is sent only after the coordinators have recorded the intent to dispatch it, and only while the claim lease
//     that it was claimed under is valid;
//   - once the lease has lapsed, if only for a moment, no claim from before is trusted until the coordinators have
//     confirmed it: they may have given the step to another dispatcher;
//   - a report whose answer is lost is sent again: the coordinators take each of them once.
//
// The package has no clock, randomness or I/O. Times are of the dispatcher's own monotonic clock. A [Claimant] is not
// safe for concurrent use.
package claimant

import (
	"time"

	"yardflow/coordination/lease"
	"yardflow/internal/workflow/claims"
)

// stage is how far a claimed step has come at this dispatcher.
type stage uint8

const (
	stageClaimed         stage = iota
	stageIntentRequested       // the coordinators have yet to record the intent to dispatch it
	stageIntentRecorded        // it may be sent
	stageEnded                 // the coordinators have yet to take the report of its end
)

// claimedStep is a step that this dispatcher holds a claim on, as far as it knows.
type claimedStep struct {
	claims.ClaimedStep
	askedAt time.Duration // when the claim was asked for: its RepeatWindowLeft counts from here
	stage   stage
	intent  claims.DispatchIntent // the last that was requested
	end     claims.StepEnd        // of stageEnded
	revoked bool                  // the claim is not confirmed since the lease lapsed: the step may be another dispatcher's
}

// Claimant is the protocol state of one incarnation of a dispatcher. It holds no claim until its lease is renewed.
type Claimant struct {
	Dispatcher  string
	Incarnation uint64

	lease      lease.Holder
	generation uint64 // of the coordinators that gave the lease
	lapses     uint64 // how often the lease has lapsed

	requests       uint64 // claim requests so far
	unseenPossible bool   // the coordinators may have given claims that were not heard of
	lastSeenClaim  uint64 // number of the latest claim heard of since the lease lapsed last
	steps          map[uint64]*claimedStep

	intentsSentLast bool // the last report was of intents, so that ends come next
}

// New returns the protocol state of an incarnation that holds no lease yet.
func New(dispatcher string, incarnation uint64) *Claimant {
	return &Claimant{Dispatcher: dispatcher, Incarnation: incarnation, steps: map[uint64]*claimedStep{}}
}

// Renew takes in a claim lease of a duration. It was asked for at asked, and is heard of at now, from coordinators of a
// generation. It reports whether the claims held have to be confirmed: the lease had lapsed meanwhile, or the generation
// has changed since the coordinators were restored.
func (c *Claimant) Renew(asked, now, duration time.Duration, generation uint64) (lapsed bool) {
	lapsed = !c.lease.Valid(now) || generation != c.generation
	if lapsed {
		c.Invalidate()
	}
	c.generation = generation
	c.lease.Renew(asked, duration)
	return lapsed
}

// CheckLease reports whether the claim lease is valid now. Where it is not, all claims are revoked until confirmed.
func (c *Claimant) CheckLease(now time.Duration) bool {
	if c.lease.Valid(now) {
		return true
	}
	c.Invalidate()
	return false
}

// LeaseExpiry returns when the claim lease expires unless it is renewed.
func (c *Claimant) LeaseExpiry() time.Duration { return c.lease.Expiry() }

// Invalidate gives up the lease and revokes all claims until the coordinators confirm them. The caller uses it when they
// answer that they know of no lease.
func (c *Claimant) Invalidate() {
	c.lapses++
	c.lastSeenClaim = 0
	c.unseenPossible = c.unseenPossible || c.requests > 0
	c.lease.Release()
	for _, s := range c.steps { // each by itself: the order does not matter
		s.revoked = true
	}
}

// HeldSteps returns how many claims are held, the revoked ones counted.
func (c *Claimant) HeldSteps() int { return len(c.steps) }

// NeedsResync reports whether some claim has to be confirmed, or may be held without this dispatcher's knowing. Then the
// coordinators are to be asked for claims, whether steps are ready or not.
func (c *Claimant) NeedsResync() bool {
	if c.unseenPossible {
		return true
	}
	for _, s := range c.steps {
		if s.revoked {
			return true
		}
	}
	return false
}
