package protocol

import (
	"testing"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
)

// FuzzDecode hands arbitrary bytes to the decoders of inner messages; what can be read can be written again.
func FuzzDecode(f *testing.F) {
	place := &statemachine.Command{Place: &statemachine.Place{Session: 3, Job: "0123456789abcdef",
		Targets: []statemachine.Target{{Task: job.Key{Index: 1}, Worker: "w", Others: []string{"v"}}}}}
	f.Add(Encode(Up{Hello: &Hello{Node: "front-1", Life: 7}, Commands: []Tagged{{Tag: 1, Command: Encode(place)}}}))
	f.Add(Encode(Down{Session: 3, Controls: []string{"a"}}))
	f.Add(Encode(Peer{Sessions: []statemachine.SessionID{1}}))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{&Up{}, &Down{}, &Peer{}, &statemachine.Command{}, &statemachine.Update{}, &statemachine.State{}} {
			if Decode(data, message) {
				Encode(message)
			}
		}
	})
}
