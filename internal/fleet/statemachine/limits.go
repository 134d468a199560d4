package statemachine

// This file owns the limits of the fleet as a part of the state.

import "yardflow/internal/fleet/quota"

type limits struct{ quiet }

func (limits) rule(s *State, p Policy) {
	if s.Quota == nil && len(p.Limits) > 0 {
		s.Quota = quota.NewAllocator()
	}
	if s.Quota != nil {
		s.Quota.SetLimits(p.Limits)
	}
}

func (limits) pass(s *State, c *Tick) {
	if s.Quota != nil {
		for k := range s.Holders { // each by itself
			s.Quota.StartExpiry(k, c.GrantsSeen, s.Now+s.Config.LeaseDuration)
		}
		s.Quota.Advance(s.Now)
	}
}

func (limits) ask(s *State, c *LeaseRequest, r *Result) {
	if s.Quota != nil {
		r.QuotaGrants = s.Quota.Allocate(key(c.Name, c.Incarnation), s.GrantCount, c.CurrentGrant, c.QuotaRequests)
	}
}

func (limits) end(s *State, h *LeaseHolder) {
	if s.Quota != nil {
		s.Quota.Release(key(h.Name, h.Incarnation), s.Now)
	}
}

func (limits) mend(s *State) {
	if s.Quota != nil {
		s.Quota.InitMaps()
	}
}

func (limits) idle(s *State) bool { return s.Quota == nil || len(s.Quota.Holders) == 0 }

func (limits) restored(s *State, _ uint64) { s.Quota = nil }
