// Package gossip is what dispatchers tell each other in datagrams: how much each has out
// at every worker. A message costs its bytes at every receiver, so it is as short as can be,
// 10 bytes and 5 a worker, and one who has nothing out and nothing new says nothing. Messages hold
// 256 bytes at most and may be lost, late, doubled, out of order or spoilt, so each says
// all that its sender knows (or a part, in turn, where that is too long), and a later one
// takes an earlier one's place whatever comes first. They are hints: no promise may rest
// on them, and a dispatcher that hears none goes by what it sees itself.
//
// A dispatcher's life is its number and an incarnation, by which a restart and a second
// process of the same dispatcher are told apart. What a life has said counts until it has
// been silent for four heartbeats.
//
// It owns the form of a message, the merge, and the age of each word. It has no I/O, clock
// or randomness: time is handed in. It must never decide where a job goes.
package gossip

import (
	"cmp"
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
)

const (
	// MaxMessageBytes is the longest message, in bytes: the platform's protocol.
	MaxMessageBytes = 256
	// HeartbeatInterval is the longest time between two messages of a dispatcher that has work out,
	// where there are up to four of them; with more it grows, since each costs all others.
	HeartbeatInterval = 150 * time.Millisecond
	// gap is the least time between two messages. What happens within it goes together.
	gap = 4 * time.Millisecond

	form      = 1 // of messages, in the high half of the first byte; one of another is passed over
	headBytes = 10
	wordBytes = 5
	// maxUsages is how many workers one message can speak of.
	maxUsages = (MaxMessageBytes - headBytes) / wordBytes

	maxLives = 256 // lives remembered at once: a lie must not fill the memory
	maxKnown = 4096

	whole = 1 // flag: whoever is not named has nothing out
)

// Usage is what a dispatcher says of one worker.
type Usage struct {
	WorkerHash uint32  // the worker, by the low 24 bits of a hash that all dispatchers compute alike
	Slots      float64 // slots of its jobs out there, 0 to 63.75 in quarters
	Memory     float64 // memory units of these, 0 to 15.9 in sixteenths
}

// PeerUsage is what all others have said of one worker, added up.
type PeerUsage struct{ Slots, Memory float64 }

type life struct {
	who    uint16
	number uint16 // incarnation
	seq    uint16 // of the latest message
	heard  bool   // one was
	at     time.Duration
	words  map[uint32]known
}

type known struct {
	Usage
	at time.Duration
}

// Participant is one dispatcher's side: what it says, and what it was told.
type Participant struct {
	who    uint16
	number uint16
	seq    uint16
	beat   time.Duration // between two messages at the most
	said   bool          // anything yet
	saidAt time.Duration
	fresh  bool // there is something new to say
	again  int  // heartbeats left: while there is work out, and one for a message that was lost
	from   int  // where the next part begins, where one message does not hold all
	lives  []*life
}

// New makes a book for dispatcher who of so many. The incarnation must differ from that of the
// life before, by a start's time in any unit: its low 16 bits count.
func New(who, dispatchers int, incarnation uint64) *Participant {
	return &Participant{who: uint16(who), number: uint16(incarnation), fresh: true, beat: HeartbeatInterval * time.Duration(max(dispatchers, 4)) / 4}
}

// TimeToLive is how long what was said counts where nothing follows: several words were lost then.
func (b *Participant) TimeToLive() time.Duration { return 4 * b.beat }

// MarkChanged notes that there is something new to say.
func (b *Participant) MarkChanged() { b.fresh = true }

// Due tells whether a message is due.
func (b *Participant) Due(now time.Duration) bool {
	since := now - b.saidAt
	return !b.said || b.again > 0 && since >= b.beat || b.fresh && since >= gap
}

// NextMessage makes a message of words, which are all that there is to say; those beyond maxUsages
// go in the messages after it. Words of nothing are left out.
func (b *Participant) NextMessage(now time.Duration, words []Usage) []byte {
	flags := byte(0)
	words = slices.DeleteFunc(words, func(w Usage) bool { return w.Slots == 0 })
	b.seq++
	if b.again--; b.fresh || len(words) > 0 {
		b.again = 1
	}
	b.said, b.saidAt, b.fresh = true, now, false
	if len(words) <= maxUsages {
		flags = whole
	} else {
		from := b.from % len(words)
		part := slices.Concat(words[from:], words[:from])[:maxUsages]
		b.from, words = from+maxUsages, part
	}
	out := make([]byte, 0, headBytes+wordBytes*len(words))
	out = append(out, form<<4|flags)
	out = binary.LittleEndian.AppendUint16(out, b.who)
	out = binary.LittleEndian.AppendUint16(out, b.number)
	out = binary.LittleEndian.AppendUint16(out, b.seq)
	out = append(out, byte(len(words)))
	for _, w := range words {
		out = append(out, byte(w.WorkerHash), byte(w.WorkerHash>>8), byte(w.WorkerHash>>16), scaled(w.Slots, 4), scaled(w.Memory, 16))
	}
	return binary.LittleEndian.AppendUint16(out, sum(out))
}

func sum(m []byte) uint16 { s := crc32.ChecksumIEEE(m); return uint16(s ^ s>>16) }

// scaled rounds up, so that a little is never told as nothing.
func scaled(v, unit float64) byte { return byte(min(math.Ceil(max(v, 0)*unit), 255)) }

// Receive takes in a message and tells whether it was one. One that is spoilt, of another
// form, or this dispatcher's own is passed over; bytes behind the words are a newer
// sender's, and are not read.
func (b *Participant) Receive(now time.Duration, m []byte) bool {
	if len(m) < headBytes || len(m) > MaxMessageBytes || m[0]>>4 != form {
		return false
	}
	body, n := m[:len(m)-2], int(m[7])
	if sum(body) != binary.LittleEndian.Uint16(m[len(m)-2:]) || len(body) < headBytes-2+n*wordBytes {
		return false
	}
	flags, who := m[0]&15, binary.LittleEndian.Uint16(m[1:])
	number, seq := binary.LittleEndian.Uint16(m[3:]), binary.LittleEndian.Uint16(m[5:])
	if who == b.who && number == b.number {
		return false
	}
	l := b.life(now, who, number)
	if l == nil {
		return false
	}
	if l.heard && int16(seq-l.seq) <= 0 {
		return true // doubled, or overtaken by one that says as much
	}
	l.seq, l.heard, l.at = seq, true, now
	if flags&whole != 0 {
		clear(l.words)
	}
	for i := range n {
		p := body[headBytes-2+i*wordBytes:]
		w := Usage{uint32(p[0]) | uint32(p[1])<<8 | uint32(p[2])<<16, float64(p[3]) / 4, float64(p[4]) / 16}
		if _, ok := l.words[w.WorkerHash]; ok || len(l.words) < maxKnown {
			l.words[w.WorkerHash] = known{w, now}
		}
	}
	return true
}

// life finds the one that speaks, or makes it known; nil where it is an earlier one than
// is known and has gone, or there are too many.
func (b *Participant) life(now time.Duration, who uint16, number uint16) *life {
	b.forget(now)
	for _, l := range b.lives {
		if l.who == who && l.number == number {
			return l
		}
	}
	for _, l := range b.lives {
		if l.who == who && int16(number-l.number) < 0 {
			return nil // from before: what it had out is not known any more
		}
	}
	if len(b.lives) >= maxLives {
		return nil
	}
	l := &life{who: who, number: number, at: now, words: map[uint32]known{}}
	b.lives = append(b.lives, l)
	return l
}

func (b *Participant) forget(now time.Duration) {
	b.lives = slices.DeleteFunc(b.lives, func(l *life) bool { return now-l.at > b.TimeToLive() })
}

// PeerUsage is what is told of a worker now. Words that were not said again in four lives are none.
func (b *Participant) PeerUsage(now time.Duration, subject uint32) (t PeerUsage) {
	for _, l := range b.lives {
		if w, ok := l.words[subject&(1<<24-1)]; ok && now-l.at <= b.TimeToLive() && now-w.at <= 4*b.TimeToLive() {
			t.Slots += w.Slots
			t.Memory += w.Memory
		}
	}
	return t
}

// SortBySlots puts words into the order in which they are best said where not all have room:
// most slots first.
func SortBySlots(words []Usage) {
	slices.SortFunc(words, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.WorkerHash, b.WorkerHash))
	})
}
