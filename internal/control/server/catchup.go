package server

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// catchUpTimeout is how long to wait for the response to a catch-up request before the request is sent again.
const catchUpTimeout = 200 * time.Millisecond

// catchUpLimit allows one catch-up request in flight at a time. Further requests would fetch the same entries again, and
// delay the heartbeats queued behind the responses for too long.
type catchUpLimit struct {
	inFlight    bool
	requestedAt time.Duration
}

// tryStart reports whether a request may be sent now. If so, it records the request as in flight.
func (l *catchUpLimit) tryStart(now time.Duration) bool {
	if l.inFlight && now-l.requestedAt < catchUpTimeout {
		return false
	}
	l.inFlight, l.requestedAt = true, now
	return true
}

// done records that a response has arrived.
func (l *catchUpLimit) done() { l.inFlight = false }

// requestCatchUp asks a member for the entries that this replica lacks, if this machine is outside the chain of the view
// in force and no request is in flight.
func (s *Server) requestCatchUp(member view.MemberID) {
	request, outside := s.replica.NextCatchUpRequest()
	if !outside || s.membership.view().Epoch == 0 || s.membership.takesNoPartInView() || !s.catchUp.tryStart(s.now()) {
		return
	}
	s.peers.send(member, &protocol.PeerMessage{CatchUpRequest: &request})
}

// requestCatchUpFromChain sends the request to the last live member of the chain, which has the least load.
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
