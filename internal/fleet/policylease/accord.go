// Package policylease is a dispatcher's half of the agreement with the keepers: the policy that it
// holds whole, the lease under which it may admit work, and what it does when it hears
// nothing. It is a pure machine: messages and the time are handed in.
//
// Time is the holder's own monotonic clock. A lease counts from before it was asked for, and
// is taken as shorter by twice the stated bound on drift than was granted; so when the keepers
// take it to be over, it is over here. Whoever was stopped for a while finds out at its next
// look: what is asked before each request is Admits(now), never a flag that a timer clears.
//
// It must have no clock, draw or I/O, and never wait for a keeper.
package policylease

import (
	"time"

	"yardflow/internal/fleet/lease"
	"yardflow/internal/fleet/statemachine"
)

// MaxClockDrift is the bound on how much faster or slower one monotonic clock runs than another.
const MaxClockDrift = lease.MaxClockDrift

// Admission is a policy and what may be done under it now.
type Admission struct {
	Version     uint64
	Allowed     bool // new work may be admitted
	Unconfirmed bool // under Last: by a policy that may be in force no more
}

// Holder is one life of a dispatcher.
type Holder struct {
	fence   statemachine.LeaseLossMode
	name    string
	program string
	life    uint64
	seq     uint64

	policy statemachine.Policy // held whole, and applied
	ever   bool                // a lease was held under it, or the one before
	lease  lease.Holder
	stop   bool   // nothing is admitted until a lease is given again
	said   string // the change that was answered
	era    uint64 // of the keepers, the latest heard of
	grant  uint64 // of the latest lease that was heard of
	fresh  bool   // nobody was asked yet, and the policy is of a life before

	// NoLeaseReason is the keepers' last word where they gave no lease.
	NoLeaseReason string
}

// New makes the half of a dispatcher that knows nothing yet. life must differ between all
// processes that ever bear the name.
func New(name string, life uint64, program string, fence statemachine.LeaseLossMode) *Holder {
	return &Holder{name: name, life: life, program: program, fence: fence}
}

// RestorePolicy gives it a policy from before its start, by which it may go on under Last once it has
// asked the keepers, and they have not answered.
func (a *Holder) RestorePolicy(p statemachine.Policy) {
	a.policy, a.ever, a.fresh = p, p.Version > 0, true
}

// RequestFailed notes that a call for a lease has brought no answer.
func (a *Holder) RequestFailed() { a.fresh = false }

// HoldsLease tells whether the lease holds now.
func (a *Holder) HoldsLease(now time.Duration) bool { return !a.stop && a.lease.Valid(now) }

// Admission is what holds at this moment, asked before each request is admitted.
func (a *Holder) Admission(now time.Duration) Admission {
	held := a.HoldsLease(now)
	return Admission{Version: a.policy.Version, Allowed: held || a.fence == statemachine.KeepLastPolicy && a.ever && !a.stop && !a.fresh, Unconfirmed: !held}
}

// LeaseExpiry is when the lease ends; 0: there is none.
func (a *Holder) LeaseExpiry() time.Duration { return a.lease.Expiry() }

// LeaseRemaining is how long the lease holds yet; 0: it does not.
func (a *Holder) LeaseRemaining(now time.Duration) time.Duration {
	if !a.HoldsLease(now) {
		return 0
	}
	return a.lease.Expiry() - now
}

// Policy is the one held.
func (a *Holder) Policy() statemachine.Policy { return a.policy }

// Incarnation tells this process from all others that ever bore its name.
func (a *Holder) Incarnation() uint64 { return a.life }

// Generation is the keepers' latest that was heard of.
func (a *Holder) Generation() uint64 { return a.era }

// RenewalInterval is how often a lease is asked for anew.
func (a *Holder) RenewalInterval() time.Duration {
	return max(a.lease.Duration()/3, 50*time.Millisecond)
}

// NextRequest words the next call for a lease. The caller remembers when it asked.
func (a *Holder) NextRequest(now time.Duration) statemachine.LeaseRequest {
	a.seq++
	h := statemachine.LeaseRequest{Name: a.name, Incarnation: a.life, Seq: a.seq, KnownVersion: a.policy.Version, Program: a.program, CurrentGrant: a.grant}
	if a.Admission(now).Allowed {
		h.ServingVersion = a.policy.Version
		if h.ServingVersion == 0 {
			h.ServingVersion = none
		}
	}
	return h
}

// none stands for work admitted before any policy was made; 0 says that none is.
const none = 1<<64 - 1

// Release words the last message of this life, after which it admits nothing.
func (a *Holder) Release() statemachine.LeaseRelease {
	a.seq++
	a.stop = true
	a.lease.Release()
	return statemachine.LeaseRelease{Name: a.name, Incarnation: a.life, Seq: a.seq}
}

// Actions is what is left to the caller after an answer.
type Actions struct {
	ApplyPolicy  *statemachine.Policy       // take it in, say Took, and ask again at once
	CheckChange  *statemachine.PolicyChange // see whether it could be run, and tell the keepers by Say
	RequestAgain bool                       // ask again at once
}

// FromOldGeneration tells whether an answer is of keepers from before they were restored, whose word is void.
func (a *Holder) FromOldGeneration(r statemachine.Result) bool { return r.Generation < a.era }

// HandleResult takes in the answer to what was asked at a moment of its own clock.
func (a *Holder) HandleResult(asked time.Duration, r statemachine.Result) (t Actions) {
	if a.FromOldGeneration(r) {
		return Actions{}
	}
	a.NoLeaseReason, a.era, a.fresh = r.NoLeaseReason, r.Generation, false
	if r.Err != "" {
		a.NoLeaseReason = r.Err
		return Actions{RequestAgain: r.Err == statemachine.ErrStaleMessage.Error()}
	}
	if r.Change != nil && r.Change.ID != a.said {
		t.CheckChange = r.Change
	}
	if r.StopAdmitting {
		// Under Last it is told so only while nobody may take up the next one: it goes on.
		if a.fence == statemachine.RefuseWork {
			t.RequestAgain = a.lease.Expiry() != 0 || r.Policy != nil // they wait to hear that it has stopped
			a.stop = true
			a.lease.Release()
		}
	}
	if r.Policy != nil {
		t.ApplyPolicy = r.Policy
		return t
	}
	if r.CurrentVersion != a.policy.Version {
		t.RequestAgain = true // this very word has put it in force: no news of it will come by the watch
	}
	if r.LeaseDuration > 0 {
		a.ever, a.stop, a.grant = true, false, r.Grant
		a.lease.Renew(asked, r.LeaseDuration)
	}
	return t
}

// HandleUpdate takes in what a watch has told, which may be old: it may make the holder stop, weigh or
// take up something, but never gives a lease.
func (a *Holder) HandleUpdate(n statemachine.WatchUpdate) (t Actions) {
	if n.Generation < a.era {
		return Actions{}
	}
	if n.Change != nil && n.Change.ID != a.said {
		t.CheckChange = n.Change
	}
	if n.Closing && a.fence == statemachine.RefuseWork && a.lease.Expiry() != 0 {
		a.stop, t.RequestAgain = true, true
		a.lease.Release()
	}
	if n.Policy != nil && n.Policy.Version > a.policy.Version {
		t.ApplyPolicy = n.Policy
	}
	return t
}

// PolicyApplied notes that a policy is applied, from here on and as one.
func (a *Holder) PolicyApplied(p statemachine.Policy) {
	a.policy = p
	a.lease.Release()
}

// Vote words what the keepers are told of a change; why is empty where it could be run.
func (a *Holder) Vote(c *statemachine.PolicyChange, why string) statemachine.Vote {
	a.said = c.ID
	return statemachine.Vote{Name: a.name, Incarnation: a.life, ChangeID: c.ID, Objection: why}
}

// VoteLost notes that the word did not get through, so that it is said again.
func (a *Holder) VoteLost() { a.said = "" }
