package chain

// Receive takes in a message of another member.
func (r *Replica) Receive(from MemberID, message *Message) {
	if r.diverged != nil {
		return
	}
	switch {
	case message.Append != nil:
		if from == r.predecessor() && message.Append.Epoch == r.view.Epoch {
			r.append(message.Append)
		}
	case message.Ack != nil:
		if from == r.successor() && message.Ack.Epoch == r.view.Epoch {
			r.ack(message.Ack)
		}
	case message.Snapshot != nil:
		if from == r.predecessor() && message.Snapshot.Epoch == r.view.Epoch {
			r.restore(message.Snapshot)
		}
	}
}

func (r *Replica) append(m *Append) {
	if r.anyContradicts(m.PrevIndex, m.PrevEpoch, m.Entries) {
		r.refuseChain()
		return
	}
	r.ackDue = true
	known := m.PrevIndex >= r.base && m.PrevIndex <= r.LastIndex() && r.epochOf(m.PrevIndex) == m.PrevEpoch
	if m.PrevIndex < r.base && m.PrevIndex+uint64(len(m.Entries)) >= r.base {
		// What the snapshot covers is committed, so it can't differ. The message stays as it is: it may come twice.
		rest := *m
		rest.Entries = m.Entries[r.base-m.PrevIndex:]
		rest.PrevIndex, rest.PrevEpoch = r.base, r.baseEpoch
		m, known = &rest, true
	}
	if !known {
		r.out.Messages = append(r.out.Messages, Envelope{r.predecessor(), Message{Ack: &Ack{
			Epoch: r.view.Epoch, Received: r.goOnFrom(m.PrevIndex), Rejected: true, RejectedIndex: m.PrevIndex, CommitIndex: r.committed}}})
		return
	}
	if fresh := r.enter(m.Entries); len(fresh) > 0 {
		r.out.Writes = append(r.out.Writes, Write{fresh, r.generation})
	}
	r.received = max(r.received, m.PrevIndex+uint64(len(m.Entries)))
	r.before = max(r.before, m.Synced)
	r.start, r.started = m.ViewStart, true
	r.pending = append(r.pending, m.PendingReads...)
	if len(m.Entries) > 0 || len(m.PendingReads) > 0 {
		r.wantsSend = true
	}
	if r.isFollower() {
		r.commit(min(m.CommitIndex, r.received))
		r.held = append(r.held, m.ConfirmedReads...)
	}
	r.advance()
}

// goOnFrom returns up to where the log here may be the predecessor's too, if it is not at the index.
func (r *Replica) goOnFrom(index uint64) uint64 {
	if index > r.LastIndex() {
		return r.LastIndex()
	}
	epoch := r.epochOf(index)
	for index > r.committed && r.epochOf(index) == epoch {
		index--
	}
	return max(index, r.committed)
}

// truncate drops the entries from an index on: another history took their place.
func (r *Replica) truncate(from uint64) {
	r.log = r.log[:from-r.base-1]
	r.synced = min(r.synced, from-1)
	r.next = min(r.next, from)
	r.flight = flight{}
	r.generation++
}

func (r *Replica) ack(m *Ack) {
	if m.Diverged {
		r.refused = true
		return
	}
	if m.Rejected {
		r.rewind(m)
	} else if m.Received > r.acked {
		r.acked, r.ackedAt = m.Received, 0
		r.rewound = r.rewound && m.Received < r.rewoundTo
		r.next = max(r.next, r.acked+1)
		r.wantsSend = true
		r.compact()
	}
	if m.CommitIndex > r.committed {
		r.commit(min(m.CommitIndex, r.received))
	}
	r.finishReads(m.ConfirmedReads)
	r.advance()
}

// rewind goes back to where both logs are the same. Rejections of what was sent
// before an earlier rewind are passed over.
func (r *Replica) rewind(m *Ack) {
	if r.rewound && m.RejectedIndex > r.rewoundTo {
		return
	}
	r.rewound, r.rewoundTo = true, m.Received
	r.next, r.acked, r.ackedAt = m.Received+1, 0, 0
	r.wantsSend = true
}

func (r *Replica) restore(m *Snapshot) {
	if m.Index <= r.committed {
		return
	}
	r.generation++
	r.base, r.baseEpoch, r.baseData, r.log = m.Index, m.IndexEpoch, m.Data, nil
	r.synced, r.committed, r.received = 0, m.Index, m.Index
	r.next = m.Index + 1
	r.flight = flight{}
	r.out.Snapshot = m
	r.ackDue = true
}

// SnapshotPersisted tells that a snapshot from the predecessor is durable and in force.
func (r *Replica) SnapshotPersisted(index uint64) {
	if index == r.base {
		r.synced = max(r.synced, index)
		r.advance()
	}
}

// CompletenessPersisted tells that completeness in the epoch is durable.
func (r *Replica) CompletenessPersisted(epoch uint64) {
	if epoch == r.view.Epoch && r.completing {
		r.complete = true
		r.wantsSend = true
		r.advance()
	}
}
