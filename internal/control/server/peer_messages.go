package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// receivePeer handles a message from another control machine that arrived at the given time. Each message has exactly one
// part.
func (s *Server) receivePeer(arrivedAt time.Duration, from view.Member, message *protocol.PeerMessage) {
	switch {
	case message.Heartbeat != nil:
		s.rules.tracker.Receive(arrivedAt, from.ID, message.SupportedRules)
		s.lowerRules(s.now())
		s.receiveHeartbeat(arrivedAt, message.Heartbeat, message.ConnectedSessions)
	case message.DisconnectedSessions != nil:
		s.sessions.recordDisconnected(arrivedAt, message.DisconnectedSessions)
	case message.View != nil:
		s.membership.consensus.Receive(from.ID, message.View)
	case message.Chain != nil:
		s.replica.Receive(from.ID, message.Chain)
	case message.CatchUpRequest != nil:
		if response := s.replica.AnswerCatchUp(*message.CatchUpRequest); response != nil {
			s.peers.send(from.ID, &protocol.PeerMessage{CatchUpResponse: response})
		}
	case message.CatchUpResponse != nil:
		s.receiveCatchUp(from.ID, message.CatchUpResponse)
	case message.ForwardedProposals != nil:
		s.orderProposals(message.ForwardedProposals)
	}
}

// receiveHeartbeat handles a peer's heartbeat, with the sessions of the dispatchers that are connected to that peer.
func (s *Server) receiveHeartbeat(arrivedAt time.Duration, heartbeat *view.Heartbeat, connected []statemachine.SessionID) {
	m := &s.membership
	now, from := s.now(), heartbeat.From.ID
	wasAlive := m.detector.IsAlive(now, from)
	m.detector.ReceiveHeartbeat(arrivedAt, *heartbeat)
	if wasAlive != m.detector.IsAlive(now, from) {
		s.peers.send(from, s.heartbeatMessage()) // so that both sides notice at once that they hear each other
		s.proposeView()
	}
	if heartbeat.Epoch < m.view().Epoch {
		decided := m.consensus.DecidedMessage()
		s.peers.send(from, &protocol.PeerMessage{View: &decided})
	}
	s.sessions.recordConnected(arrivedAt, connected)
}

// receiveCatchUp applies entries that this replica requested while outside the chain. If they have advanced the commit
// index, it requests more at once; otherwise the next tick does, so that empty responses do not cause a loop.
func (s *Server) receiveCatchUp(from view.MemberID, response *chain.CatchUpResponse) {
	before := s.replica.CommitIndex()
	s.replica.ApplyCatchUp(response)
	s.catchUp.done()
	if s.replica.CommitIndex() > before {
		s.requestCatchUp(from)
	}
}
