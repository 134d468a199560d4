package segment

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/juju/errors"
)

// load returns the content of the slots and the ring, and sets the position at which the ring continues to the end of its
// last record.
func (s *Store) load() (*Recovered, error) {
	recovered := &Recovered{
		Fresh:    s.metadata.sequence == 0,
		Snapshot: Snapshot{s.snapshot.index, s.snapshot.epoch, s.snapshot.data},
	}
	if len(s.metadata.data) >= incarnationBytes {
		s.incarnation = binary.LittleEndian.Uint32(s.metadata.data)
		recovered.Metadata = s.metadata.data[incarnationBytes:]
	}
	scan := &scan{covered: s.coveredIndex()}
	if err := scan.readRing(s.ring); err != nil {
		return nil, errors.Trace(err)
	}
	s.incarnation = max(s.incarnation, scan.incarnation)
	records, err := scan.afterSnapshot(s.ring, s.snapshot.epoch)
	if err != nil {
		return nil, errors.Trace(err)
	}
	recovered.Records, recovered.CommitIndex = records, s.coveredIndex()
	for _, record := range records {
		recovered.CommitIndex = max(recovered.CommitIndex, record.CommitIndex)
	}
	return recovered, nil
}

// scan reads the records of a ring in the order in which they were written.
type scan struct {
	covered     uint64 // the snapshot covers the log up to this index
	records     []Record
	incarnation uint32 // of the writer of the last record
}

// readRing reads the records of all segments, in the order in which the segments were begun.
func (s *scan) readRing(r *ring) error {
	used := slices.DeleteFunc(slices.Clone(r.segments), func(s *segment) bool { return s.sequence == 0 })
	slices.SortFunc(used, func(a, b *segment) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, next := range used {
		end, err := s.readSegment(next, r.segmentBytes)
		if err != nil {
			return errors.Trace(err)
		}
		r.active, r.sequence, r.offset = next, next.sequence, end
	}
	return nil
}

// readSegment reads the records of one segment, and returns the offset after the last one.
func (s *scan) readSegment(from *segment, size int64) (int64, error) {
	content := make([]byte, size)
	if _, err := from.file.ReadAt(content, 0); err != nil {
		return 0, errors.Trace(err)
	}
	offset := int64(segmentHeaderBytes)
	for {
		record, length, incarnation := decodeRecord(content[offset:], from.sequence, s.incarnation)
		if length == 0 {
			return offset, nil
		}
		s.incarnation = incarnation
		if !s.add(record) {
			return 0, &CorruptionError{from.name, offset, "an entry is missing before this one"}
		}
		from.lastIndex = max(from.lastIndex, record.Index)
		offset += length
	}
}

// add appends a record. It first drops a record with the same index and all after that, since the log was truncated there.
// It returns false if a record is missing before the new one.
func (s *scan) add(record Record) bool {
	for len(s.records) > 0 && s.records[len(s.records)-1].Index >= record.Index {
		s.records = s.records[:len(s.records)-1]
	}
	isGap := len(s.records) > 0 && s.records[len(s.records)-1].Index+1 != record.Index
	if isGap && record.Index > s.covered+1 {
		return false
	}
	if isGap {
		s.records = s.records[:0] // the snapshot covers the gap
	}
	s.records = append(s.records, record)
	return true
}

// afterSnapshot returns the records that the snapshot does not cover, or a CorruptionError if the first of them is missing.
func (s *scan) afterSnapshot(r *ring, snapshotEpoch uint64) ([]Record, error) {
	first := 0
	for first < len(s.records) && s.records[first].Index <= s.covered {
		first++
	}
	records := s.records[first:]
	if len(records) > 0 && records[0].Epoch < snapshotEpoch {
		return nil, nil // leftovers from before the snapshot of another replica was installed
	}
	if len(records) > 0 && records[0].Index != s.covered+1 {
		return nil, &CorruptionError{r.active.name, 0, "entries after the snapshot are missing"}
	}
	return records, nil
}
