package chain

import "slices"

// replicaLog is one replica's copy of the log: the state after one committed entry, and the entries after that one
// without a gap.
//
// Invariants: snapshotIndex <= commitIndex <= lastIndex, and durableIndex <= lastIndex. The durable index may be below
// the snapshot's while a snapshot of the predecessor is being written.
type replicaLog struct {
	snapshotIndex uint64
	snapshotEpoch uint64 // epoch of the entry at snapshotIndex
	snapshotData  []byte
	entries       []Entry // entries[i] has the index snapshotIndex+1+i

	commitIndex  uint64
	durableIndex uint64 // this replica's own disk has the log up to here
	// generation rises whenever entries are replaced: a write of replaced entries that finishes late must not count
	// for the ones that took their place.
	generation uint64
}

func (l *replicaLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

// entry returns the entry at an index, which must be after the snapshot.
func (l *replicaLog) entry(index uint64) *Entry { return &l.entries[index-l.snapshotIndex-1] }

// epochAt returns the epoch of an entry that is here, or 0.
func (l *replicaLog) epochAt(index uint64) uint64 {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotEpoch
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0
	}
	return l.entry(index).Epoch
}

// has reports whether the entry with this index and epoch is here. Two logs that share it are the same up to there,
// since an epoch has one head and each entry is taken in only after the one before it.
func (l *replicaLog) has(index, epoch uint64) bool {
	return index >= l.snapshotIndex && index <= l.lastIndex() && l.epochAt(index) == epoch
}

func (l *replicaLog) append(entry Entry) { l.entries = append(l.entries, entry) }

// between returns the entries after one index and up to another.
func (l *replicaLog) between(after, last uint64) []Entry {
	return l.entries[after-l.snapshotIndex : last-l.snapshotIndex]
}

// truncate drops the entries from an index on.
func (l *replicaLog) truncate(from uint64) {
	l.entries = l.entries[:from-l.snapshotIndex-1]
	l.durableIndex = min(l.durableIndex, from-1)
	l.generation++
}

// restore replaces the entire log with a snapshot, which is not durable yet.
func (l *replicaLog) restore(snapshot *Snapshot) {
	*l = replicaLog{snapshotIndex: snapshot.Index, snapshotEpoch: snapshot.IndexEpoch, snapshotData: snapshot.Data,
		commitIndex: snapshot.Index, generation: l.generation + 1}
}

// compact lets a snapshot take the place of the entries that it covers.
func (l *replicaLog) compact(index uint64, data []byte) {
	l.snapshotEpoch = l.epochAt(index)
	l.entries = slices.Clone(l.entries[index-l.snapshotIndex:])
	l.snapshotIndex, l.snapshotData = index, data
}

// snapshot returns the log's snapshot as a message of a view.
func (l *replicaLog) snapshot(epoch uint64) *Snapshot {
	return &Snapshot{Epoch: epoch, Index: l.snapshotIndex, IndexEpoch: l.snapshotEpoch, Data: l.snapshotData}
}

// takeEntries takes entries into the log, in the place of others from where they differ, and asks the host to write
// those that are new.
func (r *Replica) takeEntries(entries []Entry) {
	var fresh []Entry
	for _, entry := range entries {
		if r.log.has(entry.Index, entry.Epoch) {
			continue
		}
		if entry.Index <= r.log.lastIndex() {
			r.log.truncate(entry.Index)
			r.successor.truncate(entry.Index)
		}
		r.log.append(entry)
		fresh = append(fresh, entry)
	}
	if len(fresh) > 0 {
		r.write(fresh)
	}
}
