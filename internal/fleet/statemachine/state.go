// Package statemachine is the replicated state of a fleet: the policies that were in force, the change of policy under
// way, and which dispatchers hold a lease to serve under a policy. Package consensus applies the same commands to it,
// in the same order, at each coordinator; what the caller of a command gets back is its Result.
//
// It is deterministic: it has no clock, randomness or I/O, and never iterates over a map where the order could show.
// Texts that it stores (PolicyChange.Reason) must be the same in all versions that run at once, since replicas of mixed
// versions must not differ.
//
// # Time
//
// Time is a command, too (Tick): the leader proposes how much has passed on its monotonic clock since it began to lead
// or proposed last. So the state's clock runs no faster than a real one by more than the drift, and stands still while
// there is no leader. A lease counts from the first tick whose proposer had seen the lease granted when it read its
// clock: the time that a tick reports lies before it is applied, and a lease granted in between would expire here
// before it does at its holder, which counts from before it asked (package policylease, whose explorer found that).
//
// # Invariants
//
//   - One policy is in force at a time, each from one revision on.
//   - Under RefuseWork no lease is granted under a version while one under another version may be held.
//   - A change that an active holder objects to never comes into force.
//
// # Encoding
//
// State is stored in snapshots and Command in the log; Result and WatchUpdate are sent to dispatchers; all of them also
// between versions. CBOR and JSON use the names of fields as keys: a field whose name has changed keeps its key by a
// tag. The golden tests compare the bytes.
package statemachine

import (
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/workflow/claims"
)

// Config is what all coordinators of a fleet are started with alike: each value decides what commands do.
type Config struct {
	LeaseDuration time.Duration `cbor:"Lease" json:"Lease"`   // in the state's time
	VoteTimeout   time.Duration `cbor:"Answer" json:"Answer"` // how long a holder has to vote on a change
	OnLeaseLoss   LeaseLossMode `cbor:"Fence" json:"Fence"`
	PolicyHistory int           `cbor:"Keep" json:"Keep"` // policies remembered, the one in force among them
}

// State is everything that the coordinators have agreed on. It changes by Apply and ApplyMemberChange, and by
// ResetAfterRestore.
type State struct {
	Config     Config
	Revision   uint64        // grows with each change of anything but time and leases
	Now        time.Duration // the state's clock
	GrantCount uint64        `cbor:"Grants"` // numbers given so far: to leases, claim leases and commands on workflows
	Policies   []Policy      // oldest first; the last one is in force
	Change     *PolicyChange // under way, or the last one; nil: there never was one
	Holders    map[string]*LeaseHolder

	Members        map[uint64]string // the coordinators that were added, with their addresses where known
	RemovedMembers map[uint64]bool   `cbor:"Left"` // a member's number is never used again

	GrantsBlockedUntil time.Duration `cbor:"Shut"` // no lease is granted before then
	Generation         uint64        `cbor:"Era"`  // counts restores; an answer of an older generation is void

	// The components' states; nil: no policy has ever used the component.
	Quota     *quota.Allocator
	Outliers  *outlier.Detector  `cbor:"Verdicts"`
	ColdStart *coldstart.Granter `cbor:"Start"`
	Workflows *claims.Table      `cbor:"Flows"`
}

// New returns the state of coordinators that have not agreed on anything yet.
func New(c Config) *State {
	return &State{Config: c, Holders: map[string]*LeaseHolder{}}
}

// Apply applies one command.
func (s *State) Apply(c Command) Result {
	var r Result
	switch {
	case c.Tick != nil:
		s.advanceTime(c.Tick)
	case c.LeaseRequest != nil:
		r = s.requestLease(c.LeaseRequest)
	case c.Vote != nil:
		r = s.recordVote(c.Vote)
	case c.LeaseRelease != nil:
		s.releaseLease(c.LeaseRelease)
	case c.Proposal != nil:
		r = s.propose(c.Proposal)
	case c.Withdrawal != nil:
		r = s.withdraw(c.Withdrawal)
	case c.ListUpdate != nil:
		r = s.publishList(c.ListUpdate)
	case c.Workflow != nil:
		r = s.applyWorkflow(c.Workflow)
	default:
		r.Err = "a command of a newer program"
	}
	s.advanceChange()
	r.Revision, r.Generation, r.CurrentVersion = s.Revision, s.Generation, s.CurrentPolicy().Version
	return r
}

// Idle reports that nothing waits for time to pass, so that the leader need not propose ticks.
func (s *State) Idle() bool {
	waits := s.GrantsBlockedUntil > s.Now || len(s.ActiveHolders()) > 0 || s.Change != nil && s.Change.Stage < InForce
	forEachComponent(func(c component) { waits = waits || !c.idle(s) })
	return !waits
}
