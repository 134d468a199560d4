package chain

// viewLog is a member's knowledge of the log of the current view. A new view resets it.
type viewLog struct {
	received uint64 // this member's log is known to be equal to the predecessor's up to here
	// durableBefore is the index up to which the log is durable at all members before this one.
	durableBefore uint64
	start         uint64 // the head's last index when the view began
	startKnown    bool   // an Append of the view was received, or this member is the head
	// persistRequested is set once all entries up to start are durable at this member and the host was asked to persist
	// that fact.
	persistRequested bool
	// complete is set once that fact is persisted. Before that, this member confirms nothing, since a member that loses
	// power must still know whether it may head the next view.
	complete bool
}

// durableInChain returns the index up to which the log is durable at this member and all members before it.
func (r *Replica) durableInChain() uint64 {
	if !r.viewLog.complete {
		return 0
	}
	own := min(r.log.durableIndex, r.viewLog.received)
	if r.IsHead() {
		return own
	}
	return min(own, r.viewLog.durableBefore)
}

// advance makes the progress that the current indexes allow: it requests that completeness is persisted, commits entries,
// releases reads, and schedules an Append if the durable index has increased. It is called after each change of an index.
func (r *Replica) advance() {
	if !r.IsMember() || r.divergence != nil {
		return
	}
	r.maybeComplete()
	if r.isTail() {
		r.maybeCommit()
		r.reads.confirmPending()
	}
	r.releaseReads()
	isBeforeTail := r.position < r.writerCount()-1
	if r.durableInChain() > r.successor.notifiedDurable && isBeforeTail {
		r.sendDue = true
	}
}

// maybeComplete asks the host to persist that the complete log with which the view began is durable at this member, once
// that is so.
func (r *Replica) maybeComplete() {
	if r.viewLog.startKnown && !r.viewLog.persistRequested &&
		min(r.log.durableIndex, r.viewLog.received) >= r.viewLog.start {
		r.viewLog.persistRequested, r.ready.PersistCompleteness = true, true
	}
}

// maybeCommit commits, at the tail, the entries that are durable at all writers. A chain with fewer than minMembers members
// commits nothing, because an entry has to survive the loss of minMembers-1 disks.
func (r *Replica) maybeCommit() {
	if len(r.view.Members) < r.minMembers {
		return
	}
	r.commit(r.durableInChain())
}

// commit advances the commit index and passes the newly committed entries to the host.
func (r *Replica) commit(index uint64) {
	if index <= r.log.commitIndex {
		return
	}
	r.ready.CommittedEntries = append(r.ready.CommittedEntries, r.log.between(r.log.commitIndex, index)...)
	r.log.commitIndex = index
	if r.isTail() || r.isFollower() {
		r.sendDue = true // from the tail on, the commit index is sent down the chain
	}
	if !r.isFollower() {
		r.ackDue = true // and from the tail up the chain to the head
	}
}
