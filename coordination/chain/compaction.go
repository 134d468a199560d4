package chain

// compaction is a durable snapshot that will replace the log entries which it covers.
type compaction struct {
	index uint64
	data  []byte
}

// Compact informs the replica that the host has made a snapshot of the state after a committed entry durable. The entries
// that the snapshot covers are dropped once the successor has them: a follower may lack some committed entries, and sending
// these costs less than sending a snapshot.
func (r *Replica) Compact(index uint64, data []byte) {
	r.compaction = &compaction{index, data}
	r.maybeCompact()
}

// maybeCompact drops the entries covered by the pending compaction once the successor has them.
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
