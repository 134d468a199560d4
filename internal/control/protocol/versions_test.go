package protocol

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"yardflow/internal/control/statemachine"
)

// formerSessionRequest is SessionRequest as it was before DelegatesInstanceList.
type formerSessionRequest struct {
	Node              string `cbor:"1,keyasint"`
	Zone              string `cbor:"2,keyasint"`
	Incarnation       uint64 `cbor:"3,keyasint"`
	ConfigVersion     int64  `cbor:"4,keyasint,omitempty"`
	AcknowledgesBytes bool   `cbor:"5,keyasint,omitempty"`
}

// formerControlMessage is ControlMessage as it was before InstanceListDuty.
type formerControlMessage struct {
	Session          statemachine.SessionID `cbor:"1,keyasint,omitempty"`
	Updates          []cbor.RawMessage      `cbor:"2,keyasint,omitempty"`
	Outcomes         []Outcome              `cbor:"3,keyasint,omitempty"`
	ControlAddresses []string               `cbor:"4,keyasint,omitempty"`
	Rejected         bool                   `cbor:"5,keyasint,omitempty"`
}

// TestMessagesOfFormerVersionsNeitherDelegateNorAssignTheList checks that messages of the former version, which lacks the
// fields about the instance list, are decoded with zero values for these fields, and that all other fields are decoded.
func TestMessagesOfFormerVersionsNeitherDelegateNorAssignTheList(t *testing.T) {
	request := SessionRequest{}
	mustDecode(t, Encode(formerSessionRequest{"front-1", "z1", 7, 3, true}), &request)
	expectEqual(t, "the request", SessionRequest{Node: "front-1", Zone: "z1", Incarnation: 7, ConfigVersion: 3, AcknowledgesBytes: true}, request)

	updates, outcomes := []cbor.RawMessage{Encode("update")}, []Outcome{{Tag: 4}}
	message := ControlMessage{}
	mustDecode(t, Encode(formerControlMessage{5, updates, outcomes, []string{"core-1:1"}, true}), &message)
	expectEqual(t, "the message", ControlMessage{Session: 5, Updates: updates, Outcomes: outcomes,
		ControlAddresses: []string{"core-1:1"}, Rejected: true, InstanceListDuty: DutyUnchanged}, message)
}

// TestFormerVersionsDecodeMessagesAboutTheList checks that the former version can decode messages of the present one, and
// skips the fields that it does not know.
func TestFormerVersionsDecodeMessagesAboutTheList(t *testing.T) {
	request := formerSessionRequest{}
	mustDecode(t, Encode(SessionRequest{Node: "front-1", Zone: "z1", Incarnation: 7, ConfigVersion: 3, AcknowledgesBytes: true,
		DelegatesInstanceList: true}), &request)
	expectEqual(t, "the request", formerSessionRequest{"front-1", "z1", 7, 3, true}, request)

	for _, duty := range []InstanceListDuty{DutyUnchanged, ControlReads, DispatcherReads} {
		message := formerControlMessage{}
		mustDecode(t, Encode(ControlMessage{Session: 5, ControlAddresses: []string{"core-1:1"}, InstanceListDuty: duty}), &message)
		expectEqual(t, "the message", formerControlMessage{Session: 5, ControlAddresses: []string{"core-1:1"}}, message)
	}
}

// TestValuesOfInstanceListDutyDoNotChange checks the numbers that stand for duties in messages.
func TestValuesOfInstanceListDutyDoNotChange(t *testing.T) {
	for duty, number := range map[InstanceListDuty]byte{DutyUnchanged: 0, ControlReads: 1, DispatcherReads: 2} {
		if got := Encode(duty); len(got) != 1 || got[0] != number {
			t.Errorf("a duty is encoded as %x, want %d", got, number)
		}
	}
}

func mustDecode(t *testing.T, data []byte, message any) {
	t.Helper()
	if !Decode(data, message) {
		t.Fatalf("%x can't be decoded", data)
	}
}

func expectEqual[T any](t *testing.T, name string, want, got T) {
	t.Helper()
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("%s differs (- want, + got):\n%s", name, difference)
	}
}
