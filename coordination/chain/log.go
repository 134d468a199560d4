package chain

import "slices"

// replicaLog is one replica's copy of the log: a snapshot of the state after a committed entry, and all entries after
// that one, without a gap.
//
// Invariants: snapshotIndex <= commitIndex <= lastIndex, and durableIndex <= lastIndex. durableIndex may be less
// than snapshotIndex while a snapshot from the predecessor is being written.
type replicaLog struct {
	snapshotIndex uint64
	snapshotEpoch uint64 // epoch of the entry at snapshotIndex
	snapshotData  []byte
	entries       []Entry // entries[i] has the index snapshotIndex+1+i

	commitIndex  uint64
	durableIndex uint64 // the log is durable on this replica's own disk up to here
	// generation increases whenever entries are replaced, so that the late completion of a write of replaced entries
	// is not taken for the completion of a write of the new ones.
	generation uint64
}

func (l *replicaLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

// entry returns the entry at an index, which must be after the snapshot.
func (l *replicaLog) entry(index uint64) *Entry { return &l.entries[index-l.snapshotIndex-1] }

// epochAt returns the epoch of the entry at an index, or 0 if the log does not have that entry.
func (l *replicaLog) epochAt(index uint64) uint64 {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotEpoch
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0
	}
	return l.entry(index).Epoch
}

// has reports whether the log has the entry with this index and epoch. Two logs that have the same entry are equal up to
// it, since an epoch has a single head and an entry is appended only after the entry before it.
func (l *replicaLog) has(index, epoch uint64) bool {
	return index >= l.snapshotIndex && index <= l.lastIndex() && l.epochAt(index) == epoch
}

func (l *replicaLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// between returns the entries after the index after, up to and including the index last.
func (l *replicaLog) between(after, last uint64) []Entry {
	return l.entries[after-l.snapshotIndex : last-l.snapshotIndex]
}

// truncate drops the entry at an index and all entries after it.
func (l *replicaLog) truncate(from uint64) {
	l.entries = l.entries[:from-l.snapshotIndex-1]
	l.durableIndex = min(l.durableIndex, from-1)
	l.generation++
}

// restore replaces the entire log by a snapshot that is not durable yet.
func (l *replicaLog) restore(snapshot *Snapshot) {
	*l = replicaLog{snapshotIndex: snapshot.Index, snapshotEpoch: snapshot.IndexEpoch, snapshotData: snapshot.Data,
		commitIndex: snapshot.Index, generation: l.generation + 1}
}

// compact replaces the entries that a snapshot covers by the snapshot.
func (l *replicaLog) compact(index uint64, data []byte) {
	l.snapshotEpoch = l.epochAt(index)
	l.entries = slices.Clone(l.entries[index-l.snapshotIndex:])
	l.snapshotIndex, l.snapshotData = index, data
}

// snapshot returns the log's snapshot as a message of the view with the given epoch.
func (l *replicaLog) snapshot(epoch uint64) *Snapshot {
	return &Snapshot{Epoch: epoch, Index: l.snapshotIndex, IndexEpoch: l.snapshotEpoch, Data: l.snapshotData}
}

// mergeEntries merges entries into the log and asks the host to write the new ones. From the first entry that differs,
// the entries replace the rest of the log.
func (r *Replica) mergeEntries(entries []Entry) {
	var added []Entry
	for _, entry := range entries {
		if r.log.has(entry.Index, entry.Epoch) {
			continue
		}
		if entry.Index <= r.log.lastIndex() {
			r.log.truncate(entry.Index)
			r.successor.truncate(entry.Index)
		}
		r.log.append(entry)
		added = append(added, entry)
	}
	if len(added) > 0 {
		r.write(added)
	}
}
