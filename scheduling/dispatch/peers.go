package dispatch

import (
	"time"

	"yardflow/coordination/gossip"
)

// What dispatchers broadcast grows by the square of their number. So many broadcast at the most, and by
// the price of a message no more than so much of each request's value is spent on it.
const (
	maxBroadcasters = 64
	// maxBroadcastCost is the most that broadcasts may cost a request, in values of a request. Measured for 6
	// to 48 dispatchers on 8 workers they cost 0.008 to 0.056 and earn 0.08 to 0.33.
	maxBroadcastCost = 0.08
	// broadcastBytesPerJob is what one dispatcher broadcasts to each other one per request, for that bound.
	broadcastBytesPerJob = 32.0
	// incarnationUnitMs is the unit, in ms, of the start time that tells apart incarnations of a dispatcher.
	incarnationUnitMs = 64
)

// peerUsage is this dispatcher's side of the broadcasts.
type peerUsage struct {
	participant *gossip.Participant // nil: nothing is broadcast
	mergedAt    time.Duration       // when the workers' peer usage was last brought up to date
}

// usageKnown tells whether what all dispatchers have outstanding is known, a network's delay ago: there is
// no other, or they broadcast it. One that is silent is taken to be down.
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

// mergePeerUsage brings the workers' peer usage up to date.
func (d *dispatcher) mergePeerUsage() {
	d.peers.mergedAt = d.now
	for _, w := range d.fleet.ranked {
		u := d.peers.participant.PeerUsage(d.now, w.gossipHash)
		w.usage.peerSlots, w.usage.peerMemory = u.Slots, u.Memory
	}
}

// broadcastUsage broadcasts what is outstanding, where that is due. A dispatcher that is alone does, too:
// another process of it may receive it.
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
		d.mergePeerUsage() // what is silent has expired
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
	gossip.SortBySlots(usages) // in one order, whatever the map's
	out.Broadcast(p.NextMessage(d.now, usages))
}

// usageChanged notes that what is outstanding has changed.
func (d *dispatcher) usageChanged() {
	if d.peers.participant != nil {
		d.peers.participant.MarkChanged()
	}
}

// stopBroadcasts forgets what peers have broadcast where, by the settings in force, they do not any more.
func (d *dispatcher) stopBroadcasts() {
	if d.peers.participant == nil || d.Fleet.Peers && d.usageKnown() {
		return
	}
	d.peers.participant = nil
	for _, w := range d.fleet.workers {
		w.usage.peerSlots, w.usage.peerMemory = 0, 0
	}
}
