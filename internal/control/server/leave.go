package server

import "time"

// Intervals of a graceful shutdown.
const (
	leavePollInterval = 20 * time.Millisecond
	// leaveGraceMargin is the part of the time between SIGTERM and SIGKILL (settings key Bounds.GraceS) that is reserved
	// for open requests to end.
	leaveGraceMargin = 2 * time.Second
	// defaultLeaveTimeout applies if that time is not set, or not longer than the margin.
	defaultLeaveTimeout = 4 * time.Second
)

// LeaveChain hands over this member's chain position before the process stops: the other members agree on a chain without
// it, with a newcomer in its position if one is available. If the chain would be too short without this member, the
// member stays until another machine has the whole log or the timeout has passed. LeaveChain returns once the position is
// handed over, the timeout has passed or the engine has ended. It may be called by any goroutine except the engine.
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

// hasLeftChain reports whether this member is not in the chain of the view in force, or the engine has ended.
func (s *Server) hasLeftChain() bool {
	answer := make(chan bool, 1)
	s.do(func() { answer <- !s.replica.IsMember() && !s.membership.consensus.IsSealed() })
	select {
	case left := <-answer:
		return left
	case <-s.ended:
		return true
	}
}
