package segment

import (
	"encoding/binary"

	"github.com/juju/errors"
)

// Store is an open ring with its snapshots and metadata. It is not safe for concurrent use: a single goroutine owns it.
type Store struct {
	ring     *ring
	snapshot *slotPair
	metadata *slotPair
	// incarnation increases with each opening of the store. A record of an earlier incarnation that follows a record of
	// a later one is a leftover: the later process continued the log at that position.
	incarnation uint32

	buffer            []byte // encoded records that are written together
	bufferedLastIndex uint64 // highest index of the records in buffer
}

// incarnationBytes is the size of the incarnation, which is stored before the caller's metadata.
const incarnationBytes = 4

// Open opens the store in a folder, or creates it if there is none, and returns its content. On a fresh disk SaveMetadata
// must be called before the first Append. Open fails with a CorruptionError if durable records are missing.
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
		// The new incarnation must be durable before any record of it is written.
		if err := s.SaveMetadata(recovered.Metadata); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	return s, recovered, nil
}

// Append writes records after the last one, without syncing them. After an error the same records may be appended again.
// It fails with ErrFull if no segment is free. If a record would not fit into an empty segment, it fails with a
// RecordTooLongError before it writes anything.
func (s *Store) Append(records []Record) error {
	if err := s.checkLengths(records); err != nil {
		return errors.Trace(err)
	}
	s.buffer, s.bufferedLastIndex = s.buffer[:0], 0
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
		s.bufferedLastIndex = max(s.bufferedLastIndex, records[i].Index)
	}
	return errors.Trace(s.flush())
}

// checkLengths returns a RecordTooLongError for the first record that is longer than the layout allows.
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
	if err := s.ring.write(s.buffer, s.bufferedLastIndex); err != nil {
		return errors.Trace(err)
	}
	s.buffer = s.buffer[:0]
	return nil
}

// Sync makes all appended records durable.
func (s *Store) Sync() error { return errors.Trace(s.ring.sync()) }

// FreeSegments returns the number of segments that can still be filled before the ring is full, without the active one.
func (s *Store) FreeSegments() int { return s.ring.freeSegments(s.coveredIndex()) }

// SaveSnapshot makes a snapshot durable. The segments whose records it covers become free.
func (s *Store) SaveSnapshot(snapshot Snapshot) error {
	return errors.Trace(s.snapshot.save(snapshot.Index, snapshot.Epoch, snapshot.Data))
}

// InstallSnapshot makes a snapshot of another replica durable and discards the whole log of this store.
func (s *Store) InstallSnapshot(snapshot Snapshot) error {
	if err := s.SaveSnapshot(snapshot); err != nil {
		return errors.Trace(err)
	}
	s.ring.freeAll()
	return errors.Trace(s.ring.activateNext(s.coveredIndex()))
}

// SaveMetadata makes the metadata durable.
func (s *Store) SaveMetadata(metadata []byte) error {
	data := binary.LittleEndian.AppendUint32(nil, s.incarnation)
	return errors.Trace(s.metadata.save(0, 0, append(data, metadata...)))
}

// coveredIndex returns the index up to which the newest durable snapshot covers the log.
func (s *Store) coveredIndex() uint64 { return s.snapshot.index }
