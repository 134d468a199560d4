package gossip

import (
	"slices"
	"time"
)

// Limits of the state kept of other processes, so that corrupt or forged messages can't exhaust memory.
const (
	// maxPeers is the number of processes whose state is kept at once. Messages of further ones are dropped.
	maxPeers = 256
	// maxUsagesOfPeer is the number of workers for which the usage of one process is kept.
	maxUsagesOfPeer = 4096
	// usageTimesToLive is the multiple of TimeToLive for which a single usage counts without being reported again. It is
	// more than 1 since a sender with more usages than one message holds reports them in turn.
	usageTimesToLive = 4
)

// peer is the state of another process.
type peer struct {
	process
	sequence uint16                   // of the latest message
	heard    bool                     // whether there was one
	heardAt  time.Duration            // time of the latest message, or when the peer was added
	usages   map[uint32]reportedUsage // by worker hash
}

type reportedUsage struct {
	Usage
	at time.Duration
}

// PeerUsage is the total capacity that all other processes have in use at one worker.
type PeerUsage struct{ Slots, Memory float64 }

// Receive handles a message and reports whether it came from another process. It drops messages that are corrupt, of another
// version, from this process itself, from an unknown or expired process of which a later incarnation is known, or from a
// process beyond maxPeers.
func (p *Participant) Receive(now time.Duration, datagram []byte) bool {
	header, usages, ok := decode(datagram)
	if !ok || header.sender == p.self {
		return false
	}
	sender := p.findOrAddPeer(now, header.sender)
	if sender == nil {
		return false
	}
	if sender.heard && isNotAfter(header.sequence, sender.sequence) {
		return true // a duplicate, or superseded by a later message
	}
	sender.sequence, sender.heard, sender.heardAt = header.sequence, true, now
	if header.isComplete {
		clear(sender.usages)
	}
	for ; len(usages) > 0; usages = usages[usageBytes:] {
		sender.record(now, decodeUsage(usages))
	}
	return true
}

// isNotAfter reports whether sequence number a is not after b. Sequence numbers wrap around.
func isNotAfter(a, b uint16) bool { return int16(a-b) <= 0 }

func (p *peer) record(now time.Duration, usage Usage) {
	if _, known := p.usages[usage.WorkerHash]; known || len(p.usages) < maxUsagesOfPeer {
		p.usages[usage.WorkerHash] = reportedUsage{usage, now}
	}
}

// findOrAddPeer returns the state of a sender, and adds it if it is unknown. It returns nil for an unknown sender if a later
// incarnation is known, since usage that has expired must not come back, or if there are maxPeers already.
func (p *Participant) findOrAddPeer(now time.Duration, sender process) *peer {
	p.removeExpired(now)
	for _, other := range p.peers {
		if other.process == sender {
			return other
		}
	}
	for _, other := range p.peers {
		if other.dispatcher == sender.dispatcher && int16(sender.incarnation-other.incarnation) < 0 {
			return nil
		}
	}
	if len(p.peers) >= maxPeers {
		return nil
	}
	added := &peer{process: sender, heardAt: now, usages: map[uint32]reportedUsage{}}
	p.peers = append(p.peers, added)
	return added
}

func (p *Participant) removeExpired(now time.Duration) {
	p.peers = slices.DeleteFunc(p.peers, func(other *peer) bool { return now-other.heardAt > p.TimeToLive() })
}

// PeerUsage returns the total usage of all other processes at the worker with the given hash.
func (p *Participant) PeerUsage(now time.Duration, workerHash uint32) (total PeerUsage) {
	for _, other := range p.peers {
		usage, ok := other.usages[workerHash&workerHashMask]
		if ok && now-other.heardAt <= p.TimeToLive() && now-usage.at <= usageTimesToLive*p.TimeToLive() {
			total.Slots += usage.Slots
			total.Memory += usage.Memory
		}
	}
	return total
}
