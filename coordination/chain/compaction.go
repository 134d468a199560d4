package chain

// compaction is a durable snapshot that is to take the place of entries here.
type compaction struct {
	index uint64
	data  []byte
}

// Compact notes that a snapshot of the state after a committed entry is durable here. The entries that it covers are
// dropped once the successor has them: a follower may lack some that are committed, and sending it these costs less
// than a snapshot.
func (r *Replica) Compact(index uint64, data []byte) {
	r.compaction = &compaction{index, data}
	r.maybeCompact()
}

// maybeCompact drops entries as soon as nobody needs them any more.
func (r *Replica) maybeCompact() {
	if r.compaction == nil || r.successorID() != 0 && r.successor.acked < r.compaction.index {
		return
	}
	index, data := r.compaction.index, r.compaction.data
	r.compaction = nil
	if index <= r.log.snapshotIndex || index > r.log.commitIndex {
		return
	}
	r.log.compact(index, data)
}
