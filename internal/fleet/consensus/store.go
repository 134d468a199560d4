package consensus

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

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
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
	ErrNoData             = errors.New("the folder holds no keeper: start it with --new if it never was one; a keeper that lost its folder is taken out and comes in again as another member")
	ErrAlreadyInitialized = errors.New("the folder holds a keeper already: start it without --new")
	ErrOtherOwner         = errors.New("the folder is another's")
	ErrOutdatedCopy       = errors.New("the folder is an older copy: take this keeper out and let another member come in")
	ErrCorrupt            = errors.New("the folder is damaged: take this keeper out and let another member come in, or restore a majority from a snapshot")
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

// open opens a member's folder, or makes it where fresh says that it is new; first, of the first
// keepers, whose generation is 1.
func open(dir, fleet string, member uint64, fresh, first bool) (*store, error) {
	path := filepath.Join(dir, fileName)
	_, err := os.Stat(path)
	switch {
	case err == nil && fresh:
		return nil, fmt.Errorf("%s: %w", dir, ErrAlreadyInitialized)
	case errors.Is(err, os.ErrNotExist) && !fresh:
		return nil, fmt.Errorf("%s: %w", dir, ErrNoData)
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
		return nil, fmt.Errorf("%s: %w: %v", path, ErrCorrupt, err)
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
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	own := logKey(member)
	if member == 0 { // whosever it is
		own = nil
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		if file, err := os.Stat(s.db.Path()); err != nil || file.Size() < tx.Size() {
			return fmt.Errorf("%w: it ends before byte %d", ErrCorrupt, tx.Size())
		}
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return fmt.Errorf("%w: no such parts in it", ErrCorrupt)
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
				return fmt.Errorf("%w: its %s is %q, this keeper's %q", ErrOtherOwner, want.word, got, want.is)
			}
		}
		s.generation.Store(1) // of folders from before there were others
		if text := meta.Get(keyGen); text != nil {
			got, err := unsealed(keyGen, text)
			if err != nil || len(got) != 8 {
				return fmt.Errorf("%w: its generation: %v", ErrCorrupt, err)
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
				return fmt.Errorf("%w: entry %d where %d is due", ErrCorrupt, index, next)
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
