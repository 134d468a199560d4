package chain

// successorProgress is a member's knowledge of its successor's log in the current view. A new view resets it.
type successorProgress struct {
	next  uint64 // index of the first entry that is not sent yet
	acked uint64 // the successor's log is known to equal this one up to here; 0: not known
	// idleTicks counts the ticks since acked last increased or entries were last retransmitted.
	idleTicks int
	// rewound is set if the successor has rejected an Append, so that next went back to the entry after rewoundTo.
	rewound   bool
	rewoundTo uint64
	// notifiedDurable is the DurableIndex of the last Append that was sent to the successor.
	notifiedDurable uint64
	diverged        bool // the successor does not take part in the view, see Divergence
	inflight        inflight
}

// acknowledge records that the successor has received the log up to an index, and reports whether the index increased.
func (p *successorProgress) acknowledge(received uint64) bool {
	if received <= p.acked {
		return false
	}
	p.acked, p.idleTicks = received, 0
	p.rewound = p.rewound && received < p.rewoundTo
	p.next = max(p.next, p.acked+1)
	return true
}

// rewind handles a rejection: it sets next to the entry after the last one that both logs may share, and reports whether it
// did. A rejection of an Append that was sent before an earlier rewind is ignored, since it holds nothing new.
func (p *successorProgress) rewind(ack *Ack) bool {
	if p.rewound && ack.RejectedIndex > p.rewoundTo {
		return false
	}
	p.rewound, p.rewoundTo = true, ack.ReceivedIndex
	p.next, p.acked, p.idleTicks = ack.ReceivedIndex+1, 0, 0
	return true
}

// retransmit sets next to the first entry that is neither acknowledged nor committed. A writer has all committed entries; a
// follower that lacks some of them rejects the next Append, which leads to a rewind.
func (p *successorProgress) retransmit(commitIndex uint64) { p.next = max(p.acked, commitIndex) + 1 }

// truncate adjusts the progress after the log has dropped the entry at an index and all entries after it.
func (p *successorProgress) truncate(from uint64) {
	p.next = min(p.next, from)
	p.inflight = inflight{}
}

// restore adjusts the progress after a snapshot has replaced the log.
func (p *successorProgress) restore(index uint64) {
	p.next = index + 1
	p.inflight = inflight{}
}

// inflight caches the total size of the entries between two indexes, both exclusive.
type inflight struct {
	after  uint64
	before uint64
	bytes  int
}

// bytesInFlight returns the number of bytes of entries that are sent and not acknowledged. It updates the sum of the last
// call instead of computing it anew, since it is called for each entry that is sent.
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
