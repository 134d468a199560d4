package worker

import (
	"testing"
	"time"
)

// TestNoRunIsDispatchedToADrainingWorker guards against a violation of the emulator's rule DRAIN: a run that was placed
// before the drain was dispatched as soon as the worker answered. The answer could come seconds later, if the worker was
// unreachable or had left a command unanswered.
func TestNoRunIsDispatchedToADrainingWorker(t *testing.T) {
	for _, c := range []struct {
		name      string
		placeRun  func(h *harness) // places a run of task a that does not start before the drain
		remaining time.Duration
	}{
		{"run waits for a fresh contact", func(h *harness) {
			h.tick(time.Second)
			h.place(taskA, 1, true)
		}, 4 * time.Second},
		{"run waits for a fresh contact, unknown departure time", func(h *harness) {
			h.tick(time.Second)
			h.place(taskA, 1, true)
		}, 0},
		{"start command unanswered and not carried out", func(h *harness) {
			h.place(taskA, 1, true)
			h.answerStart(Unanswered)
			h.tick(500 * time.Millisecond)
		}, 4 * time.Second},
		{"run placed under a previous owner that did not dispatch it", func(h *harness) {
			h.place(taskA, 1, false)
		}, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.establishContact()
			c.placeRun(h)
			h.owner.Drain(h.now, c.remaining)
			h.takeActions()
			for range 4 {
				if len(h.polls) > 0 {
					h.answerPoll(PollAnswer{})
				}
				h.tick(300 * time.Millisecond)
			}
			if len(h.starts) != 0 {
				t.Error("run dispatched to a draining worker")
			}
			h.wantReports("aa not-started")
		})
	}
}

// TestDrainWithoutRemainingTimeStopsNoRun checks that running runs are not stopped if the time of departure is not known.
func TestDrainWithoutRemainingTimeStopsNoRun(t *testing.T) {
	h := afterStartOutcome(t, Accepted)
	h.owner.Drain(h.now, 0)
	h.tick(time.Second)
	if len(h.stops) != 0 {
		t.Error("run stopped by a drain without a remaining time")
	}
	h.wantReports()
}
