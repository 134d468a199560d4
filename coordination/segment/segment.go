// Package segment stores a replica's log, snapshots and metadata in files: the log in a ring of preallocated segments,
// snapshots and metadata in pairs of slots. It is a write-ahead log that survives a loss of power at any moment: synced
// data is recovered, and the remains of unsynced writes are recognised by their checksum, their position in the ring and
// the incarnation of the process that wrote them.
//
// Invariants:
//
//   - Once Sync, SaveSnapshot, InstallSnapshot or SaveMetadata has returned without an error, Open recovers the data.
//   - A segment is overwritten only once the newest durable snapshot covers all records in it.
//   - Open recovers the records after the snapshot without a gap, or fails with a CorruptionError.
//
// The package does not decide which entries are committed or when to take a snapshot. It does not retry failed operations,
// except through a RetryingFolder while a store is opened.
package segment

// File is a file of a store. A read beyond its end is no error and leaves the rest of the buffer unchanged.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Size() (int64, error) // bytes
	Truncate(size int64) error
}

// Folder opens files by name, and creates those that do not exist.
type Folder interface {
	Open(name string) (File, error)
	// Sync makes the names of new files durable.
	Sync() error
}

// Record is one entry of the log.
type Record struct {
	Index       uint64
	Epoch       uint64
	CommitIndex uint64 // highest index known to be committed when this record was written
	Data        []byte
}

// Snapshot is the state after the entry with this Index and Epoch.
type Snapshot struct {
	Index uint64
	Epoch uint64
	Data  []byte
}

// Recovered is the content of a store when it was opened.
type Recovered struct {
	Fresh    bool // the folder was empty: the disk is new, or its content was lost
	Metadata []byte
	Snapshot Snapshot
	Records  []Record // the records after the snapshot, without a gap
	// CommitIndex is the highest index that is known to be committed.
	CommitIndex uint64
}

// Layout is the number and the size of the segments of a ring.
type Layout struct {
	SegmentCount int
	SegmentBytes int64
}

// MaxDataBytes returns the maximum length of a record's data: the record has to fit into an empty segment, and Open has to
// accept its length.
func (l Layout) MaxDataBytes() int64 {
	return min(l.SegmentBytes-segmentHeaderBytes, maxRecordBytes) - recordHeaderBytes
}

// LayoutFor returns the layout for a disk of diskMb MiB: the ring takes half of the disk, and the rest is left for two
// snapshots. A size below 16 MiB is treated as 16 MiB.
func LayoutFor(diskMb int64) Layout {
	const segments = 8
	size := max(diskMb, 16) << 20 / 2 / segments
	return Layout{segments, size}
}
