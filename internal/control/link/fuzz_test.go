package link

import (
	"testing"

	"yardflow/internal/control/cluster"
	"yardflow/scheduling/job"
)

// FuzzDecode hands arbitrary bytes to the decoders of inner messages; what can be read can be written again.
func FuzzDecode(f *testing.F) {
	place := &cluster.Command{Place: &cluster.Place{Session: 3, Job: "0123456789abcdef",
		Targets: []cluster.Target{{Task: job.Key{Index: 1}, Worker: "w", Others: []string{"v"}}}}}
	f.Add(Encode(Up{Hello: &Hello{Node: "front-1", Life: 7}, Commands: []Tagged{{Tag: 1, Command: Encode(place)}}}))
	f.Add(Encode(Down{Session: 3, Controls: []string{"a"}}))
	f.Add(Encode(Peer{Sessions: []cluster.SessionID{1}}))
	f.Add([]byte{0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, message := range []any{&Up{}, &Down{}, &Peer{}, &cluster.Command{}, &cluster.Update{}, &cluster.State{}} {
			if Decode(data, message) {
				Encode(message)
			}
		}
	})
}
