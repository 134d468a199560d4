package protocol

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// What can't be decompressed is left out, and the updates beside it stay.
func TestMalformedCompressedUpdatesAreLeftOut(t *testing.T) {
	sound := Encode("update")
	for name, malformed := range map[string]cbor.RawMessage{
		"a byte string that ends early":  {0x58, 0x10, 1},
		"bytes that are not compressed":  Encode([]byte("not compressed")),
		"compressed bytes of no list":    Encode([]byte{0x03, 0x00}),
		"an empty byte string":           Encode([]byte{}),
		"a length beyond all the bounds": {0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		got := DecompressUpdates([]cbor.RawMessage{malformed, sound})
		if len(got) != 1 || string(got[0]) != string(sound) {
			t.Errorf("%s: %x", name, got)
		}
	}
}
