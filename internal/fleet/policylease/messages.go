package policylease

import (
	"time"

	"yardflow/internal/fleet/statemachine"
)

// servingWithoutPolicy is the ServingVersion of a dispatcher that admits work before any policy was made: 0 would say
// that it admits none.
const servingWithoutPolicy = 1<<64 - 1

// NextRequest returns the next lease request. The caller remembers now, read before the request is sent, for
// HandleResult.
func (h *Holder) NextRequest(now time.Duration) statemachine.LeaseRequest {
	h.seq++
	request := statemachine.LeaseRequest{Name: h.name, Incarnation: h.incarnation, Seq: h.seq,
		KnownVersion: h.policy.Version, Program: h.program, CurrentGrant: h.grant}
	if h.Admission(now).Allowed {
		request.ServingVersion = h.policy.Version
		if request.ServingVersion == 0 {
			request.ServingVersion = servingWithoutPolicy
		}
	}
	return request
}

// RequestFailed notes that a lease request brought no answer.
func (h *Holder) RequestFailed() { h.unasked = false }

// Release returns the last message of this incarnation. From here on nothing is admitted.
func (h *Holder) Release() statemachine.LeaseRelease {
	h.seq++
	h.stop()
	return statemachine.LeaseRelease{Name: h.name, Incarnation: h.incarnation, Seq: h.seq}
}

// stop admits nothing until a lease is given again.
func (h *Holder) stop() {
	h.stopped = true
	h.lease.Release()
}

// Vote returns the vote on a change; objection is why the dispatcher could not run it, empty where it could.
func (h *Holder) Vote(change *statemachine.PolicyChange, objection string) statemachine.Vote {
	h.votedOn = change.ID
	return statemachine.Vote{Name: h.name, Incarnation: h.incarnation, ChangeID: change.ID, Objection: objection}
}

// VoteLost notes that the vote may not have arrived, so that the change is voted on again.
func (h *Holder) VoteLost() { h.votedOn = "" }

// Actions is what the caller has to do after an answer or an update.
type Actions struct {
	ApplyPolicy  *statemachine.Policy       // apply it, call PolicyApplied, and request a lease at once
	CheckChange  *statemachine.PolicyChange // see whether it could be run, and send what Vote returns
	RequestAgain bool                       // request a lease at once
}

// FromOldGeneration reports whether an answer is of coordinators as they were before a restore: it is void.
func (h *Holder) FromOldGeneration(r statemachine.Result) bool { return r.Generation < h.generation }

// HandleResult takes in the answer to the request that was sent after the holder's clock showed requested.
func (h *Holder) HandleResult(requested time.Duration, r statemachine.Result) Actions {
	if h.FromOldGeneration(r) {
		return Actions{}
	}
	h.NoLeaseReason, h.generation, h.unasked = r.NoLeaseReason, r.Generation, false
	if r.Err != "" {
		h.NoLeaseReason = r.Err
		return Actions{RequestAgain: r.Err == statemachine.ErrStaleMessage.Error()}
	}
	actions := Actions{CheckChange: h.unvoted(r.Change)}
	// Under KeepLastPolicy StopAdmitting says only that no lease is given while a change is closing: it goes on.
	if r.StopAdmitting && h.onLeaseLoss == statemachine.RefuseWork {
		// While it held a lease the coordinators wait to hear that it has stopped.
		actions.RequestAgain = h.lease.Expiry() != 0 || r.Policy != nil
		h.stop()
	}
	if r.Policy != nil {
		actions.ApplyPolicy = r.Policy
		return actions // a lease under a policy that is not applied yet would be void
	}
	if r.CurrentVersion != h.policy.Version {
		// This very request has put another version in force, of which the watch brings no update.
		actions.RequestAgain = true
	}
	if r.LeaseDuration > 0 {
		h.everConfirmed, h.stopped, h.grant = true, false, r.Grant
		h.lease.Renew(requested, r.LeaseDuration)
	}
	return actions
}

// HandleUpdate takes in what a watch has brought, which may be old. It may make the holder stop, vote or apply a
// policy, and never gives a lease.
func (h *Holder) HandleUpdate(update statemachine.WatchUpdate) Actions {
	if update.Generation < h.generation {
		return Actions{}
	}
	actions := Actions{CheckChange: h.unvoted(update.Change)}
	if update.Closing && h.onLeaseLoss == statemachine.RefuseWork && h.lease.Expiry() != 0 {
		actions.RequestAgain = true
		h.stop()
	}
	if update.Policy != nil && update.Policy.Version > h.policy.Version {
		actions.ApplyPolicy = update.Policy
	}
	return actions
}

// unvoted is the change if it is still to be voted on, else nil.
func (h *Holder) unvoted(change *statemachine.PolicyChange) *statemachine.PolicyChange {
	if change == nil || change.ID == h.votedOn {
		return nil
	}
	return change
}

// PolicyApplied notes that a policy is applied completely from here on. The lease ended with the policy before.
func (h *Holder) PolicyApplied(p statemachine.Policy) {
	h.policy = p
	h.lease.Release()
}
