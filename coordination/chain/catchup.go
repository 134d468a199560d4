package chain

// CatchUpRequest is sent by a replica outside the chain to a member, to get the entries that follow the replica's log. A
// replica joins the chain once it has nearly all of the log, since a chain commits nothing while a writer lacks entries.
type CatchUpRequest struct {
	LastIndex   uint64 `cbor:"1,keyasint"` // index of the last entry of the requesting replica
	LastEpoch   uint64 `cbor:"2,keyasint"` // epoch of that entry
	CommitIndex uint64 `cbor:"3,keyasint"` // the requester's commit index; its log is known to equal the others' up to here
}

// CatchUpResponse answers a CatchUpRequest with committed entries. It also contains the member's snapshot if Entries follow
// it directly and the requester's commit index is lower, since the requester may lack entries that the snapshot covers. It
// ends before the member's newest entries if they have more than maxBatchBytes bytes.
type CatchUpResponse struct {
	PrevIndex   uint64    `cbor:"1,keyasint"` // of the entry before Entries
	PrevEpoch   uint64    `cbor:"2,keyasint"`
	Entries     []Entry   `cbor:"3,keyasint,omitempty"`
	Snapshot    *Snapshot `cbor:"4,keyasint,omitempty"`
	CommitIndex uint64    `cbor:"5,keyasint"`
}

// NextCatchUpRequest returns the next request of a replica outside the chain. It returns false for a member of the chain
// and for a replica that has diverged.
func (r *Replica) NextCatchUpRequest() (CatchUpRequest, bool) {
	if r.IsMember() || r.divergence != nil {
		return CatchUpRequest{}, false
	}
	last := r.log.lastIndex()
	return CatchUpRequest{last, r.log.epochAt(last), r.log.commitIndex}, true
}

// AnswerCatchUp returns the response to a CatchUpRequest. It returns nil if there is nothing to send or this replica is not
// serving.
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
	for index := from + 1; index <= r.log.commitIndex && size < maxBatchBytes; index++ {
		entry := r.log.entry(index)
		response.Entries = append(response.Entries, *entry)
		size += len(entry.Data)
	}
	return response
}

// catchUpFrom returns the index after which the response to a replica begins: the last index of its log if the entry there
// is committed and equal in both logs, otherwise the lower of the two commit indexes, up to which both logs must be equal.
// It is never less than the index of this replica's snapshot.
func (r *Replica) catchUpFrom(request CatchUpRequest) uint64 {
	last := request.LastIndex
	if last > r.log.commitIndex || last < r.log.snapshotIndex || r.log.epochAt(last) != request.LastEpoch {
		return max(r.log.snapshotIndex, min(request.CommitIndex, r.log.commitIndex))
	}
	return last
}

// ApplyCatchUp applies a CatchUpResponse at a replica outside the chain.
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
	// The entries of a log that extends beyond the snapshot may never have been committed.
	if snapshot != nil && r.log.epochAt(snapshot.Index) != snapshot.IndexEpoch {
		r.restore(snapshot)
	}
	if !r.log.has(response.PrevIndex, response.PrevEpoch) {
		return
	}
	r.mergeEntries(response.Entries)
	r.commit(min(response.CommitIndex, response.PrevIndex+uint64(len(response.Entries)), r.log.lastIndex()))
}
