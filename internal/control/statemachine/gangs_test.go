package statemachine

import (
	"fmt"
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

func TestGangIsPlacedStoppedAndCountedAsOne(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 3000, Gang: true})
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"}) // a gang can't be placed in part
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w1"})
	if used := c.Workers["w1"].Used; used != (job.Resources{}) {
		t.Errorf("a gang that was not placed uses %v", used)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Failed)
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 1)).Stopping {
		t.Error("the other member is not stopped")
	}
	c.endRun(jobA, taskKey(0, 1), "w2", 1, taskrun.Failed) // the same run's failure counts once
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("the job is %v after one failed run of two attempts", state)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.endRun(jobA, taskKey(0, 1), "w2", 2, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Completed {
		t.Errorf("the job is %v after a member succeeded, which completes the whole gang", state)
	}
}

func TestGangMembersStartFromTheSameCheckpoint(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 3000, Gang: true, Checkpoints: true})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.mustApply(Command{Checkpoint: &taskrun.Checkpoint{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Data: "x",
		Token: 1, Sequence: 1}}, OK)
	name := taskKey(0, 1).Name(jobA)
	if saved := c.Workers["w2"].Runs[name].Checkpoint; saved != "" {
		t.Errorf("a member of the present run has checkpoint %q, want none", saved)
	}
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.LeaseExpired)
	c.endRun(jobA, taskKey(0, 1), "w2", 1, taskrun.GangBroken)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	if saved := c.Workers["w2"].Runs[name].Checkpoint; saved != "x" {
		t.Errorf("the next run resumes from %q, want x", saved)
	}
}

// TestEndOfALargeGangMakesFewUpdates checks that the first member that succeeds completes the gang, and that the end of each
// other member makes only an update of its own task. Otherwise the end of a gang of 100 makes 10,000 updates to one
// dispatcher, which delay the configuration.
func TestEndOfALargeGangMakesFewUpdates(t *testing.T) {
	const members = 100
	c := newTestCluster(t, 1, members)
	c.submit(jobA, job.Step{Count: members, CPU: 1, Gang: true}, job.Step{Count: 1, CPU: 1, DependsOn: []int{0}})
	targets := make([]Target, members)
	for i := range targets {
		targets[i] = Target{Task: taskKey(0, i), Worker: fmt.Sprint("w", i+1)}
	}
	c.place(jobA, OK, targets...)
	c.DequeueUpdates()
	done := map[job.TaskKey]bool{} // members whose newest update shows them as done and not placed
	count := 0
	for i := range targets {
		c.endRun(jobA, taskKey(0, i), targets[i].Worker, 1, taskrun.Done)
		for _, update := range c.DequeueUpdates() {
			if taskUpdate := update.Update.Task; taskUpdate != nil {
				count++
				done[taskUpdate.Key] = taskUpdate.Task.Done && taskUpdate.Task.Worker == ""
			}
		}
	}
	if limit := 3 * members; count > limit {
		t.Errorf("%d task updates, want at most %d", count, limit)
	}
	for i := range targets {
		if !done[taskKey(0, i)] {
			t.Errorf("the job's owner is not notified that member %d is done and not placed", i)
		}
	}
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
}
