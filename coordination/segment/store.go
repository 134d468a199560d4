package segment

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// Store is an open ring with its snapshots and metadata. It is not safe for concurrent use: one goroutine owns the
// disk.
type Store struct {
	ring     *ring
	snapshot *slotPair
	metadata *slotPair
	// incarnation numbers the processes that have opened this store. A record of an earlier one after one of a later
	// one is left over from before the later process went on at this place.
	incarnation uint32

	buffer       []byte // records that are to be written together
	bufferedLast uint64 // highest index in them
}

// incarnationBytes is how many bytes the incarnation takes before the caller's metadata.
const incarnationBytes = 4

// Open opens the ring in the folder, makes it where there is none, and reads what it holds. On a fresh disk
// SaveMetadata must come before the first Append. It fails with a CorruptionError where durable records are missing.
func Open(folder Folder, layout Layout) (*Store, *Recovered, error) {
	s := &Store{}
	var err error
	if s.metadata, err = openSlotPair(folder, "meta"); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.snapshot, err = openSlotPair(folder, "snapshot"); err != nil {
		return nil, nil, errors.Trace(err)
	}
	if s.ring, err = openRing(folder, layout); err != nil {
		return nil, nil, errors.Trace(err)
	}
	recovered, err := s.load()
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := folder.Sync(); err != nil {
		return nil, nil, errors.Trace(err)
	}
	s.incarnation++
	if !recovered.Fresh {
		// The new incarnation is durable before anything is written in it.
		if err := s.SaveMetadata(recovered.Metadata); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	return s, recovered, nil
}

// Append writes records after what is there, without syncing them. After an error the same records may be written
// again. It fails with ErrFull where no segment is free, and with a RecordTooLongError, before it has written anything,
// where a record would not fit into an empty one.
func (s *Store) Append(records []Record) error {
	if err := s.checkLengths(records); err != nil {
		return errors.Trace(err)
	}
	s.buffer, s.bufferedLast = s.buffer[:0], 0
	for i := range records {
		if length := recordHeaderBytes + len(records[i].Data); !s.ring.hasRoom(len(s.buffer) + length) {
			if err := s.flush(); err != nil {
				return errors.Trace(err)
			}
			if err := s.ring.activateNext(s.coveredIndex()); err != nil {
				return errors.Trace(err)
			}
		}
		s.buffer = appendRecord(s.buffer, &records[i], s.ring.sequence, s.incarnation)
		s.bufferedLast = max(s.bufferedLast, records[i].Index)
	}
	return errors.Trace(s.flush())
}

// checkLengths returns a RecordTooLongError for the first record that no segment takes.
func (s *Store) checkLengths(records []Record) error {
	maxBytes := s.ring.layout().MaxDataBytes()
	for i := range records {
		if length := int64(len(records[i].Data)); length > maxBytes {
			return &RecordTooLongError{Index: records[i].Index, Bytes: length, Max: maxBytes}
		}
	}
	return nil
}

// flush writes the buffered records to the active segment.
func (s *Store) flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	if err := s.ring.write(s.buffer, s.bufferedLast); err != nil {
		return errors.Trace(err)
	}
	s.buffer = s.buffer[:0]
	return nil
}

// Sync makes all that was appended durable.
func (s *Store) Sync() error { return errors.Trace(s.ring.sync()) }

// FreeSegments returns how many segments can still be written before the ring is full.
func (s *Store) FreeSegments() int { return s.ring.freeSegments(s.coveredIndex()) }

// SaveSnapshot makes a snapshot durable; segments that it covers become free.
func (s *Store) SaveSnapshot(snapshot Snapshot) error {
	return errors.Trace(s.snapshot.save(snapshot.Index, snapshot.Epoch, snapshot.Data))
}

// InstallSnapshot makes a snapshot of another replica the whole content: the log before it is void.
func (s *Store) InstallSnapshot(snapshot Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return errors.Trace(err)
	}
	s.ring.clear()
	return errors.Trace(s.ring.activateNext(s.coveredIndex()))
}

// SaveMetadata makes the metadata durable.
func (s *Store) SaveMetadata(metadata []byte) error {
	data := binary.LittleEndian.AppendUint32(nil, s.incarnation)
	return errors.Trace(s.metadata.save(0, 0, append(data, metadata...)))
}

// coveredIndex returns the index that the newest durable snapshot covers.
func (s *Store) coveredIndex() uint64 { return s.snapshot.index }
