package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// receivePeer takes in a message of another control machine that arrived at the given time. Each message has one part.
func (s *Server) receivePeer(arrivedAt time.Duration, from view.Member, message *protocol.PeerMessage) {
	switch {
	case message.Heartbeat != nil:
		s.receiveHeartbeat(arrivedAt, message.Heartbeat, message.ConnectedSessions)
	case message.DisconnectedSessions != nil:
		s.sessions.disconnected(arrivedAt, message.DisconnectedSessions)
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

// receiveHeartbeat takes in a peer's heartbeat and the sessions of the dispatchers that are connected to it.
func (s *Server) receiveHeartbeat(arrivedAt time.Duration, heartbeat *view.Heartbeat, connected []statemachine.SessionID) {
	m := &s.membership
	now, from := s.now(), heartbeat.From.ID
	wasAlive := m.detector.IsAlive(now, from)
	m.detector.ReceiveHeartbeat(arrivedAt, *heartbeat)
	if wasAlive != m.detector.IsAlive(now, from) {
		s.peers.send(from, s.heartbeatMessage()) // so that both sides agree at once that they hear each other
		s.proposeView()
	}
	if heartbeat.Epoch < m.view().Epoch {
		decided := m.consensus.DecidedMessage()
		s.peers.send(from, &protocol.PeerMessage{View: &decided})
	}
	s.sessions.connected(arrivedAt, connected)
}

// receiveCatchUp takes in entries that this replica, outside the chain, had asked for. Where they brought it forward it
// asks for more at once; otherwise the next tick does, so that a response that brings nothing does not cause a loop.
func (s *Server) receiveCatchUp(from view.MemberID, response *chain.CatchUpResponse) {
	before := s.replica.CommitIndex()
	s.replica.ApplyCatchUp(response)
	s.catchUp.done()
	if s.replica.CommitIndex() > before {
		s.requestCatchUp(from)
	}
}
