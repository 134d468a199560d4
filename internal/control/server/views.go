package server

import (
	"time"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

func (s *Server) installView(v view.View) {
	if v.Epoch != s.register.View().Epoch || v.Epoch <= s.replica.Epoch() {
		return
	}
	members := make([]chain.MemberID, len(v.Chain))
	names := make([]string, len(v.Chain))
	for i, member := range v.Chain {
		members[i], names[i] = member.ID, member.Node
	}
	s.logger.Info().Uint64("epoch", v.Epoch).Strs("chain", names).Int("electors", len(v.Electors)).Int("copies", v.ReplicationFactor).Msg("view")
	s.viewInstalledAt = s.now()
	s.replica.SetView(chain.View{Epoch: v.Epoch, Members: members, WriterCount: v.ReplicationFactor})
	s.peers.add(addressesOf(v.Chain))
	s.peers.add(addressesOf(v.Electors))
	s.repropose(0)
}

// isUnhealthy reports whether the chain had better do without this member.
func (s *Server) isUnhealthy() bool {
	return s.disk.isUnhealthy() || s.receivedUnreadable || s.replica.Divergence() != nil
}

// logDivergence logs once that this member's log is contradicted: an operator has to see to it.
func (s *Server) logDivergence() {
	d := s.replica.Divergence()
	if d == nil || s.divergenceLogged {
		return
	}
	s.divergenceLogged = true
	s.logger.Error().Uint64("index", d.Index).Uint64("own epoch", d.OwnEpoch).Uint64("other epoch", d.OtherEpoch).
		Msg("another member's log contradicts what is committed here; staying out of the chain: a disk has lost what it had synced")
}

// probeDisk writes to a disk that was slow, to see whether it still is.
func (s *Server) probeDisk() {
	if s.disk.isUnhealthy() && s.disk.isIdle() {
		s.disk.enqueue(diskWrite{metadata: protocol.Encode(s.register.HardState())})
	}
}

func (s *Server) heartbeatMessage() *protocol.PeerMessage {
	return &protocol.PeerMessage{ConnectedSessions: s.connectedSessions(), Heartbeat: &view.Heartbeat{From: s.register.Self(),
		Epoch: s.register.View().Epoch, InitialMember: s.register.IsInitialMember(), Unhealthy: s.isUnhealthy(), Restarted: s.hasRestartedInView(),
		LastIndex: s.replica.LastIndex(), HeardFrom: s.detector.HeardFrom(s.now()), Leaving: s.leaving}}
}

// proposeView proposes another view where the detector wants one.
func (s *Server) proposeView() {
	now := s.now()
	if s.register.View().Epoch == 0 && s.register.IsInitialMember() {
		if founders := s.detector.InitialElectors(now, s.settings.Seeds); founders != nil {
			s.register.Bootstrap(founders)
		}
	}
	if s.register.IsProposing() {
		return
	}
	if wish, expected := s.detector.DesiredView(now, s.register.View(), s.hasRestartedInView(), s.isUnhealthy(),
		s.replica.CommitIndex()); wish != nil {
		s.logExcluded(now, wish)
		s.register.Propose(*wish, expected, s.settings.Tolerate.Machines+1)
	}
}

// logExcluded logs which members a proposal leaves out of the chain, and why.
func (s *Server) logExcluded(now time.Duration, wish *view.View) {
	for _, member := range s.register.View().Chain {
		if wish.ChainPosition(member.ID) < 0 {
			s.logger.Warn().Str("member", member.Node).Str("trouble", s.detector.ExclusionReason(now, member.ID)).Msg("member left out of the chain")
		}
	}
}

// hasRestartedInView reports whether this process has no part in the view in force, though its disk has.
func (s *Server) hasRestartedInView() bool {
	epoch := s.register.View().Epoch
	return epoch > 0 && epoch == s.epochAtStart && s.register.View().ChainPosition(s.register.Self().ID) >= 0
}

// canServe reports whether this replica follows what is committed and stands with a majority.
func (s *Server) canServe() bool {
	return s.replica.IsServing() && s.detector.HasQuorum(s.now(), s.register.View())
}

// isMemberWithQuorum reports whether this replica is a member that stands with a majority. Commands may have to wait
// for a new member, but they come through.
func (s *Server) isMemberWithQuorum() bool {
	return s.replica.IsMember() && s.replica.Divergence() == nil && s.detector.HasQuorum(s.now(), s.register.View())
}

// receivePeer takes in a message of another control machine that arrived at the given time.
func (s *Server) receivePeer(at time.Duration, from view.Member, message *protocol.PeerMessage) {
	now := s.now()
	switch {
	case message.Heartbeat != nil:
		wasAlive := s.detector.IsAlive(now, from.ID)
		s.detector.ReceiveHeartbeat(at, *message.Heartbeat)
		if wasAlive != s.detector.IsAlive(now, from.ID) {
			s.peers.send(from.ID, s.heartbeatMessage()) // so that both sides know at once
			s.proposeView()
		}
		if message.Heartbeat.Epoch < s.register.View().Epoch {
			tell := s.register.DecidedMessage()
			s.peers.send(from.ID, &protocol.PeerMessage{View: &tell})
		}
		for _, id := range message.ConnectedSessions {
			s.lastSeen[id] = max(s.lastSeen[id], at)
		}
	case message.DisconnectedSessions != nil:
		for _, id := range message.DisconnectedSessions {
			s.disconnectedAt[id] = at
		}
	case message.View != nil:
		s.register.Receive(from.ID, message.View)
	case message.Chain != nil:
		s.replica.Receive(from.ID, message.Chain)
	case message.CatchUpRequest != nil:
		if lesson := s.replica.AnswerCatchUp(*message.CatchUpRequest); lesson != nil {
			s.peers.send(from.ID, &protocol.PeerMessage{CatchUpResponse: lesson})
		}
	case message.CatchUpResponse != nil:
		before := s.replica.CommitIndex()
		s.replica.ApplyCatchUp(message.CatchUpResponse)
		s.catchUp.done()
		if s.replica.CommitIndex() > before {
			s.requestCatchUp(from.ID) // else the next tick asks: one that brings nothing must not be asked for at once again
		}
	case message.ForwardedProposals != nil:
		s.replica.Propose(message.ForwardedProposals)
	}
}
