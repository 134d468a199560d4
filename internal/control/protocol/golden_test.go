package protocol

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"yardflow/internal/testing/wiretest"
)

// The golden files were written at b99a1ea, and got the fields that came since behind the former ones: messages between
// processes of mixed versions keep their bytes.
func TestEncodingsOfMessagesDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "hello", encode[SessionRequest], decode[SessionRequest])
	wiretest.AssertEncoding(t, "up", encode[DispatcherMessage], decode[DispatcherMessage])
	wiretest.AssertEncoding(t, "down", encode[ControlMessage], decode[ControlMessage])
	wiretest.AssertEncoding(t, "peer", encode[PeerMessage], decode[PeerMessage])
}

// Messages of the version before the field InstanceListDuty: what it sent is read, and what does not use the field has the
// same bytes for it.
func TestMessagesWithoutInstanceListDutyKeepTheirBytes(t *testing.T) {
	assertFormerBytes[SessionRequest](t, "hello")
	assertFormerBytes[DispatcherMessage](t, "up")
	assertFormerBytes[ControlMessage](t, "down")
}

func assertFormerBytes[T any](t *testing.T, name string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "before-instance-list-duty", name+".golden"))
	if err != nil {
		t.Fatal(err)
	}
	former, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatal(err)
	}
	var message T
	if !Decode(former, &message) {
		t.Fatalf("%s: what the former version sent can't be read", name)
	}
	if again := Encode(message); !bytes.Equal(again, former) {
		t.Errorf("%s: %x becomes %x", name, former, again)
	}
}

func encode[T any](value T) ([]byte, error) { return Encode(value), nil }

func decode[T any](data []byte, value *T) error {
	if !Decode(data, value) {
		return errors.New("the message cannot be decoded")
	}
	return nil
}
