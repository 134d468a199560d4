package chain

import (
	"math/rand/v2"
	"testing"
)

// TestBytesInFlight checks that the incrementally updated sum equals a sum over all entries in flight.
func TestBytesInFlight(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	r := New(1, 1, Snapshot{}, nil, 0)
	r.SetView(View{1, []MemberID{1, 2}, 0})
	for step := range 3000 {
		switch random.IntN(5) {
		case 0, 1:
			r.Propose([]Proposal{{Origin: 1, Data: make([]byte, random.IntN(300))}})
			r.Ready()
		case 2:
			r.successor.acked = max(r.successor.acked, min(r.LastIndex(), r.successor.acked+uint64(random.IntN(4))))
		case 3:
			r.log.commitIndex = max(r.log.commitIndex, r.successor.acked)
			if random.IntN(20) == 0 {
				r.Compact(r.log.commitIndex, nil)
				r.successor.next = max(r.successor.next, r.log.snapshotIndex+1)
			}
		case 4:
			if random.IntN(10) == 0 {
				r.Reconnected(2)
				r.Ready()
			}
		}
		want := 0
		for index := max(r.successor.acked, r.log.snapshotIndex) + 1; index < r.successor.next; index++ {
			want += len(r.log.entry(index).Data)
		}
		if got := r.successor.bytesInFlight(&r.log); got != want {
			t.Fatalf("step %d: %d bytes in flight, want %d", step, got, want)
		}
	}
}

// BenchmarkCatchUp measures how long a head takes to create the first Appends for a successor with an empty log.
func BenchmarkCatchUp(b *testing.B) {
	entries := make([]Entry, 20000)
	for i := range entries {
		entries[i] = Entry{Index: uint64(i + 1), Epoch: 1, Data: make([]byte, 100)}
	}
	for b.Loop() {
		r := New(1, 1, Snapshot{}, entries, uint64(len(entries)))
		r.SetView(View{2, []MemberID{1, 2}, 0})
		r.successor.next = 1
		r.Ready()
	}
}
