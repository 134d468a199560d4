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

// Stay is how long a life's claims are its own.
type Stay struct {
	No    uint64        `cbor:"1,keyasint,omitempty"` // of the latest, which does not count yet; 0: it counts
	Until time.Duration `cbor:"2,keyasint,omitempty"`
}

// stays tells whether a life, by its key, may hold claims now.
func (s *State) stays(who string) bool {
	h := s.Holders[who]
	return h != nil && (h.Stay.No > 0 || h.Stay.Until > s.Now)
}

func (flows) rule(s *State, p Policy) {
	if s.Flows == nil && len(p.Flows) > 0 {
		s.Flows = claims.New()
	}
	if s.Flows != nil {
		s.Flows.Set(p.Version, p.Flows)
	}
}

func (flows) pass(s *State, c *Tick) {
	if s.Flows == nil {
		return
	}
	for _, h := range s.Holders { // each by itself
		if h.Stay.No > 0 && h.Stay.No <= c.Seen {
			h.Stay = Stay{Until: s.Now + s.Config.Lease}
		}
	}
	news := s.Flows.Pass(s.Now, c.Lead, c.No, c.Seen)
	for _, who := range s.Flows.Holders() {
		if !s.stays(who) {
			news = s.Flows.Gone(s.Now, who) || news
		}
	}
	if news {
		s.Revision++
	}
}

// hear gives a stay to whoever is heard of, under whatever policy: it says nothing of new work.
func (flows) hear(s *State, c *Hold, r *Result) {
	if s.Flows == nil {
		return
	}
	s.Grants++
	s.Holders[key(c.Name, c.Life)].Stay.No = s.Grants
	r.Stay, r.Steps = s.Config.Lease, s.Flows.Waiting()
}

func (flows) leave(s *State, h *Holder) {
	h.Stay = Stay{}
	if s.Flows != nil && s.Flows.Gone(s.Now, key(h.Name, h.Life)) {
		s.Revision++
	}
}

func (flows) news(s *State, n *News, _ int, _ relay.Mark) {
	n.Steps = s.Flows != nil && s.Flows.Waiting()
}

func (flows) mend(s *State) {
	if s.Flows != nil {
		s.Flows.Mend()
	}
}

func (flows) idle(s *State) bool { return s.Flows == nil || s.Flows.Idle() }

func (flows) restored(s *State, skip uint64) {
	if s.Flows != nil {
		s.Flows.Restored(s.Now, skip)
	}
}

// flow carries out a command on workflows. Those who watch are told only where the first step has
// become ready: a revision for each word would have all of them ask again.
func (s *State) flow(c *claims.Command) (r Result) {
	if s.Flows == nil {
		r.fault(&claims.NoneError{})
		return r
	}
	s.Grants++ // a telling of time that has seen it is of after it
	a, news, err := s.Flows.Apply(s.Now, s.Grants, *c, claims.Lives{Claim: s.live, Hold: s.stays})
	if news {
		s.Revision++
	}
	if !r.fault(err) {
		r.Flow = &a
	}
	return r
}

// ShowFlows answers a command that changes nothing.
func (s *State) ShowFlows(c *claims.Command) (r Result) {
	if s.Flows == nil {
		r.fault(&claims.NoneError{})
		return r
	}
	a, err := s.Flows.Show(s.Now, c.Show)
	if !r.fault(err) {
		r.Flow = &a
	}
	return r
}
