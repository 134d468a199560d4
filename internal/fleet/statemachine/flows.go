package statemachine

// This file owns workflows as a part of the state: their ledger (package ledger), how long a
// dispatcher's claims are its own, and when those of one that is lost are taken back.
//
// Claims do not hang on the lease under a policy: that one ends with each change, and what runs at a
// worker then goes on. They hang on its stay, a lease of its own that each answer to a Hold renews.

import (
	"time"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/workflow/claims"
)

type flows struct{ quiet }

// ClaimLease is how long a life's claims are its own.
type ClaimLease struct {
	PendingGrant uint64        `cbor:"1,keyasint,omitempty" json:"No"` // of the latest, which does not count yet; 0: it counts
	Expiry       time.Duration `cbor:"2,keyasint,omitempty" json:"Until"`
}

// stays tells whether a life, by its key, may hold claims now.
func (s *State) stays(who string) bool {
	h := s.Holders[who]
	return h != nil && (h.ClaimLease.PendingGrant > 0 || h.ClaimLease.Expiry > s.Now)
}

func (flows) rule(s *State, p Policy) {
	if s.Workflows == nil && len(p.Workflows) > 0 {
		s.Workflows = claims.New()
	}
	if s.Workflows != nil {
		s.Workflows.SetTemplates(p.Version, p.Workflows)
	}
}

func (flows) pass(s *State, c *Tick) {
	if s.Workflows == nil {
		return
	}
	for _, h := range s.Holders { // each by itself
		if h.ClaimLease.PendingGrant > 0 && h.ClaimLease.PendingGrant <= c.GrantsSeen {
			h.ClaimLease = ClaimLease{Expiry: s.Now + s.Config.LeaseDuration}
		}
	}
	news := s.Workflows.AdvanceTime(s.Now, c.LeaderTerm, c.Number, c.GrantsSeen)
	for _, who := range s.Workflows.Holders() {
		if !s.stays(who) {
			news = s.Workflows.ReclaimFrom(s.Now, who) || news
		}
	}
	if news {
		s.Revision++
	}
}

// hear gives a stay to whoever is heard of, under whatever policy: it says nothing of new work.
func (flows) hear(s *State, c *LeaseRequest, r *Result) {
	if s.Workflows == nil {
		return
	}
	s.GrantCount++
	s.Holders[key(c.Name, c.Incarnation)].ClaimLease.PendingGrant = s.GrantCount
	r.ClaimLease, r.StepsReady = s.Config.LeaseDuration, s.Workflows.HasReadySteps()
}

func (flows) leave(s *State, h *LeaseHolder) {
	h.ClaimLease = ClaimLease{}
	if s.Workflows != nil && s.Workflows.ReclaimFrom(s.Now, key(h.Name, h.Incarnation)) {
		s.Revision++
	}
}

func (flows) news(s *State, n *WatchUpdate, _ int, _ relay.Watermark) {
	n.StepsReady = s.Workflows != nil && s.Workflows.HasReadySteps()
}

func (flows) mend(s *State) {
	if s.Workflows != nil {
		s.Workflows.RebuildIndexes()
	}
}

func (flows) idle(s *State) bool { return s.Workflows == nil || s.Workflows.Idle() }

func (flows) restored(s *State, skip uint64) {
	if s.Workflows != nil {
		s.Workflows.ResetAfterRestore(s.Now, skip)
	}
}

// flow carries out a command on workflows. Those who watch are told only where the first step has
// become ready: a revision for each word would have all of them ask again.
func (s *State) flow(c *claims.Command) (r Result) {
	if s.Workflows == nil {
		r.fault(&claims.NoWorkflowsError{})
		return r
	}
	s.GrantCount++ // a telling of time that has seen it is of after it
	a, news, err := s.Workflows.Apply(s.Now, s.GrantCount, *c, claims.LeaseChecks{MayClaim: s.live, MayHold: s.stays})
	if news {
		s.Revision++
	}
	if !r.fault(err) {
		r.Workflow = &a
	}
	return r
}

// QueryWorkflows answers a command that changes nothing.
func (s *State) QueryWorkflows(c *claims.Command) (r Result) {
	if s.Workflows == nil {
		r.fault(&claims.NoWorkflowsError{})
		return r
	}
	a, err := s.Workflows.Query(s.Now, c.Query)
	if !r.fault(err) {
		r.Workflow = &a
	}
	return r
}
