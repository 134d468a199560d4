package consensus

import (
	"encoding/binary"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// save writes what raft hands over in one transaction, and then makes it readable in memory. Where raft does not need
// it on disk (mustSync is false: the commit index alone has changed) the write waits for the next one: a restarted
// member learns the commit index from its leader.
func (s *store) save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot, mustSync bool) error {
	if !mustSync && len(entries) == 0 && raft.IsEmptySnap(snapshot) {
		if !raft.IsEmptyHardState(hardState) {
			s.commitUnsynced = true
			return s.memory.SetHardState(hardState)
		}
		return nil
	}
	if raft.IsEmptyHardState(hardState) && s.commitUnsynced {
		hardState, _, _ = s.memory.InitialState() // a memory store returns no error
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if err := putSnapshot(meta, log, snapshot); err != nil {
			return err
		}
		if err := putHardState(meta, hardState); err != nil {
			return err
		}
		return putEntries(log, entries)
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := s.memory.ApplySnapshot(snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hardState) {
		if err := s.memory.SetHardState(hardState); err != nil {
			return err
		}
	}
	s.commitUnsynced = false
	return s.memory.Append(entries)
}

// compact replaces the log up to an index by a snapshot of the state. The latest retain entries stay in memory, from
// where followers get them; after a restart the log begins behind the snapshot. The commit index is written with it,
// since raft does not start from a folder in which it is older than the snapshot.
func (s *store) compact(index uint64, members *raftpb.ConfState, state []byte, retain uint64) error {
	snapshot, err := s.memory.CreateSnapshot(index, members, state)
	if err != nil {
		return err
	}
	hardState, _, err := s.memory.InitialState()
	if err != nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if err := putRecord(meta, keySnapshot, snapshot); err != nil {
			return err
		}
		if err := putRecord(meta, keyHardState, hardState); err != nil {
			return err
		}
		return deleteBefore(tx.Bucket(bucketLog), index+1)
	})
	if err != nil {
		return err
	}
	s.commitUnsynced = false
	from := index - min(index, retain)
	if first, _ := s.memory.FirstIndex(); from >= first {
		return s.memory.Compact(from)
	}
	return nil
}

// putSnapshot writes a snapshot, unless it is empty, and deletes the entries that it covers.
func putSnapshot(meta, log *bbolt.Bucket, snapshot *raftpb.Snapshot) error {
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	if err := putRecord(meta, keySnapshot, snapshot); err != nil {
		return err
	}
	return deleteBefore(log, snapshot.GetMetadata().GetIndex()+1)
}

// putHardState writes a hard state, unless it is empty.
func putHardState(meta *bbolt.Bucket, hardState *raftpb.HardState) error {
	if raft.IsEmptyHardState(hardState) {
		return nil
	}
	return putRecord(meta, keyHardState, hardState)
}

// putEntries appends entries to the log. Entries on disk behind the last one are deleted: they
// are an earlier leader's, and were never committed.
func putEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeUint64(entries[len(entries)-1].GetIndex() + 1)); key != nil; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		if err := putRecord(log, encodeUint64(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteBefore deletes the entries before an index.
func deleteBefore(log *bbolt.Bucket, index uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.First(); key != nil && binary.BigEndian.Uint64(key) < index; key, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// putRecord writes one record with its checksum.
func putRecord(bucket *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := encodeRecord(key, m)
	if err != nil {
		return err
	}
	return bucket.Put(key, data)
}
