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
	case p.Start == nil:
		s.Start = nil
	case s.Start == nil:
		from := s.Now
		if s.Era > 0 || slices.ContainsFunc(s.Policies, func(q Policy) bool { return q.Version < p.Version && q.Start != nil }) {
			from += s.Config.Lease // turns of a policy before, or of keepers before a restore, are over by then
		}
		s.Start = coldstart.NewBook(*p.Start, from, s.Revision)
	default:
		s.Start.Set(*p.Start)
	}
}

func (starts) ask(s *State, c *Hold, r *Result) {
	if s.Start != nil && c.Start != nil {
		r.Start = s.Start.Ask(s.Now, key(c.Name, c.Life), c.Zone, c.Start, s.live)
	}
}

func (starts) end(s *State, h *Holder) {
	if s.Start != nil {
		s.Start.Gone(key(h.Name, h.Life))
	}
}

func (starts) forget(s *State, who string, _ *Holder) {
	if s.Start != nil {
		s.Start.Gone(who)
	}
}

func (starts) news(s *State, n *News, zone int, has relay.Mark) {
	if s.Start != nil {
		n.List = s.Start.Since(zone, has)
	}
}

func (starts) mend(s *State) {
	if s.Start != nil {
		s.Start.Mend()
	}
}

func (starts) restored(s *State, _ uint64) { s.Start = nil }

// relay takes in what the reader of a zone was told. One without a lease does not know whether it
// still reads.
func (s *State) relay(c *Relay) (r Result) {
	who := key(c.Name, c.Life)
	var err error = &relay.FenceError{Fence: c.Fence}
	if s.Start != nil && s.live(who) {
		err = s.Start.Publish(who, c.Zone, c.Fence, c.Word)
	}
	if r.fault(err) {
		return r
	}
	s.Revision++
	return r
}
