// Package gossip is what dispatchers tell each other in datagrams: how much each has out
// at every worker, and which workers have taken its work and say nothing. Messages hold
// 256 bytes at most and may be lost, late, doubled, out of order or spoilt, so each says
// all that its sender knows (or a part, in turn, where that is too long), and a later one
// takes an earlier one's place whatever comes first. They are hints: no promise may rest
// on them, and a dispatcher that hears none goes by what it sees itself.
//
// A dispatcher's life is its number and an incarnation, by which a restart and a second
// process of the same dispatcher are told apart. What a life has said counts until it has
// been silent for Life.
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
	// Life is how long a dispatcher that says nothing is taken to be there. Words come at
	// least every Heartbeat, so several must have been lost.
	Life = 600 * time.Millisecond
	// Heartbeat is the longest time between two messages.
	Heartbeat = 150 * time.Millisecond
	// gap is the least time between two messages. What happens within it goes together.
	gap = 4 * time.Millisecond

	form      = 1 // of messages; one of another form is passed over
	headBytes = 17
	wordBytes = 7
	// MaxWords is how many workers one message can speak of.
	MaxWords = (MaxMessage - headBytes) / wordBytes

	maxLives = 64 // lives remembered at once: a lie must not fill the memory
	maxKnown = 4096

	whole = 1 // flag: whoever is not named has nothing out
)

// Word is what a dispatcher says of one worker.
type Word struct {
	Subject uint32        // the worker, by a hash that all dispatchers compute alike
	Slots   float64       // slots of its jobs out there, 0 to 63.75 in quarters
	Memory  float64       // memory units of these, 0 to 15.9 in sixteenths
	Quiet   time.Duration // for so long it has had work there and heard nothing, 0 to 12.75 s
}

// Told is what all others have said of one worker, added up.
type Told struct {
	Slots, Memory float64
	Quiet         time.Duration // the longest that one of them has said, by now
}

type life struct {
	who    uint16
	number uint32 // incarnation
	seq    uint32 // of the latest message
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
	number uint32
	seq    uint32
	saidAt time.Duration
	fresh  bool // there is something new to say
	from   int  // where the next part begins, where one message does not hold all
	lives  []*life
	foul   int
}

// New makes a book for dispatcher who. The incarnation must grow with each start; it may
// wrap around.
func New(who int, incarnation uint32) *Book {
	return &Book{who: uint16(who), number: incarnation, fresh: true}
}

// Changed notes that there is something new to say.
func (b *Book) Changed() { b.fresh = true }

// Due tells whether a message is due.
func (b *Book) Due(now time.Duration) bool {
	since := now - b.saidAt
	return b.seq == 0 || since >= Heartbeat || b.fresh && since >= gap
}

// Say makes a message of words, which are all that there is to say; those beyond MaxWords
// go in the messages after it. Words of nothing are left out.
func (b *Book) Say(now time.Duration, words []Word) []byte {
	flags := byte(0)
	words = slices.DeleteFunc(words, func(w Word) bool { return w.Slots == 0 && w.Quiet == 0 })
	b.seq++
	b.saidAt, b.fresh = now, false
	if len(words) <= MaxWords {
		flags = whole
	} else {
		from := b.from % len(words)
		part := slices.Concat(words[from:], words[:from])[:MaxWords]
		b.from, words = from+MaxWords, part
	}
	out := make([]byte, 0, headBytes+wordBytes*len(words))
	out = append(out, form, flags)
	out = binary.LittleEndian.AppendUint16(out, b.who)
	out = binary.LittleEndian.AppendUint32(out, b.number)
	out = binary.LittleEndian.AppendUint32(out, b.seq)
	out = append(out, byte(len(words)))
	for _, w := range words {
		out = binary.LittleEndian.AppendUint32(out, w.Subject)
		out = append(out, scaled(w.Slots, 4), scaled(w.Memory, 16), scaled(w.Quiet.Seconds(), 20))
	}
	return binary.LittleEndian.AppendUint32(out, crc32.ChecksumIEEE(out))
}

// scaled rounds up, so that a little is never told as nothing.
func scaled(v, unit float64) byte { return byte(min(math.Ceil(max(v, 0)*unit), 255)) }

// Hear takes in a message and tells whether it was one. One that is spoilt, of another
// form, or this dispatcher's own is passed over; bytes behind the words are a newer
// sender's, and are not read.
func (b *Book) Hear(now time.Duration, m []byte) bool {
	if len(m) < headBytes || len(m) > MaxMessage || m[0] != form {
		b.foul++
		return false
	}
	body, sum := m[:len(m)-4], binary.LittleEndian.Uint32(m[len(m)-4:])
	n := int(m[12])
	if crc32.ChecksumIEEE(body) != sum || len(body) < headBytes-4+n*wordBytes {
		b.foul++
		return false
	}
	flags, who := m[1], binary.LittleEndian.Uint16(m[2:])
	number, seq := binary.LittleEndian.Uint32(m[4:]), binary.LittleEndian.Uint32(m[8:])
	if who == b.who && number == b.number {
		return false
	}
	l := b.life(now, who, number)
	if l == nil {
		return false
	}
	if l.seq != 0 && int32(seq-l.seq) <= 0 {
		return true // doubled, or overtaken by one that says as much
	}
	l.seq, l.at = seq, now
	if flags&whole != 0 {
		clear(l.words)
	}
	for i := range n {
		p := body[headBytes-4+i*wordBytes:]
		w := Word{binary.LittleEndian.Uint32(p), float64(p[4]) / 4, float64(p[5]) / 16, time.Duration(p[6]) * time.Second / 20}
		if _, ok := l.words[w.Subject]; ok || len(l.words) < maxKnown {
			l.words[w.Subject] = known{w, now}
		}
	}
	return true
}

// life finds the one that speaks, or makes it known; nil where it is an earlier one than
// is known and has gone, or there are too many.
func (b *Book) life(now time.Duration, who uint16, number uint32) *life {
	b.forget(now)
	for _, l := range b.lives {
		if l.who == who && l.number == number {
			return l
		}
	}
	for _, l := range b.lives {
		if l.who == who && int32(number-l.number) < 0 {
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
	b.lives = slices.DeleteFunc(b.lives, func(l *life) bool { return now-l.at > Life })
}

// Others counts the dispatchers that are heard of now, this one's other process left out.
func (b *Book) Others(now time.Duration) int {
	b.forget(now)
	var seen []uint16
	for _, l := range b.lives {
		if l.who != b.who && !slices.Contains(seen, l.who) {
			seen = append(seen, l.who)
		}
	}
	return len(seen)
}

// Of is what is told of a worker now. Words that were not said again in Life are none.
func (b *Book) Of(now time.Duration, subject uint32) (t Told) {
	for _, l := range b.lives {
		w, ok := l.words[subject]
		if !ok || now-l.at > Life || now-w.at > 4*Life {
			continue
		}
		t.Slots += w.Slots
		t.Memory += w.Memory
		if w.Quiet > 0 {
			t.Quiet = max(t.Quiet, w.Quiet+now-w.at)
		}
	}
	return t
}

// Foul counts the messages that could not be read.
func (b *Book) Foul() int { return b.foul }

// Order puts words into the order in which they are best said where not all have room:
// what is quiet first, then most slots.
func Order(words []Word) {
	slices.SortFunc(words, func(a, b Word) int {
		return cmp.Or(cmp.Compare(b.Quiet, a.Quiet), cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Subject, b.Subject))
	})
}
