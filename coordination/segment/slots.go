package segment

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/juju/errors"
)

// slots keeps the newest of two copies of one text: the older one is overwritten,
// so that a torn write never costs both.
type slots struct {
	files    [2]File
	newest   int
	sequence uint64
	index    uint64
	epoch    uint64
	data     []byte
}

func openSlots(folder Folder, name string) (*slots, error) {
	s := &slots{}
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

func (s *slots) read(i int) error {
	size, err := s.files[i].Size()
	if err != nil {
		return errors.Trace(err)
	}
	if size < slotHeader {
		return nil
	}
	content := make([]byte, size)
	if _, err := s.files[i].ReadAt(content, 0); err != nil {
		return errors.Trace(err)
	}
	length := int64(binary.LittleEndian.Uint32(content[4:]))
	if binary.LittleEndian.Uint32(content) != magic || slotHeader+length > size ||
		crc32.Checksum(content[12:slotHeader+length], castagnoli) != binary.LittleEndian.Uint32(content[8:]) {
		return nil
	}
	if sequence := binary.LittleEndian.Uint64(content[16:]); sequence > s.sequence {
		s.newest, s.sequence = i, sequence
		s.index = binary.LittleEndian.Uint64(content[24:])
		s.epoch = binary.LittleEndian.Uint64(content[32:])
		s.data = content[slotHeader : slotHeader+length]
	}
	return nil
}

func (s *slots) save(index, epoch uint64, data []byte) error {
	content := make([]byte, slotHeader, slotHeader+len(data))
	content = append(content, data...)
	binary.LittleEndian.PutUint32(content, magic)
	binary.LittleEndian.PutUint32(content[4:], uint32(len(data)))
	binary.LittleEndian.PutUint64(content[16:], s.sequence+1)
	binary.LittleEndian.PutUint64(content[24:], index)
	binary.LittleEndian.PutUint64(content[32:], epoch)
	binary.LittleEndian.PutUint32(content[8:], crc32.Checksum(content[12:], castagnoli))
	target := 1 - s.newest
	if _, err := s.files[target].WriteAt(content, 0); err != nil {
		return errors.Trace(err)
	}
	if err := s.files[target].Sync(); err != nil {
		return errors.Trace(err)
	}
	s.newest, s.index, s.epoch, s.data = target, index, epoch, data
	s.sequence++
	return nil
}
