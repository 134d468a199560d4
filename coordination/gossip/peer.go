package gossip

import (
	"slices"
	"time"
)

// Bounds of what is remembered, so that garbled or forged messages can't fill the memory.
const (
	// maxPeers is how many processes are remembered at once; messages of further ones are dropped.
	maxPeers = 256
	// maxUsagesOfPeer is of how many workers one process is remembered to speak.
	maxUsagesOfPeer = 4096
	// usageTimesToLive is how many times TimeToLive a single usage counts that was not said again, where a sender has
	// more of them than one message holds and says them in turn.
	usageTimesToLive = 4
)

// peer is what one other process has said.
type peer struct {
	process
	sequence uint16 // of the latest message
	heard    bool   // there was one
	heardAt  time.Duration
	usages   map[uint32]reportedUsage // by worker hash
}

type reportedUsage struct {
	Usage
	at time.Duration
}

// PeerUsage is what all other processes have in use at one worker, added up.
type PeerUsage struct{ Slots, Memory float64 }

// Receive takes in a message and reports whether it was one of another process. One that is garbled, of another
// version, of a process that a later one has replaced, or this process's own is dropped.
func (p *Participant) Receive(now time.Duration, datagram []byte) bool {
	header, usages, ok := decode(datagram)
	if !ok || header.sender == p.self {
		return false
	}
	sender := p.peerOf(now, header.sender)
	if sender == nil {
		return false
	}
	if sender.heard && isNotAfter(header.sequence, sender.sequence) {
		return true // duplicated, or overtaken by one that says as much
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

// isNotAfter compares numbers that wrap around.
func isNotAfter(a, b uint16) bool { return int16(a-b) <= 0 }

func (p *peer) record(now time.Duration, usage Usage) {
	if _, known := p.usages[usage.WorkerHash]; known || len(p.usages) < maxUsagesOfPeer {
		p.usages[usage.WorkerHash] = reportedUsage{usage, now}
	}
}

// peerOf finds the process that speaks, or makes it known. It is nil where a later incarnation of it is known and it
// was forgotten, since what it had in use is not known any more, or where there are too many.
func (p *Participant) peerOf(now time.Duration, sender process) *peer {
	p.forgetSilent(now)
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

func (p *Participant) forgetSilent(now time.Duration) {
	p.peers = slices.DeleteFunc(p.peers, func(other *peer) bool { return now-other.heardAt > p.TimeToLive() })
}

// PeerUsage returns what all other processes have in use at a worker now, by the worker's hash.
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
