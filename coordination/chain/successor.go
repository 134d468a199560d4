package chain

// successorProgress is what a member knows of its successor's log in the view in force. A new view resets it.
type successorProgress struct {
	next  uint64 // first entry that is not sent yet
	acked uint64 // the successor's log is known to be this one up to here; 0: not known
	// idleTicks counts ticks since acked last rose.
	idleTicks int
	// rewound: the successor has rejected an Append, and next went back to the entry after rewoundTo.
	rewound   bool
	rewoundTo uint64
	// notifiedDurable is the index up to which the successor was notified that all members before it are durable.
	notifiedDurable uint64
	refused         bool // the successor takes no part in the view, see Divergence
	inflight        inflight
}

// acknowledge notes that the successor has received the log up to an index, and reports whether that is progress.
func (p *successorProgress) acknowledge(received uint64) bool {
	if received <= p.acked {
		return false
	}
	p.acked, p.idleTicks = received, 0
	p.rewound = p.rewound && received < p.rewoundTo
	p.next = max(p.next, p.acked+1)
	return true
}

// rewind goes back to where both logs are the same, and reports whether it did. Rejections of what was sent before
// an earlier rewind say nothing new.
func (p *successorProgress) rewind(ack *Ack) bool {
	if p.rewound && ack.RejectedIndex > p.rewoundTo {
		return false
	}
	p.rewound, p.rewoundTo = true, ack.ReceivedIndex
	p.next, p.acked, p.idleTicks = ack.ReceivedIndex+1, 0, 0
	return true
}

// retransmit goes back to what the successor has acknowledged, or what is committed and so must be there.
func (p *successorProgress) retransmit(commitIndex uint64) { p.next = max(p.acked, commitIndex) + 1 }

// truncate follows the log, from which the entries from an index on were dropped.
func (p *successorProgress) truncate(from uint64) {
	p.next = min(p.next, from)
	p.inflight = inflight{}
}

// restore follows the log, which a snapshot has replaced.
func (p *successorProgress) restore(index uint64) {
	p.next = index + 1
	p.inflight = inflight{}
}

// inflight is the sum of the bytes of the entries after one index and before another.
type inflight struct {
	after  uint64
	before uint64
	bytes  int
}

// bytesInFlight returns how many bytes of entries are sent and not acknowledged. It counts on from the last call,
// since it is asked for each entry that is sent.
func (p *successorProgress) bytesInFlight(log *replicaLog) int {
	first := max(p.acked, log.snapshotIndex)
	f := &p.inflight
	if f.after < log.snapshotIndex || f.after > first || f.before > p.next || f.before <= first {
		*f = inflight{after: first, before: first + 1}
	}
	for ; f.after < first; f.after++ {
		f.bytes -= len(log.entry(f.after + 1).Data)
	}
	for ; f.before < p.next; f.before++ {
		f.bytes += len(log.entry(f.before).Data)
	}
	return f.bytes
}
