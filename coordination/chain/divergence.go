package chain

// Divergence reports that the log of another member has a different entry at an index that this replica knows to be
// committed. This can't happen as long as disks keep the data that they have reported as synced, since the head of every
// view has all committed entries.
type Divergence struct {
	Index      uint64 // of the entry
	OwnEpoch   uint64 // of the entry in this replica's log
	OtherEpoch uint64 // of the entry in the other member's log
}

// Divergence returns the contradiction that this replica has found, or nil. A replica that has found one no longer takes
// part in the chain: it can't know which of the two logs is right, and the members would exchange their logs endlessly.
func (r *Replica) Divergence() *Divergence { return r.divergence }

// contradicts reports whether an entry of another member contradicts a committed entry of this replica. If so, it sets
// divergence.
func (r *Replica) contradicts(index, epoch uint64) bool {
	if index < r.log.snapshotIndex || index > r.log.commitIndex || r.log.epochAt(index) == epoch {
		return false
	}
	r.divergence = &Divergence{Index: index, OwnEpoch: r.log.epochAt(index), OtherEpoch: epoch}
	return true
}

// anyContradicts calls contradicts for the entries of a message and the entry that precedes them.
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

// reportDivergence notifies the predecessor that this replica has diverged and does not take part in the view.
func (r *Replica) reportDivergence() {
	r.send(r.predecessorID(), Message{Ack: &Ack{Epoch: r.view.Epoch, Diverged: true}})
}
