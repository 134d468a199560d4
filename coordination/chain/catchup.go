package chain

// CatchUpRequest is asked by a replica outside the chain, of a member: what follows its log? A replica joins the
// chain once it has nearly all of the log, since a chain commits nothing while a member of it lacks entries.
type CatchUpRequest struct {
	LastIndex   uint64 `cbor:"1,keyasint"` // last entry that it has
	LastEpoch   uint64 `cbor:"2,keyasint"` // and that entry's epoch
	CommitIndex uint64 `cbor:"3,keyasint"` // up to where its log is known to be every replica's
}

// CatchUpResponse answers a CatchUpRequest with committed entries, or with a snapshot where the logs differ or the
// member's begins later. It ends before the member's newest entries where they are more than maxBatch bytes.
type CatchUpResponse struct {
	PrevIndex   uint64    `cbor:"1,keyasint"` // of the entry before Entries
	PrevEpoch   uint64    `cbor:"2,keyasint"`
	Entries     []Entry   `cbor:"3,keyasint,omitempty"`
	Snapshot    *Snapshot `cbor:"4,keyasint,omitempty"`
	CommitIndex uint64    `cbor:"5,keyasint"`
}

// NextCatchUpRequest returns what a replica outside the chain asks for, and false for a member and for one that has
// diverged.
func (r *Replica) NextCatchUpRequest() (CatchUpRequest, bool) {
	if r.IsMember() || r.divergence != nil {
		return CatchUpRequest{}, false
	}
	last := r.log.lastIndex()
	return CatchUpRequest{last, r.log.epochAt(last), r.log.commitIndex}, true
}

// AnswerCatchUp answers a CatchUpRequest. It is nil while there is nothing to send or this replica does not serve.
func (r *Replica) AnswerCatchUp(request CatchUpRequest) *CatchUpResponse {
	if !r.IsServing() {
		return nil
	}
	from := r.catchUpFrom(request)
	if from == r.log.commitIndex && from == request.LastIndex && r.log.epochAt(from) == request.LastEpoch {
		return nil
	}
	response := &CatchUpResponse{PrevIndex: from, PrevEpoch: r.log.epochAt(from), CommitIndex: r.log.commitIndex}
	if from == r.log.snapshotIndex && request.CommitIndex < r.log.snapshotIndex {
		response.Snapshot = r.log.snapshot(r.view.Epoch)
	}
	size := 0
	for index := from + 1; index <= r.log.commitIndex && size < maxBatch; index++ {
		entry := r.log.entry(index)
		response.Entries = append(response.Entries, *entry)
		size += len(entry.Data)
	}
	return response
}

// catchUpFrom returns the index after which a replica lacks entries: the end of its log where that is committed and
// the same here, else the last index at which both logs must be the same.
func (r *Replica) catchUpFrom(request CatchUpRequest) uint64 {
	last := request.LastIndex
	if last > r.log.commitIndex || last < r.log.snapshotIndex || r.log.epochAt(last) != request.LastEpoch {
		return max(r.log.snapshotIndex, min(request.CommitIndex, r.log.commitIndex))
	}
	return last
}

// ApplyCatchUp takes in a CatchUpResponse, outside the chain.
func (r *Replica) ApplyCatchUp(response *CatchUpResponse) {
	if r.IsMember() || r.divergence != nil {
		return
	}
	snapshot := response.Snapshot
	if snapshot != nil && r.contradicts(snapshot.Index, snapshot.IndexEpoch) {
		return
	}
	if r.anyContradicts(response.PrevIndex, response.PrevEpoch, response.Entries) {
		return
	}
	// A log that reaches beyond the snapshot may do so with entries that were never committed.
	if snapshot != nil && r.log.epochAt(snapshot.Index) != snapshot.IndexEpoch {
		r.restore(snapshot)
	}
	if !r.log.has(response.PrevIndex, response.PrevEpoch) {
		return
	}
	r.takeEntries(response.Entries)
	r.commit(min(response.CommitIndex, response.PrevIndex+uint64(len(response.Entries)), r.log.lastIndex()))
}
