package chain

// Receive takes in a message of another member. Messages of other epochs, and of members that are not neighbours in
// the view in force, are dropped: a member of a former view must not change the log of this one.
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
			r.restore(message.Snapshot)
		}
	}
}

func (r *Replica) receiveAppend(m *Append) {
	if r.anyContradicts(m.PrevIndex, m.PrevEpoch, m.Entries) {
		r.refuseView()
		return
	}
	r.ackDue = true
	m = r.withoutCovered(m)
	if !r.log.has(m.PrevIndex, m.PrevEpoch) {
		r.rejectAppend(m)
		return
	}
	r.takeEntries(m.Entries)
	r.viewLog.received = max(r.viewLog.received, m.PrevIndex+uint64(len(m.Entries)))
	r.viewLog.durableBefore = max(r.viewLog.durableBefore, m.DurableIndex)
	r.viewLog.start, r.viewLog.startKnown = m.ViewStart, true
	r.reads.passing = append(r.reads.passing, m.PendingReads...)
	if len(m.Entries) > 0 || len(m.PendingReads) > 0 {
		r.sendDue = true
	}
	if r.isFollower() {
		r.commit(min(m.CommitIndex, r.viewLog.received))
		r.reads.confirmed = append(r.reads.confirmed, m.ConfirmedReads...)
	}
	r.advance()
}

// withoutCovered returns an Append without the entries that the snapshot here covers. These are committed, so they
// can't differ. The message itself stays as it is: it may come twice.
func (r *Replica) withoutCovered(m *Append) *Append {
	if m.PrevIndex >= r.log.snapshotIndex || m.PrevIndex+uint64(len(m.Entries)) < r.log.snapshotIndex {
		return m
	}
	rest := *m
	rest.Entries = m.Entries[r.log.snapshotIndex-m.PrevIndex:]
	rest.PrevIndex, rest.PrevEpoch = r.log.snapshotIndex, r.log.snapshotEpoch
	return &rest
}

// rejectAppend tells the predecessor that the entry before those of an Append is not here.
func (r *Replica) rejectAppend(m *Append) {
	r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, ReceivedIndex: r.lastCommonIndex(m.PrevIndex),
		Rejected: true, RejectedIndex: m.PrevIndex, CommitIndex: r.log.commitIndex}})
}

// lastCommonIndex returns up to where the log here may be the predecessor's too, where it is not at the index. A
// whole epoch is skipped at once, so that a long differing suffix costs one message an epoch.
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
		r.successor.refused = true
		return
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

// restore replaces log and state by a snapshot that is ahead of what is committed here. Its entry is committed, so
// nothing that is committed here is lost by it.
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
