package segment

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// slotHeaderBytes is the size of the header of a slot: magic, length of the data, checksum of all bytes after the checksum
// and 4 bytes of zeros, of 4 bytes each; then sequence, index and epoch, of 8 bytes each. All numbers are little-endian.
const slotHeaderBytes = 40

// slotPair stores the newest version of some data in one of two files, called slots. A new version overwrites the older
// slot, so that a torn write never destroys the newest version.
type slotPair struct {
	files    [2]File
	newest   int    // index in files of the slot with the newest version
	sequence uint64 // of the newest version; 0: none was ever saved
	index    uint64 // of the snapshot; 0 for metadata
	epoch    uint64 // of the snapshot; 0 for metadata
	data     []byte
}

// openSlotPair opens the two files of a slot pair and reads the newest intact version.
func openSlotPair(folder Folder, name string) (*slotPair, error) {
	s := &slotPair{}
	for i := range s.files {
		file, err := folder.Open(name + "-" + string(rune('a'+i)))
		if err != nil {
			return nil, errors.Trace(err)
		}
		s.files[i] = file
		if err := s.read(i); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return s, nil
}

// read reads one slot, and keeps its content if it is intact and newer than the version read so far.
func (s *slotPair) read(slot int) error {
	size, err := s.files[slot].Size()
	if err != nil {
		return errors.Trace(err)
	}
	if size < slotHeaderBytes {
		return nil
	}
	content := make([]byte, size)
	if _, err := s.files[slot].ReadAt(content, 0); err != nil {
		return errors.Trace(err)
	}
	end := slotHeaderBytes + int64(binary.LittleEndian.Uint32(content[4:]))
	if binary.LittleEndian.Uint32(content) != magic || end > size ||
		crc32.Checksum(content[12:end], castagnoli) != binary.LittleEndian.Uint32(content[8:]) {
		return nil // never written, or torn
	}
	if sequence := binary.LittleEndian.Uint64(content[16:]); sequence > s.sequence {
		s.newest, s.sequence = slot, sequence
		s.index = binary.LittleEndian.Uint64(content[24:])
		s.epoch = binary.LittleEndian.Uint64(content[32:])
		s.data = content[slotHeaderBytes:end]
	}
	return nil
}

// save writes the next version to the older slot and syncs it. After an error the newest version is still intact.
func (s *slotPair) save(index, epoch uint64, data []byte) error {
	content := make([]byte, slotHeaderBytes, slotHeaderBytes+len(data))
	content = append(content, data...)
	binary.LittleEndian.PutUint32(content, magic)
	binary.LittleEndian.PutUint32(content[4:], uint32(len(data)))
	binary.LittleEndian.PutUint64(content[16:], s.sequence+1)
	binary.LittleEndian.PutUint64(content[24:], index)
	binary.LittleEndian.PutUint64(content[32:], epoch)
	binary.LittleEndian.PutUint32(content[8:], crc32.Checksum(content[12:], castagnoli))
	older := 1 - s.newest
	if _, err := s.files[older].WriteAt(content, 0); err != nil {
		return errors.Trace(err)
	}
	if err := s.files[older].Sync(); err != nil {
		return errors.Trace(err)
	}
	s.newest, s.index, s.epoch, s.data = older, index, epoch, data
	s.sequence++
	return nil
}
