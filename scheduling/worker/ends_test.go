package worker

import (
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

// TestIdleWorkerLearnsWhichEndsAreCommitted checks that the last ends of a worker are acknowledged with a single poll even
// though it has no more runs.
func TestIdleWorkerLearnsWhichEndsAreCommitted(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	for i, task := range []string{taskA, taskB} {
		h.place(task, 1, true)
		h.answerStart(Accepted)
		h.owner.HandlePollOutcome(h.now, h.nextPoll(), Accepted, PollAnswer{ClockMs: h.clockMs(),
			Ended: []EndedRun{{Number: uint64(i + 1), Task: task, Run: 1, Reason: taskrun.Done}}})
		h.takeActions()
		h.owner.RemovePlacement(h.now, task, 1)
		h.owner.AcknowledgeEnd(h.now, uint64(i+1))
		h.takeActions()
	}
	h.polls = nil
	count := 0
	for range 60 {
		h.tick(100 * time.Millisecond)
		for len(h.polls) > 0 {
			if poll := h.answerPoll(PollAnswer{}); poll.AcknowledgedEnd != 2 || poll.LeaseUntilMs != 0 {
				t.Errorf("poll acknowledges end %d and renews the lease until %d, want end 2 and no renewal",
					poll.AcknowledgedEnd, poll.LeaseUntilMs)
			}
			count++
		}
	}
	if count != 1 {
		t.Errorf("%d polls of an idle worker, want 1", count)
	}
	h.golden()
}

// TestJobCountsAsStartedWithItsFirstRunningTask checks that a job counts as started once a worker has started one of its
// tasks, not when the task is placed.
func TestJobCountsAsStartedWithItsFirstRunningTask(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, Undispatched: true, FirstOfJob: true})
	actions := h.owner.TakeActions()
	if len(actions.StartedJobs) != 0 || len(actions.Starts) != 1 {
		t.Fatalf("after placement: started jobs %v and %d starts, want none and 1", actions.StartedJobs, len(actions.Starts))
	}
	h.owner.HandleStartOutcome(h.now, taskA, 1, Unanswered, 0)
	if started := h.owner.TakeActions().StartedJobs; len(started) != 0 {
		t.Errorf("job counts as started after an unanswered start command: %v", started)
	}
	h.owner.HandlePollOutcome(h.now, Poll{Sequence: 99, FencingToken: 1 << 40}, Accepted, PollAnswer{ClockMs: h.clockMs(),
		Running: []RunStatus{{Task: taskA, Run: 1}}})
	if started := h.owner.TakeActions().StartedJobs; len(started) != 1 || started[0] != taskA[:16] {
		t.Errorf("started jobs %v, want the job of the running task", started)
	}
}

// TestCheckpointsAreNumbered checks that each new checkpoint gets a higher sequence, by which the control machines tell
// older checkpoints from newer ones.
func TestCheckpointsAreNumbered(t *testing.T) {
	h := newHarness(t)
	h.establishContact()
	h.owner.SetPlacement(h.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, RecordCheckpoints: true})
	last := uint64(0)
	for sequence, data := range []string{"a", "b", "b", "c"} {
		h.owner.HandlePollOutcome(h.now, Poll{Sequence: uint64(50 + sequence), FencingToken: 1 << 40}, Accepted, PollAnswer{
			ClockMs: h.clockMs(), Running: []RunStatus{{Task: taskA, Run: 1, Checkpoint: data}}})
		for _, checkpoint := range h.owner.TakeActions().Checkpoints {
			if checkpoint.Sequence <= last || checkpoint.Token != h.owner.Token() {
				t.Errorf("checkpoint %q has sequence %d after %d, token %d", data, checkpoint.Sequence, last,
					checkpoint.Token)
			}
			last = checkpoint.Sequence
		}
	}
	if last != 3 {
		t.Errorf("last sequence %d after 3 distinct checkpoints, want 3", last)
	}
}
