package protocol

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestMalformedCompressedUpdatesAreLeftOut checks that items that can't be decompressed are left out, and others are kept.
func TestMalformedCompressedUpdatesAreLeftOut(t *testing.T) {
	valid := Encode("update")
	for name, malformed := range map[string]cbor.RawMessage{
		"truncated byte string":         {0x58, 0x10, 1},
		"data that is not compressed":   Encode([]byte("not compressed")),
		"compressed data is not a list": Encode([]byte{0x03, 0x00}),
		"empty byte string":             Encode([]byte{}),
		"length above all limits":       {0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		got := DecompressUpdates([]cbor.RawMessage{malformed, valid})
		if len(got) != 1 || string(got[0]) != string(valid) {
			t.Errorf("%s: decompressed to %x, want only the valid update", name, got)
		}
	}
}
