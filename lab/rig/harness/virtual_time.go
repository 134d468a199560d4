package harness

import (
	"container/heap"
	"time"
)

// event is something that happens at a time. Events of one time happen in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// eventHeap is a heap of events, the next one first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

// virtualTime is the time of a simulation, which advances from event to event. It never looks at a clock.
type virtualTime struct {
	now       time.Duration
	events    eventHeap
	scheduled int
}

// at schedules an event; one that would be in the past happens now.
func (v *virtualTime) at(t time.Duration, do func()) {
	v.scheduled++
	heap.Push(&v.events, event{max(t, v.now), v.scheduled, do})
}

// after schedules an event after a delay.
func (v *virtualTime) after(delay time.Duration, do func()) { v.at(v.now+delay, do) }

// step carries out the next event, and reports whether there was one that is not after the end.
func (v *virtualTime) step(end time.Duration) bool {
	if len(v.events) == 0 || v.events[0].at > end {
		return false
	}
	next := heap.Pop(&v.events).(event)
	v.now = next.at
	next.do()
	return true
}
