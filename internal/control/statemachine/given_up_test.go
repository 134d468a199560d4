package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestFailedEndOfAGivenUpRunCounts: a run that was given up turns out to have ended failed. It counts as an attempt,
// once, and the last one that is allowed ends the job.
func TestFailedEndOfAGivenUpRunCounts(t *testing.T) {
	y := newYard(t, 1, 2)
	y.submit(jobA, job.Step{Count: 1, CPU: 1}) // two attempts
	y.place(jobA, OK, Target{Task: task(0, 0), Worker: "w1"})
	y.end(jobA, task(0, 0), "w1", 1, taskrun.Lost)
	y.place(jobA, OK, Target{Task: task(0, 0), Worker: "w2"})
	late := Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: task(0, 0), Run: 1, Reason: taskrun.Failed}}
	y.do(late, OK)
	y.do(late, OK)
	if attempts := y.Jobs[jobA].EnsureTask(task(0, 0)).FailedAttempts; attempts != 1 {
		t.Errorf("%d attempts are counted, one has failed", attempts)
	}
	y.end(jobA, task(0, 0), "w2", 2, taskrun.Failed)
	if state := y.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
	y.place(jobA, Conflict, Target{Task: task(0, 0), Worker: "w1"})
}

// TestFailedEndOfAGivenUpGangCounts: the same for a gang, whose run counts once for all members, in any order of runs.
func TestFailedEndOfAGivenUpGangCounts(t *testing.T) {
	y := newYard(t, 1, 2)
	y.submit(jobA, job.Step{Count: 2, CPU: 1, Gang: true}) // two attempts
	members := []Target{{Task: task(0, 0), Worker: "w1"}, {Task: task(0, 1), Worker: "w2"}}
	for run := range uint64(2) {
		y.place(jobA, OK, members...)
		for _, member := range members {
			y.end(jobA, member.Task, member.Worker, run+1, taskrun.Lost)
		}
	}
	failed := func(member int, run uint64) {
		y.do(Command{RunEnded: &taskrun.Ended{Worker: members[member].Worker, Job: jobA, Task: members[member].Task, Run: run, Reason: taskrun.Failed}}, OK)
	}
	step := job.StepKey{}
	failed(0, 2)
	failed(1, 2)
	if fails := y.Jobs[jobA].GangFailures[step]; fails != 1 {
		t.Errorf("%d failed runs are counted, one has failed", fails)
	}
	failed(0, 1)
	if state := y.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
}

// TestEndsOfUnknownRunsCountNothing: of runs that never were, of other tasks, and of jobs that are over.
func TestEndsOfUnknownRunsCountNothing(t *testing.T) {
	y := newYard(t, 1, 1)
	y.submit(jobA, job.Step{Count: 1, CPU: 1})
	y.place(jobA, OK, Target{Task: task(0, 0), Worker: "w1"})
	y.do(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: task(0, 0), Run: 2, Reason: taskrun.Failed}}, OK)
	y.end(jobA, task(0, 0), "w1", 1, taskrun.Done)
	y.do(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: task(0, 0), Run: 1, Reason: taskrun.Failed}}, OK)
	if known := y.Jobs[jobA]; known.State != job.Completed || known.EnsureTask(task(0, 0)).FailedAttempts != 0 {
		t.Errorf("%v, %+v", known.State, known.EnsureTask(task(0, 0)))
	}
}
