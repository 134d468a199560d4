package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestFailureOfARunDeclaredLostCounts: a run that was given up turns out to have ended failed. It counts as an attempt,
// once, and the last one that is allowed ends the job.
func TestFailureOfARunDeclaredLostCounts(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 1, CPU: 1}) // two attempts
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Lost)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w2"})
	late := Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Failed}}
	c.mustApply(late, OK)
	c.mustApply(late, OK)
	if attempts := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).FailedAttempts; attempts != 1 {
		t.Errorf("%d attempts are counted, one has failed", attempts)
	}
	c.endRun(jobA, taskKey(0, 0), "w2", 2, taskrun.Failed)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
}

// TestFailureOfAGangDeclaredLostCounts: the same for a gang, whose run counts once for all members, in any order of runs.
func TestFailureOfAGangDeclaredLostCounts(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 1, Gang: true}) // two attempts
	members := []Target{{Task: taskKey(0, 0), Worker: "w1"}, {Task: taskKey(0, 1), Worker: "w2"}}
	for run := range uint64(2) {
		c.place(jobA, OK, members...)
		for _, member := range members {
			c.endRun(jobA, member.Task, member.Worker, run+1, taskrun.Lost)
		}
	}
	failed := func(member int, run uint64) {
		c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: members[member].Worker, Job: jobA, Task: members[member].Task, Run: run, Reason: taskrun.Failed}}, OK)
	}
	step := job.StepKey{}
	failed(0, 2)
	failed(1, 2)
	if fails := c.Jobs[jobA].GangFailures[step]; fails != 1 {
		t.Errorf("%d failed runs are counted, one has failed", fails)
	}
	failed(0, 1)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
}

// TestEndsOfUnknownRunsAreIgnored: of runs that never were, of other tasks, and of jobs that are over.
func TestEndsOfUnknownRunsAreIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 2, Reason: taskrun.Failed}}, OK)
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Failed}}, OK)
	if known := c.Jobs[jobA]; known.State != job.Completed || known.EnsureTask(taskKey(0, 0)).FailedAttempts != 0 {
		t.Errorf("%v, %+v", known.State, known.EnsureTask(taskKey(0, 0)))
	}
}
