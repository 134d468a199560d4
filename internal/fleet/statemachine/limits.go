package statemachine

// This file owns the limits of the fleet as a part of the state.

import "yardflow/internal/fleet/quota"

type limits struct{ quiet }

func (limits) rule(s *State, p Policy) {
	if s.Quota == nil && len(p.Limits) > 0 {
		s.Quota = quota.NewBook()
	}
	if s.Quota != nil {
		s.Quota.Set(p.Limits)
	}
}

func (limits) pass(s *State, c *Tick) {
	if s.Quota != nil {
		for k := range s.Holders { // each by itself
			s.Quota.Counted(k, c.Seen, s.Now+s.Config.Lease)
		}
		s.Quota.Pass(s.Now)
	}
}

func (limits) ask(s *State, c *Hold, r *Result) {
	if s.Quota != nil {
		r.Parts = s.Quota.Ask(key(c.Name, c.Life), s.Grants, c.Heard, c.Wants)
	}
}

func (limits) end(s *State, h *Holder) {
	if s.Quota != nil {
		s.Quota.End(key(h.Name, h.Life), s.Now)
	}
}

func (limits) mend(s *State) {
	if s.Quota != nil {
		s.Quota.Mend()
	}
}

func (limits) idle(s *State) bool { return s.Quota == nil || len(s.Quota.Parties) == 0 }

func (limits) restored(s *State, _ uint64) { s.Quota = nil }
