package chain

// Divergence says that another member's log has another entry where this replica's log is known to be committed. As
// long as disks keep what they report as synced this can't happen: every view is headed by a log that has all that was
// committed.
type Divergence struct {
	Index      uint64 // of the entry
	OwnEpoch   uint64 // of the entry here
	OtherEpoch uint64 // of the entry at the other member
}

// Divergence returns what this replica's log was contradicted by, or nil. Such a replica takes no part any more: which
// of both logs is right can't be known here, and an exchange of them would have no end.
func (r *Replica) Divergence() *Divergence { return r.divergence }

// contradicts reports whether an entry of another member contradicts what is committed here, and records that.
func (r *Replica) contradicts(index, epoch uint64) bool {
	if index < r.log.snapshotIndex || index > r.log.commitIndex || r.log.epochAt(index) == epoch {
		return false
	}
	r.divergence = &Divergence{Index: index, OwnEpoch: r.log.epochAt(index), OtherEpoch: epoch}
	return true
}

// anyContradicts does so for the entry before a message's entries, and for these.
func (r *Replica) anyContradicts(prevIndex, prevEpoch uint64, entries []Entry) bool {
	if r.contradicts(prevIndex, prevEpoch) {
		return true
	}
	for i := range entries {
		if r.contradicts(entries[i].Index, entries[i].Epoch) {
			return true
		}
	}
	return false
}

// refuseView tells the predecessor that this replica takes no part in its view.
func (r *Replica) refuseView() {
	r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, Diverged: true}})
}
