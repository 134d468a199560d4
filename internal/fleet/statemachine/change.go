package statemachine

// This file owns a change of policy: proposed, weighed by all that live, in force or withdrawn. It
// must never put one in force that a living holder can't run.

import (
	"fmt"
	"slices"

	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/platform/fault"
)

func (s *State) say(c *Say) (r Result) {
	ch := s.Change
	if ch == nil || ch.ID != c.Change || ch.Stage != Proposed {
		r.Err = ErrGone.Error()
		return r
	}
	if _, said := ch.Said[key(c.Name, c.Life)]; !said {
		ch.Said[key(c.Name, c.Life)] = c.Why // no new revision: all that watch would ask for each word
	}
	return r
}

func (s *State) propose(c *Propose) (r Result) {
	if s.Change != nil && s.Change.ID == c.ID {
		return r // asked twice
	}
	now := s.InForce()
	switch {
	case c.ID == "" || len(c.Text) == 0:
		r.Err = ErrEmpty.Error()
	case s.Change != nil && s.Change.Stage < InForce:
		r.Err = fmt.Sprintf("%v: %s by %s", ErrOpen, s.Change.ID, s.Change.Policy.Who)
	case c.Base != now.Version:
		r.Err = fmt.Sprintf("%v: from %d, and %d is", ErrBase, c.Base, now.Version)
	case Digest(c.Text) == now.Digest:
		r.Err = ErrSame.Error()
	}
	for _, l := range c.Limits {
		if err := l.Check(); err != nil && r.Err == "" {
			r.Err = fmt.Sprintf("limit %q: %v", l.Name, err)
		}
	}
	if c.Start != nil && r.Err == "" {
		if err := c.Start.Check(); err != nil {
			r.Err = fmt.Sprintf("start: %v", err)
		}
	}
	for _, t := range c.Flows {
		if _, err := graph.Compile(t); err != nil && r.Err == "" {
			r.Err = fault.Text(err)
		}
	}
	if s.Flows != nil && r.Err == "" {
		r.fault(s.Flows.Without(c.Pools))
	}
	if c.Judges != nil && r.Err == "" {
		if err := c.Judges.Check(); err != nil {
			r.Err = fmt.Sprintf("verdicts: %v", err)
		}
	}
	if r.Err != "" {
		return r
	}
	s.Revision++
	s.Change = &Change{ID: c.ID, Since: s.Now, Said: map[string]string{}, WithoutSilent: c.WithoutSilent,
		Policy: Policy{Version: now.Version + 1, Digest: Digest(c.Text), Text: c.Text, Limits: c.Limits, Judges: c.Judges, Start: c.Start, Flows: c.Flows, Who: c.Who, Why: c.Why}}
	return r
}

func (s *State) withdraw(c *Withdraw) (r Result) {
	switch ch := s.Change; {
	case ch == nil || ch.ID != c.ID || ch.Stage == Withdrawn:
		r.Err = ErrGone.Error()
	case ch.Stage != Proposed:
		r.Err = ErrLate.Error()
	default:
		s.end(fmt.Sprintf("by %s: %s", c.Who, c.Why))
	}
	return r
}

func (s *State) end(why string) {
	s.Change.Stage, s.Change.Reason, s.Change.Since = Withdrawn, why, s.Now
	s.Revision++
}

// advance takes the change as far as it can go now.
func (s *State) advance() {
	ch := s.Change
	if ch == nil {
		return
	}
	if ch.Stage == Proposed {
		waiting := false
		for _, h := range s.Living() {
			why, said := ch.Said[key(h.Name, h.Life)]
			switch {
			case said && why != "":
				s.end(fmt.Sprintf("%s can't run it: %s", h.Name, why))
				return
			case said:
			case !ch.WithoutSilent && s.Now-ch.Since >= s.Config.Answer:
				s.end(fmt.Sprintf("%s has said nothing for %v", h.Name, s.Config.Answer))
				return
			default:
				waiting = true
			}
		}
		if waiting {
			return
		}
		ch.Stage, ch.Since = Closing, s.Now
		s.Revision++
	}
	if ch.Stage == Closing {
		if s.Config.Fence == Refuse && len(s.Living()) > 0 {
			return
		}
		ch.Stage, ch.Since = InForce, s.Now
		s.Revision++
		ch.Policy.Revision = s.Revision
		s.Policies = append(s.Policies, ch.Policy)
		each(func(p part) { p.rule(s, ch.Policy) })
		if over := len(s.Policies) - max(s.Config.Keep, 1); over > 0 {
			s.Policies = slices.Delete(s.Policies, 0, over)
		}
	}
}

// Holdup names the living holders that a change waits for.
func (s *State) Holdup() (names []string) {
	ch := s.Change
	if ch == nil || ch.Stage >= InForce {
		return nil
	}
	for _, h := range s.Living() {
		if _, said := ch.Said[key(h.Name, h.Life)]; ch.Stage == Closing || !said {
			names = append(names, h.Name)
		}
	}
	return names
}
