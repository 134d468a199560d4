package chain

// Write asks the host to make entries durable, in order, and to call EntriesPersisted then.
type Write struct {
	Entries    []Entry
	Generation uint64 // to be handed back to EntriesPersisted
}

// Ready is what the host has to carry out, in the order of the fields. Messages may leave before the writes are
// durable: members write in parallel, and each notifies its successor separately up to where it is durable.
type Ready struct {
	Snapshot         *Snapshot // replace state and log by this, and call SnapshotPersisted once it is durable
	Writes           []Write
	Messages         []Envelope
	CommittedEntries []Entry // to be applied
	ConfirmedReads   []Read  // of this replica's own, to be answered after CommittedEntries are applied
	// PersistCompleteness says that the complete log with which the view began is durable here: make that fact durable,
	// and call CompletenessPersisted.
	PersistCompleteness bool
}

// Ready returns what is to be carried out since the last call.
func (r *Replica) Ready() Ready {
	r.sendToSuccessor()
	r.sendAck()
	ready := r.ready
	r.ready = Ready{}
	return ready
}

// EntriesPersisted notes that the entries of a Write are durable up to an index.
func (r *Replica) EntriesPersisted(index, generation uint64) {
	if generation != r.log.generation || index <= r.log.durableIndex {
		return
	}
	r.log.durableIndex = min(index, r.log.lastIndex())
	r.advance()
}

// SnapshotPersisted notes that a snapshot from Ready is durable and in force.
func (r *Replica) SnapshotPersisted(index uint64) {
	if index == r.log.snapshotIndex {
		r.log.durableIndex = max(r.log.durableIndex, index)
		r.advance()
	}
}

// CompletenessPersisted notes that the host has made durable that this member is complete in an epoch.
func (r *Replica) CompletenessPersisted(epoch uint64) {
	if epoch == r.view.Epoch && r.viewLog.completing {
		r.viewLog.complete = true
		r.sendDue = true
		r.advance()
	}
}

func (r *Replica) write(entries []Entry) {
	r.ready.Writes = append(r.ready.Writes, Write{entries, r.log.generation})
}

func (r *Replica) send(to MemberID, message Message) {
	r.ready.Messages = append(r.ready.Messages, Envelope{to, message})
}
