package server

import (
	"slices"

	"yardflow/coordination/chain"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// flushConsensus executes the actions that the view agreement has requested, and reports whether there were any. As in
// Paxos, messages are sent only once the hard state that contains their promises is on disk.
func (s *Server) flushConsensus() bool {
	ready := s.membership.consensus.Ready()
	if ready.HardState == nil && len(ready.Messages) == 0 {
		return false
	}
	s.withdrawIfSealed()
	s.processConsensusReady(ready, func() {})
	return true
}

// processConsensusReady persists the hard state if it has changed, then sends the messages, installs a decided view and
// calls then.
func (s *Server) processConsensusReady(ready view.Ready, then func()) {
	finish := func() {
		for _, envelope := range ready.Messages {
			s.sendConsensus(envelope)
		}
		if ready.Decided {
			s.installView(ready.HardState.View)
		}
		then()
	}
	if ready.HardState == nil {
		finish()
		return
	}
	s.disk.enqueue(diskWrite{metadata: protocol.Encode(ready.HardState), onDurable: finish})
}

// sendConsensus sends a message of the view agreement to a peer, or passes it to the consensus of this member if it is
// addressed to itself.
func (s *Server) sendConsensus(envelope view.Envelope) {
	if envelope.To == s.membership.self().ID {
		s.membership.consensus.Receive(envelope.To, &envelope.Message)
		return
	}
	s.peers.send(envelope.To, &protocol.PeerMessage{View: &envelope.Message})
}

// flushReplica executes the actions that chain replication has requested, in the order that chain.Ready requires, and
// reports whether there were any.
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
	s.observeClock()
	s.logNotices()
	s.logRules()
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
// were truncated in the meantime.
func (s *Server) persistEntries(write chain.Write) {
	last := write.Entries[len(write.Entries)-1].Index
	generation := write.Generation
	s.disk.enqueue(diskWrite{entries: write.Entries, commitIndex: s.replica.CommitIndex(), onDurable: func() {
		s.replica.EntriesPersisted(last, generation)
	}})
}

// persistCompleteness records on disk that this member has the whole log of the view in force, and notifies the replica
// once the record is durable. From then on this member may become the head of a later view. If the completeness can't be
// recorded, since another view was agreed on or this member is sealed, the replica confirms nothing in its view.
func (s *Server) persistCompleteness() {
	epoch := s.replica.Epoch()
	isRecorded := s.membership.consensus.MarkComplete(epoch)
	s.withdrawIfSealed()
	s.processConsensusReady(s.membership.consensus.Ready(), func() {
		if isRecorded {
			s.replica.CompletenessPersisted(epoch)
		}
	})
}

// apply applies a committed entry, and completes its command if it was proposed here.
func (s *Server) apply(entry *chain.Entry) {
	s.snapshots.logBytes += len(entry.Data)
	command, result := s.state.apply(entry)
	if command != nil && entry.Origin == s.membership.self().ID {
		s.commands.complete(entry.Tag, result)
	}
	if command != nil && command.SubmitJob != nil && result.JobState == job.Cancelled {
		s.confirmCancelled(command.SubmitJob)
	}
}

// confirmCancelled proposes to cancel a job that was accepted as cancelled. It changes nothing under the rules in force, but
// it cancels the job for an earlier build that reads this log from its disk, by whose rules the job was accepted.
func (s *Server) confirmCancelled(submitted *statemachine.SubmitJob) {
	if s.replica.IsHead() && s.replica.IsServing() {
		s.commands.submitAsHead(s.replica.Epoch(), &statemachine.Command{
			CancelJob: &statemachine.CancelJob{Job: submitted.Job.ID, Route: submitted.Job.Route}})
	}
}

// completeRead completes a read that this machine has proposed. The read has passed through the chain, so the state
// applied here is at least as new as the read.
func (s *Server) completeRead(read chain.Read) {
	if command := s.commands.pending[read.Tag]; command != nil {
		s.commands.complete(read.Tag, s.state.fsm.Apply(command.command))
	}
}

// forwardProposals passes the waiting proposals to the head of the chain, which is this machine or a peer. Proposals that
// get lost on the way are proposed again after resubmitAfter.
func (s *Server) forwardProposals() {
	proposals := s.commands.takeProposals()
	if len(proposals) == 0 || s.orderProposals(proposals) {
		return
	}
	if head := s.replica.Head(); head != 0 {
		s.peers.send(head, &protocol.PeerMessage{ForwardedProposals: proposals})
	}
}

// orderProposals passes proposals to the replica to be ordered, and reports whether this replica is the head. Proposals
// that are too long for a log record are left out: an earlier version of the program may forward one, and it would block
// the chain permanently.
func (s *Server) orderProposals(proposals []chain.Proposal) bool {
	tooLong := func(p chain.Proposal) bool { return int64(len(p.Data)) > s.commands.maxBytes }
	if slices.ContainsFunc(proposals, tooLong) {
		proposals = slices.DeleteFunc(slices.Clone(proposals), tooLong)
		s.logger.Error().Int64("max_bytes", s.commands.maxBytes).
			Msg("a command is longer than a disk's segment and is not ordered; give the control machines larger disks (Limits.DiskMb)")
	}
	return s.replica.Propose(proposals)
}

// logDivergence logs, once, that another member's log contradicts an entry that is committed here. An operator has to
// resolve this.
func (s *Server) logDivergence() {
	divergence := s.replica.Divergence()
	if divergence == nil || s.divergenceLogged {
		return
	}
	s.divergenceLogged = true
	s.logger.Error().Uint64("index", divergence.Index).Uint64("own_epoch", divergence.OwnEpoch).
		Uint64("other_epoch", divergence.OtherEpoch).
		Msg("another member's log contradicts what is committed here; staying out of the chain: a disk has lost what it had synced")
}
