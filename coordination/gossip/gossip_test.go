package gossip

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// reportedSlots returns the slots that others have reported to a participant for a worker.
func reportedSlots(p *Participant, now time.Duration, subject uint32) float64 {
	return p.PeerUsage(now, subject).Slots
}

// However messages are lost, late, duplicated and mixed, a participant holds of each process what the
// latest message that reached it says: the order does not matter.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := []*Participant{New(1, 3, 10), New(2, 3, 10), New(1, 3, 11)} // the third is the first's other process
		var all [][]byte
		last := make([]map[uint32]float64, len(senders))
		got := make([]int, len(senders)) // how many of a sender's messages arrive
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			i := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
			usages := map[uint32]float64{}
			var list []Usage
			for range rapid.IntRange(0, 4).Draw(t, "words") {
				s := uint32(rapid.IntRange(1, 5).Draw(t, "subject"))
				usages[s] = float64(rapid.IntRange(1, 200).Draw(t, "quarters")) / 4
			}
			for s, v := range usages {
				list = append(list, Usage{WorkerHash: s, Slots: v})
			}
			m := senders[i].NextMessage(0, list)
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			all, last[i] = append(all, m), usages
			got[i]++
			if rapid.Bool().Draw(t, "doubled") {
				all = append(all, m)
			}
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		p := New(9, 3, 1)
		for _, m := range all {
			p.Receive(time.Second, m)
		}
		for s := range uint32(6) {
			want, older := 0.0, 0.0
			for i, usages := range last {
				if i == 0 && got[2] > 0 { // an earlier incarnation is dropped once a later one is known
					older = usages[s]
					continue
				}
				want += usages[s]
			}
			if v := reportedSlots(p, time.Second, s); v != want && v != want+older {
				t.Fatalf("of worker %d: %v slots, want %v", s, v, want)
			}
		}
	})
}

func TestAgeAndIncarnations(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	one, p := New(1, 3, 5), New(2, 3, 5)
	p.Receive(0, one.NextMessage(0, []Usage{{WorkerHash: 7, Slots: 2, Memory: 1.5}}))
	if diff := cmp.Diff(PeerUsage{Slots: 2, Memory: 1.5}, p.PeerUsage(ms(200), 7)); diff != "" {
		t.Error("what was said holds:", diff)
	}
	if reportedSlots(p, ms(600), 7) != 2 || reportedSlots(p, ms(601), 7) != 0 {
		t.Errorf("a dispatcher counts for %v without a message", p.TimeToLive())
	}
	// A restart: what the incarnation before had in use is not known any more, and its late messages are dropped.
	late := one.NextMessage(ms(700), []Usage{{WorkerHash: 7, Slots: 3}})
	p.Receive(ms(800), New(1, 3, 6).NextMessage(ms(800), nil))
	p.Receive(ms(810), late)
	if reportedSlots(p, ms(810), 7) != 0 {
		t.Error("an earlier incarnation counts")
	}
	// The other process of the same dispatcher counts; the own message, come back by the address
	// that reaches all, does not.
	p.Receive(ms(820), New(2, 3, 4).NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}}))
	own := p.NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}})
	if p.Receive(ms(820), own) || reportedSlots(p, ms(820), 8) != 1 {
		t.Errorf("own message: %v slots", reportedSlots(p, ms(820), 8))
	}
	// Numbers wrap around.
	w := New(3, 3, 1<<16-1)
	p.Receive(ms(830), w.NextMessage(ms(830), []Usage{{WorkerHash: 9, Slots: 1}}))
	p.Receive(ms(840), New(3, 3, 0).NextMessage(ms(840), []Usage{{WorkerHash: 9, Slots: 2}}))
	if reportedSlots(p, ms(840), 9) != 3 { // both run: an upgrade
		t.Errorf("after the wrap: %v slots", reportedSlots(p, ms(840), 9))
	}
}

// More workers than one message holds are reported in turn.
func TestUsagesBeyondOneMessageGoInTurn(t *testing.T) {
	var usages []Usage
	for i := range 3*maxUsages - 5 {
		usages = append(usages, Usage{WorkerHash: uint32(i + 1), Slots: 1})
	}
	one, p := New(1, 3, 1), New(2, 3, 1)
	for i := range 3 {
		m := one.NextMessage(time.Duration(i)*minGap, slices.Clone(usages))
		if len(m) > MaxMessageBytes {
			t.Fatalf("a message of %d bytes", len(m))
		}
		p.Receive(time.Duration(i)*minGap, m)
	}
	for _, w := range usages {
		if reportedSlots(p, 3*minGap, w.WorkerHash) != 1 {
			t.Fatalf("worker %d was not reported", w.WorkerHash)
		}
	}
	if p.Receive(4*minGap, one.NextMessage(4*minGap, nil)); reportedSlots(p, 4*minGap, 1) != 0 {
		t.Error("nothing is in use, and counts")
	}
}

func TestWhenAMessageIsDue(t *testing.T) {
	p := New(1, 3, 1)
	if !p.Due(0) {
		t.Error("the first message is not due")
	}
	p.NextMessage(0, nil)
	if p.Due(minGap) || !p.Due(HeartbeatInterval) {
		t.Error("a message that may have been lost is sent again after", HeartbeatInterval)
	}
	if p.NextMessage(HeartbeatInterval, nil); p.Due(time.Hour) {
		t.Error("one with nothing in use and nothing new sends a message")
	}
	out := []Usage{{WorkerHash: 7, Slots: 1}}
	for at := HeartbeatInterval; at < time.Minute; at += HeartbeatInterval {
		if p.NextMessage(at, slices.Clone(out)); !p.Due(at + HeartbeatInterval) {
			t.Fatal("one with work in progress falls silent")
		}
	}
	p.NextMessage(0, nil)
	if many := New(1, 40, 1); many.TimeToLive() < 10*p.TimeToLive()-1 {
		t.Errorf("with 40 dispatchers a report counts for %v", many.TimeToLive())
	}
	p.MarkChanged()
	if p.Due(minGap-1) || !p.Due(minGap) {
		t.Error("changes go out after", minGap)
	}
}

// What is garbled, cut, of another version or longer than allowed is dropped; a newer
// sender's bytes after the usages are skipped. Forged messages can't fill the memory.
func TestGarbledMessagesAreDropped(t *testing.T) {
	sealed := func(m []byte) []byte { return binary.LittleEndian.AppendUint16(m, checksum(m)) }
	good := New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1}})
	p := New(2, 3, 1)
	for i := range good {
		bad := slices.Clone(good)
		bad[i] ^= 1 << (i % 8)
		if p.Receive(0, bad) || p.Receive(0, good[:i]) {
			t.Errorf("taken with byte %d garbled, or cut off there", i)
		}
	}
	body := good[:len(good)-2]
	for name, m := range map[string][]byte{"none": nil, "too long": make([]byte, MaxMessageBytes+1), "more usages than bytes": func() []byte {
		m := slices.Clone(body)
		m[7] = 9
		return sealed(m)
	}()} {
		if p.Receive(0, m) {
			t.Error(name, "is taken")
		}
	}
	if newer := sealed(append(slices.Clone(body), 1, 2, 3)); !p.Receive(0, newer) || reportedSlots(p, 0, 7) != 1 {
		t.Error("a longer message is not read as far as it is known")
	}
	for i := range 1000 {
		p.Receive(0, New(100+i, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 63}}))
	}
	if len(p.peers) > maxPeers {
		t.Errorf("%d processes are remembered", len(p.peers))
	}
}

func FuzzHear(f *testing.F) {
	f.Add(New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1, Memory: 2}}))
	f.Fuzz(func(t *testing.T, m []byte) {
		p := New(2, 3, 1)
		if p.Receive(0, m); p.PeerUsage(0, 7).Slots < 0 || len(p.peers) > 1 || len(p.NextMessage(0, nil)) > MaxMessageBytes {
			t.Error("nonsense")
		}
	})
}
