package dispatch

import (
	"testing"

	"yardflow/coordination/gossip"
)

// When new settings disable broadcasts, or raise the number of dispatchers above the limit for broadcasts, the
// usage received last is discarded. Otherwise it would count as used slots forever.
func TestPeerUsageIsDiscardedWhenBroadcastsStop(t *testing.T) {
	for name, change := range map[string]func(*Settings){"broadcasts disabled": func(s *Settings) { s.Fleet.Peers = false },
		"too many dispatchers": func(s *Settings) { s.Fleet.Count = 1000 }} {
		s := testSettings()
		s.Fleet.Peers, s.Fleet.Count = true, 2
		d, out := newDispatcher(s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		other := gossip.New(1, 2, 9)
		d.PeerMessage(ms, 1, other.NextMessage(ms, []gossip.Usage{{WorkerHash: d.fleet.workers[1].gossipHash, Slots: 1}}), out)
		if d.fleet.workers[1].usage.peerSlots != 1 {
			t.Fatalf("%s: peer usage is %v slots after the broadcast, want 1", name, d.fleet.workers[1].usage.peerSlots)
		}
		change(&s)
		if d.Reconfigure(2*ms, s, out); d.fleet.workers[1].usage.peerSlots != 0 {
			t.Errorf("%s: peer usage is %v slots after broadcasts stopped, want 0", name, d.fleet.workers[1].usage.peerSlots)
		}
	}
}
