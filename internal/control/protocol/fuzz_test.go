package protocol

import (
	"testing"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// FuzzDecode decodes arbitrary bytes as each type of message, and checks that a decoded message can be encoded again.
func FuzzDecode(f *testing.F) {
	place := &statemachine.Command{PlaceTasks: &statemachine.PlaceTasks{Session: 3, Job: "0123456789abcdef",
		Targets: []statemachine.Target{{Task: job.TaskKey{Index: 1}, Worker: "w", Alternatives: []string{"v"}}}}}
	f.Add(Encode(DispatcherMessage{SessionRequest: &SessionRequest{Node: "front-1", Incarnation: 7}, Commands: []TaggedCommand{{Tag: 1, Command: Encode(place)}}}))
	f.Add(Encode(ControlMessage{Session: 3, ControlAddresses: []string{"a"}}))
	f.Add(Encode(PeerMessage{ConnectedSessions: []statemachine.SessionID{1}}))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{&DispatcherMessage{}, &ControlMessage{}, &PeerMessage{}, &statemachine.Command{}, &statemachine.Update{}, &statemachine.State{}} {
			if Decode(data, message) {
				Encode(message)
			}
		}
	})
}
