package server

import (
	"time"

	"yardflow/coordination/segment"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// headTick ends sessions of dispatchers that are out of touch, and lets the state age.
func (s *Server) headTick(now time.Duration) {
	for _, id := range s.connectedSessions() {
		s.lastSeen[id] = now
	}
	for id := range s.cluster.Sessions {
		if _, known := s.lastSeen[id]; !known {
			s.lastSeen[id] = now
		}
		last := max(s.lastSeen[id], s.viewInstalledAt+viewChangeGrace-sessionTimeout)
		brokenAt, isBroken := s.disconnectedAt[id]
		gone := isBroken && s.lastSeen[id] <= brokenAt && now-brokenAt > disconnectTimeout && now-s.viewInstalledAt > sessionTimeout
		if gone || now-last > sessionTimeout {
			delete(s.disconnectedAt, id)
			s.lastSeen[id] = now // asked for once
			s.logger.Info().Uint64("session", id).Str("node", s.cluster.Sessions[id].Node).Msg("session over: silent")
			s.submit(&statemachine.Command{CloseSession: &statemachine.CloseSession{Session: id}}, func(statemachine.Result) {})
		}
	}
	for id := range s.lastSeen {
		if s.cluster.Sessions[id] == nil && now-s.lastSeen[id] > sessionTimeout {
			delete(s.lastSeen, id)
			delete(s.disconnectedAt, id)
		}
	}
	if now-s.clockAdvancedAt >= clockInterval {
		s.clockAdvancedAt = now
		age := &statemachine.AdvanceClock{Tick: s.cluster.ClockTicks + 1}
		s.submit(&statemachine.Command{AdvanceClock: age}, func(statemachine.Result) {})
	}
}

// Bounds of the log behind the newest snapshot. A restart reads and applies that log before the process takes part,
// so it is kept short: to a few times what a snapshot takes, below which snapshots would cost more than they save.
const (
	minLogBytes        = 2 << 20 // bytes
	logToSnapshotRatio = 3       // times the size of the newest snapshot
	minFreeSegments    = 4       // segments of the ring that are left, whatever the log's length
)

// snapshotDue reports whether the log behind the newest snapshot has grown long.
func (s *Server) snapshotDue() bool {
	return s.logBytes > max(minLogBytes, logToSnapshotRatio*s.snapshotBytes) || s.freeSegments <= minFreeSegments
}

// saveSnapshotIfDue saves a snapshot once the log behind the last one is long.
func (s *Server) saveSnapshotIfDue() {
	if s.savingSnapshot || !s.snapshotDue() || s.replica.CommitIndex() != s.appliedIndex {
		return
	}
	s.savingSnapshot = true
	data := protocol.Encode(&s.cluster.State)
	index := s.appliedIndex
	s.logBytes, s.snapshotBytes = 0, len(data)
	snapshot := &segment.Snapshot{Index: index, Epoch: s.replica.EpochAt(index), Data: data}
	s.disk.enqueue(diskWrite{snapshot: snapshot, onDurable: func() {
		s.savingSnapshot = false
		s.replica.Compact(index, data)
		s.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("snapshot saved")
	}})
}
