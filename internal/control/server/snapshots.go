package server

import (
	"yardflow/coordination/chain"
	"yardflow/coordination/segment"
	"yardflow/internal/control/protocol"
)

// Limits of the log since the newest snapshot. A restart reads and applies that log before the process takes part, so the
// log is kept to a few times the size of a snapshot. Below minLogBytes, snapshots would cost more than they save.
const (
	minLogBytes        = 2 << 20 // bytes of log; 2 MiB
	logToSnapshotRatio = 3       // log bytes per byte of the newest snapshot
	minFreeSegments    = 4       // segments of the ring; when no more are free, a snapshot is due regardless of the log size
)

// snapshots tracks the size of the log since the newest snapshot, and whether the last snapshot from another member was
// readable.
type snapshots struct {
	saving             bool // a snapshot is being written to the disk
	logBytes           int  // bytes of the entries applied since the newest snapshot
	newestBytes        int  // bytes of the newest snapshot
	freeSegments       int  // free segments in the ring of log files
	receivedUnreadable bool // the last snapshot from another member could not be decoded
}

// isDue reports whether the log since the newest snapshot has exceeded its limits.
func (s *snapshots) isDue() bool {
	return s.logBytes > max(minLogBytes, logToSnapshotRatio*s.newestBytes) || s.freeSegments <= minFreeSegments
}

// resetLogSize sets the log size to 0 after a new snapshot of the given size.
func (s *snapshots) resetLogSize(snapshotBytes int) { s.logBytes, s.newestBytes = 0, snapshotBytes }

// saveSnapshotIfDue saves a snapshot of the state if one is due and none is being saved. It waits until all committed
// entries are applied, so that the snapshot's index is the commit index.
func (s *Server) saveSnapshotIfDue() {
	if s.snapshots.saving || !s.snapshots.isDue() || s.replica.CommitIndex() != s.state.appliedIndex {
		return
	}
	s.snapshots.saving = true
	data := protocol.Encode(&s.state.fsm.State)
	index := s.state.appliedIndex
	s.snapshots.resetLogSize(len(data))
	snapshot := &segment.Snapshot{Index: index, Epoch: s.replica.EpochAt(index), Data: data}
	s.disk.enqueue(diskWrite{snapshot: snapshot, onDurable: func() {
		s.snapshots.saving = false
		s.replica.Compact(index, data)
		s.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("snapshot saved")
	}})
}

// installSnapshot replaces the state with a snapshot from another member. If the snapshot can't be decoded, it is not
// persisted and this member stays incomplete: the member reports itself as unhealthy, and the chain continues without it.
func (s *Server) installSnapshot(snapshot *chain.Snapshot) {
	index := snapshot.Index
	s.snapshots.receivedUnreadable = !s.state.restore(index, snapshot.Data)
	if s.snapshots.receivedUnreadable {
		s.logger.Error().Uint64("index", index).
			Msg("a snapshot of another member can't be read; staying out of the chain: are all machines of one version?")
		return
	}
	s.snapshots.resetLogSize(len(snapshot.Data))
	s.disk.enqueue(diskWrite{replacesLog: true,
		snapshot:  &segment.Snapshot{Index: index, Epoch: snapshot.IndexEpoch, Data: snapshot.Data},
		onDurable: func() { s.replica.SnapshotPersisted(index) }})
	s.disconnectDispatchers() // their state may be older than the snapshot; after reconnecting they get the current state
}
