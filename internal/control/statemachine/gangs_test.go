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
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"}) // never a part of a gang
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w1"})
	if used := c.Workers["w1"].Used; used != (job.Resources{}) {
		t.Errorf("a gang that did not fit still uses %v", used)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Failed)
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 1)).Stopping {
		t.Error("the other member is not stopped")
	}
	c.endRun(jobA, taskKey(0, 1), "w2", 1, taskrun.Failed) // the same run's failure counts once
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("state %v after one failed run", state)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.endRun(jobA, taskKey(0, 1), "w2", 2, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Completed {
		t.Errorf("state %v: one member's success stands for all", state)
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
		t.Errorf("a member of the present run is to resume from %q", saved)
	}
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.LeaseExpired)
	c.endRun(jobA, taskKey(0, 1), "w2", 1, taskrun.GangBroken)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	if saved := c.Workers["w2"].Runs[name].Checkpoint; saved != "x" {
		t.Errorf("the next run resumes from %q", saved)
	}
}

// TestLargeGangEndsInFewUpdates: one member's success stands for the gang, and the ends of the others make an update of
// their own task only. Otherwise a gang of 100 makes 10,000 updates to one dispatcher, which delay the configuration.
func TestLargeGangEndsInFewUpdates(t *testing.T) {
	const members = 100
	c := newTestCluster(t, 1, members)
	c.submit(jobA, job.Step{Count: members, CPU: 1, Gang: true}, job.Step{Count: 1, CPU: 1, DependsOn: []int{0}})
	targets := make([]Target, members)
	for i := range targets {
		targets[i] = Target{Task: taskKey(0, i), Worker: fmt.Sprint("w", i+1)}
	}
	c.place(jobA, OK, targets...)
	c.DequeueUpdates()
	done := map[job.TaskKey]bool{} // members whose newest update says that they are done and placed nowhere
	count := 0
	for i := range targets {
		c.endRun(jobA, taskKey(0, i), targets[i].Worker, 1, taskrun.Done)
		for _, update := range c.DequeueUpdates() {
			if of := update.Update.Task; of != nil {
				count++
				done[of.Key] = of.Task.Done && of.Task.Worker == ""
			}
		}
	}
	if most := 3 * members; count > most {
		t.Errorf("%d updates of tasks, %d at most are expected", count, most)
	}
	for i := range targets {
		if !done[taskKey(0, i)] {
			t.Errorf("the job's owner is not notified that member %d is done and placed nowhere", i)
		}
	}
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
}
