package chain

// Receive handles a message from another member. Messages of other epochs, and from members that are not neighbours in
// the current view, are dropped: a member of a former view must not change the log of this replica.
func (r *Replica) Receive(from MemberID, message *Message) {
	if r.divergence != nil {
		return
	}
	switch {
	case message.Append != nil:
		if from == r.predecessorID() && message.Append.Epoch == r.view.Epoch {
			r.receiveAppend(message.Append)
		}
	case message.Ack != nil:
		if from == r.successorID() && message.Ack.Epoch == r.view.Epoch {
			r.receiveAck(message.Ack)
		}
	case message.Snapshot != nil:
		if from == r.predecessorID() && message.Snapshot.Epoch == r.view.Epoch {
			r.receiveSnapshot(message.Snapshot)
		}
	}
}

func (r *Replica) receiveAppend(m *Append) {
	if r.anyContradicts(m.PrevIndex, m.PrevEpoch, m.Entries) {
		r.reportDivergence()
		return
	}
	r.ackDue = true
	m = r.withoutCovered(m)
	if !r.log.has(m.PrevIndex, m.PrevEpoch) {
		r.rejectAppend(m)
		return
	}
	r.mergeEntries(m.Entries)
	r.viewLog.received = max(r.viewLog.received, m.PrevIndex+uint64(len(m.Entries)))
	r.viewLog.durableBefore = max(r.viewLog.durableBefore, m.DurableIndex)
	r.viewLog.start, r.viewLog.startKnown = m.ViewStart, true
	r.reads.pending = append(r.reads.pending, m.PendingReads...)
	if len(m.Entries) > 0 || len(m.PendingReads) > 0 {
		r.sendDue = true
	}
	if r.isFollower() {
		r.commit(min(m.CommitIndex, r.viewLog.received))
		r.reads.confirmed = append(r.reads.confirmed, m.ConfirmedReads...)
	}
	r.advance()
}

// withoutCovered returns an Append without the entries that this replica's snapshot covers. These are committed, so they
// can't differ. The message itself is not modified, since it may be delivered twice.
func (r *Replica) withoutCovered(m *Append) *Append {
	if m.PrevIndex >= r.log.snapshotIndex || m.PrevIndex+uint64(len(m.Entries)) < r.log.snapshotIndex {
		return m
	}
	rest := *m
	rest.Entries = m.Entries[r.log.snapshotIndex-m.PrevIndex:]
	rest.PrevIndex, rest.PrevEpoch = r.log.snapshotIndex, r.log.snapshotEpoch
	return &rest
}

// rejectAppend notifies the predecessor that this replica lacks the entry that precedes the entries of an Append.
func (r *Replica) rejectAppend(m *Append) {
	r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, ReceivedIndex: r.lastCommonIndex(m.PrevIndex),
		Rejected: true, RejectedIndex: m.PrevIndex, CommitIndex: r.log.commitIndex}})
}

// announceView notifies the predecessor that this replica has installed the view. The predecessor may have installed it
// earlier, and what it has sent since was dropped here.
func (r *Replica) announceView() {
	if r.predecessorID() != 0 && r.divergence == nil {
		r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, CommitIndex: r.log.commitIndex, Installed: true}})
	}
}

// lastCommonIndex returns the highest index up to which this log may be equal to the predecessor's, given that this log
// lacks the predecessor's entry at index. It skips a whole epoch at once, so that a long differing suffix costs one message
// per epoch.
func (r *Replica) lastCommonIndex(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	epoch := r.log.epochAt(index)
	for index > r.log.commitIndex && r.log.epochAt(index) == epoch {
		index--
	}
	return max(index, r.log.commitIndex)
}

func (r *Replica) receiveAck(m *Ack) {
	if m.Diverged {
		r.successor.diverged = true
		return
	}
	if m.Installed && r.successor.acked == 0 {
		r.successor = successorProgress{next: r.log.lastIndex() + 1}
		r.sendDue = true
	}
	if m.Rejected {
		if r.successor.rewind(m) {
			r.sendDue = true
		}
	} else if r.successor.acknowledge(m.ReceivedIndex) {
		r.sendDue = true
		r.maybeCompact()
	}
	r.commit(min(m.CommitIndex, r.viewLog.received))
	r.routeReads(m.ConfirmedReads)
	r.advance()
}

// receiveSnapshot handles a snapshot of the predecessor. A log that has the entry at the snapshot's index is equal up to it,
// and keeps the entries after it: some may be committed, and this replica may be the only one left that has them.
func (r *Replica) receiveSnapshot(snapshot *Snapshot) {
	if !r.log.has(snapshot.Index, snapshot.IndexEpoch) {
		r.restore(snapshot)
		return
	}
	r.viewLog.received = max(r.viewLog.received, snapshot.Index)
	r.ackDue = true
	r.commit(snapshot.Index)
	r.advance()
}

// restore replaces the log and the state by a snapshot whose index is higher than the commit index of this replica. The
// entry at the snapshot's index is committed, so no committed entry is lost.
func (r *Replica) restore(snapshot *Snapshot) {
	if snapshot.Index <= r.log.commitIndex {
		return
	}
	r.log.restore(snapshot)
	r.successor.restore(snapshot.Index)
	r.viewLog.received = snapshot.Index
	r.ready.Snapshot = snapshot
	r.ackDue = true
}
