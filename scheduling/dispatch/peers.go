package dispatch

import (
	"time"

	"yardflow/coordination/gossip"
)

// Limits of broadcasting. The total volume of broadcasts grows with the square of the number of dispatchers.
const (
	// maxBroadcasters is the largest number of dispatchers that broadcast to each other.
	maxBroadcasters = 64
	// maxBroadcastCost is the most that broadcasts may cost per request, in values of a request. With 6 to 48
	// dispatchers on 8 workers, broadcasts cost 0.008 to 0.056 and gained 0.08 to 0.33.
	maxBroadcastCost = 0.08
	// broadcastBytesPerJob is the assumed number of bytes per request that one dispatcher broadcasts to each
	// other one. The cost of broadcasts is computed from it.
	broadcastBytesPerJob = 32.0
	// incarnationUnitMs is the unit, in ms, of the start time that distinguishes the incarnations of a
	// dispatcher.
	incarnationUnitMs = 64
)

// peerUsage is the dispatcher's state of usage broadcasts.
type peerUsage struct {
	participant *gossip.Participant // nil: nothing is broadcast
	mergedAt    time.Duration       // when the workers' peer usage was last updated
}

// usageKnown reports whether the usage of all dispatchers is known, up to the network's delay: there is no
// other dispatcher, or all of them broadcast their usage. A silent dispatcher is assumed to be down.
func (d *dispatcher) usageKnown() bool {
	messages := float64(d.Fleet.Count-1) * broadcastBytesPerJob / gossip.MaxMessageBytes
	return d.Fleet.Count == 1 || d.Fleet.Peers && d.Fleet.Count <= maxBroadcasters &&
		messages*d.Fleet.PeerMessageCost <= maxBroadcastCost
}

func (d *dispatcher) PeerMessage(now time.Duration, _ int, msg []byte, out Actions) {
	d.beginEvent(now, out)
	if d.peers.participant != nil && d.peers.participant.Receive(now, msg) {
		d.mergePeerUsage()
		d.decide(out)
	}
}

// mergePeerUsage updates the peer usage of all listed workers.
func (d *dispatcher) mergePeerUsage() {
	d.peers.mergedAt = d.now
	for _, w := range d.fleet.ranked {
		u := d.peers.participant.PeerUsage(d.now, w.gossipHash)
		w.usage.peerSlots, w.usage.peerMemory = u.Slots, u.Memory
	}
}

// broadcastUsage broadcasts this dispatcher's usage if a message is due. A single dispatcher broadcasts too,
// since another process of the same dispatcher may receive the message.
func (d *dispatcher) broadcastUsage(out Actions) {
	if !d.Fleet.Peers || !d.usageKnown() {
		return
	}
	p := d.peers.participant
	if p == nil {
		p = gossip.New(d.Fleet.Index, d.Fleet.Count, uint64(d.now.Milliseconds()/incarnationUnitMs))
		d.peers.participant = p
	}
	if d.now-d.peers.mergedAt > gossip.HeartbeatInterval {
		d.mergePeerUsage() // drops the usage of silent dispatchers, which has expired
	}
	if !p.Due(d.now) {
		return
	}
	usages := make([]gossip.Usage, 0, len(d.fleet.ranked))
	for _, w := range d.fleet.workers {
		if w.usage.slots > 0 {
			own := gossip.Usage{WorkerHash: w.gossipHash, Slots: w.usage.slots, Memory: w.usage.memory}
			usages = append(usages, own)
		}
	}
	gossip.SortBySlots(usages) // a fixed order, independent of the map's
	out.Broadcast(p.NextMessage(d.now, usages))
}

// usageChanged marks this dispatcher's usage as changed since its last broadcast.
func (d *dispatcher) usageChanged() {
	if d.peers.participant != nil {
		d.peers.participant.MarkChanged()
	}
}

// stopBroadcasts discards the usage received from peers if the dispatchers no longer broadcast under the
// current settings.
func (d *dispatcher) stopBroadcasts() {
	if d.peers.participant == nil || d.Fleet.Peers && d.usageKnown() {
		return
	}
	d.peers.participant = nil
	for _, w := range d.fleet.workers {
		w.usage.peerSlots, w.usage.peerMemory = 0, 0
	}
}
