package segment

import (
	"encoding/binary"
	"hash/crc32"
)

// Form of a record.
const (
	// recordHeaderBytes are those before a record's data: length (with the header), checksum of all after it,
	// sequence of the segment and incarnation of the writer, 4 bytes each; index, epoch and commit index, 8 each.
	recordHeaderBytes = 40
	// maxRecordBytes is more than any record has; a longer one is a length that was never written.
	maxRecordBytes = 16 << 20
)

// appendRecord appends an encoded record to buffer.
func appendRecord(buffer []byte, record *Record, sequence, incarnation uint32) []byte {
	start := len(buffer)
	buffer = append(buffer, make([]byte, recordHeaderBytes)...)
	buffer = append(buffer, record.Data...)
	encoded := buffer[start:]
	binary.LittleEndian.PutUint32(encoded, uint32(len(encoded)))
	binary.LittleEndian.PutUint32(encoded[8:], sequence)
	binary.LittleEndian.PutUint32(encoded[12:], incarnation)
	binary.LittleEndian.PutUint64(encoded[16:], record.Index)
	binary.LittleEndian.PutUint64(encoded[24:], record.Epoch)
	binary.LittleEndian.PutUint64(encoded[32:], record.CommitIndex)
	binary.LittleEndian.PutUint32(encoded[4:], crc32.Checksum(encoded[8:], castagnoli))
	return buffer
}

// decodeRecord decodes the record with which content begins, and returns its length with the header and the
// incarnation of its writer. A length of 0 says that there is none: nothing was written there in this round of the
// ring, or it was torn, or it is left over from before an incarnation that wrote before it in the segment.
func decodeRecord(content []byte, sequence, minIncarnation uint32) (record Record, length int64, incarnation uint32) {
	if len(content) < recordHeaderBytes {
		return Record{}, 0, 0
	}
	length = int64(binary.LittleEndian.Uint32(content))
	incarnation = binary.LittleEndian.Uint32(content[12:])
	if length < recordHeaderBytes || length > maxRecordBytes || length > int64(len(content)) ||
		binary.LittleEndian.Uint32(content[8:]) != sequence || incarnation < minIncarnation ||
		crc32.Checksum(content[8:length], castagnoli) != binary.LittleEndian.Uint32(content[4:]) {
		return Record{}, 0, 0
	}
	return Record{
		Index:       binary.LittleEndian.Uint64(content[16:]),
		Epoch:       binary.LittleEndian.Uint64(content[24:]),
		CommitIndex: binary.LittleEndian.Uint64(content[32:]),
		Data:        append([]byte(nil), content[recordHeaderBytes:length]...),
	}, length, incarnation
}
