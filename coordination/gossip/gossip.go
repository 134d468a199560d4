// Package gossip is how dispatchers inform each other in datagrams of how much each has in use at every worker. A
// message costs its bytes at every receiver, so it is as short as can be, 10 bytes and 5 a worker, and a dispatcher
// that has nothing in use and nothing new sends nothing. Messages hold 256 bytes at most and may be lost, late,
// duplicated, out of order or garbled, so each says all that its sender knows (or a part, in turn, where that is too
// long), and a later one takes an earlier one's place whatever comes first. They are hints: no promise may rest on
// them, and a dispatcher that hears none goes by what it sees itself.
//
// A dispatcher's process is its number and an incarnation, by which a restart and a second process of the same
// dispatcher are distinguished. What a process has reported counts until it has been silent for four heartbeats.
//
// The package owns the form of a message, the merge, and the age of each report. It has no I/O, clock or randomness:
// time is handed in. It must never decide where a job goes.
package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Pace of messages.
const (
	// HeartbeatInterval is the longest time between two messages of a dispatcher that has work in progress, where
	// there are up to four of them; with more it grows, since each costs all others.
	HeartbeatInterval = 150 * time.Millisecond
	// dispatchersAtFullPace is up to how many dispatchers the interval does not grow.
	dispatchersAtFullPace = 4
	// minGap is the least time between two messages. What happens within it goes together.
	minGap = 4 * time.Millisecond
	// heartbeatsToLive is how many heartbeats in a row may be lost before what was said stops to count.
	heartbeatsToLive = 4
)

// Participant is one dispatcher's side: what it says, and what the others have said. It is not safe for concurrent
// use.
type Participant struct {
	self     process
	interval time.Duration // between two messages at the most

	sequence  uint16        // of the latest own message
	sent      bool          // any message yet
	sentAt    time.Duration // the latest
	changed   bool          // there is something new to say
	repeats   int           // heartbeats left: while there is work in progress, and one for a message that was lost
	nextUsage int           // where the next part begins, where one message does not hold all

	peers []*peer
}

// process is one process of a dispatcher.
type process struct {
	dispatcher  uint16
	incarnation uint16 // rises with each start, and wraps around
}

// New makes a participant for the dispatcher with this number, of so many dispatchers. The incarnation must differ
// from that of the process before, by a start's time in any unit: its low 16 bits count.
func New(dispatcher, dispatchers int, incarnation uint64) *Participant {
	return &Participant{
		self:     process{uint16(dispatcher), uint16(incarnation)},
		interval: HeartbeatInterval * time.Duration(max(dispatchers, dispatchersAtFullPace)) / dispatchersAtFullPace,
		changed:  true,
	}
}

// TimeToLive is how long what was said counts where nothing follows: several messages were lost then.
func (p *Participant) TimeToLive() time.Duration { return heartbeatsToLive * p.interval }

// MarkChanged notes that there is something new to say.
func (p *Participant) MarkChanged() { p.changed = true }

// Due reports whether a message is due.
func (p *Participant) Due(now time.Duration) bool {
	since := now - p.sentAt
	return !p.sent || p.repeats > 0 && since >= p.interval || p.changed && since >= minGap
}

// NextMessage makes a message of usages, which are all that there is to say; those beyond maxUsages go in the messages
// after it. Usages without slots are left out.
func (p *Participant) NextMessage(now time.Duration, usages []Usage) []byte {
	usages = slices.DeleteFunc(usages, func(u Usage) bool { return u.Slots == 0 })
	p.sequence++
	if p.repeats--; p.changed || len(usages) > 0 {
		p.repeats = 1
	}
	p.sent, p.sentAt, p.changed = true, now, false
	part := p.nextPart(usages)
	return encode(header{isComplete: len(part) == len(usages), sender: p.self, sequence: p.sequence}, part)
}

// nextPart returns as many usages as one message holds, in turn.
func (p *Participant) nextPart(usages []Usage) []Usage {
	if len(usages) <= maxUsages {
		return usages
	}
	from := p.nextUsage % len(usages)
	p.nextUsage = from + maxUsages
	return slices.Concat(usages[from:], usages[:from])[:maxUsages]
}

// SortBySlots puts usages into the order in which they are best said where not all have room: most slots first.
func SortBySlots(usages []Usage) {
	slices.SortFunc(usages, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.WorkerHash, b.WorkerHash))
	})
}
