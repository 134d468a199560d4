package statemachine

// This file owns how the keepers run their parts: limits, verdicts, cold starts and workflows, each
// beside policies and leases, each with the same few moments. No part knows another, and the rest of
// the state knows none of them but as a part.

import "yardflow/internal/fleet/coldstart/relay"

// part is one of them, at each of its moments. Where a policy never had any, it does nothing.
type part interface {
	rule(s *State, p Policy)                                      // a policy comes into force
	pass(s *State, c *Tick)                                       // time has passed
	hear(s *State, c *LeaseRequest, r *Result)                    // a holder says what it has, whether it is given a lease or not
	ask(s *State, c *LeaseRequest, r *Result)                     // it is given one: what hangs on it
	end(s *State, h *LeaseHolder)                                 // its lease has ended, by its own word
	leave(s *State, h *LeaseHolder)                               // and it goes for good
	forget(s *State, who string, h *LeaseHolder)                  // its life is over and remembered no more
	news(s *State, n *WatchUpdate, zone int, has relay.Watermark) // somebody watches
	mend(s *State)                                                // a snapshot was read, which leaves out what is empty
	idle(s *State) bool                                           // nobody waits here for time to pass
	restored(s *State, skip uint64)                               // the state may be an old one: what is safe to go on from
}

// parts are all there are, in the order in which they are run.
var parts = []part{limits{}, judges{}, starts{}, flows{}}

// quiet is a part at moments that are nothing to it.
type quiet struct{}

func (quiet) rule(*State, Policy)                             {}
func (quiet) pass(*State, *Tick)                              {}
func (quiet) hear(*State, *LeaseRequest, *Result)             {}
func (quiet) leave(*State, *LeaseHolder)                      {}
func (quiet) ask(*State, *LeaseRequest, *Result)              {}
func (quiet) end(*State, *LeaseHolder)                        {}
func (quiet) forget(*State, string, *LeaseHolder)             {}
func (quiet) news(*State, *WatchUpdate, int, relay.Watermark) {}
func (quiet) mend(*State)                                     {}
func (quiet) idle(*State) bool                                { return true }
func (quiet) restored(*State, uint64)                         {}

// each has every part do something.
func each(f func(p part)) {
	for _, p := range parts {
		f(p)
	}
}

// live tells whether a life, by its key, may hold a lease now.
func (s *State) live(who string) bool {
	h := s.Holders[who]
	return h != nil && s.IsActive(h)
}
