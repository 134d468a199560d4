package chain

// Divergence says that another member's log has another entry where this replica's log is known to be committed. As
// long as disks keep what they call synced that can't be: every view is headed by a log that has all that was committed.
type Divergence struct {
	Index      uint64 // of the entry
	OwnEpoch   uint64 // its epoch here
	OtherEpoch uint64 // its epoch at the other member
}

// Divergence returns what this replica's log was contradicted by, or nil. Such a replica takes no part any more: which
// of both logs is right can't be told here, and an exchange of them would have no end.
func (r *Replica) Divergence() *Divergence { return r.diverged }

// contradicts reports whether an entry of another member contradicts what is committed here, and notes that.
func (r *Replica) contradicts(index, epoch uint64) bool {
	if index < r.base || index > r.committed || r.epochOf(index) == epoch {
		return false
	}
	r.diverged = &Divergence{Index: index, OwnEpoch: r.epochOf(index), OtherEpoch: epoch}
	return true
}

// anyContradicts does so for the entry before a message's entries, and for these.
func (r *Replica) anyContradicts(previous, previousEpoch uint64, entries []Entry) bool {
	if r.contradicts(previous, previousEpoch) {
		return true
	}
	for i := range entries {
		if r.contradicts(entries[i].Index, entries[i].Epoch) {
			return true
		}
	}
	return false
}

// refuseChain tells the predecessor that this replica takes no part in its view.
func (r *Replica) refuseChain() {
	r.out.Messages = append(r.out.Messages, Envelope{r.predecessor(), Message{Ack: &Ack{Epoch: r.view.Epoch, Diverged: true}}})
}
