package server

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// catchUpTimeout is how long a response to a catch-up request is waited for before it is asked for again.
const catchUpTimeout = 200 * time.Millisecond

// catchUpLimit keeps one catch-up request in flight at a time. More would bring the same entries again, and the
// heartbeats queued behind them would come too late.
type catchUpLimit struct {
	inFlight    bool
	requestedAt time.Duration
}

// tryStart reports whether a request may be sent now, and notes that it is.
func (l *catchUpLimit) tryStart(now time.Duration) bool {
	if l.inFlight && now-l.requestedAt < catchUpTimeout {
		return false
	}
	l.inFlight, l.requestedAt = true, now
	return true
}

// done notes that a response has come.
func (l *catchUpLimit) done() { l.inFlight = false }

// requestCatchUp asks a member for what this replica, outside the chain, lacks.
func (s *Server) requestCatchUp(member view.MemberID) {
	request, outside := s.replica.NextCatchUpRequest()
	if !outside || s.membership.view().Epoch == 0 || s.membership.hasRestartedInView() || !s.catchUp.tryStart(s.now()) {
		return
	}
	s.peers.send(member, &protocol.PeerMessage{CatchUpRequest: &request})
}

// requestCatchUpFromChain asks the last live member of the chain, which has least to do.
func (s *Server) requestCatchUpFromChain() {
	m := &s.membership
	members := m.view().Chain
	for i := len(members) - 1; i >= 0; i-- {
		if m.detector.IsAlive(s.now(), members[i].ID) && members[i].ID != m.self().ID {
			s.requestCatchUp(members[i].ID)
			return
		}
	}
}
