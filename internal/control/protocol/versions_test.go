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

// A dispatcher of the former version leaves the list to nobody, and a control machine of the former version says nothing
// about who reads it: the fields that they lack have their zero values, and all others arrive.
func TestFormerVersionsNeitherDelegateTheListNorReadIt(t *testing.T) {
	request := SessionRequest{}
	mustDecode(t, Encode(formerSessionRequest{"front-1", "z1", 7, 3, true}), &request)
	expectEqual(t, "the request", SessionRequest{Node: "front-1", Zone: "z1", Incarnation: 7, ConfigVersion: 3, AcknowledgesBytes: true}, request)

	updates, outcomes := []cbor.RawMessage{Encode("update")}, []Outcome{{Tag: 4}}
	message := ControlMessage{}
	mustDecode(t, Encode(formerControlMessage{5, updates, outcomes, []string{"core-1:1"}, true}), &message)
	expectEqual(t, "the message", ControlMessage{Session: 5, Updates: updates, Outcomes: outcomes,
		ControlAddresses: []string{"core-1:1"}, Rejected: true, InstanceListDuty: DutyUnchanged}, message)
}

// The former version reads what this one sends, and skips the fields that it does not know.
func TestFormerVersionsReadMessagesAboutTheList(t *testing.T) {
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

// A duty is a number on the wire, and keeps its meaning.
func TestNumbersOfDutiesDoNotChange(t *testing.T) {
	for duty, number := range map[InstanceListDuty]byte{DutyUnchanged: 0, ControlReads: 1, DispatcherReads: 2} {
		if got := Encode(duty); len(got) != 1 || got[0] != number {
			t.Errorf("a duty is %x on the wire, was %d", got, number)
		}
	}
}

func mustDecode(t *testing.T, data []byte, message any) {
	t.Helper()
	if !Decode(data, message) {
		t.Fatalf("%x can't be read", data)
	}
}

func expectEqual[T any](t *testing.T, what string, want, got T) {
	t.Helper()
	if difference := cmp.Diff(want, got); difference != "" {
		t.Errorf("%s differs (- wanted, + got):\n%s", what, difference)
	}
}
