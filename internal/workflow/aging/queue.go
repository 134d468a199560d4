package aging

import (
	"cmp"
	"container/heap"
	"time"
)

// Entry is one element of a Queue. Entries are ordered by ServeBy, then Number, then Value. All coordinators must hand
// out the same entries in the same order, however they came to their state, so that no two entries that differ may be
// equal in this order.
type Entry[T Ordered[T]] struct {
	ServeBy time.Duration
	Number  uint64
	Value   T
}

// Ordered is a type with a total order: Compare returns a negative number, 0 or a positive one, as cmp.Compare does.
type Ordered[T any] interface{ Compare(T) int }

func (e Entry[T]) less(o Entry[T]) bool {
	if c := cmp.Or(cmp.Compare(e.ServeBy, o.ServeBy), cmp.Compare(e.Number, o.Number)); c != 0 {
		return c < 0
	}
	return e.Value.Compare(o.Value) < 0
}

// Queue is a priority queue of entries. The zero value is empty. It is not safe for concurrent use.
type Queue[T Ordered[T]] struct{ entries entryHeap[T] }

// Push adds an entry.
func (q *Queue[T]) Push(e Entry[T]) { heap.Push(&q.entries, e) }

// Pop removes and returns the first entry, false where the queue is empty.
func (q *Queue[T]) Pop() (e Entry[T], ok bool) {
	if len(q.entries) == 0 {
		return e, false
	}
	return heap.Pop(&q.entries).(Entry[T]), true
}

// Peek returns the first entry, false where the queue is empty.
func (q *Queue[T]) Peek() (e Entry[T], ok bool) {
	if len(q.entries) == 0 {
		return e, false
	}
	return q.entries[0], true
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// entryHeap implements heap.Interface.
type entryHeap[T Ordered[T]] []Entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return h[i].less(h[j]) }
func (h entryHeap[T]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *entryHeap[T]) Push(x any)        { *h = append(*h, x.(Entry[T])) }
func (h *entryHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	var zero Entry[T]
	old[len(old)-1] = zero // releases what the entry refers to
	*h = old[:len(old)-1]
	return last
}
