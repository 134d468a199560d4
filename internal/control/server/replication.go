package server

import (
	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// flushConsensus carries out what the agreement on views wants done, and reports whether there was anything. Messages
// leave only once the hard state that they promise is on disk, as in Paxos.
func (s *Server) flushConsensus() bool {
	ready := s.membership.consensus.Ready()
	if ready.HardState == nil && len(ready.Messages) == 0 {
		return false
	}
	act := func() {
		for _, envelope := range ready.Messages {
			s.sendConsensus(envelope)
		}
		if ready.Decided {
			s.installView(ready.HardState.View)
		}
	}
	if ready.HardState == nil {
		act()
		return true
	}
	s.disk.enqueue(diskWrite{metadata: protocol.Encode(ready.HardState), onDurable: act})
	return true
}

// sendConsensus sends a message of the agreement on views to a peer, or hands it to this member's own part in it.
func (s *Server) sendConsensus(envelope view.Envelope) {
	if envelope.To == s.membership.self().ID {
		s.membership.consensus.Receive(envelope.To, &envelope.Message)
		return
	}
	s.peers.send(envelope.To, &protocol.PeerMessage{View: &envelope.Message})
}

// flushReplica carries out what chain replication wants done, in the order that chain.Ready asks for, and reports whether
// there was anything.
func (s *Server) flushReplica() bool {
	ready := s.replica.Ready()
	if isIdle(&ready) {
		return false
	}
	if ready.Snapshot != nil {
		s.installSnapshot(ready.Snapshot)
	}
	for _, write := range ready.Writes {
		s.persistEntries(write)
	}
	for _, envelope := range ready.Messages {
		s.peers.send(envelope.To, &protocol.PeerMessage{Chain: &envelope.Message})
	}
	if ready.PersistCompleteness {
		s.persistCompleteness()
	}
	for i := range ready.CommittedEntries {
		s.apply(&ready.CommittedEntries[i])
	}
	s.logNotices()
	for _, read := range ready.ConfirmedReads {
		s.completeRead(read)
	}
	return true
}

func isIdle(ready *chain.Ready) bool {
	return ready.Snapshot == nil && !ready.PersistCompleteness &&
		len(ready.Writes)+len(ready.Messages)+len(ready.CommittedEntries)+len(ready.ConfirmedReads) == 0
}

// persistEntries writes entries to the log. The generation lets the replica ignore the acknowledgement of entries that
// were truncated meanwhile.
func (s *Server) persistEntries(write chain.Write) {
	last := write.Entries[len(write.Entries)-1].Index
	generation := write.Generation
	s.disk.enqueue(diskWrite{entries: write.Entries, commitIndex: s.replica.CommitIndex(), onDurable: func() {
		s.replica.EntriesPersisted(last, generation)
	}})
}

// persistCompleteness records on disk that this member has the whole log of the view in force, and tells the replica
// once it is durable. From then on this member may become the head of a later view.
func (s *Server) persistCompleteness() {
	epoch := s.replica.Epoch()
	s.membership.consensus.MarkComplete(epoch)
	ready := s.membership.consensus.Ready()
	persisted := func() { s.replica.CompletenessPersisted(epoch) }
	if ready.HardState == nil {
		persisted()
		return
	}
	s.disk.enqueue(diskWrite{metadata: protocol.Encode(ready.HardState), onDurable: persisted})
}

// apply applies a committed entry, and completes its command if it was proposed here.
func (s *Server) apply(entry *chain.Entry) {
	s.snapshots.logBytes += len(entry.Data)
	result, decoded := s.state.apply(entry)
	if decoded && entry.Origin == s.membership.self().ID {
		s.commands.complete(entry.Tag, result)
	}
}

// completeRead answers a read of this machine's. It passed the chain, so what is applied here is not older than the read.
func (s *Server) completeRead(read chain.Read) {
	if command := s.commands.pending[read.Tag]; command != nil {
		s.commands.complete(read.Tag, s.state.fsm.Apply(command.command))
	}
}

// forwardProposals hands commands that wait to the head of the chain, which is this machine or a peer. What gets lost on
// the way is proposed again after resubmitAfter.
func (s *Server) forwardProposals() {
	proposals := s.commands.takeProposals()
	if len(proposals) == 0 || s.replica.Propose(proposals) {
		return
	}
	if head := s.replica.Head(); head != 0 {
		s.peers.send(head, &protocol.PeerMessage{ForwardedProposals: proposals})
	}
}

// logDivergence logs once that another member's log contradicts what is committed here: an operator has to see to it.
func (s *Server) logDivergence() {
	divergence := s.replica.Divergence()
	if divergence == nil || s.divergenceLogged {
		return
	}
	s.divergenceLogged = true
	s.logger.Error().Uint64("index", divergence.Index).Uint64("own_epoch", divergence.OwnEpoch).Uint64("other_epoch", divergence.OtherEpoch).
		Msg("another member's log contradicts what is committed here; staying out of the chain: a disk has lost what it had synced")
}
