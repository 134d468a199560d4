// Package policylease is a dispatcher's half of the agreement on a policy: the policy that it has applied, the lease
// under which it may admit work, and what it does when no coordinator answers. The coordinators' half is package
// statemachine; package transport carries the messages.
//
// Invariants:
//
//   - The dispatcher admits work only under a policy that it has applied completely, and, under RefuseWork, only while
//     its lease is valid on its own monotonic clock. The lease counts from before its request was sent and is taken as
//     shorter than granted (package lease), so it has ended here before the coordinators take it to have ended.
//   - Admission is asked before each request is admitted. No timer clears a flag: a process that was stopped for a
//     while finds its lease expired at the next look, before it acts.
//   - Only the answer to its own request gives a lease. A watch may make it stop or fetch something sooner, and never
//     gives a right.
//
// The package is a pure state machine: messages and the time are passed in, it reads no clock, draws no random
// numbers, does no input or output and never waits for a coordinator. Its model is explored in explore.go.
package policylease

import (
	"time"

	"yardflow/coordination/lease"
	"yardflow/internal/fleet/statemachine"
)

// MaxClockDrift bounds by how much one monotonic clock runs faster or slower than another, as a fraction.
const MaxClockDrift = lease.MaxClockDrift

// minRenewalInterval is the shortest pause between two lease requests: 50 ms. A lease of under 150 ms is renewed less
// often than three times in its duration, so that short leases don't flood the coordinators.
const minRenewalInterval = 50 * time.Millisecond

// renewalsPerLease is how often a lease is renewed within its duration: two lost requests in a row cost nothing.
const renewalsPerLease = 3

// Admission says under which policy new work may be admitted at one moment.
type Admission struct {
	Version     uint64 // of the policy applied; 0: there is none
	Allowed     bool   // new work may be admitted
	Unconfirmed bool   // no lease is valid: under KeepLastPolicy another version may be in force meanwhile
}

// Holder is the state of one incarnation of a dispatcher. It is not safe for concurrent use.
type Holder struct {
	name        string
	incarnation uint64
	program     string
	onLeaseLoss statemachine.LeaseLossMode

	// NoLeaseReason is why the coordinators gave no lease in their latest answer; empty where they gave one.
	NoLeaseReason string

	seq           uint64              // of the latest message of this incarnation
	policy        statemachine.Policy // applied completely
	lease         lease.Holder
	stopped       bool   // nothing is admitted until a lease is given again
	everConfirmed bool   // a lease was held under the policy or the one before, or the policy was restored as such
	unasked       bool   // the policy is of an earlier incarnation, and no request has been answered or failed yet
	votedOn       string // the ID of the change that was voted on
	generation    uint64 // of the coordinators, the latest heard of
	grant         uint64 // number of the latest lease
}

// New returns the half of a dispatcher that has no policy yet. incarnation must differ between all processes that ever
// bear the name; program describes its build to operators.
func New(name string, incarnation uint64, program string, onLeaseLoss statemachine.LeaseLossMode) *Holder {
	return &Holder{name: name, incarnation: incarnation, program: program, onLeaseLoss: onLeaseLoss}
}

// RestorePolicy gives it a policy that an earlier incarnation had applied. Under KeepLastPolicy it may admit work by
// it, but only once it has asked the coordinators and they have not answered.
func (h *Holder) RestorePolicy(p statemachine.Policy) {
	h.policy, h.everConfirmed, h.unasked = p, p.Version > 0, true
}

// Policy is the policy that is applied; its Version is 0 where there is none.
func (h *Holder) Policy() statemachine.Policy { return h.policy }

// Incarnation tells this process from all others that ever bore its name.
func (h *Holder) Incarnation() uint64 { return h.incarnation }

// Generation is the latest generation of the coordinators that was heard of; it grows with each restore of their data.
func (h *Holder) Generation() uint64 { return h.generation }

// HoldsLease reports whether the lease is valid now.
func (h *Holder) HoldsLease(now time.Duration) bool { return !h.stopped && h.lease.Valid(now) }

// Admission says what may be admitted now. Ask it before each request that is admitted.
func (h *Holder) Admission(now time.Duration) Admission {
	confirmed := h.HoldsLease(now)
	keepsLast := h.onLeaseLoss == statemachine.KeepLastPolicy && h.everConfirmed && !h.stopped && !h.unasked
	return Admission{Version: h.policy.Version, Allowed: confirmed || keepsLast, Unconfirmed: !confirmed}
}

// LeaseExpiry is when the lease ends; 0 where there is none.
func (h *Holder) LeaseExpiry() time.Duration { return h.lease.Expiry() }

// LeaseRemaining is for how long the lease is still valid; 0 where it is not.
func (h *Holder) LeaseRemaining(now time.Duration) time.Duration {
	if !h.HoldsLease(now) {
		return 0
	}
	return h.lease.Expiry() - now
}

// RenewalInterval is the pause between two lease requests that are answered.
func (h *Holder) RenewalInterval() time.Duration {
	return max(h.lease.Duration()/renewalsPerLease, minRenewalInterval)
}
