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
	// MaxMessage is the longest message, in bytes: the platform's protocol.
	MaxMessage = 256
	// Heartbeat is the longest time between two messages of a dispatcher that has work out,
	// where there are up to four of them; with more it grows, since each costs all others.
	Heartbeat = 150 * time.Millisecond
	// gap is the least time between two messages. What happens within it goes together.
	gap = 4 * time.Millisecond

	form      = 1 // of messages, in the high half of the first byte; one of another is passed over
	headBytes = 10
	wordBytes = 5
	// MaxWords is how many workers one message can speak of.
	MaxWords = (MaxMessage - headBytes) / wordBytes

	maxLives = 256 // lives remembered at once: a lie must not fill the memory
	maxKnown = 4096

	whole = 1 // flag: whoever is not named has nothing out
)

// Word is what a dispatcher says of one worker.
type Word struct {
	Subject uint32  // the worker, by the low 24 bits of a hash that all dispatchers compute alike
	Slots   float64 // slots of its jobs out there, 0 to 63.75 in quarters
	Memory  float64 // memory units of these, 0 to 15.9 in sixteenths
}

// Told is what all others have said of one worker, added up.
type Told struct{ Slots, Memory float64 }

type life struct {
	who    uint16
	number uint16 // incarnation
	seq    uint16 // of the latest message
	heard  bool   // one was
	at     time.Duration
	words  map[uint32]known
}

type known struct {
	Word
	at time.Duration
}

// Book is one dispatcher's side: what it says, and what it was told.
type Book struct {
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
func New(who, dispatchers int, incarnation uint64) *Book {
	return &Book{who: uint16(who), number: uint16(incarnation), fresh: true, beat: Heartbeat * time.Duration(max(dispatchers, 4)) / 4}
}

// Life is how long what was said counts where nothing follows: several words were lost then.
func (b *Book) Life() time.Duration { return 4 * b.beat }

// Changed notes that there is something new to say.
func (b *Book) Changed() { b.fresh = true }

// Due tells whether a message is due.
func (b *Book) Due(now time.Duration) bool {
	since := now - b.saidAt
	return !b.said || b.again > 0 && since >= b.beat || b.fresh && since >= gap
}

// Say makes a message of words, which are all that there is to say; those beyond MaxWords
// go in the messages after it. Words of nothing are left out.
func (b *Book) Say(now time.Duration, words []Word) []byte {
	flags := byte(0)
	words = slices.DeleteFunc(words, func(w Word) bool { return w.Slots == 0 })
	b.seq++
	if b.again--; b.fresh || len(words) > 0 {
		b.again = 1
	}
	b.said, b.saidAt, b.fresh = true, now, false
	if len(words) <= MaxWords {
		flags = whole
	} else {
		from := b.from % len(words)
		part := slices.Concat(words[from:], words[:from])[:MaxWords]
		b.from, words = from+MaxWords, part
	}
	out := make([]byte, 0, headBytes+wordBytes*len(words))
	out = append(out, form<<4|flags)
	out = binary.LittleEndian.AppendUint16(out, b.who)
	out = binary.LittleEndian.AppendUint16(out, b.number)
	out = binary.LittleEndian.AppendUint16(out, b.seq)
	out = append(out, byte(len(words)))
	for _, w := range words {
		out = append(out, byte(w.Subject), byte(w.Subject>>8), byte(w.Subject>>16), scaled(w.Slots, 4), scaled(w.Memory, 16))
	}
	return binary.LittleEndian.AppendUint16(out, sum(out))
}

func sum(m []byte) uint16 { s := crc32.ChecksumIEEE(m); return uint16(s ^ s>>16) }

// scaled rounds up, so that a little is never told as nothing.
func scaled(v, unit float64) byte { return byte(min(math.Ceil(max(v, 0)*unit), 255)) }

// Hear takes in a message and tells whether it was one. One that is spoilt, of another
// form, or this dispatcher's own is passed over; bytes behind the words are a newer
// sender's, and are not read.
func (b *Book) Hear(now time.Duration, m []byte) bool {
	if len(m) < headBytes || len(m) > MaxMessage || m[0]>>4 != form {
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
		w := Word{uint32(p[0]) | uint32(p[1])<<8 | uint32(p[2])<<16, float64(p[3]) / 4, float64(p[4]) / 16}
		if _, ok := l.words[w.Subject]; ok || len(l.words) < maxKnown {
			l.words[w.Subject] = known{w, now}
		}
	}
	return true
}

// life finds the one that speaks, or makes it known; nil where it is an earlier one than
// is known and has gone, or there are too many.
func (b *Book) life(now time.Duration, who uint16, number uint16) *life {
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

func (b *Book) forget(now time.Duration) {
	b.lives = slices.DeleteFunc(b.lives, func(l *life) bool { return now-l.at > b.Life() })
}

// Of is what is told of a worker now. Words that were not said again in four lives are none.
func (b *Book) Of(now time.Duration, subject uint32) (t Told) {
	for _, l := range b.lives {
		if w, ok := l.words[subject&(1<<24-1)]; ok && now-l.at <= b.Life() && now-w.at <= 4*b.Life() {
			t.Slots += w.Slots
			t.Memory += w.Memory
		}
	}
	return t
}

// Order puts words into the order in which they are best said where not all have room:
// most slots first.
func Order(words []Word) {
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Subject, b.Subject))
	})
}
