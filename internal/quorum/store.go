package quorum

// This file owns a keeper's folder: the log, the hard state and the latest snapshot, in one
// bbolt file. Each record carries a checksum. What is damaged, or another fleet's or keeper's,
// is reported and refused; nothing is ever made anew in silence, since a keeper that forgets
// what it has voted for may break what others rely on.

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linnetlift/internal/keeper"
)

const (
	fileName = "keeper.db"
	formatV1 = "yardflow keeper 1"
	openWait = time.Second // for the lock of a process that has just ended
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")

	keyFormat   = []byte("format")
	keyFleet    = []byte("fleet")
	keyMember   = []byte("member")
	keyHard     = []byte("hard")
	keySnapshot = []byte("snapshot")
	keyGen      = []byte("generation")
)

// The errors of a folder.
var (
	ErrEmpty   = errors.New("the folder holds no keeper: start it with --new if it never was one; a keeper that lost its folder is taken out and comes in again as another member")
	ErrTaken   = errors.New("the folder holds a keeper already: start it without --new")
	ErrForeign = errors.New("the folder is another's")
	ErrOlder   = errors.New("the folder is an older copy: take this keeper out and let another member come in")
	ErrDamaged = errors.New("the folder is damaged: take this keeper out and let another member come in, or restore a majority from a snapshot")
)

type store struct {
	db  *bbolt.DB
	mem *raft.MemoryStorage

	late bool // the hard state in memory is newer than the folder's, by how far is agreed on alone

	// generation tells keepers from those of before a restore, whose words are void: 1 and up; 0
	// in one that joins and has heard of nobody yet.
	generation atomic.Uint64
	mu         sync.Mutex // of belong
}

// sealed puts a checksum before a record, by its key, so that one in another's place shows.
func sealed(key, record []byte) []byte {
	h := xxhash.New()
	h.Write(key)
	h.Write(record)
	return append(binary.LittleEndian.AppendUint64(nil, h.Sum64()), record...)
}

func unsealed(key, text []byte) ([]byte, error) {
	if len(text) < 8 || !bytes.Equal(sealed(key, text[8:])[:8], text[:8]) {
		return nil, fmt.Errorf("%w: record %q", ErrDamaged, key)
	}
	return text[8:], nil
}

func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// open opens a member's folder, or makes it where fresh says that it is new; first, of the first
// keepers, whose generation is 1.
func open(dir, fleet string, member uint64, fresh, first bool) (*store, error) {
	path := filepath.Join(dir, fileName)
	_, err := os.Stat(path)
	switch {
	case err == nil && fresh:
		return nil, fmt.Errorf("%s: %w", dir, ErrTaken)
	case errors.Is(err, os.ErrNotExist) && !fresh:
		return nil, fmt.Errorf("%s: %w", dir, ErrEmpty)
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return nil, err
	}
	if fresh {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	// The file is mapped: where it ends before what it says it holds, reading there is a fault of
	// the processor, which is to be an error like any other damage.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := openFile(path, false)
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %v", path, ErrDamaged, err)
	}
	s := &store{db: db, mem: raft.NewMemoryStorage()}
	if fresh {
		err = s.make(fleet, member)
	} else {
		err = s.load(fleet, member)
	}
	if err == nil && fresh && first {
		err = s.belong(1)
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// openFile opens a bbolt file; what it panics at is an error, and its lock is given back.
func openFile(path string, readOnly bool) (db *bbolt.DB, err error) {
	var file *os.File
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
			if file != nil {
				syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // what is still mapped would keep it
				file.Close()
			}
		}
	}()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openWait, ReadOnly: readOnly, OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
		f, err = os.OpenFile(name, flag, mode)
		file = f
		return f, err
	}})
}

func (s *store) make(fleet string, member uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		for _, kv := range [][2][]byte{{keyFormat, []byte(formatV1)}, {keyFleet, []byte(fleet)}, {keyMember, logKey(member)}, {keyGen, logKey(0)}} {
			if err := meta.Put(kv[0], sealed(kv[0], kv[1])); err != nil {
				return err
			}
		}
		return nil
	})
}

// belong makes this folder one of a generation's.
func (s *store) belong(generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.generation.Load(); own != 0 || generation == 0 {
		if own == generation {
			return nil
		}
		return fmt.Errorf("of generation %d, not %d", own, generation)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketMeta).Put(keyGen, sealed(keyGen, logKey(generation)))
	})
	if err == nil {
		s.generation.Store(generation)
	}
	return err
}

// load reads a folder whole, each record checked, into the memory that raft reads from.
func (s *store) load(fleet string, member uint64) (err error) {
	defer func() { // a torn page can be anything to its reader
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, r)
		}
	}()
	own := logKey(member)
	if member == 0 { // whosever it is
		own = nil
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		if file, err := os.Stat(s.db.Path()); err != nil || file.Size() < tx.Size() {
			return fmt.Errorf("%w: it ends before byte %d", ErrDamaged, tx.Size())
		}
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return fmt.Errorf("%w: no such parts in it", ErrDamaged)
		}
		for _, want := range []struct {
			key  []byte
			is   []byte
			word string
		}{{keyFormat, []byte(formatV1), "form"}, {keyFleet, []byte(fleet), "fleet"}, {keyMember, own, "member"}} {
			got, err := unsealed(want.key, meta.Get(want.key))
			if err != nil {
				return err
			}
			if !bytes.Equal(got, want.is) && want.is != nil {
				return fmt.Errorf("%w: its %s is %q, this keeper's %q", ErrForeign, want.word, got, want.is)
			}
		}
		s.generation.Store(1) // of folders from before there were others
		if text := meta.Get(keyGen); text != nil {
			got, err := unsealed(keyGen, text)
			if err != nil || len(got) != 8 {
				return fmt.Errorf("%w: its generation: %v", ErrDamaged, err)
			}
			s.generation.Store(binary.BigEndian.Uint64(got))
		}
		if text := meta.Get(keySnapshot); text != nil {
			snap := &raftpb.Snapshot{}
			if err := unpack(keySnapshot, text, snap); err != nil {
				return err
			}
			if err := s.mem.ApplySnapshot(snap); err != nil {
				return err
			}
		}
		if text := meta.Get(keyHard); text != nil {
			hard := &raftpb.HardState{}
			if err := unpack(keyHard, text, hard); err != nil {
				return err
			}
			s.mem.SetHardState(hard)
		}
		first, _ := s.mem.FirstIndex()
		if err := s.commitAtLeast(first - 1); err != nil {
			return err
		}
		next := first
		return log.ForEach(func(k, v []byte) error {
			index := binary.BigEndian.Uint64(k)
			if index < first {
				return nil // within the snapshot: left by an end between two steps
			}
			e := &raftpb.Entry{}
			if err := unpack(k, v, e); err != nil {
				return err
			}
			if index != next || e.GetIndex() != index {
				return fmt.Errorf("%w: entry %d where %d is due", ErrDamaged, index, next)
			}
			next++
			return s.mem.Append([]*raftpb.Entry{e})
		})
	})
}

// commitAtLeast raises the commit index in memory to that of the snapshot, which holds nothing but what was agreed on.
// Folders of earlier versions may have a snapshot that is newer than their commit index, and raft takes no such folder.
func (s *store) commitAtLeast(index uint64) error {
	hard, _, err := s.mem.InitialState()
	if err != nil || hard.GetCommit() >= index {
		return err
	}
	raised := proto.Clone(hard).(*raftpb.HardState)
	raised.Commit = &index
	return s.mem.SetHardState(raised)
}

// Restored is what came of a restore, for staff.
type Restored struct {
	From             uint64 // the member whose folder it was
	Entry, Term      uint64 // the last one in it
	Version          uint64 // of the policy that was in force by it, and
	As               uint64 // under which it is now
	Change           string // that was under way, and is withdrawn
	Generation       uint64
	Members          int    // there were before; they are none any more
	Acked, Uncertain uint64 // entries known to be agreed on, and beyond them
}

// Restore makes a folder of one keeper anew from a folder of another whose majority is lost
// for good. Nothing is written but with commit. What the lost ones acknowledged after the last
// entry of that folder is lost; versions go on skip further, so that none is used for two
// policies.
func Restore(cfg Config, from string, skip uint64, commit bool) (out Restored, err error) {
	path := filepath.Join(from, fileName)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	old := &store{mem: raft.NewMemoryStorage()}
	if old.db, err = openFile(path, true); err != nil {
		return out, fmt.Errorf("%s: %w: %v", path, ErrDamaged, err)
	}
	defer old.close()
	if err := old.load(cfg.Fleet, 0); err != nil {
		return out, fmt.Errorf("%s: %w", path, err)
	}
	hard, conf, _ := old.mem.InitialState()
	state := keeper.New(cfg.State)
	snap, err := old.mem.Snapshot()
	if err == nil && !raft.IsEmptySnap(snap) {
		state, err = keeper.Restore(snap.GetData())
	}
	if err != nil {
		return out, fmt.Errorf("%s: %w: %v", path, ErrDamaged, err)
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
				return out, fmt.Errorf("%s: %w: entry %d: %v", path, ErrDamaged, e.GetIndex(), err)
			}
			state.Member(cc.GetNodeId(), string(cc.GetContext()), cc.GetType() == raftpb.ConfChangeType_ConfChangeRemoveNode)
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
			out.From = binary.BigEndian.Uint64(got)
		}
		return err
	}
	if err := old.db.View(meta); err != nil {
		return out, err
	}
	out.Entry, out.Term, out.Version, out.Members = last, term, state.InForce().Version, len(was)
	out.Acked, out.Uncertain = min(hard.GetCommit(), last), last-min(hard.GetCommit(), last)
	if ch := state.Change; ch != nil && ch.Stage < keeper.InForce {
		out.Change = ch.ID
	}
	out.Generation = max(old.generation.Load(), 1) + 1
	delete(was, cfg.Member)
	state.Restored(fmt.Sprintf("restored from the folder of keeper %d, entry %d", out.From, last), skip, was)
	out.As = state.InForce().Version
	if !commit {
		return out, nil
	}
	text, err := state.Snapshot()
	if err != nil {
		return out, err
	}
	s, err := open(cfg.Dir, cfg.Fleet, cfg.Member, true, false)
	if err != nil {
		return out, err
	}
	defer s.close()
	if err := s.belong(out.Generation); err != nil {
		return out, err
	}
	newTerm := max(hard.GetTerm(), term)
	return out, s.save(&raftpb.HardState{Term: &newTerm, Commit: &last}, nil,
		&raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{Index: &last, Term: &term, ConfState: &raftpb.ConfState{Voters: []uint64{cfg.Member}}}}, true)
}

// reword reads an entry's command, and who proposed it; nil: it has none.
func reword(e *raftpb.Entry) (cmd *keeper.Command, life, n uint64, err error) {
	text := e.GetData()
	if len(text) == 0 {
		return nil, 0, 0, nil // a leader's first
	}
	if len(text) < 16 {
		return nil, 0, 0, fmt.Errorf("%w: entry %d is cut off", ErrDamaged, e.GetIndex())
	}
	cmd = &keeper.Command{}
	if err := keeper.Decode(text[16:], cmd); err != nil {
		return nil, 0, 0, fmt.Errorf("%w: entry %d: %v", ErrDamaged, e.GetIndex(), err)
	}
	return cmd, binary.LittleEndian.Uint64(text), binary.LittleEndian.Uint64(text[8:]), nil
}

func unpack(key, text []byte, into proto.Message) error {
	record, err := unsealed(key, text)
	if err == nil {
		err = proto.Unmarshal(record, into)
	}
	return err
}

func pack(key []byte, m proto.Message) ([]byte, error) {
	record, err := proto.Marshal(m)
	return sealed(key, record), err
}

// save makes what raft hands over durable, in one step, and then readable. Where raft needs it
// not (must), how far is agreed on waits for the next one: the others tell it again.
func (s *store) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot, must bool) error {
	if !must && len(entries) == 0 && raft.IsEmptySnap(snap) {
		if !raft.IsEmptyHardState(hard) {
			s.mem.SetHardState(hard)
			s.late = true
		}
		return nil
	}
	if raft.IsEmptyHardState(hard) && s.late {
		hard, _, _ = s.mem.InitialState()
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if !raft.IsEmptySnap(snap) {
			text, err := pack(keySnapshot, snap)
			if err != nil {
				return err
			}
			if err := meta.Put(keySnapshot, text); err != nil {
				return err
			}
			if err := cut(log, snap.GetMetadata().GetIndex()+1); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(hard) {
			if err := putHardState(meta, hard); err != nil {
				return err
			}
		}
		if len(entries) == 0 {
			return nil
		}
		// What follows the last one written is another leader's, and void.
		c := log.Cursor()
		for k, _ := c.Seek(logKey(entries[len(entries)-1].GetIndex() + 1)); k != nil; k, _ = c.Next() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		for _, e := range entries {
			k := logKey(e.GetIndex())
			text, err := pack(k, e)
			if err != nil {
				return err
			}
			if err := log.Put(k, text); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snap) {
		if err := s.mem.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(hard) {
		s.mem.SetHardState(hard)
	}
	s.late = false
	return s.mem.Append(entries)
}

// cut takes out the entries before one.
func cut(log *bbolt.Bucket, before uint64) error {
	c := log.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func putHardState(meta *bbolt.Bucket, hard *raftpb.HardState) error {
	text, err := pack(keyHard, hard)
	if err != nil {
		return err
	}
	return meta.Put(keyHard, text)
}

// compact puts a snapshot in the place of the log up to an index, but for the last few
// entries: a follower a little behind is not sent the whole state for them. The commit index goes
// with it: a folder in which it is older than the snapshot is not taken at the next start.
func (s *store) compact(index uint64, conf *raftpb.ConfState, state []byte, keep uint64) error {
	snap, err := s.mem.CreateSnapshot(index, conf, state)
	if err != nil {
		return err
	}
	hard, _, err := s.mem.InitialState()
	if err != nil {
		return err
	}
	from := index - min(index, keep)
	err = s.db.Update(func(tx *bbolt.Tx) error {
		text, err := pack(keySnapshot, snap)
		if err != nil {
			return err
		}
		meta := tx.Bucket(bucketMeta)
		if err := meta.Put(keySnapshot, text); err != nil {
			return err
		}
		if err := putHardState(meta, hard); err != nil {
			return err
		}
		return cut(tx.Bucket(bucketLog), index+1) // read again, the log begins behind the snapshot
	})
	if err != nil {
		return err
	}
	s.late = false
	if first, _ := s.mem.FirstIndex(); from >= first {
		return s.mem.Compact(from)
	}
	return nil
}

func (s *store) close() error { return s.db.Close() }
