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

// reportedSlots returns the slots that other processes have reported to a participant for a worker.
func reportedSlots(p *Participant, now time.Duration, workerHash uint32) float64 {
	return p.PeerUsage(now, workerHash).Slots
}

// TestOrderOfMessagesDoesNotMatter checks that, however messages are lost, delayed, duplicated and reordered, a participant
// holds for each process the usage in the latest message that has arrived from it.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		senders := []*Participant{New(1, 3, 10), New(2, 3, 10), New(1, 3, 11)} // the first and third: one dispatcher
		var all [][]byte
		last := make([]map[uint32]float64, len(senders))
		arrived := make([]int, len(senders)) // number of messages by sender
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			i := rapid.IntRange(0, len(senders)-1).Draw(t, "sender")
			usages := map[uint32]float64{}
			var list []Usage
			for range rapid.IntRange(0, 4).Draw(t, "usages") {
				s := uint32(rapid.IntRange(1, 5).Draw(t, "worker"))
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
			arrived[i]++
			if rapid.Bool().Draw(t, "duplicated") {
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
			want, earlier := 0.0, 0.0
			for i, usages := range last {
				if i == 0 && arrived[2] > 0 { // an earlier incarnation is dropped once a later one is known
					earlier = usages[s]
					continue
				}
				want += usages[s]
			}
			if v := reportedSlots(p, time.Second, s); v != want && v != want+earlier {
				t.Fatalf("worker %d: %v slots reported, want %v", s, v, want)
			}
		}
	})
}

func TestExpiryAndIncarnations(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	one, p := New(1, 3, 5), New(2, 3, 5)
	p.Receive(0, one.NextMessage(0, []Usage{{WorkerHash: 7, Slots: 2, Memory: 1.5}}))
	if diff := cmp.Diff(PeerUsage{Slots: 2, Memory: 1.5}, p.PeerUsage(ms(200), 7)); diff != "" {
		t.Error("peer usage before expiry:", diff)
	}
	if reportedSlots(p, ms(600), 7) != 2 || reportedSlots(p, ms(601), 7) != 0 {
		t.Errorf("usage does not expire exactly after %v without a message", p.TimeToLive())
	}
	// After a restart the usage of the earlier, expired incarnation does not count, and its late messages are dropped.
	late := one.NextMessage(ms(700), []Usage{{WorkerHash: 7, Slots: 3}})
	p.Receive(ms(800), New(1, 3, 6).NextMessage(ms(800), nil))
	p.Receive(ms(810), late)
	if reportedSlots(p, ms(810), 7) != 0 {
		t.Error("a late message of an earlier incarnation counts")
	}
	// Another process of the same dispatcher counts. The participant's own message, which the broadcast address
	// returns to it, does not.
	p.Receive(ms(820), New(2, 3, 4).NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}}))
	own := p.NextMessage(ms(820), []Usage{{WorkerHash: 8, Slots: 1}})
	if p.Receive(ms(820), own) || reportedSlots(p, ms(820), 8) != 1 {
		t.Errorf("after the own message: %v slots, want 1", reportedSlots(p, ms(820), 8))
	}
	// Incarnations wrap around.
	w := New(3, 3, 1<<16-1)
	p.Receive(ms(830), w.NextMessage(ms(830), []Usage{{WorkerHash: 9, Slots: 1}}))
	p.Receive(ms(840), New(3, 3, 0).NextMessage(ms(840), []Usage{{WorkerHash: 9, Slots: 2}}))
	if reportedSlots(p, ms(840), 9) != 3 { // both incarnations run, as during an upgrade
		t.Errorf("after the wrap: %v slots, want 3", reportedSlots(p, ms(840), 9))
	}
}

// TestUsagesBeyondOneMessageGoInTurn checks that a participant reports more usages than one message holds in turn.
func TestUsagesBeyondOneMessageGoInTurn(t *testing.T) {
	var usages []Usage
	for i := range 3*maxUsages - 5 {
		usages = append(usages, Usage{WorkerHash: uint32(i + 1), Slots: 1})
	}
	one, p := New(1, 3, 1), New(2, 3, 1)
	for i := range 3 {
		m := one.NextMessage(time.Duration(i)*minInterval, slices.Clone(usages))
		if len(m) > MaxMessageBytes {
			t.Fatalf("message of %d bytes, longer than MaxMessageBytes", len(m))
		}
		p.Receive(time.Duration(i)*minInterval, m)
	}
	for _, w := range usages {
		if reportedSlots(p, 3*minInterval, w.WorkerHash) != 1 {
			t.Fatalf("worker %d was not reported", w.WorkerHash)
		}
	}
	if p.Receive(4*minInterval, one.NextMessage(4*minInterval, nil)); reportedSlots(p, 4*minInterval, 1) != 0 {
		t.Error("usage counts after a message that reports none")
	}
}

func TestMessageTiming(t *testing.T) {
	p := New(1, 3, 1)
	if !p.Due(0) {
		t.Error("the first message is not due")
	}
	p.NextMessage(0, nil)
	if p.Due(minInterval) || !p.Due(HeartbeatInterval) {
		t.Error("the heartbeat is not due exactly after", HeartbeatInterval)
	}
	if p.NextMessage(HeartbeatInterval, nil); p.Due(time.Hour) {
		t.Error("a message is due with nothing in use and no change")
	}
	inUse := []Usage{{WorkerHash: 7, Slots: 1}}
	for at := HeartbeatInterval; at < time.Minute; at += HeartbeatInterval {
		if p.NextMessage(at, slices.Clone(inUse)); !p.Due(at + HeartbeatInterval) {
			t.Fatal("no message is due with work in progress")
		}
	}
	p.NextMessage(0, nil)
	if many := New(1, 40, 1); many.TimeToLive() < 10*p.TimeToLive()-1 {
		t.Errorf("with 40 dispatchers reports expire after %v, want 10 times the usual time", many.TimeToLive())
	}
	p.MarkChanged()
	if p.Due(minInterval-1) || !p.Due(minInterval) {
		t.Error("a change is not due exactly after", minInterval)
	}
}

// TestCorruptMessagesAreDropped checks that messages that are corrupt, truncated or too long are dropped, that bytes of a
// newer sender after the usages are skipped, and that forged messages can't exhaust memory.
func TestCorruptMessagesAreDropped(t *testing.T) {
	withChecksum := func(m []byte) []byte { return binary.LittleEndian.AppendUint16(m, checksum(m)) }
	valid := New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1}})
	p := New(2, 3, 1)
	for i := range valid {
		corrupt := slices.Clone(valid)
		corrupt[i] ^= 1 << (i % 8)
		if p.Receive(0, corrupt) || p.Receive(0, valid[:i]) {
			t.Errorf("accepted with byte %d corrupted, or truncated there", i)
		}
	}
	body := valid[:len(valid)-2]
	for name, m := range map[string][]byte{"empty": nil, "too long": make([]byte, MaxMessageBytes+1), "more usages than bytes": func() []byte {
		m := slices.Clone(body)
		m[7] = 9
		return withChecksum(m)
	}()} {
		if p.Receive(0, m) {
			t.Error(name, "message is accepted")
		}
	}
	if newer := withChecksum(append(slices.Clone(body), 1, 2, 3)); !p.Receive(0, newer) || reportedSlots(p, 0, 7) != 1 {
		t.Error("the known part of a longer message is not read")
	}
	for i := range 1000 {
		p.Receive(0, New(100+i, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 63}}))
	}
	if len(p.peers) > maxPeers {
		t.Errorf("the state of %d processes is kept, more than maxPeers", len(p.peers))
	}
}

func FuzzReceive(f *testing.F) {
	f.Add(New(1, 3, 1).NextMessage(0, []Usage{{WorkerHash: 7, Slots: 1, Memory: 2}}))
	f.Fuzz(func(t *testing.T, m []byte) {
		p := New(2, 3, 1)
		if p.Receive(0, m); p.PeerUsage(0, 7).Slots < 0 || len(p.peers) > 1 || len(p.NextMessage(0, nil)) > MaxMessageBytes {
			t.Error("the message leads to negative usage, more than one peer or a message that is too long")
		}
	})
}
