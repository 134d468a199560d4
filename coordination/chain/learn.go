package chain

// CatchUpRequest is asked by a replica outside the chain, of a member: what follows its log?
type CatchUpRequest struct {
	LastIndex uint64 `cbor:"1,keyasint"` // last entry that it has
	LastEpoch uint64 `cbor:"2,keyasint"` // and that entry's epoch
	// CommitIndex is up to where its log is known to be everybody's.
	CommitIndex uint64 `cbor:"3,keyasint"`
}

// CatchUpResponse answers a Fetch with committed entries, or with a snapshot where the logs differ or the member's
// begins later. It ends before the member's newest entries where they are many.
type CatchUpResponse struct {
	PrevIndex   uint64    `cbor:"1,keyasint"`
	PrevEpoch   uint64    `cbor:"2,keyasint"`
	Entries     []Entry   `cbor:"3,keyasint,omitempty"`
	Snapshot    *Snapshot `cbor:"4,keyasint,omitempty"`
	CommitIndex uint64    `cbor:"5,keyasint"`
}

// NextCatchUpRequest returns what a replica outside the chain asks for, and false for a member and for one that has diverged.
func (r *Replica) NextCatchUpRequest() (CatchUpRequest, bool) {
	if r.position >= 0 || r.diverged != nil {
		return CatchUpRequest{}, false
	}
	return CatchUpRequest{r.LastIndex(), r.epochOf(r.LastIndex()), r.committed}, true
}

// AnswerCatchUp answers a Fetch. It is nil while there is nothing to tell or this replica is no complete member.
func (r *Replica) AnswerCatchUp(fetch CatchUpRequest) *CatchUpResponse {
	if !r.IsServing() {
		return nil
	}
	from := fetch.LastIndex
	if from > r.committed || from < r.base || r.epochOf(from) != fetch.LastEpoch {
		from = max(r.base, min(fetch.CommitIndex, r.committed))
	}
	if from == r.committed && from == fetch.LastIndex && r.epochOf(from) == fetch.LastEpoch {
		return nil
	}
	lesson := &CatchUpResponse{PrevIndex: from, PrevEpoch: r.epochOf(from), CommitIndex: r.committed}
	if from == r.base && fetch.CommitIndex < r.base {
		lesson.Snapshot = &Snapshot{r.view.Epoch, r.base, r.baseEpoch, r.baseData}
	}
	size := 0
	for index := from + 1; index <= r.committed && size < maxBatch; index++ {
		entry := r.log[index-r.base-1]
		lesson.Entries = append(lesson.Entries, entry)
		size += len(entry.Data)
	}
	return lesson
}

// ApplyCatchUp takes in a lesson, outside the chain.
func (r *Replica) ApplyCatchUp(lesson *CatchUpResponse) {
	if r.position >= 0 || r.diverged != nil {
		return
	}
	if s := lesson.Snapshot; s != nil && r.contradicts(s.Index, s.IndexEpoch) {
		return
	}
	if r.anyContradicts(lesson.PrevIndex, lesson.PrevEpoch, lesson.Entries) {
		return
	}
	// A log that reaches beyond the snapshot may do so with entries that were never committed.
	if s := lesson.Snapshot; s != nil && r.epochOf(s.Index) != s.IndexEpoch {
		r.restore(s)
	}
	known := lesson.PrevIndex >= r.base && lesson.PrevIndex <= r.LastIndex() && r.epochOf(lesson.PrevIndex) == lesson.PrevEpoch
	if !known {
		return
	}
	if fresh := r.enter(lesson.Entries); len(fresh) > 0 {
		r.out.Writes = append(r.out.Writes, Write{fresh, r.generation})
	}
	r.commit(min(lesson.CommitIndex, lesson.PrevIndex+uint64(len(lesson.Entries)), r.LastIndex()))
}

// enter takes entries into the log, in the place of others from where they differ, and returns the new ones.
func (r *Replica) enter(entries []Entry) []Entry {
	var fresh []Entry
	for _, entry := range entries {
		if entry.Index <= r.LastIndex() && r.epochOf(entry.Index) == entry.Epoch {
			continue
		}
		if entry.Index <= r.LastIndex() {
			r.truncate(entry.Index)
		}
		r.log = append(r.log, entry)
		fresh = append(fresh, entry)
	}
	return fresh
}
