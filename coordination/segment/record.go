package segment

import (
	"encoding/binary"
	"hash/crc32"
)

// Format of a record. All numbers are little-endian.
const (
	// recordHeaderBytes is the size of the header before a record's data: length including the header, checksum of all
	// bytes after the checksum, sequence of the segment and incarnation of the writer, of 4 bytes each; then index, epoch
	// and commit index, of 8 bytes each.
	recordHeaderBytes = 40
	// maxRecordBytes is the maximum size of a record including its header; decodeRecord takes a greater length for garbage.
	maxRecordBytes = 16 << 20
)

// appendRecord appends the encoding of a record to buffer.
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

// decodeRecord decodes the record at the start of content, and returns it with its length, including the header, and the
// incarnation of its writer. A length of 0 means that there is no valid record: nothing was written there since the
// segment was last reused, the write was torn, or the record is a leftover of an earlier incarnation than that of the
// record before it (minIncarnation).
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
