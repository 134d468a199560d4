package statemachine

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"yardflow/internal/platform/fault"
	"yardflow/internal/workflow/graph"
)

// Stage is how far a change of policy has come.
type Stage uint8

// The stages of a change, in order.
const (
	Proposed  Stage = iota // every active holder is asked to take the policy over and to vote
	Closing                // under RefuseWork: no lease is granted until no lease under the old version is left
	InForce                // the policy is in force
	Withdrawn              // the policy will not come into force
)

// String returns the stage as operators see it.
func (s Stage) String() string {
	return [...]string{"proposed", "closing", "in force", "withdrawn"}[min(s, Withdrawn)]
}

// PolicyChange is a change of policy. One is under way at a time: it is made by a Proposal, and ends in force or
// withdrawn; it is then kept until the next one replaces it.
type PolicyChange struct {
	ID               string // chosen by the proposer, so that a repeated proposal has no effect
	Stage            Stage
	Policy           Policy
	StageSince       time.Duration     `cbor:"Since" json:"Since"` // when this stage began, in the state's time
	Votes            map[string]string `cbor:"Said" json:"Said"`   // by holder key: empty: it can run the policy; else why it can't
	SkipUnresponsive bool              `cbor:"WithoutSilent" json:"WithoutSilent"`
	Reason           string            // why it was withdrawn
}

// The errors of commands on changes. Their texts are sent to callers, and ErrStaleMessage is recognised by its text.
var (
	ErrChangePending     = errors.New("another change is under way")
	ErrStaleBase         = errors.New("made from a version that is not the one in force")
	ErrUnchanged         = errors.New("the same as the policy in force")
	ErrNoSuchChange      = errors.New("no such change is under way")
	ErrTooLateToWithdraw = errors.New("it is closing or in force already: propose the way back")
	ErrEmptyProposal     = errors.New("empty")
	ErrStaleMessage      = errors.New("overtaken by a later message of the same life")
)

// propose begins a change of policy.
func (s *State) propose(c *Proposal) (r Result) {
	if s.Change != nil && s.Change.ID == c.ID {
		return r // a repetition
	}
	if r = s.checkProposal(c); r.Err != "" {
		return r
	}
	s.Revision++
	s.Change = &PolicyChange{ID: c.ID, StageSince: s.Now, Votes: map[string]string{}, SkipUnresponsive: c.SkipUnresponsive,
		Policy: Policy{Version: s.CurrentPolicy().Version + 1, Digest: Digest(c.Text), Text: c.Text, Limits: c.Limits,
			OutlierSettings: c.OutlierSettings, ColdStart: c.ColdStart, Workflows: c.Workflows, Author: c.Author, Reason: c.Reason}}
	return r
}

// checkProposal returns a result whose Err says why a proposal is rejected; empty: it is not rejected.
func (s *State) checkProposal(c *Proposal) (r Result) {
	current := s.CurrentPolicy()
	switch {
	case c.ID == "" || len(c.Text) == 0:
		r.Err = ErrEmptyProposal.Error()
	case s.Change != nil && s.Change.Stage < InForce:
		r.Err = fmt.Sprintf("%v: %s by %s", ErrChangePending, s.Change.ID, s.Change.Policy.Author)
	case c.BaseVersion != current.Version:
		r.Err = fmt.Sprintf("%v: from %d, and %d is", ErrStaleBase, c.BaseVersion, current.Version)
	case Digest(c.Text) == current.Digest:
		r.Err = ErrUnchanged.Error()
	}
	if r.Err != "" {
		return r
	}
	return s.checkContent(c)
}

// checkContent checks what a proposed policy says.
func (s *State) checkContent(c *Proposal) (r Result) {
	for _, limit := range c.Limits {
		if err := limit.Validate(); err != nil {
			r.Err = fmt.Sprintf("limit %q: %v", limit.Name, err)
			return r
		}
	}
	if c.ColdStart != nil {
		if err := c.ColdStart.Validate(); err != nil {
			r.Err = fmt.Sprintf("start: %v", err)
			return r
		}
	}
	for _, workflow := range c.Workflows {
		if _, err := graph.Compile(workflow); err != nil {
			r.Err = fault.Text(err)
			return r
		}
	}
	if s.Workflows != nil && r.setError(s.Workflows.CheckPools(c.Pools)) {
		return r
	}
	if c.OutlierSettings != nil {
		if err := c.OutlierSettings.Validate(); err != nil {
			r.Err = fmt.Sprintf("verdicts: %v", err)
		}
	}
	return r
}

// recordVote records whether a holder can run the change. Its first vote stands.
func (s *State) recordVote(c *Vote) (r Result) {
	change := s.Change
	if change == nil || change.ID != c.ChangeID || change.Stage != Proposed {
		r.Err = ErrNoSuchChange.Error()
		return r
	}
	key := holderKey(c.Name, c.Incarnation)
	if _, voted := change.Votes[key]; !voted {
		change.Votes[key] = c.Objection // without a new revision: every watch would return at every vote
	}
	return r
}

// withdraw ends a change before it is closing.
func (s *State) withdraw(c *Withdrawal) (r Result) {
	switch change := s.Change; {
	case change == nil || change.ID != c.ID || change.Stage == Withdrawn:
		r.Err = ErrNoSuchChange.Error()
	case change.Stage != Proposed:
		r.Err = ErrTooLateToWithdraw.Error()
	default:
		s.withdrawChange(fmt.Sprintf("by %s: %s", c.Author, c.Reason))
	}
	return r
}

func (s *State) withdrawChange(reason string) {
	s.Change.Stage, s.Change.Reason, s.Change.StageSince = Withdrawn, reason, s.Now
	s.Revision++
}

// advanceChange moves the change under way on, as far as votes and leases allow now.
func (s *State) advanceChange() {
	change := s.Change
	if change == nil {
		return
	}
	if change.Stage == Proposed && s.votesComplete() {
		change.Stage, change.StageSince = Closing, s.Now
		s.Revision++
	}
	if change.Stage == Closing && (s.Config.OnLeaseLoss != RefuseWork || len(s.ActiveHolders()) == 0) {
		s.putInForce(change)
	}
}

// votesComplete reports whether every active holder can run the change. It withdraws the change where one can't, or
// has not voted in time and is not to be skipped. A holder that is skipped is still waited for, until its lease has
// expired.
func (s *State) votesComplete() bool {
	complete := true
	for _, h := range s.ActiveHolders() {
		objection, voted := s.Change.Votes[holderKey(h.Name, h.Incarnation)]
		switch {
		case voted && objection != "":
			s.withdrawChange(fmt.Sprintf("%s can't run it: %s", h.Name, objection))
			return false
		case voted:
		case !s.Change.SkipUnresponsive && s.voteOverdue():
			s.withdrawChange(fmt.Sprintf("%s has said nothing for %v", h.Name, s.Config.VoteTimeout))
			return false
		default:
			complete = false
		}
	}
	return complete
}

// voteOverdue reports whether the time to vote on the change has passed.
func (s *State) voteOverdue() bool { return s.Now-s.Change.StageSince >= s.Config.VoteTimeout }

// awaitsVote reports whether a change is proposed on which the holder of a key has not voted.
func (s *State) awaitsVote(key string) bool {
	if s.Change == nil || s.Change.Stage != Proposed {
		return false
	}
	_, voted := s.Change.Votes[key]
	return !voted
}

// putInForce makes a change's policy the one in force.
func (s *State) putInForce(change *PolicyChange) {
	change.Stage, change.StageSince = InForce, s.Now
	s.Revision++
	change.Policy.Revision = s.Revision
	s.Policies = append(s.Policies, change.Policy)
	forEachComponent(func(c component) { c.policyChanged(s, change.Policy) })
	if excess := len(s.Policies) - max(s.Config.PolicyHistory, 1); excess > 0 {
		s.Policies = slices.Delete(s.Policies, 0, excess)
	}
}

// WaitingFor returns the names of the active holders that the change under way waits for: for their vote, or for the
// end of their lease.
func (s *State) WaitingFor() (names []string) {
	change := s.Change
	if change == nil || change.Stage >= InForce {
		return nil
	}
	for _, h := range s.ActiveHolders() {
		if change.Stage == Closing || s.awaitsVote(holderKey(h.Name, h.Incarnation)) {
			names = append(names, h.Name)
		}
	}
	return names
}
