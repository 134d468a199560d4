package segment

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// Format of the files. All numbers are little-endian.
const (
	// magic is the first 4 bytes of each segment and each slot: "GSfy" in memory.
	magic = 0x79665347
	// segmentHeaderBytes is the size of the header of a segment: magic, sequence, 4 bytes of zeros, and the checksum of
	// these, of 4 bytes each.
	segmentHeaderBytes = 16
)

// castagnoli is the CRC table of all checksums; processors have an instruction for this polynomial.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of the ring.
type segment struct {
	name      string
	file      File
	sequence  uint32 // position in the order in which segments were begun; 0: never used
	lastIndex uint64 // highest index of a record in the segment
}

// isFree reports whether the segment may be overwritten: it was never used, or a snapshot up to the index covered
// covers all its records.
func (s *segment) isFree(covered uint64) bool { return s.sequence == 0 || s.lastIndex <= covered }

// ring holds the segments of the log. Records are written to the active segment; when it is full, the free segment that was
// used longest ago becomes the active one.
type ring struct {
	segmentBytes int64
	segments     []*segment
	active       *segment // nil: no segment was ever used
	offset       int64    // end of the last record in the active segment, in bytes
	sequence     uint32   // of the active segment
}

// openRing opens all segments of the ring, and creates those that do not exist.
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

// openSegment opens the file of a segment, extends it to its full size and reads its header.
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

// preallocate extends a file to its final size, so that later syncs need not make its length durable.
func preallocate(file File, size int64) error {
	currentSize, err := file.Size()
	if err != nil {
		return errors.Trace(err)
	}
	if currentSize >= size {
		return nil
	}
	if err := file.Truncate(size); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(file.Sync())
}

func (r *ring) layout() Layout { return Layout{len(r.segments), r.segmentBytes} }

// hasRoom reports whether the given number of bytes fits into the active segment.
func (r *ring) hasRoom(bytes int) bool {
	return r.active != nil && r.offset+int64(bytes) <= r.segmentBytes
}

// write writes encoded records to the active segment; lastIndex is the highest index of the records.
func (r *ring) write(records []byte, lastIndex uint64) error {
	if _, err := r.active.file.WriteAt(records, r.offset); err != nil {
		return errors.Trace(err)
	}
	r.offset += int64(len(records))
	r.active.lastIndex = max(r.active.lastIndex, lastIndex)
	return nil
}

func (r *ring) sync() error {
	if r.active == nil {
		return nil
	}
	return errors.Trace(r.active.file.Sync())
}

// activateNext makes the free segment that was used longest ago the active one. It first syncs the former active segment,
// since later calls of sync only sync the new one.
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
	next.sequence, next.lastIndex = r.sequence, 0
	r.active, r.offset = next, segmentHeaderBytes
	return nil
}

// freeAll frees all segments.
func (r *ring) freeAll() {
	for _, segment := range r.segments {
		segment.lastIndex = 0
	}
}

// freeSegments returns the number of free segments, without the active one.
func (r *ring) freeSegments(covered uint64) int {
	free := 0
	for _, segment := range r.segments {
		if segment != r.active && segment.isFree(covered) {
			free++
		}
	}
	return free
}
