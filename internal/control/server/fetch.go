package server

import (
	"time"

	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// fetchAgain is how long a lesson is waited for before it is asked for anew.
const fetchAgain = 200 * time.Millisecond

// fetchPace lets one lesson be under way at a time: more would be the same once again, and heartbeats
// wait behind them.
type fetchPace struct {
	underWay bool
	askedAt  time.Duration
}

// ask reports whether a lesson may be asked for now, and notes that it is.
func (p *fetchPace) ask(now time.Duration) bool {
	if p.underWay && now-p.askedAt < fetchAgain {
		return false
	}
	p.underWay, p.askedAt = true, now
	return true
}

// answered notes that a lesson has come.
func (p *fetchPace) answered() { p.underWay = false }

// fetch asks a member for what this replica, outside the chain, lacks.
func (s *Server) fetch(member view.MemberID) {
	fetch, outside := s.replica.NextCatchUpRequest()
	if !outside || s.register.View().Epoch == 0 || s.restarted() || !s.pace.ask(s.now()) {
		return
	}
	s.peers.send(member, &protocol.PeerMessage{CatchUpRequest: &fetch})
}

// fetchSome asks the last live member of the chain, which has least to do.
func (s *Server) fetchSome() {
	members := s.register.View().Chain
	for i := len(members) - 1; i >= 0; i-- {
		if s.detector.IsAlive(s.now(), members[i].ID) && members[i].ID != s.register.Self().ID {
			s.fetch(members[i].ID)
			return
		}
	}
}
