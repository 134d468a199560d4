package workflowsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// clock is virtual time and the events to come in it. All randomness of a run is drawn from its rand.
type clock struct {
	rand       *rand.Rand
	now        time.Duration
	events     eventQueue
	eventCount int
}

// event is a function to call at a moment. Events of one moment are called in the order in which they were added.
type event struct {
	at       time.Duration
	sequence int
	call     func()
}

// after has f called after a duration.
func (c *clock) after(d time.Duration, f func()) {
	c.eventCount++
	heap.Push(&c.events, event{c.now + d, c.eventCount, f})
}

// every has f called again and again, the first time after d.
func (c *clock) every(d time.Duration, f func()) {
	c.after(d, func() { f(); c.every(d, f) })
}

// step advances the time to the next event, and calls it.
func (c *clock) step() {
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.call()
}

// randomDuration draws a duration from 0 to limit.
func (c *clock) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(limit) + 1))
}

// oneIn draws whether something happens that does once in n times.
func (c *clock) oneIn(n int) bool { return c.rand.IntN(n) == 0 }

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
