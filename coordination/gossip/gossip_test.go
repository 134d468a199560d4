package gossip

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"encoding/binary"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// what one book has been told of a worker, without its age.
func slots(b *Participant, now time.Duration, subject uint32) float64 {
	return b.PeerUsage(now, subject).Slots
}

// However messages are lost, late, doubled and mixed, a book holds of each life what the
// latest message that reached it says: the order does not matter.
func TestAnyOrderIsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := []*Participant{New(1, 3, 10), New(2, 3, 10), New(1, 3, 11)} // the third is the first's other process
		var all [][]byte
		last := make([]map[uint32]float64, len(senders))
		got := make([]int, len(senders)) // how many of a sender's messages arrive
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			i := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
			words := map[uint32]float64{}
			var list []Usage
			for range rapid.IntRange(0, 4).Draw(t, "words") {
				s := uint32(rapid.IntRange(1, 5).Draw(t, "subject"))
				words[s] = float64(rapid.IntRange(1, 200).Draw(t, "quarters")) / 4
			}
			for s, v := range words {
				list = append(list, Usage{WorkerHash: s, Slots: v})
			}
			m := senders[i].NextMessage(0, list)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			all, last[i] = append(all, m), words
			got[i]++
			if rapid.Bool().Draw(t, "doubled") {
				all = append(all, m)
			}
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		b := New(9, 3, 1)
		for _, m := range all {
			b.Receive(time.Second, m)
		}
		for s := range uint32(6) {
			want, older := 0.0, 0.0
			for i, words := range last {
				if i == 0 && got[2] > 0 { // an earlier life is passed over once a later one is known
					older = words[s]
					continue
				}
				want += words[s]
			}
			if v := slots(b, time.Second, s); v != want && v != want+older {
				t.Fatalf("of worker %d: %v slots, want %v", s, v, want)
			}
		}
	})
}

func TestAgeAndLives(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	one, b := New(1, 3, 5), New(2, 3, 5)
	b.Receive(0, one.NextMessage(0, []Usage{{WorkerHash: 7, Slots: 2, Memory: 1.5}}))
	if diff := cmp.Diff(PeerUsage{Slots: 2, Memory: 1.5}, b.PeerUsage(ms(200), 7)); diff != "" {
		t.Error("what was said holds:", diff)
	}
	if slots(b, ms(600), 7) != 2 || slots(b, ms(601), 7) != 0 {
		t.Errorf("a dispatcher counts for %v without a word", b.TimeToLive())
	}
	// A restart: what the life before had out is not known any more, and its late words are no news.
	late := one.NextMessage(ms(700), []Usage{{WorkerHash: 7, Slots: 3}})
	b.Receive(ms(800), New(1, 3, 6).NextMessage(ms(800), nil))
	b.Receive(ms(810), late)
	if slots(b, ms(810), 7) != 0 {
		t.Error("an earlier life speaks")
	}
	// The other process of the same dispatcher counts; the own message, come back by the address
	// that reaches all, does not.
	b.Receive(ms(820), New(2, 3, 4).NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}}))
	own := b.NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}})
	if b.Receive(ms(820), own) || slots(b, ms(820), 8) != 1 {
		t.Errorf("own words: %v slots", slots(b, ms(820), 8))
	}
	// Numbers wrap around.
	w := New(3, 3, 1<<16-1)
	b.Receive(ms(830), w.NextMessage(ms(830), []Usage{{WorkerHash: 9, Slots: 1}}))
	b.Receive(ms(840), New(3, 3, 0).NextMessage(ms(840), []Usage{{WorkerHash: 9, Slots: 2}}))
	if slots(b, ms(840), 9) != 3 { // both live: an upgrade
		t.Errorf("after the wrap: %v slots", slots(b, ms(840), 9))
	}
}

// More workers than one message holds are told of in turn.
func TestPartsInTurn(t *testing.T) {
	var words []Usage
	for i := range 3*maxUsages - 5 {
		words = append(words, Usage{WorkerHash: uint32(i + 1), Slots: 1})
	}
	one, b := New(1, 3, 1), New(2, 3, 1)
	for i := range 3 {
		m := one.NextMessage(time.Duration(i)*gap, slices.Clone(words))
		if len(m) > MaxMessageBytes {
			t.Fatalf("a message of %d bytes", len(m))
		}
		b.Receive(time.Duration(i)*gap, m)
	}
	for _, w := range words {
		if slots(b, 3*gap, w.WorkerHash) != 1 {
			t.Fatalf("worker %d was not told of", w.WorkerHash)
		}
	}
	if b.Receive(4*gap, one.NextMessage(4*gap, nil)); slots(b, 4*gap, 1) != 0 {
		t.Error("nothing is out, and counts")
	}
}

func TestWhenToSpeak(t *testing.T) {
	b := New(1, 3, 1)
	if !b.Due(0) {
		t.Error("the first word is not due")
	}
	b.NextMessage(0, nil)
	if b.Due(gap) || !b.Due(HeartbeatInterval) {
		t.Error("a word that may have been lost is said again after", HeartbeatInterval)
	}
	if b.NextMessage(HeartbeatInterval, nil); b.Due(time.Hour) {
		t.Error("one with nothing out and nothing new speaks")
	}
	out := []Usage{{WorkerHash: 7, Slots: 1}}
	for at := HeartbeatInterval; at < time.Minute; at += HeartbeatInterval {
		if b.NextMessage(at, slices.Clone(out)); !b.Due(at + HeartbeatInterval) {
			t.Fatal("one with work out falls silent")
		}
	}
	b.NextMessage(0, nil)
	if many := New(1, 40, 1); many.TimeToLive() < 10*b.TimeToLive()-1 {
		t.Errorf("with 40 dispatchers a word counts for %v", many.TimeToLive())
	}
	b.MarkChanged()
	if b.Due(gap-1) || !b.Due(gap) {
		t.Error("news go out after", gap)
	}
}

// What is spoilt, cut, of another form or longer than allowed is passed over; a newer
// sender's bytes behind the words are. A lie can't fill the memory.
func TestFoul(t *testing.T) {
	sealed := func(m []byte) []byte { return binary.LittleEndian.AppendUint16(m, sum(m)) }
	good := New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1}})
	b := New(2, 3, 1)
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 1 << (i % 8)
		if b.Receive(0, bad) || b.Receive(0, good[:i]) {
			t.Errorf("taken with byte %d spoilt, or cut off there", i)
		}
	}
	body := good[:len(good)-2]
	for name, m := range map[string][]byte{"none": nil, "too long": make([]byte, MaxMessageBytes+1), "more words than bytes": func() []byte {
		m := slices.Clone(body)
		m[7] = 9
		return sealed(m)
	}()} {
		if b.Receive(0, m) {
			t.Error(name, "is taken")
		}
	}
	if newer := sealed(append(slices.Clone(body), 1, 2, 3)); !b.Receive(0, newer) || slots(b, 0, 7) != 1 {
		t.Error("a longer form is not read as far as it is known")
	}
	for i := range 1000 {
		b.Receive(0, New(100+i, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 63}}))
	}
	if len(b.lives) > maxLives {
		t.Errorf("%d lives are remembered", len(b.lives))
	}
}

func FuzzHear(f *testing.F) {
	f.Add(New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1, Memory: 2}}))
	f.Fuzz(func(t *testing.T, m []byte) {
		b := New(2, 3, 1)
		if b.Receive(0, m); b.PeerUsage(0, 7).Slots < 0 || len(b.lives) > 1 || len(b.NextMessage(0, nil)) > MaxMessageBytes {
			t.Error("nonsense")
		}
	})
}
