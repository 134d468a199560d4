// Package aging is the order in which ready steps are handed out: by how soon each must begin for its
// flow to end in the time wanted, and never later than by its age, so that none waits for ever. It
// has no clock, draw or I/O.
//
// A step's place is a moment: the latest at which it may begin (its flow's wanted end less its
// critical path), but not before it became ready, and not later than Most after that. Steps that
// become ready later than a step's place are never before it, so it waits at the most for what was
// ready, or became ready within Most, before it.
package aging

import (
	"cmp"
	"container/heap"
	"time"
)

// MaxDelay is how much later than others a step may be served for want of urgency.
const MaxDelay = 30 * time.Second

// ServeBy is a step's, by when it became ready, and the latest at which it may begin (0: no matter).
func ServeBy(ready, latest time.Duration) time.Duration {
	if latest == 0 || latest > ready+MaxDelay {
		return ready + MaxDelay
	}
	return max(latest, ready)
}

// MaxWait is how long a ready step waits at the most where steps are served at a rate (a second), ahead
// are ready before it, and others become ready at a rate that is lower.
func MaxWait(ahead int, served, fresh float64) time.Duration {
	return time.Duration((float64(ahead) + fresh*MaxDelay.Seconds()) / served * float64(time.Second))
}

// Entry is one that waits: in order of its place, then of its number, then by what it is. All who agree
// on what waits hand it out alike, whatever way they came to it: so no two that are not alike are equal.
type Entry[T Ordered[T]] struct {
	ServeBy time.Duration
	Number  uint64
	Value   T
}

// Ordered is what waits, in an order of its own.
type Ordered[T any] interface{ Compare(T) int }

func (e Entry[T]) less(o Entry[T]) bool {
	if c := cmp.Or(cmp.Compare(e.ServeBy, o.ServeBy), cmp.Compare(e.Number, o.Number)); c != 0 {
		return c < 0
	}
	return e.Value.Compare(o.Value) < 0
}

// Queue is one order. The zero value is empty.
type Queue[T Ordered[T]] struct{ q entries[T] }

type entries[T Ordered[T]] []Entry[T]

func (e entries[T]) Len() int           { return len(e) }
func (e entries[T]) Less(i, j int) bool { return e[i].less(e[j]) }
func (e entries[T]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries[T]) Push(x any)        { *e = append(*e, x.(Entry[T])) }
func (e *entries[T]) Pop() any {
	old := *e
	last := old[len(old)-1]
	var zero Entry[T]
	old[len(old)-1] = zero
	*e = old[:len(old)-1]
	return last
}

// Push puts one in.
func (q *Queue[T]) Push(e Entry[T]) { heap.Push(&q.q, e) }

// Pop takes the first out; false where there is none.
func (q *Queue[T]) Pop() (e Entry[T], ok bool) {
	if len(q.q) == 0 {
		return e, false
	}
	return heap.Pop(&q.q).(Entry[T]), true
}

// Peek is the first; false where there is none.
func (q *Queue[T]) Peek() (e Entry[T], ok bool) {
	if len(q.q) == 0 {
		return e, false
	}
	return q.q[0], true
}

// Len is how many there are.
func (q *Queue[T]) Len() int { return len(q.q) }
