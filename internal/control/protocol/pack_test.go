package protocol

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/control/statemachine"
)

func TestPackedUpdatesComeInOrder(t *testing.T) {
	var many []cbor.RawMessage
	for i := range 500 {
		many = append(many, Encode(statemachine.Update{WorkerGone: fmt.Sprint("worker-", i)}))
	}
	single := []cbor.RawMessage{Encode(statemachine.Update{JobGone: "a"})}
	packed := []cbor.RawMessage{Pack(single), Pack(many), Pack(single)}
	if len(packed[1]) > 6000 {
		t.Errorf("500 updates pack to %d bytes", len(packed[1]))
	}
	want := append(append(append([]cbor.RawMessage{}, single...), many...), single...)
	got := Unpack(packed)
	if len(got) != len(want) {
		t.Fatalf("%d updates of %d", len(got), len(want))
	}
	for i := range want {
		if string(got[i]) != string(want[i]) {
			t.Fatalf("update %d differs", i)
		}
	}
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte(Pack([]cbor.RawMessage{Encode(statemachine.Update{JobGone: "a"}), Encode(statemachine.Update{JobGone: "b"})})))
	f.Add([]byte{0x41, 0x00})
	f.Fuzz(func(t *testing.T, item []byte) {
		Unpack([]cbor.RawMessage{item}) // whatever comes, it ends
	})
}
