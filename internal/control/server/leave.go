package server

import "time"

// Intervals of a graceful shutdown.
const (
	leavePollInterval = 20 * time.Millisecond
	// leaveGraceMargin is what is left of the time between SIGTERM and SIGKILL (settings key Bounds.GraceS) for open
	// requests to end.
	leaveGraceMargin = 2 * time.Second
	// defaultLeaveTimeout serves where the settings don't name that time, or no more than the margin.
	defaultLeaveTimeout = 4 * time.Second
)

// LeaveChain hands this member's chain position over before the process stops: the others agree on a chain without it,
// and on a newcomer in its position where one waits. A member without which the chain is too short stays until another
// one has the whole log, or its time is over. It returns once the position is handed over or can't be, and may be called
// by any goroutine but the engine.
func (s *Server) LeaveChain() {
	s.do(func() {
		s.membership.leaving = true
		s.membership.detector.Leave()
		s.sendHeartbeat()
		s.proposeView()
	})
	deadline := time.NewTimer(s.leaveTimeout())
	defer deadline.Stop()
	poll := time.NewTicker(leavePollInterval)
	defer poll.Stop()
	for {
		select {
		case <-poll.C:
			if s.hasLeftChain() {
				s.logger.Info().Msg("chain position handed over")
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

// hasLeftChain reports whether the view in force has this member not in its chain, or the engine has ended.
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
