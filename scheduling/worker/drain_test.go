package worker

import (
	"testing"
	"time"
)

// TestNoRunIsDispatchedOnceTheWorkerDrains guards against DRAIN: a run that was placed before the drain and waits for the
// worker, for seconds where that is cut off or has left an order without an answer, was dispatched whenever it answered.
func TestNoRunIsDispatchedOnceTheWorkerDrains(t *testing.T) {
	for _, c := range []struct {
		name      string
		placed    func(h *harness) // places task a and lets the drain come before it is at work
		remaining time.Duration
	}{
		{"a run that waits for a fresh contact", func(h *harness) {
			h.tick(time.Second)
			h.place(taskA, 1, true)
		}, 4 * time.Second},
		{"a run that waits for a fresh contact, and nobody knows when the worker leaves", func(h *harness) {
			h.tick(time.Second)
			h.place(taskA, 1, true)
		}, 0},
		{"a run whose order has no answer and was not carried out", func(h *harness) {
			h.place(taskA, 1, true)
			h.answerStart(Unanswered)
			h.tick(500 * time.Millisecond)
		}, 4 * time.Second},
		{"a run of a former owner that has not dispatched it", func(h *harness) {
			h.place(taskA, 1, false)
		}, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.establishContact()
			c.placed(h)
			h.owner.Drain(h.now, c.remaining)
			h.takeActions()
			for range 4 {
				if len(h.polls) > 0 {
					h.answerPoll(PollAnswer{})
				}
				h.tick(300 * time.Millisecond)
			}
			if len(h.starts) != 0 {
				t.Error("dispatched to a worker that drains")
			}
			h.wantReports("aa not-started")
		})
	}
}

// TestRunsAtWorkStayWhereNobodyKnowsWhenTheWorkerLeaves: a drain without a remaining time moves nothing.
func TestRunsAtWorkStayWhereNobodyKnowsWhenTheWorkerLeaves(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.owner.Drain(h.now, 0)
	h.tick(time.Second)
	if len(h.stops) != 0 {
		t.Error("a run was stopped")
	}
	h.wantReports()
}
