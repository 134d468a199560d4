package server

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// catchUpTimeout is how long a lesson is waited for before it is asked for anew.
const catchUpTimeout = 200 * time.Millisecond

// catchUpLimit lets one lesson be under way at a time: more would be the same once again, and heartbeats
// wait behind them.
type catchUpLimit struct {
	inFlight    bool
	requestedAt time.Duration
}

// tryStart reports whether a lesson may be asked for now, and notes that it is.
func (p *catchUpLimit) tryStart(now time.Duration) bool {
	if p.inFlight && now-p.requestedAt < catchUpTimeout {
		return false
	}
	p.inFlight, p.requestedAt = true, now
	return true
}

// done notes that a lesson has come.
func (p *catchUpLimit) done() { p.inFlight = false }

// requestCatchUp asks a member for what this replica, outside the chain, lacks.
func (s *Server) requestCatchUp(member view.MemberID) {
	fetch, outside := s.replica.NextCatchUpRequest()
	if !outside || s.register.View().Epoch == 0 || s.hasRestartedInView() || !s.catchUp.tryStart(s.now()) {
		return
	}
	s.peers.send(member, &protocol.PeerMessage{CatchUpRequest: &fetch})
}

// requestCatchUpFromChain asks the last live member of the chain, which has least to do.
func (s *Server) requestCatchUpFromChain() {
	members := s.register.View().Chain
	for i := len(members) - 1; i >= 0; i-- {
		if s.detector.IsAlive(s.now(), members[i].ID) && members[i].ID != s.register.Self().ID {
			s.requestCatchUp(members[i].ID)
			return
		}
	}
}
