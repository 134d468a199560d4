package consensus

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

func openSingleNode(t *testing.T, dir string, fresh bool, change func(*Config)) (*Node, error) {
	t.Helper()
	c := Config{Fleet: "f", MemberID: 1, InitialMembers: map[uint64]string{1: "127.0.0.1:1"}, Dir: dir, Bootstrap: fresh, TickInterval: 5 * time.Millisecond, SnapshotEntries: 20,
		State: statemachine.Config{LeaseDuration: time.Second, VoteTimeout: time.Second, PolicyHistory: 100}, Log: func(string) {}}
	if change != nil {
		change(&c)
	}
	return Open(c)
}

func propose(t *testing.T, node *Node, n int) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	for {
		one, end := context.WithTimeout(ctx, time.Second)
		r, err := node.Do(one, statemachine.Command{Proposal: &statemachine.Proposal{ID: fmt.Sprint("c", n), Text: fmt.Append(nil, "attempts = ", n), BaseVersion: uint64(n - 1)}})
		end()
		if err == nil && r.Err == "" {
			return
		}
		if ctx.Err() != nil || r.Err != "" {
			t.Fatal(err, r.Err)
		}
	}
}

func currentVersion(t *testing.T, node *Node) (v uint64) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	if err := node.Read(ctx, func(s *statemachine.State) { v = s.CurrentPolicy().Version }); err != nil {
		t.Fatal(err)
	}
	return v
}

// What was answered is there after a restart, by the log and by a snapshot, whichever holds it;
// the log gives way to snapshots and does not grow for good.
func TestRestartKeepsAcknowledgedState(t *testing.T) {
	dir := t.TempDir()
	node, err := openSingleNode(t, dir, true, nil)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for range 3 {
		for range 150 {
			n++
			propose(t, node, n)
		}
		if err := node.Close(); err != nil {
			t.Fatal(err)
		}
		db, err := bbolt.Open(filepath.Join(dir, dataFileName), 0o600, &bbolt.Options{ReadOnly: true})
		if err != nil {
			t.Fatal(err)
		}
		kept := 0
		if err := db.View(func(tx *bbolt.Tx) error { kept = tx.Bucket(bucketLog).Stats().KeyN; return nil }); err != nil {
			t.Fatal(err)
		}
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
		if most := 20 + retainedEntries + 10; kept > most {
			t.Errorf("%d entries are kept, want %d at most", kept, most)
		}
		if node, err = openSingleNode(t, dir, false, nil); err != nil {
			t.Fatal(err)
		}
		if v := currentVersion(t, node); v != uint64(n) {
			t.Fatalf("version %d after a restart, want %d", v, n)
		}
	}
	closeNode(t, node)
}

func closeNode(t *testing.T, node *Node) {
	t.Helper()
	if err := node.Close(); err != nil {
		t.Error(err)
	}
}

func closeStore(t *testing.T, s *store) {
	t.Helper()
	if err := s.close(); err != nil {
		t.Error(err)
	}
}

// A folder that is missing, damaged, in use or another member's is refused, and stays as it was.
func TestForeignOrDamagedFolderIsRefused(t *testing.T) {
	dir := t.TempDir()
	if _, err := openSingleNode(t, dir, false, nil); !errors.Is(err, ErrNoData) {
		t.Errorf("empty: %v", err)
	}
	node, err := openSingleNode(t, dir, true, nil)
	if err != nil {
		t.Fatal(err)
	}
	propose(t, node, 1)
	if _, err := openSingleNode(t, dir, false, nil); err == nil {
		t.Error("a folder that is in use is opened")
	}
	closeNode(t, node)
	file := filepath.Join(dir, dataFileName)
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		change func(*Config)
		want   error
	}{"new": {func(c *Config) { c.Bootstrap = true }, ErrAlreadyInitialized}, "another fleet's": {func(c *Config) { c.Fleet = "g" }, ErrOtherOwner},
		"another member's": {func(c *Config) { c.MemberID, c.InitialMembers = 2, map[uint64]string{2: "h:1"} }, ErrOtherOwner}} {
		if _, err := openSingleNode(t, dir, false, c.change); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, text := range map[string][]byte{"torn": whole[:len(whole)/2], "cut to a page": whole[:4096], "no folder's file": []byte("hello"), "of zeros": make([]byte, len(whole))} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		if node, err := openSingleNode(t, dir, false, nil); err == nil {
			closeNode(t, node)
			t.Errorf("%s: it is opened", name)
		} else if !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: %v", name, err)
		}
		if after, _ := os.ReadFile(file); len(after) != len(text) {
			t.Errorf("%s: it was changed", name)
		}
	}
	if err := os.WriteFile(file, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if node, err = openSingleNode(t, dir, false, nil); err != nil || currentVersion(t, node) != 1 {
		t.Errorf("whole again: %v", err)
	}
	closeNode(t, node)
}

// A node that is the only member writes its commit index later than it acknowledges commands. Killed in between, it
// has all entries and an older commit index. A read right after its restart sees what it had acknowledged all the same.
func TestSingleNodeReadsNothingStaleAfterRestart(t *testing.T) {
	dir := t.TempDir()
	node, err := openSingleNode(t, dir, true, nil)
	if err != nil {
		t.Fatal(err)
	}
	const n = 12
	for i := range n {
		propose(t, node, i+1)
	}
	if err := node.Close(); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		s, err := openStore(dir, "f", 1, openExisting)
		if err != nil {
			t.Fatal(err)
		}
		hard, _, _ := s.memory.InitialState()
		hard = proto.Clone(hard).(*raftpb.HardState)
		hard.Commit = new(max(hard.GetCommit(), 8) - 5)
		if err := s.save(hard, nil, nil, true); err != nil {
			t.Fatal(err)
		}
		closeStore(t, s)
		if node, err = openSingleNode(t, dir, false, nil); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		for range 400 { // so that some come in the moment between its election and its first entry
			wg.Go(func() {
				for read := false; !read && !t.Failed(); {
					ctx, stop := context.WithTimeout(t.Context(), 5*time.Millisecond)
					err := node.Read(ctx, func(s *statemachine.State) {
						if v := s.CurrentPolicy().Version; v != n {
							t.Errorf("version %d is read after a restart, %d was acknowledged", v, n)
						}
					})
					stop()
					read = err == nil
				}
			})
		}
		wg.Wait()
		closeNode(t, node)
	}
}

// compactWithStaleCommit compacts a node's folder while the folder's commit index is older than the one in memory, as it
// is while commit indexes wait for the next write that has to be synced.
func compactWithStaleCommit(t *testing.T, dir string, compact func(s *store, index uint64, conf *raftpb.ConfState, state []byte) error) {
	t.Helper()
	node, err := openSingleNode(t, dir, true, nil)
	if err != nil {
		t.Fatal(err)
	}
	propose(t, node, 1)
	propose(t, node, 2)
	if err := node.Close(); err != nil {
		t.Fatal(err)
	}
	state, err := node.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	conf, applied := node.loop.confState, node.applied
	s, err := openStore(dir, "f", 1, openExisting)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore(t, s)
	hard, _, _ := s.memory.InitialState()
	synced := proto.Clone(hard).(*raftpb.HardState)
	synced.Commit = new(uint64(1))
	if err := s.save(synced, nil, nil, true); err != nil {
		t.Fatal(err)
	}
	agreed := proto.Clone(hard).(*raftpb.HardState)
	agreed.Commit = new(applied)
	if err := s.save(agreed, nil, nil, false); err != nil {
		t.Fatal(err)
	}
	if err := compact(s, applied, conf, state); err != nil {
		t.Fatal(err)
	}
}

// assertRestarts checks that a node with two versions of the policy starts from its folder.
func assertRestarts(t *testing.T, dir string) {
	t.Helper()
	node, err := openSingleNode(t, dir, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNode(t, node)
	if v := currentVersion(t, node); v != 2 {
		t.Errorf("version %d after a restart, want 2", v)
	}
}

// A node that is killed right behind a compaction starts again, though the commit index that it had synced before is
// older than the snapshot: raft ends the process where a folder's commit index lies before its snapshot.
func TestNodeKilledAfterCompactionRestarts(t *testing.T) {
	dir := t.TempDir()
	compactWithStaleCommit(t, dir, func(s *store, index uint64, conf *raftpb.ConfState, state []byte) error {
		return s.compact(index, conf, state, retainedEntries)
	})
	s, err := openStore(dir, "f", 1, openExisting)
	if err != nil {
		t.Fatal(err)
	}
	text, err := syncedHardState(s)
	closeStore(t, s)
	if err != nil {
		t.Fatal(err)
	}
	if text.GetCommit() < 3 {
		t.Errorf("the folder's commit index is %d behind a compaction: older than its snapshot", text.GetCommit())
	}
	assertRestarts(t, dir)
}

// syncedHardState reads the hard state as the folder has it, not as it is mended on reading.
func syncedHardState(s *store) (*raftpb.HardState, error) {
	hard := &raftpb.HardState{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		return decodeRecord(keyHardState, tx.Bucket(bucketMeta).Get(keyHardState), hard)
	})
	return hard, err
}

// A folder that an earlier version left with a commit index older than its snapshot is opened: what a snapshot holds was
// agreed on.
func TestFolderWithStaleCommitIndexIsOpened(t *testing.T) {
	dir := t.TempDir()
	compactWithStaleCommit(t, dir, func(s *store, index uint64, conf *raftpb.ConfState, state []byte) error {
		snap, err := s.memory.CreateSnapshot(index, conf, state)
		if err != nil {
			return err
		}
		return s.db.Update(func(tx *bbolt.Tx) error {
			text, err := encodeRecord(keySnapshot, snap)
			if err != nil {
				return err
			}
			return tx.Bucket(bucketMeta).Put(keySnapshot, text)
		})
	})
	assertRestarts(t, dir)
}

// A change of the members counts as applied once the leader shows what it asked for, and a removal not while its member is
// still shown: whoever asked would start the next step too soon.
func TestMemberChangeIsAppliedOnceItShows(t *testing.T) {
	voter, learner := statemachine.Member{ID: 2}, statemachine.Member{ID: 2, Learner: true}
	for _, c := range []struct {
		name   string
		kind   raftpb.ConfChangeType
		member statemachine.Member
		exists bool
		want   bool
	}{
		{"a removal, the voter is shown", raftpb.ConfChangeType_ConfChangeRemoveNode, voter, true, false},
		{"a removal, the learner is shown", raftpb.ConfChangeType_ConfChangeRemoveNode, learner, true, false},
		{"a removal, nobody is shown", raftpb.ConfChangeType_ConfChangeRemoveNode, statemachine.Member{}, false, true},
		{"a learner to be added, nobody is shown", raftpb.ConfChangeType_ConfChangeAddLearnerNode, statemachine.Member{}, false, false},
		{"a learner to be added, it is shown", raftpb.ConfChangeType_ConfChangeAddLearnerNode, learner, true, true},
		{"a learner to be promoted, it still learns", raftpb.ConfChangeType_ConfChangeAddNode, learner, true, false},
		{"a learner to be promoted, it votes", raftpb.ConfChangeType_ConfChangeAddNode, voter, true, true},
	} {
		if got := isApplied(c.kind, c.member, c.exists); got != c.want {
			t.Errorf("%s: applied %v", c.name, got)
		}
	}
}
