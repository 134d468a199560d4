package server

import "time"

// Spans of a stop in order.
const (
	leaveCheck  = 20 * time.Millisecond
	leaveMargin = 2 * time.Second // of the time until SIGKILL, for open calls to end
	leaveUsual  = 4 * time.Second // where the settings don't tell that time
)

// LeaveChain hands this member's place over before the process stops: the others agree on a chain without it, and on
// a newcomer in its place where one waits. A member without which the chain is too short stays until another one
// has the whole log, or its time is over. It returns once the place is handed over, or can't be.
func (s *Server) LeaveChain() {
	s.do(func() {
		s.leaving = true
		s.detector.Leave()
		s.beat()
		s.considerView()
	})
	deadline := time.NewTimer(s.leaveWithin())
	defer deadline.Stop()
	check := time.NewTicker(leaveCheck)
	defer check.Stop()
	for {
		select {
		case <-check.C:
			if s.hasLeft() {
				s.logger.Info().Msg("place in the chain handed over")
				return
			}
		case <-deadline.C:
			s.logger.Warn().Msg("stopping as a member of the chain: it is too short without this machine")
			return
		case <-s.ended:
			return
		}
	}
}

func (s *Server) leaveWithin() time.Duration {
	grace := time.Duration(s.settings.Bounds.GraceS * float64(time.Second))
	if grace <= leaveMargin {
		return leaveUsual
	}
	return grace - leaveMargin
}

// hasLeft reports whether the view in force is without this member in its chain.
func (s *Server) hasLeft() bool {
	answer := make(chan bool, 1)
	s.do(func() { answer <- !s.replica.IsMember() })
	select {
	case left := <-answer:
		return left
	case <-s.ended:
		return true
	}
}
