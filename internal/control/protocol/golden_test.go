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

// TestEncodingsOfMessagesDoNotChange checks that messages between processes of different versions keep their bytes. The
// golden files were written at commit b99a1ea; fields that were added since are appended to them.
func TestEncodingsOfMessagesDoNotChange(t *testing.T) {
	wiretest.AssertEncoding(t, "hello", encode[SessionRequest], decode[SessionRequest])
	wiretest.AssertEncoding(t, "up", encode[DispatcherMessage], decode[DispatcherMessage])
	wiretest.AssertEncoding(t, "down", encode[ControlMessage], decode[ControlMessage])
	wiretest.AssertEncoding(t, "peer", encode[PeerMessage], decode[PeerMessage])
}

// TestMessagesWithoutInstanceListDutyKeepTheirBytes checks that messages of the version before the field InstanceListDuty
// can be decoded, and that messages without the field are encoded to the same bytes as before.
func TestMessagesWithoutInstanceListDutyKeepTheirBytes(t *testing.T) {
	assertFormerBytes[SessionRequest](t, "hello")
	assertFormerBytes[DispatcherMessage](t, "up")
	assertFormerBytes[ControlMessage](t, "down")
}

// TestMessagesWithoutRulesKeepTheirBytes checks the same for messages of the version before the fields SupportedRules and
// Abandoned.
func TestMessagesWithoutRulesKeepTheirBytes(t *testing.T) {
	wiretest.AssertRecoded(t, "before-rules/up", encode[DispatcherMessage], decode[DispatcherMessage])
	wiretest.AssertRecoded(t, "before-rules/peer", encode[PeerMessage], decode[PeerMessage])
}

// TestMessagesWithoutDigestKeepTheirBytes checks the same for messages of the version before the field OpenJobs.
func TestMessagesWithoutDigestKeepTheirBytes(t *testing.T) {
	wiretest.AssertRecoded(t, "before-digest/down", encode[ControlMessage], decode[ControlMessage])
}

// TestMessagesWithoutHistoryKeepTheirBytes checks the same for messages between control machines of the version before views
// had a history.
func TestMessagesWithoutHistoryKeepTheirBytes(t *testing.T) {
	wiretest.AssertRecoded(t, "before-history/peer", encode[PeerMessage], decode[PeerMessage])
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
		t.Fatalf("%s: the former version's message can't be decoded", name)
	}
	if again := Encode(message); !bytes.Equal(again, former) {
		t.Errorf("%s: %x is encoded as %x", name, former, again)
	}
}

func encode[T any](value T) ([]byte, error) { return Encode(value), nil }

func decode[T any](data []byte, value *T) error {
	if !Decode(data, value) {
		return errors.New("the message can't be decoded")
	}
	return nil
}
