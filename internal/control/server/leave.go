package server

import "time"

// Spans of a stop in order.
const (
	leavePollInterval   = 20 * time.Millisecond
	leaveGraceMargin    = 2 * time.Second // of the time until SIGKILL, for open calls to end
	defaultLeaveTimeout = 4 * time.Second // where the settings don't tell that time
)

// LeaveChain hands this member's place over before the process stops: the others agree on a chain without it, and on
// a newcomer in its place where one waits. A member without which the chain is too short stays until another one
// has the whole log, or its time is over. It returns once the place is handed over, or can't be.
func (s *Server) LeaveChain() {
	s.do(func() {
		s.leaving = true
		s.detector.Leave()
		s.sendHeartbeat()
		s.proposeView()
	})
	deadline := time.NewTimer(s.leaveTimeout())
	defer deadline.Stop()
	check := time.NewTicker(leavePollInterval)
	defer check.Stop()
	for {
		select {
		case <-check.C:
			if s.hasLeftChain() {
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

func (s *Server) leaveTimeout() time.Duration {
	grace := time.Duration(s.settings.Bounds.GraceS * float64(time.Second))
	if grace <= leaveGraceMargin {
		return defaultLeaveTimeout
	}
	return grace - leaveGraceMargin
}

// hasLeftChain reports whether the view in force is without this member in its chain.
func (s *Server) hasLeftChain() bool {
	answer := make(chan bool, 1)
	s.do(func() { answer <- !s.replica.IsMember() })
	select {
	case left := <-answer:
		return left
	case <-s.ended:
		return true
	}
}
