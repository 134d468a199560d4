package chain

// Limits of the data that is sent to the successor.
const (
	// maxBatchBytes limits the bytes of entries in one Append or one catch-up response; the entry that crosses the limit is
	// still included. Messages are kept short because heartbeats on the same connection wait for them.
	maxBatchBytes = 256 << 10
	// maxInFlightBytes limits the bytes of entries that are sent and not acknowledged yet. Further entries wait, so that no
	// megabytes are sent in vain to a successor that rejects them because its log differs.
	maxInFlightBytes = 1 << 20
)

// Tick is called by the host at regular intervals. After retransmitTicks calls without progress of the successor, the
// entries that the successor has not acknowledged are sent again.
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

// Reconnected informs the replica that messages to a member may have been lost.
func (r *Replica) Reconnected(member MemberID) {
	if member == r.successorID() {
		r.successor.retransmit(r.log.commitIndex)
		r.sendDue = true
	}
	if member == r.predecessorID() {
		r.ackDue = true
	}
}

// sendAck sends an Ack with the received and committed indexes to the predecessor if ackDue is set.
func (r *Replica) sendAck() {
	if r.ackDue && r.predecessorID() != 0 && r.divergence == nil {
		r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, ReceivedIndex: r.viewLog.received,
			CommitIndex: r.log.commitIndex, ConfirmedReads: r.reads.toPredecessor}})
		r.reads.toPredecessor = nil
	}
	r.ackDue = false
}

// sendToSuccessor sends the entries that the successor lacks, up to maxInFlightBytes, if sendDue is set. It sends at
// least one Append, which also carries indexes and reads.
func (r *Replica) sendToSuccessor() {
	if !r.sendDue || r.successorID() == 0 || !r.viewLog.startKnown || r.successor.diverged || r.divergence != nil {
		return
	}
	r.sendDue = false
	// Entries that the predecessor has not confirmed in this view may still be replaced by entries of its log.
	r.successor.next = min(r.successor.next, r.viewLog.received+1)
	if r.successor.next <= r.log.snapshotIndex {
		r.send(r.successorID(), Message{Snapshot: r.log.snapshot(r.view.Epoch)})
		r.successor.next = r.log.snapshotIndex + 1
	}
	for {
		message := r.nextAppend()
		r.send(r.successorID(), Message{Append: message})
		if len(message.Entries) == 0 || r.successor.next > r.viewLog.received ||
			r.successor.bytesInFlight(&r.log) > maxInFlightBytes {
			return
		}
	}
}

// nextAppend returns the next Append for the successor, with entries and all reads and indexes that are to be sent.
func (r *Replica) nextAppend() *Append {
	next := r.successor.next
	message := &Append{Epoch: r.view.Epoch, PrevIndex: next - 1, PrevEpoch: r.log.epochAt(next - 1),
		DurableIndex: r.durableInChain(), ViewStart: r.viewLog.start, PendingReads: r.reads.pending,
		ConfirmedReads: r.reads.toFollowers}
	if r.isTail() || r.isFollower() {
		message.CommitIndex = r.log.commitIndex
	}
	r.reads.pending, r.reads.toFollowers = nil, nil
	r.successor.notifiedDurable = message.DurableIndex
	size := 0
	for r.successor.next <= r.viewLog.received && size < maxBatchBytes &&
		r.successor.bytesInFlight(&r.log) <= maxInFlightBytes {
		entry := r.log.entry(r.successor.next)
		message.Entries = append(message.Entries, *entry)
		size += len(entry.Data)
		r.successor.next++
	}
	return message
}
