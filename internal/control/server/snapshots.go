package server

import (
	"yardflow/coordination/chain"
	"yardflow/coordination/segment"
	"yardflow/internal/control/protocol"
)

// Limits of the log behind the newest snapshot. A restart reads and applies that log before the process takes part, so
// it is kept short: to a few times the size of a snapshot. Below minLogBytes snapshots would cost more than they save.
const (
	minLogBytes        = 2 << 20 // bytes of log; 2 MiB
	logToSnapshotRatio = 3       // log bytes per byte of the newest snapshot
	minFreeSegments    = 4       // segments of the ring; with no more left a snapshot is due, however short the log
)

// snapshots knows how long the log behind the newest snapshot is, and what became of the last one from another member.
type snapshots struct {
	saving             bool // a snapshot is on its way to the disk
	logBytes           int  // entries applied since the newest snapshot
	newestBytes        int  // size of the newest snapshot
	freeSegments       int  // of the ring of log files
	receivedUnreadable bool // the last snapshot from another member could not be decoded
}

// due reports whether the log behind the newest snapshot has grown long.
func (s *snapshots) due() bool {
	return s.logBytes > max(minLogBytes, logToSnapshotRatio*s.newestBytes) || s.freeSegments <= minFreeSegments
}

// began notes that the log counts from a snapshot of so many bytes on.
func (s *snapshots) began(bytes int) { s.logBytes, s.newestBytes = 0, bytes }

// saveSnapshotIfDue saves a snapshot of the state once the log is long, one at a time. It waits until all that is
// committed is applied, so that the snapshot's index is the commit index.
func (s *Server) saveSnapshotIfDue() {
	if s.snapshots.saving || !s.snapshots.due() || s.replica.CommitIndex() != s.state.appliedIndex {
		return
	}
	s.snapshots.saving = true
	data := protocol.Encode(&s.state.fsm.State)
	index := s.state.appliedIndex
	s.snapshots.began(len(data))
	snapshot := &segment.Snapshot{Index: index, Epoch: s.replica.EpochAt(index), Data: data}
	s.disk.enqueue(diskWrite{snapshot: snapshot, onDurable: func() {
		s.snapshots.saving = false
		s.replica.Compact(index, data)
		s.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("snapshot saved")
	}})
}

// installSnapshot replaces the state by a snapshot from another member. One that can't be decoded is never made durable
// here, so this member stays incomplete; it reports itself as unhealthy, and the chain goes on without it.
func (s *Server) installSnapshot(snapshot *chain.Snapshot) {
	index := snapshot.Index
	s.snapshots.receivedUnreadable = !s.state.restore(index, snapshot.Data)
	if s.snapshots.receivedUnreadable {
		s.logger.Error().Uint64("index", index).
			Msg("a snapshot of another member can't be read; staying out of the chain: are all machines of one version?")
		return
	}
	s.snapshots.began(len(snapshot.Data))
	s.disk.enqueue(diskWrite{replacesLog: true,
		snapshot:  &segment.Snapshot{Index: index, Epoch: snapshot.IndexEpoch, Data: snapshot.Data},
		onDurable: func() { s.replica.SnapshotPersisted(index) }})
	s.disconnectDispatchers() // what they know may be behind the snapshot: a session's own snapshot brings them up to it
}
