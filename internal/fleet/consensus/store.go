package consensus

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
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The folder holds one bbolt file with two buckets: "log" has the entries by their index, "meta" all else.
const (
	dataFileName = "keeper.db"
	formatV1     = "yardflow keeper 1"
	// lockTimeout is how long to wait for the file's lock, which a process that has just ended may still hold.
	lockTimeout = time.Second
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")

	keyFormat     = []byte("format")
	keyFleet      = []byte("fleet")
	keyMember     = []byte("member")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyGeneration = []byte("generation")
)

// firstGeneration is that of members that were never restored. A folder without a generation is of it, too.
const firstGeneration = 1

// store keeps a member's log, hard state and latest snapshot: on disk, each record with a checksum, and in memory, from
// where raft reads them.
type store struct {
	db     *bbolt.DB
	memory *raft.MemoryStorage

	// commitUnsynced: the commit index in memory is newer than the one on disk. It is written with the next record.
	commitUnsynced bool

	// generation counts the restores of the fleet's folders, from firstGeneration on: messages of members of another
	// generation are rejected. 0: a member that joins, and was not called by anybody yet.
	generation atomic.Uint64
	mu         sync.Mutex // serialises joinGeneration
}

// openMode is what openStore expects of the folder.
type openMode uint8

const (
	openExisting    openMode = iota // it holds the member's log
	createBootstrap                 // it holds none; the member begins with all of its fleet, of the first generation
	createJoining                   // it holds none; the member joins a running fleet, and takes over its generation
)

// openStore opens a member's folder, or makes it, by mode.
func openStore(dir, fleet string, member uint64, mode openMode) (*store, error) {
	fresh := mode != openExisting
	path := filepath.Join(dir, dataFileName)
	if err := checkPresence(dir, path, fresh); err != nil {
		return nil, err
	}
	if fresh {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	// The file is mapped into memory. Where it is shorter than it says, reading is a fault of the processor, which this
	// makes a panic that openDatabase and load return as an error.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	db, err := openDatabase(path, false)
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, fmt.Errorf("%s: another process has it open", path)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	s := &store{db: db, memory: raft.NewMemoryStorage()}
	if fresh {
		err = s.initialise(fleet, member)
	} else {
		err = s.load(owner{fleet, member})
	}
	if err == nil && mode == createBootstrap {
		err = s.joinGeneration(firstGeneration)
	}
	if err != nil {
		_ = db.Close() // the error before it counts
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// checkPresence refuses a new member whose file exists, and an old one whose file does not.
func checkPresence(dir, path string, fresh bool) error {
	_, err := os.Stat(path)
	switch {
	case err == nil && fresh:
		return fmt.Errorf("%s: %w", dir, ErrAlreadyInitialized)
	case errors.Is(err, os.ErrNotExist) && !fresh:
		return fmt.Errorf("%s: %w", dir, ErrNoData)
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return err
	}
	return nil
}

// openDatabase opens a bbolt file. A damaged one may make bbolt panic: that is returned as an error, and the file's
// lock is released.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	var file *os.File
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v", r)
			if file != nil {
				_ = syscall.Flock(int(file.Fd()), syscall.LOCK_UN) // the mapping would keep it beyond Close
				file.Close()
			}
		}
	}()
	return bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, OpenFile: func(name string, flag int, mode os.FileMode) (f *os.File, err error) {
		f, err = os.OpenFile(name, flag, mode)
		file = f
		return f, err
	}})
}

// initialise makes the buckets and says whose folder it is.
func (s *store) initialise(fleet string, member uint64) error {
	records := []struct{ key, value []byte }{{keyFormat, []byte(formatV1)}, {keyFleet, []byte(fleet)}, {keyMember, encodeUint64(member)}, {keyGeneration, encodeUint64(0)}}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if _, err := tx.CreateBucketIfNotExists(bucketLog); err != nil {
			return err
		}
		meta, err := tx.CreateBucketIfNotExists(bucketMeta)
		if err != nil {
			return err
		}
		for _, record := range records {
			if err := meta.Put(record.key, addChecksum(record.key, record.value)); err != nil {
				return err
			}
		}
		return nil
	})
}

// joinGeneration makes the folder one of a generation's, unless it is of another one already.
func (s *store) joinGeneration(generation uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own := s.generation.Load(); own != 0 || generation == 0 {
		if own == generation {
			return nil
		}
		return fmt.Errorf("of generation %d, not %d", own, generation)
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketMeta).Put(keyGeneration, addChecksum(keyGeneration, encodeUint64(generation)))
	})
	if err == nil {
		s.generation.Store(generation)
	}
	return err
}

// owner is whose a folder is.
type owner struct {
	fleet  string
	member uint64 // 0: any
}

// load checks every record of the folder and copies log, hard state and snapshot to memory.
func (s *store) load(want owner) (err error) {
	defer func() { // a torn page may make bbolt panic at any access
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, r)
		}
	}()
	return s.db.View(func(tx *bbolt.Tx) error {
		if file, err := os.Stat(s.db.Path()); err != nil || file.Size() < tx.Size() {
			return corrupt("it ends before byte %d", tx.Size())
		}
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return corrupt("its buckets are missing")
		}
		if err := checkOwner(meta, want); err != nil {
			return err
		}
		if err := s.loadGeneration(meta); err != nil {
			return err
		}
		if err := s.loadSnapshot(meta); err != nil {
			return err
		}
		if err := s.loadHardState(meta); err != nil {
			return err
		}
		return s.loadLog(log)
	})
}

// checkOwner checks the folder's format, fleet and member.
func checkOwner(meta *bbolt.Bucket, want owner) error {
	records := []struct {
		key, value []byte // value nil: any
		name       string
	}{{keyFormat, []byte(formatV1), "format"}, {keyFleet, []byte(want.fleet), "fleet"}, {keyMember, nil, "member"}}
	if want.member != 0 {
		records[2].value = encodeUint64(want.member)
	}
	for _, record := range records {
		got, err := verifyChecksum(record.key, meta.Get(record.key))
		if err != nil {
			return err
		}
		if record.value != nil && !bytes.Equal(got, record.value) {
			return fmt.Errorf("%w: its %s is %q, this coordinator's is %q", ErrOtherOwner, record.name, got, record.value)
		}
	}
	return nil
}

func (s *store) loadGeneration(meta *bbolt.Bucket) error {
	data := meta.Get(keyGeneration)
	if data == nil {
		s.generation.Store(firstGeneration)
		return nil
	}
	generation, err := verifyChecksum(keyGeneration, data)
	if err != nil || len(generation) != 8 {
		return corrupt("its generation: %v", err)
	}
	s.generation.Store(binary.BigEndian.Uint64(generation))
	return nil
}

func (s *store) loadSnapshot(meta *bbolt.Bucket) error {
	snapshot := &raftpb.Snapshot{}
	if found, err := getRecord(meta, keySnapshot, snapshot); !found {
		return err
	}
	return s.memory.ApplySnapshot(snapshot)
}

func (s *store) loadHardState(meta *bbolt.Bucket) error {
	hardState := &raftpb.HardState{}
	if found, err := getRecord(meta, keyHardState, hardState); !found {
		return err
	}
	return s.memory.SetHardState(hardState)
}

// getRecord reads a record, and reports whether there is a sound one; a corrupt one is an error.
func getRecord(bucket *bbolt.Bucket, key []byte, into proto.Message) (found bool, err error) {
	data := bucket.Get(key)
	if data == nil {
		return false, nil
	}
	err = decodeRecord(key, data, into)
	return err == nil, err
}

// loadLog loads the entries behind the snapshot, which have to follow each other without a gap.
func (s *store) loadLog(log *bbolt.Bucket) error {
	first, err := s.memory.FirstIndex()
	if err != nil {
		return err
	}
	if err := s.raiseCommit(first - 1); err != nil {
		return err
	}
	next := first
	return log.ForEach(func(key, data []byte) error {
		index := binary.BigEndian.Uint64(key)
		if index < first {
			return nil // covered by the snapshot: the process ended before it had deleted the entry
		}
		entry := &raftpb.Entry{}
		if err := decodeRecord(key, data, entry); err != nil {
			return err
		}
		if index != next || entry.GetIndex() != index {
			return corrupt("entry %d where %d is due", index, next)
		}
		next++
		return s.memory.Append([]*raftpb.Entry{entry})
	})
}

// raiseCommit raises the commit index in memory to that of the snapshot, which holds committed entries only. Earlier
// versions could leave a folder whose commit index was older than its snapshot, with which raft does not start.
func (s *store) raiseCommit(index uint64) error {
	hardState, _, err := s.memory.InitialState()
	if err != nil || hardState.GetCommit() >= index {
		return err
	}
	raised := proto.Clone(hardState).(*raftpb.HardState)
	raised.Commit = &index
	return s.memory.SetHardState(raised)
}

// close closes the file.
func (s *store) close() error { return s.db.Close() }
