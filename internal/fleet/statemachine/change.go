package statemachine

// This file owns a change of policy: proposed, weighed by all that live, in force or withdrawn. It
// must never put one in force that a living holder can't run.

import (
	"fmt"
	"slices"

	"yardflow/internal/fleet/workflow/graph"
	"yardflow/internal/platform/fault"
)

func (s *State) say(c *Vote) (r Result) {
	ch := s.Change
	if ch == nil || ch.ID != c.ChangeID || ch.Stage != Proposed {
		r.Err = ErrNoSuchChange.Error()
		return r
	}
	if _, said := ch.Votes[key(c.Name, c.Incarnation)]; !said {
		ch.Votes[key(c.Name, c.Incarnation)] = c.Objection // no new revision: all that watch would ask for each word
	}
	return r
}

func (s *State) propose(c *Proposal) (r Result) {
	if s.Change != nil && s.Change.ID == c.ID {
		return r // asked twice
	}
	now := s.CurrentPolicy()
	switch {
	case c.ID == "" || len(c.Text) == 0:
		r.Err = ErrEmptyProposal.Error()
	case s.Change != nil && s.Change.Stage < InForce:
		r.Err = fmt.Sprintf("%v: %s by %s", ErrChangePending, s.Change.ID, s.Change.Policy.Author)
	case c.BaseVersion != now.Version:
		r.Err = fmt.Sprintf("%v: from %d, and %d is", ErrStaleBase, c.BaseVersion, now.Version)
	case Digest(c.Text) == now.Digest:
		r.Err = ErrUnchanged.Error()
	}
	for _, l := range c.Limits {
		if err := l.Validate(); err != nil && r.Err == "" {
			r.Err = fmt.Sprintf("limit %q: %v", l.Name, err)
		}
	}
	if c.ColdStart != nil && r.Err == "" {
		if err := c.ColdStart.Validate(); err != nil {
			r.Err = fmt.Sprintf("start: %v", err)
		}
	}
	for _, t := range c.Workflows {
		if _, err := graph.Compile(t); err != nil && r.Err == "" {
			r.Err = fault.Text(err)
		}
	}
	if s.Workflows != nil && r.Err == "" {
		r.fault(s.Workflows.CheckPools(c.Pools))
	}
	if c.OutlierSettings != nil && r.Err == "" {
		if err := c.OutlierSettings.Validate(); err != nil {
			r.Err = fmt.Sprintf("verdicts: %v", err)
		}
	}
	if r.Err != "" {
		return r
	}
	s.Revision++
	s.Change = &PolicyChange{ID: c.ID, StageSince: s.Now, Votes: map[string]string{}, SkipUnresponsive: c.SkipUnresponsive,
		Policy: Policy{Version: now.Version + 1, Digest: Digest(c.Text), Text: c.Text, Limits: c.Limits, OutlierSettings: c.OutlierSettings, ColdStart: c.ColdStart, Workflows: c.Workflows, Author: c.Author, Reason: c.Reason}}
	return r
}

func (s *State) withdraw(c *Withdrawal) (r Result) {
	switch ch := s.Change; {
	case ch == nil || ch.ID != c.ID || ch.Stage == Withdrawn:
		r.Err = ErrNoSuchChange.Error()
	case ch.Stage != Proposed:
		r.Err = ErrTooLateToWithdraw.Error()
	default:
		s.end(fmt.Sprintf("by %s: %s", c.Author, c.Reason))
	}
	return r
}

func (s *State) end(why string) {
	s.Change.Stage, s.Change.Reason, s.Change.StageSince = Withdrawn, why, s.Now
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
		for _, h := range s.ActiveHolders() {
			why, said := ch.Votes[key(h.Name, h.Incarnation)]
			switch {
			case said && why != "":
				s.end(fmt.Sprintf("%s can't run it: %s", h.Name, why))
				return
			case said:
			case !ch.SkipUnresponsive && s.Now-ch.StageSince >= s.Config.VoteTimeout:
				s.end(fmt.Sprintf("%s has said nothing for %v", h.Name, s.Config.VoteTimeout))
				return
			default:
				waiting = true
			}
		}
		if waiting {
			return
		}
		ch.Stage, ch.StageSince = Closing, s.Now
		s.Revision++
	}
	if ch.Stage == Closing {
		if s.Config.OnLeaseLoss == RefuseWork && len(s.ActiveHolders()) > 0 {
			return
		}
		ch.Stage, ch.StageSince = InForce, s.Now
		s.Revision++
		ch.Policy.Revision = s.Revision
		s.Policies = append(s.Policies, ch.Policy)
		each(func(p part) { p.rule(s, ch.Policy) })
		if over := len(s.Policies) - max(s.Config.PolicyHistory, 1); over > 0 {
			s.Policies = slices.Delete(s.Policies, 0, over)
		}
	}
}

// WaitingFor names the living holders that a change waits for.
func (s *State) WaitingFor() (names []string) {
	ch := s.Change
	if ch == nil || ch.Stage >= InForce {
		return nil
	}
	for _, h := range s.ActiveHolders() {
		if _, said := ch.Votes[key(h.Name, h.Incarnation)]; ch.Stage == Closing || !said {
			names = append(names, h.Name)
		}
	}
	return names
}
