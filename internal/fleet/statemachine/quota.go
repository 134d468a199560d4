package statemachine

import "yardflow/internal/fleet/quota"

// quotaComponent keeps fleet-wide limits: what each holder was granted of them hangs on its lease.
type quotaComponent struct{ noopComponent }

func (quotaComponent) policyChanged(s *State, p Policy) {
	if s.Quota == nil && len(p.Limits) > 0 {
		s.Quota = quota.NewAllocator()
	}
	if s.Quota != nil {
		s.Quota.SetLimits(p.Limits)
	}
}

func (quotaComponent) timePassed(s *State, c *Tick) {
	if s.Quota == nil {
		return
	}
	for key := range s.Holders { // each on its own, so the order does not show
		s.Quota.StartExpiry(key, c.GrantsSeen, s.Now+s.Config.LeaseDuration)
	}
	s.Quota.Advance(s.Now)
}

func (quotaComponent) leaseGranted(s *State, c *LeaseRequest, r *Result) {
	if s.Quota != nil {
		r.QuotaGrants = s.Quota.Allocate(holderKey(c.Name, c.Incarnation), s.GrantCount, c.CurrentGrant, c.QuotaRequests)
	}
}

func (quotaComponent) leaseEnded(s *State, h *LeaseHolder) {
	if s.Quota != nil {
		s.Quota.Release(holderKey(h.Name, h.Incarnation), s.Now)
	}
}

func (quotaComponent) afterDecode(s *State) {
	if s.Quota != nil {
		s.Quota.InitMaps()
	}
}

func (quotaComponent) idle(s *State) bool { return s.Quota == nil || len(s.Quota.Holders) == 0 }

func (quotaComponent) resetAfterRestore(s *State, _ uint64) { s.Quota = nil }
