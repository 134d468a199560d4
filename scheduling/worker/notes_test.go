package worker

import (
	"testing"
	"time"

	"yardflow/scheduling/taskrun"
)

// TestIdleWorkerIsToldOfNotedEnds keeps that the last ends at a worker are taken note of though nothing runs there any
// more, with one look for all of them.
func TestIdleWorkerIsToldOfNotedEnds(t *testing.T) {
	b := newBench(t)
	b.contact()
	for i, task := range []string{taskA, taskB} {
		b.place(task, 1, true)
		b.answerStart(Accepted)
		b.agent.HandlePollOutcome(b.now, b.nextHold(), Accepted, PollAnswer{ClockMs: b.clockMs(), Ended: []EndedRun{{Number: uint64(i + 1), Task: task,
			Run: 1, Reason: taskrun.Done}}})
		b.take()
		b.agent.RemovePlacement(b.now, task, 1)
		b.agent.AcknowledgeEnd(b.now, uint64(i+1))
		b.take()
	}
	b.holds = nil
	looks := 0
	for range 60 {
		b.tick(100 * time.Millisecond)
		for len(b.holds) > 0 {
			if hold := b.answerHold(PollAnswer{}); hold.AcknowledgedEnd != 2 || hold.LeaseUntilMs != 0 {
				t.Errorf("a look with seen %d, until %d", hold.AcknowledgedEnd, hold.LeaseUntilMs)
			}
			looks++
		}
	}
	if looks != 1 {
		t.Errorf("%d looks at an idle worker, want one", looks)
	}
	b.golden()
}

// TestFirstTaskIsTold keeps that a job counts as begun once a worker has started one of its tasks, not when it is placed.
func TestFirstTaskIsTold(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, Undispatched: true, FirstOfJob: true})
	calls := b.agent.TakeActions()
	if len(calls.StartedJobs) != 0 || len(calls.Starts) != 1 {
		t.Fatalf("placed: began %v, %d starts", calls.StartedJobs, len(calls.Starts))
	}
	b.agent.HandleStartOutcome(b.now, taskA, 1, Unanswered, 0)
	if began := b.agent.TakeActions().StartedJobs; len(began) != 0 {
		t.Errorf("an order without an answer counts as begun: %v", began)
	}
	b.agent.HandlePollOutcome(b.now, Poll{Sequence: 99, FencingToken: 1 << 40}, Accepted, PollAnswer{ClockMs: b.clockMs(),
		Running: []RunStatus{{Task: taskA, Run: 1}}})
	if began := b.agent.TakeActions().StartedJobs; len(began) != 1 || began[0] != taskA[:16] {
		t.Errorf("began %v", began)
	}
}

// TestCheckpointsAreNumbered keeps that the control machines can tell an older checkpoint from a newer one.
func TestCheckpointsAreNumbered(t *testing.T) {
	b := newBench(t)
	b.contact()
	b.agent.SetPlacement(b.now, taskrun.Placement{Worker: "w1", Task: taskA, Run: 1, RecordCheckpoints: true})
	last := uint64(0)
	for sequence, saved := range []string{"a", "b", "b", "c"} {
		b.agent.HandlePollOutcome(b.now, Poll{Sequence: uint64(50 + sequence), FencingToken: 1 << 40}, Accepted, PollAnswer{ClockMs: b.clockMs(),
			Running: []RunStatus{{Task: taskA, Run: 1, Checkpoint: saved}}})
		for _, checkpoint := range b.agent.TakeActions().Checkpoints {
			if checkpoint.Sequence <= last || checkpoint.Token != b.agent.Token() {
				t.Errorf("%q is number %d behind %d, token %d", saved, checkpoint.Sequence, last, checkpoint.Token)
			}
			last = checkpoint.Sequence
		}
	}
	if last != 3 {
		t.Errorf("%d checkpoints of 3", last)
	}
}
