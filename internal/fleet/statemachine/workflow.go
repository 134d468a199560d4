package statemachine

import (
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/workflow/claims"
)

// workflowComponent keeps workflows (package claims has their rules), and how long a dispatcher's claims on steps stay
// its own.
//
// Claims do not hang on the lease under a policy: that lease ends with each change of policy, while steps go on at
// workers. They hang on a claim lease, which the answer to each lease request renews, whether a lease is granted or not.
type workflowComponent struct{ noopComponent }

// ClaimLease is how long an incarnation's claims are its own. Like a lease under a policy, it counts from the first
// tick whose proposer had seen it granted.
type ClaimLease struct {
	PendingGrant uint64        `cbor:"1,keyasint,omitempty" json:"No"`    // number of the latest whose duration has not begun to count; 0: it counts
	Expiry       time.Duration `cbor:"2,keyasint,omitempty" json:"Until"` // in the state's time
}

// mayHoldClaims reports whether an incarnation, by its key, may hold claims now.
func (s *State) mayHoldClaims(key string) bool {
	h := s.Holders[key]
	return h != nil && (h.ClaimLease.PendingGrant > 0 || h.ClaimLease.Expiry > s.Now)
}

func (workflowComponent) policyChanged(s *State, p Policy) {
	if s.Workflows == nil && len(p.Workflows) > 0 {
		s.Workflows = claims.New()
	}
	if s.Workflows != nil {
		s.Workflows.SetTemplates(p.Version, p.Workflows)
	}
}

func (workflowComponent) timePassed(s *State, c *Tick) {
	if s.Workflows == nil {
		return
	}
	for _, h := range s.Holders { // each on its own, so the order does not show
		if h.ClaimLease.PendingGrant > 0 && h.ClaimLease.PendingGrant <= c.GrantsSeen {
			h.ClaimLease = ClaimLease{Expiry: s.Now + s.Config.LeaseDuration}
		}
	}
	changed := s.Workflows.AdvanceTime(s.Now, c.LeaderTerm, c.Number, c.GrantsSeen)
	for _, key := range s.Workflows.Holders() {
		if !s.mayHoldClaims(key) {
			changed = s.Workflows.ReclaimFrom(s.Now, key) || changed
		}
	}
	if changed {
		s.Revision++
	}
}

func (workflowComponent) leaseRequested(s *State, c *LeaseRequest, r *Result) {
	if s.Workflows == nil {
		return
	}
	s.GrantCount++
	s.Holders[holderKey(c.Name, c.Incarnation)].ClaimLease.PendingGrant = s.GrantCount
	r.ClaimLease, r.StepsReady = s.Config.LeaseDuration, s.Workflows.HasReadySteps()
}

func (workflowComponent) holderLeft(s *State, h *LeaseHolder) {
	h.ClaimLease = ClaimLease{}
	if s.Workflows != nil && s.Workflows.ReclaimFrom(s.Now, holderKey(h.Name, h.Incarnation)) {
		s.Revision++
	}
}

func (workflowComponent) addUpdate(s *State, u *WatchUpdate, _ int, _ relay.Watermark) {
	u.StepsReady = s.Workflows != nil && s.Workflows.HasReadySteps()
}

func (workflowComponent) afterDecode(s *State) {
	if s.Workflows != nil {
		s.Workflows.RebuildIndexes()
	}
}

func (workflowComponent) idle(s *State) bool { return s.Workflows == nil || s.Workflows.Idle() }

func (workflowComponent) resetAfterRestore(s *State, skip uint64) {
	if s.Workflows != nil {
		s.Workflows.ResetAfterRestore(s.Now, skip)
	}
}

// applyWorkflow applies a command on workflows. It is a new revision only where the first step becomes ready: at a
// revision for each command, every dispatcher's watch would return each time.
func (s *State) applyWorkflow(c *claims.Command) (r Result) {
	if s.Workflows == nil {
		r.setError(&claims.NoWorkflowsError{})
		return r
	}
	s.GrantCount++ // so that a tick which has seen it was proposed after it
	answer, changed, err := s.Workflows.Apply(s.Now, s.GrantCount, *c, claims.LeaseChecks{MayClaim: s.mayHoldLease, MayHold: s.mayHoldClaims})
	if changed {
		s.Revision++
	}
	if !r.setError(err) {
		r.Workflow = &answer
	}
	return r
}

// QueryWorkflows answers a command that changes nothing.
func (s *State) QueryWorkflows(c *claims.Command) (r Result) {
	if s.Workflows == nil {
		r.setError(&claims.NoWorkflowsError{})
		return r
	}
	answer, err := s.Workflows.Query(s.Now, c.Query)
	if !r.setError(err) {
		r.Workflow = &answer
	}
	return r
}
