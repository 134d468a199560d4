package server

import (
	"testing"

	"yardflow/coordination/chain"
)

// TestSnapshotIsDue checks that a snapshot is due when the log since the newest one is long, or the ring is nearly full,
// but not for a short log.
func TestSnapshotIsDue(t *testing.T) {
	const manySegments = 7
	for name, c := range map[string]struct {
		log, snapshot, segments int
		due                     bool
	}{
		"a short log":                          {minLogBytes - 1, 0, manySegments, false},
		"a long log":                           {minLogBytes + 1, 0, manySegments, true},
		"a log that is short for its snapshot": {2 * minLogBytes, minLogBytes, manySegments, false},
		"a log that is long for its snapshot":  {logToSnapshotRatio*minLogBytes + 1, minLogBytes, manySegments, true},
		"a short log with a full ring":         {0, 0, minFreeSegments, true},
		"a short log with space in the ring":   {0, 0, minFreeSegments + 1, false},
	} {
		s := &snapshots{logBytes: c.log, newestBytes: c.snapshot, freeSegments: c.segments}
		if got := s.isDue(); got != c.due {
			t.Errorf("%s: isDue returns %v", name, got)
		}
	}
}

// Regression test: a member that could not decode a snapshot counted as complete with the state that it had before.
func TestUnreadableSnapshotMakesTheMemberUnhealthy(t *testing.T) {
	s := newIdleServer(t)
	s.state.fsm.ClockTicks = 7
	s.installSnapshot(snapshotOf(9, []byte("no state")))
	if s.state.appliedIndex == 9 || s.state.fsm.ClockTicks != 7 || !s.isUnhealthy() {
		t.Errorf("applied index %d, unhealthy %v; want an unchanged state and an unhealthy member",
			s.state.appliedIndex, s.isUnhealthy())
	}
}

func snapshotOf(index uint64, data []byte) *chain.Snapshot {
	return &chain.Snapshot{Epoch: 1, Index: index, IndexEpoch: 1, Data: data}
}
