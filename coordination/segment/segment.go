// Package segment keeps a replica's log, snapshots and metadata in files: the log in a ring of preallocated segments,
// the other two in pairs of slots. It is a write-ahead log that survives a loss of power at any moment: what was
// synced is there afterwards, and what was not is recognised by its checksum, its place in the ring and the
// incarnation of the process that wrote it.
//
// Invariants:
//
//   - What Sync, SaveSnapshot, InstallSnapshot or SaveMetadata has returned for without an error is recovered by Open.
//   - A segment is written over only once the newest durable snapshot covers all records in it.
//   - Records are recovered without a gap after the snapshot, or Open fails with a CorruptionError.
//
// The package never decides what is committed or when to take a snapshot, and it does not retry: RetryingFolder does,
// while a store is opened.
package segment

// File is one preallocated file. A read beyond its end leaves the rest of the buffer as it is and is no error.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Size() (int64, error) // bytes
	Truncate(size int64) error
}

// Folder opens files by name, and makes those that aren't there.
type Folder interface {
	Open(name string) (File, error)
	// Sync makes the names of new files durable.
	Sync() error
}

// Record is one entry of the log.
type Record struct {
	Index       uint64
	Epoch       uint64
	CommitIndex uint64 // up to where entries were known to be committed when this one was written
	Data        []byte
}

// Snapshot is the state after the entry Index, which has the epoch Epoch.
type Snapshot struct {
	Index uint64
	Epoch uint64
	Data  []byte
}

// Recovered is what a disk held when it was opened.
type Recovered struct {
	Fresh    bool // nothing was there: the disk is new, or was lost
	Metadata []byte
	Snapshot Snapshot
	Records  []Record // those after the snapshot, without a gap
	// CommitIndex is the newest index that is known to be committed.
	CommitIndex uint64
}

// Layout says how large the parts of the ring are.
type Layout struct {
	SegmentCount int
	SegmentBytes int64
}

// MaxDataBytes returns how long a record's data may be: what fits into an empty segment, and is no longer than Open reads.
func (l Layout) MaxDataBytes() int64 {
	return min(l.SegmentBytes-segmentHeaderBytes, maxRecordBytes) - recordHeaderBytes
}

// LayoutFor returns the layout for a disk of so many MiB: half of it is the ring, the rest stays for two snapshots.
// Less than 16 MiB counts as 16.
func LayoutFor(diskMb int64) Layout {
	const segments = 8
	size := max(diskMb, 16) << 20 / 2 / segments
	return Layout{segments, size}
}
