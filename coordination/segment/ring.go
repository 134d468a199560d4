package segment

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// Form of the files. All numbers are little-endian.
const (
	// magic begins each segment and each slot: "GSfy" in memory.
	magic = 0x79665347
	// segmentHeaderBytes are those of a segment: magic, sequence, 4 bytes of zeros, checksum of these.
	segmentHeaderBytes = 16
)

// castagnoli is the polynomial of all checksums; processors have an instruction for it.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of the ring.
type segment struct {
	name     string
	file     File
	sequence uint32 // order in which segments were begun; 0: never used
	last     uint64 // highest index in it
}

// isFree reports whether the segment may be written over: its records are all covered by a snapshot.
func (s *segment) isFree(covered uint64) bool { return s.sequence == 0 || s.last <= covered }

// ring is the log's segments, of which one is written at a time.
type ring struct {
	segmentBytes int64
	segments     []*segment
	active       *segment // nil: no segment was ever used
	offset       int64    // bytes of the active segment that are in use
	sequence     uint32   // of the active segment
}

func openRing(folder Folder, layout Layout) (*ring, error) {
	r := &ring{segmentBytes: layout.SegmentBytes}
	for i := range layout.SegmentCount {
		segment, err := openSegment(folder, "segment-"+string(rune('a'+i)), layout.SegmentBytes)
		if err != nil {
			return nil, errors.Trace(err)
		}
		r.segments = append(r.segments, segment)
	}
	return r, nil
}

// openSegment opens a file, gives it its full size and reads its header.
func openSegment(folder Folder, name string, size int64) (*segment, error) {
	file, err := folder.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := preallocate(file, size); err != nil {
		return nil, errors.Trace(err)
	}
	header := make([]byte, segmentHeaderBytes)
	if _, err := file.ReadAt(header, 0); err != nil {
		return nil, errors.Trace(err)
	}
	opened := &segment{name: name, file: file}
	if binary.LittleEndian.Uint32(header) == magic &&
		crc32.Checksum(header[:12], castagnoli) == binary.LittleEndian.Uint32(header[12:]) {
		opened.sequence = binary.LittleEndian.Uint32(header[4:])
	}
	return opened, nil
}

// preallocate makes a file as long as it will ever be, so that later syncs need not make its length durable.
func preallocate(file File, size int64) error {
	present, err := file.Size()
	if err != nil {
		return errors.Trace(err)
	}
	if present >= size {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (r *ring) layout() Layout { return Layout{len(r.segments), r.segmentBytes} }

// hasRoom reports whether so many bytes fit into the active segment.
func (r *ring) hasRoom(bytes int) bool {
	return r.active != nil && r.offset+int64(bytes) <= r.segmentBytes
}

// write writes encoded records, of which last is the highest index, to the active segment.
func (r *ring) write(records []byte, last uint64) error {
	if _, err := r.active.file.WriteAt(records, r.offset); err != nil {
		return errors.Trace(err)
	}
	r.offset += int64(len(records))
	r.active.last = max(r.active.last, last)
	return nil
}

func (r *ring) sync() error {
	if r.active == nil {
		return nil
	}
	return errors.Trace(r.active.file.Sync())
}

// activateNext makes the free segment that was used longest ago the active one. What the former one holds is synced
// first, since later syncs are of the new one alone.
func (r *ring) activateNext(covered uint64) error {
	var next *segment
	for _, segment := range r.segments {
		if segment != r.active && segment.isFree(covered) && (next == nil || segment.sequence < next.sequence) {
			next = segment
		}
	}
	if next == nil {
		return ErrFull
	}
	if err := r.sync(); err != nil {
		return errors.Trace(err)
	}
	header := make([]byte, segmentHeaderBytes)
	binary.LittleEndian.PutUint32(header, magic)
	binary.LittleEndian.PutUint32(header[4:], r.sequence+1)
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	if _, err := next.file.WriteAt(header, 0); err != nil {
		return errors.Trace(err)
	}
	r.sequence++
	next.sequence, next.last = r.sequence, 0
	r.active, r.offset = next, segmentHeaderBytes
	return nil
}

// clear frees all segments.
func (r *ring) clear() {
	for _, segment := range r.segments {
		segment.last = 0
	}
}

func (r *ring) freeSegments(covered uint64) int {
	free := 0
	for _, segment := range r.segments {
		if segment != r.active && segment.isFree(covered) {
			free++
		}
	}
	return free
}
