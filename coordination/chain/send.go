package chain

// Tick is called at a steady pace; retry says after how many of them without
// progress the successor gets everything anew.
func (r *Replica) Tick(retry int) {
	if r.successor() == 0 {
		return
	}
	r.ackedAt++
	if r.ackedAt >= retry && r.acked < r.LastIndex() {
		r.next, r.ackedAt, r.rewound = max(r.acked, r.committed)+1, 0, false
	}
	r.wantsSend = true
}

// Reconnected tells that messages to a member may have been lost.
func (r *Replica) Reconnected(member MemberID) {
	if member == r.successor() {
		r.next = max(r.acked, r.committed) + 1
		r.wantsSend = true
	}
	if member == r.predecessor() {
		r.ackDue = true
	}
}

// Ready returns what is to be carried out since the last call.
func (r *Replica) Ready() Ready {
	r.sendAhead()
	if r.ackDue && r.predecessor() != 0 && r.diverged == nil {
		r.out.Messages = append(r.out.Messages, Envelope{r.predecessor(), Message{Ack: &Ack{
			Epoch: r.view.Epoch, Received: r.received, CommitIndex: r.committed, ConfirmedReads: r.ackReads}}})
		r.ackReads = nil
	}
	r.ackDue = false
	out := r.out
	r.out = Ready{}
	return out
}

// sendAhead passes on to the successor what it lacks.
func (r *Replica) sendAhead() {
	if !r.wantsSend || r.successor() == 0 || !r.started || r.refused || r.diverged != nil {
		return
	}
	r.wantsSend = false
	// What the predecessor has not confirmed in this view may yet be replaced by its log.
	r.next = min(r.next, r.received+1)
	if r.next <= r.base {
		r.out.Messages = append(r.out.Messages, Envelope{r.successor(), Message{Snapshot: &Snapshot{
			r.view.Epoch, r.base, r.baseEpoch, r.baseData}}})
		r.next = r.base + 1
	}
	for {
		message := r.nextAppend()
		r.out.Messages = append(r.out.Messages, Envelope{r.successor(), Message{Append: message}})
		if len(message.Entries) == 0 || r.next > r.received || r.inFlight() > maxFlight {
			return
		}
	}
}

func (r *Replica) nextAppend() *Append {
	message := &Append{Epoch: r.view.Epoch, PrevIndex: r.next - 1, PrevEpoch: r.epochOf(r.next - 1),
		Synced: r.durable(), ViewStart: r.start, PendingReads: r.pending, ConfirmedReads: r.confirmed}
	if r.isTail() || r.isFollower() {
		message.CommitIndex = r.committed
	}
	r.pending, r.confirmed, r.toldSync = nil, nil, message.Synced
	size := 0
	for r.next <= r.received && size < maxBatch && r.inFlight() <= maxFlight {
		entry := r.log[r.next-r.base-1]
		message.Entries = append(message.Entries, entry)
		size += len(entry.Data)
		r.next++
	}
	return message
}

// flight counts the bytes of the entries behind one index and before another.
type flight struct {
	behind uint64
	before uint64
	bytes  int
}

// inFlight returns the bytes sent without an acknowledgement. It counts on from the last call, since it is
// asked for each entry that is sent.
func (r *Replica) inFlight() int {
	first := max(r.acked, r.base)
	f := &r.flight
	if f.behind < r.base || f.behind > first || f.before > r.next || f.before <= first {
		*f = flight{behind: first, before: first + 1}
	}
	for ; f.behind < first; f.behind++ {
		f.bytes -= r.dataBytes(f.behind + 1)
	}
	for ; f.before < r.next; f.before++ {
		f.bytes += r.dataBytes(f.before)
	}
	return f.bytes
}

func (r *Replica) dataBytes(index uint64) int { return len(r.log[index-r.base-1].Data) }
