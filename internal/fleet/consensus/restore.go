package consensus

// This file owns the restore of one keeper's folder from another's, where the majority is lost for good. It must write nothing
// without commit.

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/statemachine"
)

// RestoreReport is what came of a restore, for staff.
type RestoreReport struct {
	SourceMember                       uint64 // the member whose folder it was
	LastEntry, LastTerm                uint64 // the last one in it
	Version                            uint64 // of the policy that was in force by it, and
	RestoredVersion                    uint64 // under which it is now
	WithdrawnChange                    string // that was under way, and is withdrawn
	Generation                         uint64
	FormerMembers                      int    // there were before; they are none any more
	CommittedEntries, UncertainEntries uint64 // entries known to be agreed on, and beyond them
}

// Restore makes a folder of one keeper anew from a folder of another whose majority is lost
// for good. Nothing is written but with commit. What the lost ones acknowledged after the last
// entry of that folder is lost; versions go on skip further, so that none is used for two
// policies.
func Restore(cfg Config, from string, skip uint64, commit bool) (out RestoreReport, err error) {
	path := filepath.Join(from, fileName)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	old := &store{mem: raft.NewMemoryStorage()}
	if old.db, err = openFile(path, true); err != nil {
		return out, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, err)
	}
	defer old.close()
	if err := old.load(cfg.Fleet, 0); err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	hard, conf, _ := old.mem.InitialState()
	state := statemachine.New(cfg.State)
	snap, err := old.mem.Snapshot()
	if err == nil && !raft.IsEmptySnap(snap) {
		state, err = statemachine.Restore(snap.GetData())
	}
	if err != nil {
		return out, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, err)
	}
	first, _ := old.mem.FirstIndex()
	last, _ := old.mem.LastIndex()
	was := map[uint64]bool{}
	for _, id := range append(conf.GetVoters(), conf.GetLearners()...) {
		was[id] = true
	}
	var entries []*raftpb.Entry
	if last >= first {
		if entries, err = old.mem.Entries(first, last+1, 1<<62); err != nil {
			return out, err
		}
	}
	for _, e := range entries {
		if e.GetType() == raftpb.EntryType_EntryConfChange {
			cc := &raftpb.ConfChange{}
			if err := proto.Unmarshal(e.GetData(), cc); err != nil {
				return out, fmt.Errorf("%s: %w: entry %d: %v", path, ErrCorrupt, e.GetIndex(), err)
			}
			state.ApplyMemberChange(cc.GetNodeId(), string(cc.GetContext()), cc.GetType() == raftpb.ConfChangeType_ConfChangeRemoveNode)
			was[cc.GetNodeId()] = true
		} else if cmd, _, _, err := reword(e); err != nil {
			return out, fmt.Errorf("%s: %w", path, err)
		} else if cmd != nil {
			state.Apply(*cmd)
		}
	}
	term, err := old.mem.Term(last)
	if err != nil {
		return out, err
	}
	meta := func(tx *bbolt.Tx) error {
		got, err := unsealed(keyMember, tx.Bucket(bucketMeta).Get(keyMember))
		if err == nil {
			out.SourceMember = binary.BigEndian.Uint64(got)
		}
		return err
	}
	if err := old.db.View(meta); err != nil {
		return out, err
	}
	out.LastEntry, out.LastTerm, out.Version, out.FormerMembers = last, term, state.CurrentPolicy().Version, len(was)
	out.CommittedEntries, out.UncertainEntries = min(hard.GetCommit(), last), last-min(hard.GetCommit(), last)
	if ch := state.Change; ch != nil && ch.Stage < statemachine.InForce {
		out.WithdrawnChange = ch.ID
	}
	out.Generation = max(old.generation.Load(), 1) + 1
	delete(was, cfg.MemberID)
	state.ResetAfterRestore(fmt.Sprintf("restored from the folder of keeper %d, entry %d", out.SourceMember, last), skip, was)
	out.RestoredVersion = state.CurrentPolicy().Version
	if !commit {
		return out, nil
	}
	text, err := state.Snapshot()
	if err != nil {
		return out, err
	}
	s, err := open(cfg.Dir, cfg.Fleet, cfg.MemberID, true, false)
	if err != nil {
		return out, err
	}
	defer s.close()
	if err := s.belong(out.Generation); err != nil {
		return out, err
	}
	newTerm := max(hard.GetTerm(), term)
	return out, s.save(&raftpb.HardState{Term: &newTerm, Commit: &last}, nil,
		&raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{Index: &last, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{cfg.MemberID}}}}, true)
}
