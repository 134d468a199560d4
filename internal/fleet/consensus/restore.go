package consensus

import (
	"encoding/binary"
	"fmt"
	"math"
	"path/filepath"
	"runtime/debug"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yardflow/internal/fleet/statemachine"
)

// RestoreReport says what a restore has done, or would do.
type RestoreReport struct {
	SourceMember        uint64 // whose folder it was
	LastEntry, LastTerm uint64 // index and term of the latest entry in it
	Version             uint64 // of the policy in force by that folder
	RestoredVersion     uint64 // of the same policy from now on
	WithdrawnChange     string // id of the change that was under way; empty: none was
	Generation          uint64 // of the restored member
	FormerMembers       int    // which are removed
	CommittedEntries    uint64 // entries known to be committed
	UncertainEntries    uint64 // entries behind those, which are taken as if they were
}

// Restore makes a folder for the one member of cfg from another member's folder, where a majority is lost for good; it
// writes nothing unless commit is set. The folder from must not be in use. What the lost members acknowledged behind
// its last entry is lost; versions go on skip further, so that none is ever used for two policies.
func Restore(cfg Config, from string, skip uint64, commit bool) (report RestoreReport, err error) {
	// See openStore: a file that is cut short is to be an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	b, err := readBackup(cfg, filepath.Join(from, dataFileName))
	if err != nil {
		return report, err
	}
	committed := min(b.hardState.GetCommit(), b.last)
	report = RestoreReport{SourceMember: b.member, LastEntry: b.last, LastTerm: b.lastTerm, Version: b.state.CurrentPolicy().Version,
		Generation: max(b.generation, firstGeneration) + 1, FormerMembers: len(b.members),
		CommittedEntries: committed, UncertainEntries: b.last - committed}
	if change := b.state.Change; change != nil && change.Stage < statemachine.InForce {
		report.WithdrawnChange = change.ID
	}
	delete(b.members, cfg.MemberID)
	b.state.ResetAfterRestore(fmt.Sprintf("restored from the folder of keeper %d, entry %d", b.member, b.last), skip, b.members)
	report.RestoredVersion = b.state.CurrentPolicy().Version
	if !commit {
		return report, nil
	}
	return report, b.write(cfg, report.Generation)
}

// backup is what a folder holds.
type backup struct {
	member     uint64
	generation uint64
	hardState  *raftpb.HardState
	last       uint64 // index of the latest entry
	lastTerm   uint64
	state      *statemachine.State // with all entries applied, committed or not
	members    map[uint64]bool     // those of the membership, and those that the log names
}

// readBackup reads a folder of the fleet of cfg, whosever it is.
func readBackup(cfg Config, path string) (*backup, error) {
	db, err := openDatabase(path, true)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	s := &store{db: db, memory: raft.NewMemoryStorage()}
	defer func() { _ = s.close() }() // it was only read
	b := &backup{state: statemachine.New(cfg.State)}
	if err = s.load(owner{fleet: cfg.Fleet}); err == nil {
		err = b.read(s)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// read takes over what a store has loaded.
func (b *backup) read(s *store) error {
	hardState, confState, err := s.memory.InitialState()
	if err != nil {
		return err
	}
	b.hardState, b.generation = hardState, s.generation.Load()
	b.members = map[uint64]bool{}
	for _, id := range append(confState.GetVoters(), confState.GetLearners()...) {
		b.members[id] = true
	}
	snapshot, err := s.memory.Snapshot()
	if err == nil && !raft.IsEmptySnap(snapshot) {
		b.state, err = statemachine.Restore(snapshot.GetData())
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err := b.applyLog(s.memory); err != nil {
		return err
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		member, err := verifyChecksum(keyMember, tx.Bucket(bucketMeta).Get(keyMember))
		if err == nil {
			b.member = binary.BigEndian.Uint64(member)
		}
		return err
	})
}

// applyLog applies all entries of the log to the state.
func (b *backup) applyLog(memory *raft.MemoryStorage) (err error) {
	first, _ := memory.FirstIndex() // a memory store returns no errors here
	b.last, _ = memory.LastIndex()
	if b.lastTerm, err = memory.Term(b.last); err != nil {
		return err
	}
	if b.last < first {
		return nil
	}
	entries, err := memory.Entries(first, b.last+1, math.MaxUint64)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := b.applyEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (b *backup) applyEntry(entry *raftpb.Entry) error {
	if entry.GetType() == raftpb.EntryType_EntryConfChange {
		change, err := decodeConfChange(entry)
		if err != nil {
			return err
		}
		b.state.ApplyMemberChange(change.GetNodeId(), string(change.GetContext()), isRemoval(change))
		b.members[change.GetNodeId()] = true
		return nil
	}
	proposal, err := decodeProposal(entry)
	if err == nil && proposal != nil {
		b.state.Apply(proposal.command)
	}
	return err
}

// write makes the folder of cfg, with the state as its snapshot and its member as the only one.
func (b *backup) write(cfg Config, generation uint64) error {
	state, err := b.state.Snapshot()
	if err != nil {
		return err
	}
	s, err := openStore(cfg.Dir, cfg.Fleet, cfg.MemberID, createJoining)
	if err != nil {
		return err
	}
	defer func() { _ = s.close() }() // what was written is synced
	if err := s.joinGeneration(generation); err != nil {
		return err
	}
	term := max(b.hardState.GetTerm(), b.lastTerm)
	metadata := &raftpb.SnapshotMetadata{Index: &b.last, Term: &b.lastTerm, ConfState: &raftpb.ConfState{Voters: []uint64{cfg.MemberID}}}
	return s.save(&raftpb.HardState{Term: &term, Commit: &b.last}, nil, &raftpb.Snapshot{Data: state, Metadata: metadata}, true)
}
