package statemachine

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

func TestSnapshotContainsTheCompleteState(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	data, err := cbor.Marshal(&c.State)
	if err != nil {
		t.Fatal(err)
	}
	other := New(2)
	if err := cbor.Unmarshal(data, &other.State); err != nil {
		t.Fatal(err)
	}
	restored := &testCluster{other, t}
	restored.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	restored.place(jobA, OK, Target{Task: taskKey(0, 1), Worker: "w2"})
}

// TestSessionSnapshotContainsOnlyItsOwnJobs checks that a session's snapshot contains each of its non-terminal jobs as a
// whole, only the state of its terminal jobs, and nothing about jobs of other sessions.
func TestSessionSnapshotContainsOnlyItsOwnJobs(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	c.submit("open", job.Step{Count: 1, CPU: 1})
	c.submit("terminal", job.Step{Count: 1, CPU: 1})
	c.place("terminal", OK, Target{Task: job.TaskKey{}, Worker: "w1"})
	c.endRun("terminal", job.TaskKey{}, "w1", 1, taskrun.Done)
	contents := func(session SessionID) (whole, states []string) {
		for _, update := range c.SessionSnapshot(session) {
			if update.Job != nil {
				whole = append(whole, update.Job.ID)
			}
			if update.JobState != nil && update.JobState.State == job.Completed {
				states = append(states, update.JobState.Job)
			}
		}
		return whole, states
	}
	whole, states := contents(1)
	if len(whole) != 1 || whole[0] != "open" || len(states) != 1 || states[0] != "terminal" {
		t.Errorf("the snapshot contains jobs %v and states of %v, want [open] and [terminal]", whole, states)
	}
	if whole, states := contents(2); len(whole)+len(states) != 0 {
		t.Errorf("another session's snapshot contains jobs %v and states of %v, want none", whole, states)
	}
	workers := 0
	for _, update := range c.SharedSnapshot() {
		if update.Worker != nil {
			workers++
		}
	}
	if workers != 2 {
		t.Errorf("the shared snapshot contains %d workers, want 2", workers)
	}
}
