package segment

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// readAtOnce is how many bytes of a segment are read at a time: most of the last one is not written yet.
const readAtOnce = 512 << 10

// reader reads the records of one segment, in order.
type reader struct {
	segment *segment
	size    int64
	at      int64 // where the next record begins
	content []byte
}

func (s *Store) newReader(seg *segment) *reader {
	return &reader{segment: seg, size: s.segmentSize, at: segmentHeader}
}

// load reads the segment up to an offset at least, and reports whether it reaches so far.
func (r *reader) load(until int64) (bool, error) {
	if until > r.size {
		return false, nil
	}
	have := int64(len(r.content))
	if until <= have {
		return true, nil
	}
	more := min(max(until-have, readAtOnce), r.size-have)
	r.content = append(r.content, make([]byte, more)...)
	if _, err := r.segment.file.ReadAt(r.content[have:], have); err != nil {
		return false, errors.Trace(err)
	}
	return true, nil
}

// next returns the next record and the life that wrote it, or nil behind the last one. A record of an earlier life than
// the one before it is left over from before.
func (r *reader) next(life uint32) (*Record, uint32, error) {
	if whole, err := r.load(r.at + recordHeader); !whole || err != nil {
		return nil, 0, errors.Trace(err)
	}
	head := r.content[r.at : r.at+recordHeader]
	length := int64(binary.LittleEndian.Uint32(head))
	wrote := binary.LittleEndian.Uint32(head[12:])
	if length < recordHeader || length > maxRecord || binary.LittleEndian.Uint32(head[8:]) != r.segment.sequence || wrote < life {
		return nil, 0, nil
	}
	if whole, err := r.load(r.at + length); !whole || err != nil {
		return nil, 0, errors.Trace(err)
	}
	record := r.content[r.at : r.at+length]
	if crc32.Checksum(record[8:], castagnoli) != binary.LittleEndian.Uint32(record[4:]) {
		return nil, 0, nil
	}
	r.at += length
	return &Record{
		Index:     binary.LittleEndian.Uint64(record[16:]),
		Epoch:     binary.LittleEndian.Uint64(record[24:]),
		Committed: binary.LittleEndian.Uint64(record[32:]),
		Data:      append([]byte(nil), record[recordHeader:]...),
	}, wrote, nil
}
