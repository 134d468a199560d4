package statemachine

import (
	"slices"
	"time"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
)

// coldStartComponent keeps the turns in which dispatchers read the list service, and the lists that readers publish
// for the other dispatchers of their zone.
type coldStartComponent struct{ noopComponent }

func (coldStartComponent) policyChanged(s *State, p Policy) {
	switch {
	case p.ColdStart == nil:
		s.ColdStart = nil
	case s.ColdStart == nil:
		s.ColdStart = coldstart.NewGranter(*p.ColdStart, s.coldStartFrom(p), s.Revision)
	default:
		s.ColdStart.Configure(*p.ColdStart)
	}
}

// coldStartFrom returns from when on turns may be granted under a policy: one lease later where turns that an earlier
// policy, or coordinators before a restore, have granted may still be held.
func (s *State) coldStartFrom(p Policy) time.Duration {
	earlier := slices.ContainsFunc(s.Policies, func(q Policy) bool { return q.Version < p.Version && q.ColdStart != nil })
	if s.Generation > 0 || earlier {
		return s.Now + s.Config.LeaseDuration
	}
	return s.Now
}

func (coldStartComponent) leaseGranted(s *State, c *LeaseRequest, r *Result) {
	if s.ColdStart != nil && c.ColdStart != nil {
		key := holderKey(c.Name, c.Incarnation)
		fleet := coldstart.Fleet{Position: s.positionOf(key), Holders: len(s.Holders), HoldsLease: s.mayHoldLease}
		r.ColdStart = s.ColdStart.Grant(s.Now, key, c.Zone, c.ColdStart, fleet)
	}
}

// positionOf returns a holder's position in the order of keys.
func (s *State) positionOf(key string) (position int) {
	for other := range s.Holders {
		if other < key {
			position++
		}
	}
	return position
}

func (coldStartComponent) leaseEnded(s *State, h *LeaseHolder) {
	if s.ColdStart != nil {
		s.ColdStart.RemoveHolder(holderKey(h.Name, h.Incarnation))
	}
}

func (coldStartComponent) holderForgotten(s *State, key string, _ *LeaseHolder) {
	if s.ColdStart != nil {
		s.ColdStart.RemoveHolder(key)
	}
}

func (coldStartComponent) addUpdate(s *State, u *WatchUpdate, zone int, list relay.Watermark) {
	if s.ColdStart != nil {
		u.RelayedList = s.ColdStart.ListUpdateSince(zone, list)
	}
}

func (coldStartComponent) afterDecode(s *State) {
	if s.ColdStart != nil {
		s.ColdStart.InitMaps()
	}
}

func (coldStartComponent) resetAfterRestore(s *State, _ uint64) { s.ColdStart = nil }

// publishList takes over what the reader of a zone has read from the list service. A holder without a lease is
// rejected: another may have become the reader meanwhile.
func (s *State) publishList(c *ListUpdate) (r Result) {
	key := holderKey(c.Name, c.Incarnation)
	var err error = &relay.FenceError{FencingToken: c.FencingToken}
	if s.ColdStart != nil && s.mayHoldLease(key) {
		err = s.ColdStart.Publish(key, c.Zone, c.FencingToken, c.Update)
	}
	if !r.setError(err) {
		s.Revision++
	}
	return r
}
