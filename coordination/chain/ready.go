package chain

// Write asks the host to make entries durable, in order, and to call EntriesPersisted afterwards.
type Write struct {
	Entries    []Entry
	Generation uint64 // to be passed to EntriesPersisted
}

// Ready holds the work that the host has to carry out, in the order of the fields. Messages may be sent before the writes
// are durable: members write in parallel, and each notifies its successor of its durable index separately.
type Ready struct {
	Snapshot         *Snapshot // replaces the state and the log; the host calls SnapshotPersisted once it is durable
	Writes           []Write
	Messages         []Envelope
	CommittedEntries []Entry // to be applied to the state
	ConfirmedReads   []Read  // of this replica, to be answered after CommittedEntries are applied
	// PersistCompleteness is set once the complete log with which the view began is durable at this replica. The host
	// makes that fact durable and then calls CompletenessPersisted.
	PersistCompleteness bool
}

// Ready returns the work that has accumulated since the last call.
func (r *Replica) Ready() Ready {
	r.sendToSuccessor()
	r.sendAck()
	ready := r.ready
	r.ready = Ready{}
	return ready
}

// EntriesPersisted informs the replica that the entries of a Write are durable up to an index.
func (r *Replica) EntriesPersisted(index, generation uint64) {
	if generation != r.log.generation || index <= r.log.durableIndex {
		return
	}
	r.log.durableIndex = min(index, r.log.lastIndex())
	r.advance()
}

// SnapshotPersisted informs the replica that the host has made a snapshot from Ready durable and restored its state.
func (r *Replica) SnapshotPersisted(index uint64) {
	if index == r.log.snapshotIndex {
		r.log.durableIndex = max(r.log.durableIndex, index)
		r.advance()
	}
}

// CompletenessPersisted informs the replica that the host has made durable that this member is complete in an epoch.
func (r *Replica) CompletenessPersisted(epoch uint64) {
	if epoch == r.view.Epoch && r.viewLog.persistRequested {
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
