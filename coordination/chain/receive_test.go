package chain

import "testing"

// TestSnapshotTakesNoEntryAway guards against a member that drops its newest entries because its predecessor sends a snapshot
// that its own log contains: they may be committed, and nobody else may be left that has them.
func TestSnapshotTakesNoEntryAway(t *testing.T) {
	const me, predecessor = 2, 1
	entries := []Entry{{Index: 1, Epoch: 1}, {Index: 2, Epoch: 1}, {Index: 3, Epoch: 1}}
	r := New(me, 2, Snapshot{}, entries, 0)
	r.SetView(View{Epoch: 2, Members: []MemberID{predecessor, me}})
	r.Receive(predecessor, &Message{Snapshot: &Snapshot{Epoch: 2, Index: 2, IndexEpoch: 1}})
	ready := r.Ready()
	if r.LastIndex() != 3 || ready.Snapshot != nil {
		t.Errorf("the last entry is %d, snapshot to install %v; want 3 and none", r.LastIndex(), ready.Snapshot)
	}
	if r.CommitIndex() != 2 || len(ready.CommittedEntries) != 2 {
		t.Errorf("%d entries committed up to %d, want the 2 that the snapshot covers", len(ready.CommittedEntries), r.CommitIndex())
	}
	r.Receive(predecessor, &Message{Snapshot: &Snapshot{Epoch: 2, Index: 4, IndexEpoch: 2}})
	if ready := r.Ready(); r.LastIndex() != 4 || ready.Snapshot == nil {
		t.Errorf("the last entry is %d, snapshot to install %v; want the snapshot that the log lacks", r.LastIndex(), ready.Snapshot)
	}
}
