package protocol

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/statemachine"
)

func TestDecompressedUpdatesKeepTheirOrder(t *testing.T) {
	var many []cbor.RawMessage
	for i := range 500 {
		many = append(many, Encode(statemachine.Update{WorkerRemoved: fmt.Sprint("worker-", i)}))
	}
	single := []cbor.RawMessage{Encode(statemachine.Update{JobRemoved: "a"})}
	items := []cbor.RawMessage{CompressUpdates(single), CompressUpdates(many), CompressUpdates(single)}
	if len(items[1]) > 6000 {
		t.Errorf("500 updates are compressed to %d bytes, want at most 6000", len(items[1]))
	}
	want := append(append(append([]cbor.RawMessage{}, single...), many...), single...)
	got := DecompressUpdates(items)
	if len(got) != len(want) {
		t.Fatalf("decompressed %d updates, want %d", len(got), len(want))
	}
	for i := range want {
		if string(got[i]) != string(want[i]) {
			t.Fatalf("decompressed update %d differs from the original", i)
		}
	}
}

// FuzzUnpack checks that DecompressUpdates returns without a panic for arbitrary items.
func FuzzUnpack(f *testing.F) {
	f.Add([]byte(CompressUpdates([]cbor.RawMessage{Encode(statemachine.Update{JobRemoved: "a"}), Encode(statemachine.Update{JobRemoved: "b"})})))
	f.Add([]byte{0x41, 0x00})
	f.Fuzz(func(t *testing.T, item []byte) {
		DecompressUpdates([]cbor.RawMessage{item})
	})
}
