package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestFailedRunsAreCounted checks that a job fails after the last of its two attempts, that a lost run does not count as an
// attempt, and that a failed run counts once even if its end is reported twice.
func TestFailedRunsAreCounted(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Lost)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 2, taskrun.Failed)
	c.endRun(jobA, taskKey(0, 0), "w1", 2, taskrun.Failed) // reported twice
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("the job is %v after one failed run of two attempts", state)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 3, taskrun.Failed)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
}

// TestFormerOwnerCannotEndARun checks that a worker's former owner can't end a run that the next owner may have started.
func TestFormerOwnerCannotEndARun(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	former := *c.Workers["w1"]
	c.mustApply(Command{CloseSession: &CloseSession{former.Owner}}, OK)
	if c.Workers["w1"].Owner == former.Owner || c.Workers["w1"].Token <= former.Token {
		t.Fatal("the worker has no new owner with a higher token")
	}
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Run: 1, Reason: taskrun.NotStarted, Token: former.Token}}, Conflict)
	if c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Worker != "w1" {
		t.Error("the former owner has ended the run")
	}
}

// TestLateSuccessOfARunDeclaredLostCounts checks that the late report of success of a run that was declared lost completes
// the task, and that the task's next run is stopped.
func TestLateSuccessOfARunDeclaredLostCounts(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 1, CPU: 1}, job.Step{Count: 1, CPU: 1, DependsOn: []int{0}})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Lost)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w2"})
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Done}}, OK)
	if task := c.Jobs[jobA].EnsureTask(taskKey(0, 0)); !task.Done || !task.Stopping {
		t.Errorf("the task is not done, or its next run is not stopping: %+v", task)
	}
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w2", 2, taskrun.Stopped)
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w2"})
}

// TestFailureOfARunDeclaredLostCounts checks that the late report of failure of a run that was declared lost counts as one
// attempt, even if it is repeated, and that the job fails with its last attempt.
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
		t.Errorf("%d failed attempts are counted, want 1", attempts)
	}
	c.endRun(jobA, taskKey(0, 0), "w2", 2, taskrun.Failed)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
}

// TestFailureOfAGangDeclaredLostCounts checks that the failed run of a gang that was declared lost counts once for all
// members, whichever order its runs are reported in.
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
	if failures := c.Jobs[jobA].GangFailures[step]; failures != 1 {
		t.Errorf("%d failed runs are counted, want 1", failures)
	}
	failed(0, 1)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
}

// TestEndsOfUnknownRunsAreIgnored checks that ends of runs that were never placed, and of runs of terminal jobs, change
// nothing.
func TestEndsOfUnknownRunsAreIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 2, Reason: taskrun.Failed}}, OK)
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Failed}}, OK)
	if j := c.Jobs[jobA]; j.State != job.Completed || j.EnsureTask(taskKey(0, 0)).FailedAttempts != 0 {
		t.Errorf("the job is %v, its task %+v; want completed without failed attempts", j.State, j.EnsureTask(taskKey(0, 0)))
	}
}

// TestEndOfARunAtAnUnlistedWorkerCounts checks that a success that is reported after the worker was unlisted completes the
// task.
func TestEndOfARunAtAnUnlistedWorkerCounts(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 2, Removed: []string{"w1"}}}, OK)
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Done}}, OK)
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Done {
		t.Error("the reported success does not complete the task, which would run again")
	}
}
