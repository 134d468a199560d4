package protocol

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// Size limits of compressed updates.
const (
	// minCompressedBytes is the size below which compressing a single update saves less than it costs.
	minCompressedBytes = 2 << 10
	// maxDecompressedBytes limits the memory that a list can make its receiver allocate. A longer list is cut there, so
	// that it can't be decoded and is dropped. The limit is the longest message of package frame.
	maxDecompressedBytes = 64 << 20
)

// compressors contains flate writers for reuse, since each allocates tables of half a megabyte.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of this program
	}
	return compressor
}}

// CompressUpdates returns one item of ControlMessage.Updates: the list compressed by DEFLATE, as a CBOR byte string. A
// single short update is returned unchanged. A configuration of 1,500 routes compresses to a quarter of its size, and so
// takes a quarter of the time on a dispatcher's link.
func CompressUpdates(updates []cbor.RawMessage) cbor.RawMessage {
	if len(updates) == 1 && len(updates[0]) < minCompressedBytes {
		return updates[0]
	}
	compressed := &bytes.Buffer{}
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(compressed)
	if _, err := compressor.Write(Encode(updates)); err != nil {
		panic(err) // writing to a buffer doesn't fail
	}
	if err := compressor.Close(); err != nil {
		panic(err) // nor does flushing into it
	}
	return Encode(compressed.Bytes())
}

// DecompressUpdates returns the updates of a list in which some items may be compressed. It leaves out items that can't be
// decompressed.
func DecompressUpdates(items []cbor.RawMessage) []cbor.RawMessage {
	updates := make([]cbor.RawMessage, 0, len(items))
	for _, item := range items {
		if isByteString(item) {
			updates = append(updates, decompress(item)...)
		} else {
			updates = append(updates, item)
		}
	}
	return updates
}

// decompress returns the updates of one compressed item, or nil if it can't be decompressed.
func decompress(item cbor.RawMessage) []cbor.RawMessage {
	compressed, updates := []byte{}, []cbor.RawMessage{}
	if !Decode(item, &compressed) {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes))
	if err != nil || !Decode(data, &updates) {
		return nil
	}
	return updates
}

// isByteString reports whether an item is a CBOR byte string, by its major type.
func isByteString(item cbor.RawMessage) bool { return len(item) > 0 && item[0]>>5 == 2 }
