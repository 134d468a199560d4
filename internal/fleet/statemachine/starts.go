package statemachine

// This file owns cold starts as a part of the state: turns at the list service, and relayed lists.

import (
	"slices"

	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
)

type starts struct{ quiet }

func (starts) rule(s *State, p Policy) {
	switch {
	case p.ColdStart == nil:
		s.ColdStart = nil
	case s.ColdStart == nil:
		from := s.Now
		if s.Generation > 0 || slices.ContainsFunc(s.Policies, func(q Policy) bool { return q.Version < p.Version && q.ColdStart != nil }) {
			from += s.Config.LeaseDuration // turns of a policy before, or of keepers before a restore, are over by then
		}
		s.ColdStart = coldstart.NewGranter(*p.ColdStart, from, s.Revision)
	default:
		s.ColdStart.Configure(*p.ColdStart)
	}
}

func (starts) ask(s *State, c *LeaseRequest, r *Result) {
	if s.ColdStart != nil && c.ColdStart != nil {
		r.ColdStart = s.ColdStart.Grant(s.Now, key(c.Name, c.Incarnation), c.Zone, c.ColdStart, s.live)
	}
}

func (starts) end(s *State, h *LeaseHolder) {
	if s.ColdStart != nil {
		s.ColdStart.RemoveHolder(key(h.Name, h.Incarnation))
	}
}

func (starts) forget(s *State, who string, _ *LeaseHolder) {
	if s.ColdStart != nil {
		s.ColdStart.RemoveHolder(who)
	}
}

func (starts) news(s *State, n *WatchUpdate, zone int, has relay.Watermark) {
	if s.ColdStart != nil {
		n.RelayedList = s.ColdStart.ListUpdateSince(zone, has)
	}
}

func (starts) mend(s *State) {
	if s.ColdStart != nil {
		s.ColdStart.InitMaps()
	}
}

func (starts) restored(s *State, _ uint64) { s.ColdStart = nil }

// relay takes in what the reader of a zone was told. One without a lease does not know whether it
// still reads.
func (s *State) relay(c *ListUpdate) (r Result) {
	who := key(c.Name, c.Incarnation)
	var err error = &relay.FenceError{FencingToken: c.FencingToken}
	if s.ColdStart != nil && s.live(who) {
		err = s.ColdStart.Publish(who, c.Zone, c.FencingToken, c.Update)
	}
	if r.fault(err) {
		return r
	}
	s.Revision++
	return r
}
