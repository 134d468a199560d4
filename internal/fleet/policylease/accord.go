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

// Drift is the bound on how much faster or slower one monotonic clock runs than another.
const Drift = lease.Drift

// Held is a policy and what may be done under it now.
type Held struct {
	Version uint64
	Admits  bool // new work may be admitted
	Marked  bool // under Last: by a policy that may be in force no more
}

// Accord is one life of a dispatcher.
type Accord struct {
	fence   statemachine.LeaseLossMode
	name    string
	program string
	life    uint64
	seq     uint64

	policy statemachine.Policy // held whole, and applied
	ever   bool                // a lease was held under it, or the one before
	lease  lease.Held
	stop   bool   // nothing is admitted until a lease is given again
	said   string // the change that was answered
	era    uint64 // of the keepers, the latest heard of
	grant  uint64 // of the latest lease that was heard of
	fresh  bool   // nobody was asked yet, and the policy is of a life before

	// Why is the keepers' last word where they gave no lease.
	Why string
}

// New makes the half of a dispatcher that knows nothing yet. life must differ between all
// processes that ever bear the name.
func New(name string, life uint64, program string, fence statemachine.LeaseLossMode) *Accord {
	return &Accord{name: name, life: life, program: program, fence: fence}
}

// Restore gives it a policy from before its start, by which it may go on under Last once it has
// asked the keepers, and they have not answered.
func (a *Accord) Restore(p statemachine.Policy) { a.policy, a.ever, a.fresh = p, p.Version > 0, true }

// Silent notes that a call for a lease has brought no answer.
func (a *Accord) Silent() { a.fresh = false }

// Holds tells whether the lease holds now.
func (a *Accord) Holds(now time.Duration) bool { return !a.stop && a.lease.Holds(now) }

// Admits is what holds at this moment, asked before each request is admitted.
func (a *Accord) Admits(now time.Duration) Held {
	held := a.Holds(now)
	return Held{Version: a.policy.Version, Admits: held || a.fence == statemachine.KeepLastPolicy && a.ever && !a.stop && !a.fresh, Marked: !held}
}

// Until is when the lease ends; 0: there is none.
func (a *Accord) Until() time.Duration { return a.lease.Until() }

// Left is how long the lease holds yet; 0: it does not.
func (a *Accord) Left(now time.Duration) time.Duration {
	if !a.Holds(now) {
		return 0
	}
	return a.lease.Until() - now
}

// Policy is the one held.
func (a *Accord) Policy() statemachine.Policy { return a.policy }

// Life tells this process from all others that ever bore its name.
func (a *Accord) Life() uint64 { return a.life }

// Era is the keepers' latest that was heard of.
func (a *Accord) Era() uint64 { return a.era }

// Every is how often a lease is asked for anew.
func (a *Accord) Every() time.Duration { return max(a.lease.Length()/3, 50*time.Millisecond) }

// Ask words the next call for a lease. The caller remembers when it asked.
func (a *Accord) Ask(now time.Duration) statemachine.LeaseRequest {
	a.seq++
	h := statemachine.LeaseRequest{Name: a.name, Incarnation: a.life, Seq: a.seq, KnownVersion: a.policy.Version, Program: a.program, CurrentGrant: a.grant}
	if a.Admits(now).Admits {
		h.ServingVersion = a.policy.Version
		if h.ServingVersion == 0 {
			h.ServingVersion = none
		}
	}
	return h
}

// none stands for work admitted before any policy was made; 0 says that none is.
const none = 1<<64 - 1

// Leave words the last message of this life, after which it admits nothing.
func (a *Accord) Leave() statemachine.LeaseRelease {
	a.seq++
	a.stop = true
	a.lease.Leave()
	return statemachine.LeaseRelease{Name: a.name, Incarnation: a.life, Seq: a.seq}
}

// Todo is what is left to the caller after an answer.
type Todo struct {
	Take  *statemachine.Policy       // take it in, say Took, and ask again at once
	Weigh *statemachine.PolicyChange // see whether it could be run, and tell the keepers by Say
	Again bool                       // ask again at once
}

// Before tells whether an answer is of keepers from before they were restored, whose word is void.
func (a *Accord) Before(r statemachine.Result) bool { return r.Generation < a.era }

// Heard takes in the answer to what was asked at a moment of its own clock.
func (a *Accord) Heard(asked time.Duration, r statemachine.Result) (t Todo) {
	if a.Before(r) {
		return Todo{}
	}
	a.Why, a.era, a.fresh = r.NoLeaseReason, r.Generation, false
	if r.Err != "" {
		a.Why = r.Err
		return Todo{Again: r.Err == statemachine.ErrStaleMessage.Error()}
	}
	if r.Change != nil && r.Change.ID != a.said {
		t.Weigh = r.Change
	}
	if r.StopAdmitting {
		// Under Last it is told so only while nobody may take up the next one: it goes on.
		if a.fence == statemachine.RefuseWork {
			t.Again = a.lease.Until() != 0 || r.Policy != nil // they wait to hear that it has stopped
			a.stop = true
			a.lease.Leave()
		}
	}
	if r.Policy != nil {
		t.Take = r.Policy
		return t
	}
	if r.CurrentVersion != a.policy.Version {
		t.Again = true // this very word has put it in force: no news of it will come by the watch
	}
	if r.LeaseDuration > 0 {
		a.ever, a.stop, a.grant = true, false, r.Grant
		a.lease.Take(asked, r.LeaseDuration)
	}
	return t
}

// Told takes in what a watch has told, which may be old: it may make the holder stop, weigh or
// take up something, but never gives a lease.
func (a *Accord) Told(n statemachine.WatchUpdate) (t Todo) {
	if n.Generation < a.era {
		return Todo{}
	}
	if n.Change != nil && n.Change.ID != a.said {
		t.Weigh = n.Change
	}
	if n.Closing && a.fence == statemachine.RefuseWork && a.lease.Until() != 0 {
		a.stop, t.Again = true, true
		a.lease.Leave()
	}
	if n.Policy != nil && n.Policy.Version > a.policy.Version {
		t.Take = n.Policy
	}
	return t
}

// Took notes that a policy is applied, from here on and as one.
func (a *Accord) Took(p statemachine.Policy) {
	a.policy = p
	a.lease.Leave()
}

// Say words what the keepers are told of a change; why is empty where it could be run.
func (a *Accord) Say(c *statemachine.PolicyChange, why string) statemachine.Vote {
	a.said = c.ID
	return statemachine.Vote{Name: a.name, Incarnation: a.life, ChangeID: c.ID, Objection: why}
}

// Unsaid notes that the word did not get through, so that it is said again.
func (a *Accord) Unsaid() { a.said = "" }
