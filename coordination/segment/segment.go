// Package segment keeps a replica's log, snapshots and metadata in a ring of
// preallocated files. It survives a loss of power at any moment: what was synced
// is there afterwards, and what was not is recognised by its checksum, its place
// in the ring and the life of the process that wrote it.
//
// A Store is not safe for concurrent use: one goroutine owns the disk.
package segment

import (
	"encoding/binary"
	"hash/crc32"
	"sort"

	"github.com/juju/errors"
)

// File is one preallocated file.
type File interface {
	ReadAt(p []byte, offset int64) (int, error)
	WriteAt(p []byte, offset int64) (int, error)
	Sync() error
	Size() (int64, error)
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

// Snapshot is the state after the entry Index.
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
	Records  []Record // those behind the snapshot, without a gap
	// CommitIndex is the newest index that is known to be committed.
	CommitIndex uint64
}

const (
	recordHeader  = 40 // length, checksum, sequence, life, index, epoch, committed
	segmentHeader = 16 // magic, sequence, checksum
	slotHeader    = 40 // magic, length, checksum, sequence, index, epoch
	magic         = 0x79665347
	maxRecord     = 16 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptionError says which file can't be relied upon, and from where on.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the place and what is wrong there.
func (d *CorruptionError) Error() string {
	return errors.Errorf("%s at byte %d: %s; replace this machine's disk, or empty its folder so that it joins anew",
		d.File, d.Offset, d.Reason).Error()
}

type segment struct {
	name     string
	file     File
	sequence uint32 // 0: never used
	last     uint64 // highest index in it
}

// Store is an open ring with its snapshots and metadata.
type Store struct {
	folder      Folder
	segmentSize int64
	segments    []*segment
	active      *segment
	offset      int64
	life        uint32
	sequence    uint32
	snapshots   *slots
	meta        *slots
	covered     uint64 // index that the newest snapshot covers
	buffer      []byte
}

// Layout says how large the parts of the ring are.
type Layout struct {
	SegmentCount int
	SegmentBytes int64 // bytes
}

// LayoutFor returns the layout for a disk of so many megabytes: half of it is the ring,
// the rest stays for two snapshots.
func LayoutFor(diskMb int64) Layout {
	const segments = 8
	size := max(diskMb, 16) << 20 / 2 / segments
	return Layout{segments, size}
}

// Open opens the ring in the folder, makes it where there is none, and reads what it holds.
// On a fresh disk SaveMetadata must come before the first Append.
func Open(folder Folder, layout Layout) (*Store, *Recovered, error) {
	s := &Store{folder: folder, segmentSize: layout.SegmentBytes}
	var err error
	if s.meta, err = openSlots(folder, "meta"); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.snapshots, err = openSlots(folder, "snapshot"); err != nil {
		return nil, nil, errors.Trace(err)
	}
	recovered := &Recovered{Fresh: s.meta.sequence == 0}
	recovered.Snapshot = Snapshot{s.snapshots.index, s.snapshots.epoch, s.snapshots.data}
	s.covered = s.snapshots.index
	if len(s.meta.data) >= 4 {
		s.life = binary.LittleEndian.Uint32(s.meta.data)
		recovered.Metadata = s.meta.data[4:]
	}
	if err := s.openSegments(layout.SegmentCount); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if recovered.Records, err = s.scan(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	recovered.CommitIndex = s.covered
	for _, record := range recovered.Records {
		recovered.CommitIndex = max(recovered.CommitIndex, record.CommitIndex)
	}
	if err := folder.Sync(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	s.life++
	if !recovered.Fresh {
		// The new life is durable before anything is written in it.
		if err := s.SaveMetadata(recovered.Metadata); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	return s, recovered, nil
}

func (s *Store) openSegments(count int) error {
	for i := range count {
		name := "segment-" + string(rune('a'+i))
		file, err := s.folder.Open(name)
		if err != nil {
			return errors.Trace(err)
		}
		size, err := file.Size()
		if err != nil {
			return errors.Trace(err)
		}
		if size < s.segmentSize {
			if err := file.Truncate(s.segmentSize); err != nil {
				return errors.Trace(err)
			}
			if err := file.Sync(); err != nil {
				return errors.Trace(err)
			}
		}
		seg := &segment{name: name, file: file}
		header := make([]byte, segmentHeader)
		if _, err := file.ReadAt(header, 0); err != nil {
			return errors.Trace(err)
		}
		if binary.LittleEndian.Uint32(header) == magic &&
			crc32.Checksum(header[:12], castagnoli) == binary.LittleEndian.Uint32(header[12:]) {
			seg.sequence = binary.LittleEndian.Uint32(header[4:])
		}
		s.segments = append(s.segments, seg)
	}
	return nil
}

// scan reads all segments in the order in which they were written.
func (s *Store) scan() ([]Record, error) {
	used := []*segment{}
	for _, seg := range s.segments {
		if seg.sequence > 0 {
			used = append(used, seg)
		}
	}
	sort.Slice(used, func(i, j int) bool { return used[i].sequence < used[j].sequence })
	var records []Record
	life := uint32(0)
	for _, seg := range used {
		var err error
		if records, life, err = s.scanSegment(seg, records, life); err != nil {
			return nil, errors.Trace(err)
		}
		s.active, s.sequence = seg, seg.sequence
	}
	s.life = max(s.life, life)
	first := 0
	for first < len(records) && records[first].Index <= s.covered {
		first++
	}
	records = records[first:]
	if len(records) > 0 && records[0].Epoch < s.snapshots.epoch {
		return nil, nil // left over from before the snapshot was taken in from elsewhere
	}
	if len(records) > 0 && records[0].Index != s.covered+1 {
		return nil, &CorruptionError{s.active.name, 0, "entries behind the snapshot are missing"}
	}
	return records, nil
}

// scanSegment appends the records of one segment; a record of an index already
// read takes its place and that of all behind it.
func (s *Store) scanSegment(seg *segment, records []Record, life uint32) ([]Record, uint32, error) {
	content := make([]byte, s.segmentSize)
	if _, err := seg.file.ReadAt(content, 0); err != nil {
		return nil, 0, errors.Trace(err)
	}
	at := int64(segmentHeader)
	for at+recordHeader <= s.segmentSize {
		head := content[at : at+recordHeader]
		length := int64(binary.LittleEndian.Uint32(head))
		wrote := binary.LittleEndian.Uint32(head[12:])
		if length < recordHeader || length > maxRecord || at+length > s.segmentSize ||
			binary.LittleEndian.Uint32(head[8:]) != seg.sequence || wrote < life ||
			crc32.Checksum(content[at+8:at+length], castagnoli) != binary.LittleEndian.Uint32(head[4:]) {
			break
		}
		life = wrote
		record := Record{
			Index:       binary.LittleEndian.Uint64(head[16:]),
			Epoch:       binary.LittleEndian.Uint64(head[24:]),
			CommitIndex: binary.LittleEndian.Uint64(head[32:]),
			Data:        append([]byte(nil), content[at+recordHeader:at+length]...),
		}
		for len(records) > 0 && records[len(records)-1].Index >= record.Index {
			records = records[:len(records)-1]
		}
		if len(records) > 0 && records[len(records)-1].Index+1 != record.Index && record.Index <= s.covered+1 {
			records = records[:0] // the snapshot stands for what is between
		}
		if len(records) > 0 && records[len(records)-1].Index+1 != record.Index {
			return nil, 0, &CorruptionError{seg.name, at, "an entry is missing before this one"}
		}
		records = append(records, record)
		seg.last = max(seg.last, record.Index)
		at += length
	}
	s.offset = at
	return records, life, nil
}

// Append writes records behind what is there, without syncing them. After an
// error the same records may be written again.
func (s *Store) Append(records []Record) error {
	s.buffer = s.buffer[:0]
	start, last := s.offset, uint64(0)
	for i := range records {
		length := int64(recordHeader + len(records[i].Data))
		if s.active == nil || start+int64(len(s.buffer))+length > s.segmentSize {
			if err := s.flush(start, last); err != nil {
				return errors.Trace(err)
			}
			if err := s.turn(); err != nil {
				return errors.Trace(err)
			}
			start = s.offset
		}
		s.encode(&records[i])
		last = max(last, records[i].Index)
	}
	return errors.Trace(s.flush(start, last))
}

func (s *Store) flush(start int64, last uint64) error {
	if len(s.buffer) == 0 {
		return nil
	}
	if _, err := s.active.file.WriteAt(s.buffer, start); err != nil {
		return errors.Trace(err)
	}
	s.offset = start + int64(len(s.buffer))
	s.active.last = max(s.active.last, last)
	s.buffer = s.buffer[:0]
	return nil
}

func (s *Store) encode(record *Record) {
	at := len(s.buffer)
	s.buffer = append(s.buffer, make([]byte, recordHeader)...)
	s.buffer = append(s.buffer, record.Data...)
	head := s.buffer[at:]
	binary.LittleEndian.PutUint32(head, uint32(len(head)))
	binary.LittleEndian.PutUint32(head[8:], s.sequence)
	binary.LittleEndian.PutUint32(head[12:], s.life)
	binary.LittleEndian.PutUint64(head[16:], record.Index)
	binary.LittleEndian.PutUint64(head[24:], record.Epoch)
	binary.LittleEndian.PutUint64(head[32:], record.CommitIndex)
	binary.LittleEndian.PutUint32(head[4:], crc32.Checksum(head[8:], castagnoli))
}

// ErrFull says that no segment is free: a snapshot must cover more of the log first.
var ErrFull = errors.New("segment: the ring is full")

// turn makes the next free segment the active one. What the former one holds is synced first.
func (s *Store) turn() error {
	var free *segment
	for _, seg := range s.segments {
		if seg != s.active && (seg.sequence == 0 || seg.last <= s.covered) &&
			(free == nil || seg.sequence < free.sequence) {
			free = seg
		}
	}
	if free == nil {
		return ErrFull
	}
	if s.active != nil {
		if err := s.active.file.Sync(); err != nil {
			return errors.Trace(err)
		}
	}
	header := make([]byte, segmentHeader)
	binary.LittleEndian.PutUint32(header, magic)
	binary.LittleEndian.PutUint32(header[4:], s.sequence+1)
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	if _, err := free.file.WriteAt(header, 0); err != nil {
		return errors.Trace(err)
	}
	s.sequence++
	free.sequence, free.last = s.sequence, 0
	s.active, s.offset = free, segmentHeader
	return nil
}

// Sync makes all that was appended durable.
func (s *Store) Sync() error {
	if s.active == nil {
		return nil
	}
	return errors.Trace(s.active.file.Sync())
}

// FreeSegments returns how many segments can still be written before the ring is full.
func (s *Store) FreeSegments() int {
	free := 0
	for _, seg := range s.segments {
		if seg != s.active && (seg.sequence == 0 || seg.last <= s.covered) {
			free++
		}
	}
	return free
}

// SaveSnapshot makes a snapshot durable; segments that it covers become free.
func (s *Store) SaveSnapshot(snapshot Snapshot) error {
	if err := s.snapshots.save(snapshot.Index, snapshot.Epoch, snapshot.Data); err != nil {
		return errors.Trace(err)
	}
	s.covered = snapshot.Index
	return nil
}

// InstallSnapshot makes a snapshot from elsewhere the whole content: the log before it is void.
func (s *Store) InstallSnapshot(snapshot Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return errors.Trace(err)
	}
	for _, seg := range s.segments {
		seg.last = 0
	}
	return errors.Trace(s.turn())
}

// SaveMetadata makes the metadata durable.
func (s *Store) SaveMetadata(meta []byte) error {
	data := binary.LittleEndian.AppendUint32(nil, s.life)
	return errors.Trace(s.meta.save(0, 0, append(data, meta...)))
}
