package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// reportInstances takes in a reading of the platform's list.
func (c *testCluster) reportInstances(reading uint64, gone []string, changed ...Instance) {
	c.t.Helper()
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: reading, Changed: changed, Removed: gone}}, OK)
}

// successor is a worker at the address of w1.
func successor() Instance {
	return Instance{ID: "w9", Service: "s", Address: "a1", Zone: "z", Capacity: job.Resources{CPU: 4000, MemoryMB: 4000}}
}

// wantPlaced checks where the first task of job A is placed.
func (c *testCluster) wantPlaced(when, worker string) {
	c.t.Helper()
	if at := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Worker; at != worker {
		c.t.Errorf("%s: placed at %q, want %q", when, at, worker)
	}
}

// TestInstanceReportsEndNoRuns: whatever order the list names two workers of one address in, neither loses its runs by it.
func TestInstanceReportsEndNoRuns(t *testing.T) {
	for _, at := range []string{"w1", "w9"} {
		c := newTestCluster(t, 1, 1)
		former := c.Workers["w1"].Instance
		c.submit(jobA, job.Step{Count: 1, CPU: 1})
		c.reportInstances(2, nil, successor())
		c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: at})
		c.reportInstances(3, nil, former)
		c.wantPlaced("the former life is told", at)
		c.reportInstances(4, nil, successor())
		c.wantPlaced("the successor is told", at)
		c.reportInstances(5, nil, former, successor())
		c.wantPlaced("both are told", at)
	}
}

// TestWorkerEndedEndsItsRunsOnce: the owner's proof ends what runs there, once, and readings that name the worker don't bring it back.
func TestWorkerEndedEndsItsRunsOnce(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	former := c.Workers["w1"].Instance
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(2, nil, successor())
	c.mustApply(Command{WorkerEnded: &WorkerEnded{Worker: "w1", Token: c.Workers["w1"].Token - 1}}, Conflict)
	c.wantPlaced("a former owner says so", "w1")
	over := Command{WorkerEnded: &WorkerEnded{Worker: "w1", Token: c.Workers["w1"].Token}}
	c.mustApply(over, OK)
	c.wantPlaced("its owner says so", "")
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w9"})
	c.mustApply(over, OK)
	c.reportInstances(3, nil, former)
	c.wantPlaced("told again", "w9")
	c.submit("00000000000000bb", job.Step{Count: 1, CPU: 1})
	c.place("00000000000000bb", Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(4, []string{"w1"})
	if c.Workers["w1"] != nil {
		t.Error("a worker that is over and not listed stays in the state")
	}
	c.wantPlaced("it has left", "w9")
}

// TestUnlistedWorkerKeepsItsRuns: a worker that the list lacks gets nothing new, and leaves with its last run.
func TestUnlistedWorkerKeepsItsRuns(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(2, []string{"w1", "w2"})
	c.wantPlaced("not listed", "w1")
	if c.Workers["w2"] != nil {
		t.Error("an idle worker that is not listed stays in the state")
	}
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.DequeueUpdates()
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	if c.Workers["w1"] != nil {
		t.Error("it stays in the state after its last run")
	}
	told := false
	for _, update := range c.DequeueUpdates() {
		told = told || update.Update.WorkerRemoved == "w1"
	}
	if !told {
		t.Error("nobody is told that it has left")
	}
}

// TestWorkerListedAgainIsSchedulable: a worker that the list has again gets work again.
func TestWorkerListedAgainIsSchedulable(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	instance := c.Workers["w1"].Instance
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(2, []string{"w1"})
	c.reportInstances(3, nil, instance)
	c.place(jobA, OK, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	if c.Workers["w1"] == nil {
		t.Error("it left though it is listed")
	}
}
