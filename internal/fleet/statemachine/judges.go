package statemachine

// This file owns verdicts on workers as a part of the state.

import (
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
)

type judges struct{ quiet }

func (judges) rule(s *State, p Policy) {
	if s.Outliers == nil && p.OutlierSettings != nil {
		s.Outliers = outlier.NewDetector()
	}
	if s.Outliers != nil {
		s.Outliers.Configure(p.OutlierSettings)
	}
}

func (judges) pass(s *State, _ *Tick) { s.judge() }

func (judges) hear(s *State, c *LeaseRequest, _ *Result) {
	if s.Outliers != nil {
		if s.Outliers.AddReports(s.Now, c.Name, c.Zone, c.WorkerCount, c.OutlierReports); len(c.OutlierReports) > 0 { // else time alone changes anything: tick
			s.judge()
		}
	}
}

func (judges) ask(s *State, c *LeaseRequest, r *Result) {
	if s.Outliers != nil {
		r.Ejections, r.ReportsWanted = s.Outliers.NoticesFor(s.Now, c.Name, c.Zone)
	}
}

func (judges) forget(s *State, _ string, h *LeaseHolder) {
	if s.Outliers != nil {
		s.Outliers.RemoveReporter(h.Name)
	}
}

func (judges) news(s *State, n *WatchUpdate, _ int, _ relay.Watermark) {
	if s.Outliers != nil {
		n.Ejections = s.Outliers.Notices()
	}
}

func (judges) mend(s *State) {
	if s.Outliers != nil {
		s.Outliers.InitMaps()
	}
}

func (judges) restored(s *State, _ uint64) { s.Outliers = nil }

// judge weighs what is said of workers. What comes of it is news.
func (s *State) judge() {
	if s.Outliers == nil {
		return
	}
	no := s.Outliers.Revision
	if s.Outliers.Evaluate(s.Now); s.Outliers.Revision != no {
		s.Revision++
	}
}
