// Package gossip lets dispatchers exchange, in datagrams, the slots and memory that each has in use at every worker. Every
// message is a cost to all receivers, so messages are short, 10 bytes and 5 for each worker, and a dispatcher that has
// nothing in use and nothing new to report sends none. Messages hold 256 bytes at most and may be lost, late, duplicated,
// reordered or corrupted. So each contains the whole usage of its sender, or a part of it in turn if it is too long for one
// message, and a later message of a sender replaces an earlier one, in whichever order they arrive. Messages are hints: no
// guarantee may depend on them, and a dispatcher that receives none relies on its own observations.
//
// A process is identified by its dispatcher's number and an incarnation, which distinguishes it from an earlier process and
// from a second concurrent process of the same dispatcher. The usage that a process has reported counts until the process
// has been silent for four heartbeats.
//
// The package encodes messages, merges them and expires old reports. It has no I/O, clock or randomness: callers pass the
// time. It must never decide where a job runs.
package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Timing of messages.
const (
	// HeartbeatInterval is the longest time between two messages of a dispatcher that has work in progress, if there are
	// at most dispatchersAtBaseInterval. With more dispatchers the interval grows in proportion, since every message is
	// a cost to all of them.
	HeartbeatInterval = 150 * time.Millisecond
	// dispatchersAtBaseInterval is the number of dispatchers up to which the interval does not grow.
	dispatchersAtBaseInterval = 4
	// minInterval is the shortest time between two messages. Changes within it are sent in one message.
	minInterval = 4 * time.Millisecond
	// heartbeatsToLive is the number of intervals after which the reports of a silent process no longer count.
	heartbeatsToLive = 4
)

// Participant holds the gossip state of one process: the state of its own messages, and the usage that other processes have
// reported. It is not safe for concurrent use.
type Participant struct {
	self     process
	interval time.Duration // longest time between two messages while work is in progress

	sequence       uint16        // of the latest message sent
	sent           bool          // whether any message was sent
	sentAt         time.Duration // time of the latest message
	changed        bool          // there is a change to report
	heartbeatsLeft int           // heartbeats still to send: 1 after a message with usage or a change, as it may be lost
	nextUsage      int           // index of the first usage of the next part, if one message does not hold all

	peers []*peer
}

// process is one process of a dispatcher.
type process struct {
	dispatcher  uint16
	incarnation uint16 // increases with each start, and wraps around
}

// New returns a participant for the dispatcher with the given number among the given count of dispatchers. The incarnation
// must increase with each start, like the start time in any unit. Only its low 16 bits are used; they must differ from those
// of the previous process.
func New(dispatcher, dispatchers int, incarnation uint64) *Participant {
	return &Participant{
		self:     process{uint16(dispatcher), uint16(incarnation)},
		interval: HeartbeatInterval * time.Duration(max(dispatchers, dispatchersAtBaseInterval)) / dispatchersAtBaseInterval,
		changed:  true,
	}
}

// TimeToLive returns the time for which the reports of a process count after its last message. It spans several heartbeats,
// so that the reports still count after the loss of some messages in a row.
func (p *Participant) TimeToLive() time.Duration { return heartbeatsToLive * p.interval }

// MarkChanged records that there is a change to report.
func (p *Participant) MarkChanged() { p.changed = true }

// Due reports whether it is time to send a message.
func (p *Participant) Due(now time.Duration) bool {
	since := now - p.sentAt
	return !p.sent || p.heartbeatsLeft > 0 && since >= p.interval || p.changed && since >= minInterval
}

// NextMessage returns the next message to send. Usages must be the whole usage of this process; those that don't fit go into
// the following messages. NextMessage omits usages without slots, and modifies the slice.
func (p *Participant) NextMessage(now time.Duration, usages []Usage) []byte {
	usages = slices.DeleteFunc(usages, func(u Usage) bool { return u.Slots == 0 })
	p.sequence++
	if p.heartbeatsLeft--; p.changed || len(usages) > 0 {
		p.heartbeatsLeft = 1
	}
	p.sent, p.sentAt, p.changed = true, now, false
	part := p.nextPart(usages)
	return encode(header{isComplete: len(part) == len(usages), sender: p.self, sequence: p.sequence}, part)
}

// nextPart returns at most maxUsages usages, in rotation if there are more.
func (p *Participant) nextPart(usages []Usage) []Usage {
	if len(usages) <= maxUsages {
		return usages
	}
	start := p.nextUsage % len(usages)
	p.nextUsage = start + maxUsages
	return slices.Concat(usages[start:], usages[:start])[:maxUsages]
}

// SortBySlots sorts usages by descending number of slots, so that the largest come first if one message does not hold all.
func SortBySlots(usages []Usage) {
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.WorkerHash, b.WorkerHash))
	})
}
