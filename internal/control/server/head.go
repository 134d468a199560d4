package server

import (
	"time"

	"yardflow/coordination/segment"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// headTick ends sessions of dispatchers that are out of touch, and lets the state age.
func (s *Server) headTick(now time.Duration) {
	for _, id := range s.sessionsInTouch() {
		s.seen[id] = now
	}
	for id := range s.cluster.Sessions {
		if _, known := s.seen[id]; !known {
			s.seen[id] = now
		}
		last := max(s.seen[id], s.viewSince+sessionGrace-sessionTimeout)
		brokenAt, isBroken := s.broken[id]
		gone := isBroken && s.seen[id] <= brokenAt && now-brokenAt > brokenTimeout && now-s.viewSince > sessionTimeout
		if gone || now-last > sessionTimeout {
			delete(s.broken, id)
			s.seen[id] = now // asked for once
			s.logger.Info().Uint64("session", id).Str("node", s.cluster.Sessions[id].Node).Msg("session over: silent")
			s.submit(&statemachine.Command{CloseSession: &statemachine.CloseSession{Session: id}}, func(statemachine.Result) {})
		}
	}
	for id := range s.seen {
		if s.cluster.Sessions[id] == nil && now-s.seen[id] > sessionTimeout {
			delete(s.seen, id)
			delete(s.broken, id)
		}
	}
	if now-s.agedAt >= ageEvery {
		s.agedAt = now
		age := &statemachine.AdvanceClock{Tick: s.cluster.ClockTicks + 1}
		s.submit(&statemachine.Command{AdvanceClock: age}, func(statemachine.Result) {})
	}
}

// Bounds of the log behind the newest snapshot. A restart reads and applies that log before the process takes part,
// so it is kept short: to a few times what a snapshot takes, below which snapshots would cost more than they save.
const (
	logLeast     = 2 << 20 // bytes
	logSnapshots = 3       // times the size of the newest snapshot
	freeLeast    = 4       // segments of the ring that are left, whatever the log's length
)

// snapshotDue reports whether the log behind the newest snapshot has grown long.
func (s *Server) snapshotDue() bool {
	return s.logBytes > max(logLeast, logSnapshots*s.snapshotBytes) || s.freeSegments <= freeLeast
}

// compact saves a snapshot once the log behind the last one is long.
func (s *Server) compact() {
	if s.compacting || !s.snapshotDue() || s.replica.CommitIndex() != s.applied {
		return
	}
	s.compacting = true
	data := protocol.Encode(&s.cluster.State)
	index := s.applied
	s.logBytes, s.snapshotBytes = 0, len(data)
	snapshot := &segment.Snapshot{Index: index, Epoch: s.replica.EpochAt(index), Data: data}
	s.disk.add(diskJob{snapshot: snapshot, done: func() {
		s.compacting = false
		s.replica.Compact(index, data)
		s.logger.Info().Uint64("index", index).Int("bytes", len(data)).Msg("snapshot saved")
	}})
}
