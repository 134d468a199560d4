package broker

// This file carries the module's messages from and to the other dispatchers.

import (
	"sync/atomic"
	"time"

	"yardflow/scheduling/dispatch"
)

// maxPendingPeerMessages bounds the messages of other dispatchers that wait for the module. Those beyond it are dropped:
// each message replaces what the one before said, so a flood costs nothing but itself.
const maxPendingPeerMessages = 64

// peerMessages is the way to the other dispatchers and back.
type peerMessages struct {
	broadcast func(msg []byte) // nil: there is no way to them
	pending   atomic.Int32     // received, and not yet taken by the module
}

// SetBroadcast sets who carries messages to all other dispatchers; broadcast must not block. Before any request, and
// before the first list.
func (b *Broker) SetBroadcast(broadcast func(msg []byte)) { b.peers.broadcast = broadcast }

// ReceivePeerMessage hands the module what another dispatcher broadcast. It never blocks. The broker owns msg from now on.
func (b *Broker) ReceivePeerMessage(msg []byte) {
	if b.peers.pending.Add(1) > maxPendingPeerMessages {
		b.peers.pending.Add(-1)
		return
	}
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.peers.pending.Add(-1)
		b.loop.module.PeerMessage(now, 0, msg, out)
	})
}
