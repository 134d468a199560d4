package statemachine

import (
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
)

// outlierComponent keeps the fleet's verdicts on workers, by what dispatchers report of them.
type outlierComponent struct{ noopComponent }

func (outlierComponent) policyChanged(s *State, p Policy) {
	if s.Outliers == nil && p.OutlierSettings != nil {
		s.Outliers = outlier.NewDetector()
	}
	if s.Outliers != nil {
		s.Outliers.Configure(p.OutlierSettings)
	}
}

func (outlierComponent) timePassed(s *State, _ *Tick) { s.evaluateOutliers() }

func (outlierComponent) leaseRequested(s *State, c *LeaseRequest, _ *Result) {
	if s.Outliers == nil {
		return
	}
	s.Outliers.AddReports(s.Now, c.Name, c.Zone, c.WorkerCount, c.OutlierReports)
	if len(c.OutlierReports) > 0 { // without a report, nothing changes before the next tick
		s.evaluateOutliers()
	}
}

func (outlierComponent) leaseGranted(s *State, c *LeaseRequest, r *Result) {
	if s.Outliers != nil {
		r.Ejections, r.ReportsWanted = s.Outliers.NoticesFor(s.Now, c.Name, c.Zone)
	}
}

func (outlierComponent) holderForgotten(s *State, _ string, h *LeaseHolder) {
	if s.Outliers != nil {
		s.Outliers.RemoveReporter(h.Name)
	}
}

func (outlierComponent) addUpdate(s *State, u *WatchUpdate, _ int, _ relay.Watermark) {
	if s.Outliers != nil {
		u.Ejections = s.Outliers.Notices()
	}
}

func (outlierComponent) afterDecode(s *State) {
	if s.Outliers != nil {
		s.Outliers.InitMaps()
	}
}

func (outlierComponent) resetAfterRestore(s *State, _ uint64) { s.Outliers = nil }

// evaluateOutliers decides on workers by the reports there are. A new verdict is a new revision.
func (s *State) evaluateOutliers() {
	if s.Outliers == nil {
		return
	}
	before := s.Outliers.Revision
	if s.Outliers.Evaluate(s.Now); s.Outliers.Revision != before {
		s.Revision++
	}
}
