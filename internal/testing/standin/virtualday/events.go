package virtualday

// This file is the queue of discrete events.

import (
	"time"
)

type event struct {
	at   time.Duration
	n    uint64 // order among equals
	do   func()
	gone bool
}

type queue []*event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
