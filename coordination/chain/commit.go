package chain

// viewLog is what a member knows of the log of the view in force. A new view resets it.
type viewLog struct {
	received uint64 // this member's log is known to be the predecessor's up to here
	// durableBefore is up to where all members before this one have the log durable.
	durableBefore uint64
	start         uint64 // the head's last index when the view began
	startKnown    bool   // an Append of the view has come, or this member is the head
	// completing: all entries up to start are durable here, and the host was asked to persist that.
	completing bool
	// complete: that is persisted. Only then does this member confirm anything, since a member that loses power must
	// still know whether it may head the next view.
	complete bool
}

// durableInChain returns the index up to which this member and all before it have the log durable.
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

// advance does what the present indexes allow. It is called after each change of one of them.
func (r *Replica) advance() {
	if !r.IsMember() || r.divergence != nil {
		return
	}
	r.maybeComplete()
	if r.isTail() {
		r.maybeCommit()
		r.reads.confirmPassing()
	}
	r.releaseReads()
	isBeforeTail := r.position < r.writerCount()-1
	if r.durableInChain() > r.successor.notifiedDurable && isBeforeTail {
		r.sendDue = true
	}
}

// maybeComplete asks the host to persist that the complete log with which the view began is durable here.
func (r *Replica) maybeComplete() {
	if r.viewLog.startKnown && !r.viewLog.completing && min(r.log.durableIndex, r.viewLog.received) >= r.viewLog.start {
		r.viewLog.completing, r.ready.PersistCompleteness = true, true
	}
}

// maybeCommit commits, at the tail, what all writers have durable. A chain below the minimum commits nothing: an
// entry has to outlive the loss of minimum-1 disks.
func (r *Replica) maybeCommit() {
	if len(r.view.Members) < r.minimum {
		return
	}
	r.commit(r.durableInChain())
}

// commit hands the entries up to an index to the host, unless they are committed already.
func (r *Replica) commit(index uint64) {
	if index <= r.log.commitIndex {
		return
	}
	r.ready.CommittedEntries = append(r.ready.CommittedEntries, r.log.between(r.log.commitIndex, index)...)
	r.log.commitIndex = index
	if r.isTail() || r.isFollower() {
		r.sendDue = true // the commit index goes down the chain from the tail on
	}
	if !r.isFollower() {
		r.ackDue = true // and up the chain to the head
	}
}
