package statemachine

// This file owns verdicts on workers as a part of the state.

import (
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
)

type judges struct{ quiet }

func (judges) rule(s *State, p Policy) {
	if s.Verdicts == nil && p.Judges != nil {
		s.Verdicts = outlier.NewLedger()
	}
	if s.Verdicts != nil {
		s.Verdicts.Set(p.Judges)
	}
}

func (judges) pass(s *State, _ *Tick) { s.judge() }

func (judges) hear(s *State, c *Hold, _ *Result) {
	if s.Verdicts != nil {
		if s.Verdicts.Hear(s.Now, c.Name, c.Zone, c.Workers, c.Saw); len(c.Saw) > 0 { // else time alone changes anything: tick
			s.judge()
		}
	}
}

func (judges) ask(s *State, c *Hold, r *Result) {
	if s.Verdicts != nil {
		r.Verdicts, r.Accused = s.Verdicts.Tell(s.Now, c.Name, c.Zone)
	}
}

func (judges) forget(s *State, _ string, h *Holder) {
	if s.Verdicts != nil {
		s.Verdicts.Forget(h.Name)
	}
}

func (judges) news(s *State, n *News, _ int, _ relay.Mark) {
	if s.Verdicts != nil {
		n.Verdicts = s.Verdicts.All()
	}
}

func (judges) mend(s *State) {
	if s.Verdicts != nil {
		s.Verdicts.Mend()
	}
}

func (judges) restored(s *State, _ uint64) { s.Verdicts = nil }

// judge weighs what is said of workers. What comes of it is news.
func (s *State) judge() {
	if s.Verdicts == nil {
		return
	}
	no := s.Verdicts.No
	if s.Verdicts.Judge(s.Now); s.Verdicts.No != no {
		s.Revision++
	}
}
