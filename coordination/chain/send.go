package chain

// Bounds of what is sent to the successor.
const (
	// maxBatch is how many bytes of entries one Append, or one catch-up message, holds at most; the entry that
	// crosses the bound is still in it. Heartbeats wait for a message on its connection, so a message is kept short.
	maxBatch = 256 << 10
	// maxInFlight is how many bytes of entries may be sent without an acknowledgement. What is beyond it waits, so
	// that a successor that has to rewind does not get megabytes for nothing.
	maxInFlight = 1 << 20
)

// Tick is called at a steady pace. After retransmitTicks of them without progress of the successor, all that it has
// not acknowledged is sent again.
func (r *Replica) Tick(retransmitTicks int) {
	if r.successorID() == 0 {
		return
	}
	r.successor.idleTicks++
	if r.successor.idleTicks >= retransmitTicks && r.successor.acked < r.log.lastIndex() {
		r.successor.retransmit(r.log.commitIndex)
		r.successor.idleTicks, r.successor.rewound = 0, false
	}
	r.sendDue = true
}

// Reconnected notes that messages to a member may have been lost.
func (r *Replica) Reconnected(member MemberID) {
	if member == r.successorID() {
		r.successor.retransmit(r.log.commitIndex)
		r.sendDue = true
	}
	if member == r.predecessorID() {
		r.ackDue = true
	}
}

// sendAck notifies the predecessor of what is received and committed here, if that is due.
func (r *Replica) sendAck() {
	if r.ackDue && r.predecessorID() != 0 && r.divergence == nil {
		r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, ReceivedIndex: r.viewLog.received,
			CommitIndex: r.log.commitIndex, ConfirmedReads: r.reads.toPredecessor}})
		r.reads.toPredecessor = nil
	}
	r.ackDue = false
}

// sendToSuccessor passes on to the successor what it lacks, as far as maxInFlight allows, if that is due. At least
// one Append leaves, which also carries indexes and reads.
func (r *Replica) sendToSuccessor() {
	if !r.sendDue || r.successorID() == 0 || !r.viewLog.startKnown || r.successor.refused || r.divergence != nil {
		return
	}
	r.sendDue = false
	// What the predecessor has not confirmed in this view may yet be replaced by its log.
	r.successor.next = min(r.successor.next, r.viewLog.received+1)
	if r.successor.next <= r.log.snapshotIndex {
		r.send(r.successorID(), Message{Snapshot: r.log.snapshot(r.view.Epoch)})
		r.successor.next = r.log.snapshotIndex + 1
	}
	for {
		message := r.nextAppend()
		r.send(r.successorID(), Message{Append: message})
		if len(message.Entries) == 0 || r.successor.next > r.viewLog.received ||
			r.successor.bytesInFlight(&r.log) > maxInFlight {
			return
		}
	}
}

// nextAppend makes the next Append: its entries, and all reads and indexes that the successor has to know.
func (r *Replica) nextAppend() *Append {
	next := r.successor.next
	message := &Append{Epoch: r.view.Epoch, PrevIndex: next - 1, PrevEpoch: r.log.epochAt(next - 1),
		DurableIndex: r.durableInChain(), ViewStart: r.viewLog.start, PendingReads: r.reads.passing,
		ConfirmedReads: r.reads.toFollowers}
	if r.isTail() || r.isFollower() {
		message.CommitIndex = r.log.commitIndex
	}
	r.reads.passing, r.reads.toFollowers = nil, nil
	r.successor.notifiedDurable = message.DurableIndex
	size := 0
	for r.successor.next <= r.viewLog.received && size < maxBatch && r.successor.bytesInFlight(&r.log) <= maxInFlight {
		entry := r.log.entry(r.successor.next)
		message.Entries = append(message.Entries, *entry)
		size += len(entry.Data)
		r.successor.next++
	}
	return message
}
