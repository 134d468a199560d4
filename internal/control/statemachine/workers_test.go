package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestDelayedInstanceReportIsIgnored checks that an earlier report of the platform's list does not restore a removed worker.
func TestDelayedInstanceReportIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	old := Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 1, Changed: []Instance{{ID: "w1", Service: "s", Address: "a1"}}}}
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 2, Removed: []string{"w1"}}}, OK)
	c.mustApply(old, OK)
	if len(c.Workers) != 0 {
		t.Error("a delayed report has restored a removed worker")
	}
}

// successor returns a worker at the address of w1.
func successor() Instance {
	return Instance{ID: "w9", Service: "s", Address: "a1", Zone: "z", Capacity: job.Resources{CPU: 4000, MemoryMB: 4000}}
}

// TestInstanceReportsEndNoRuns checks that two workers at one address keep their runs, whichever order reports list them in.
func TestInstanceReportsEndNoRuns(t *testing.T) {
	for _, at := range []string{"w1", "w9"} {
		c := newTestCluster(t, 1, 1)
		former := c.Workers["w1"].Instance
		c.submit(jobA, job.Step{Count: 1, CPU: 1})
		c.reportInstances(2, nil, successor())
		c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: at})
		c.reportInstances(3, nil, former)
		c.wantPlaced("after a report of the former incarnation", at)
		c.reportInstances(4, nil, successor())
		c.wantPlaced("after a report of the successor", at)
		c.reportInstances(5, nil, former, successor())
		c.wantPlaced("after a report of both", at)
	}
}

// TestWorkerEndedEndsItsRunsOnce checks that the proof of the worker's owner ends the worker's runs once, and that reports
// that still contain the worker don't make it schedulable again.
func TestWorkerEndedEndsItsRunsOnce(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	former := c.Workers["w1"].Instance
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(2, nil, successor())
	c.mustApply(Command{WorkerEnded: &WorkerEnded{Worker: "w1", Token: c.Workers["w1"].Token - 1}}, Conflict)
	c.wantPlaced("after the proof of a former owner", "w1")
	ended := Command{WorkerEnded: &WorkerEnded{Worker: "w1", Token: c.Workers["w1"].Token}}
	c.mustApply(ended, OK)
	c.wantPlaced("after the proof of the owner", "")
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w9"})
	c.mustApply(ended, OK)
	c.reportInstances(3, nil, former)
	c.wantPlaced("after another report of the ended worker", "w9")
	c.submit("00000000000000bb", job.Step{Count: 1, CPU: 1})
	c.place("00000000000000bb", Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(4, []string{"w1"})
	if c.Workers["w1"] != nil {
		t.Error("a worker that has ended and is unlisted is still in the state")
	}
	c.wantPlaced("after the ended worker was removed", "w9")
}

// TestUnlistedWorkerKeepsItsRuns checks that an unlisted worker gets no new tasks, and is removed with its last run.
func TestUnlistedWorkerKeepsItsRuns(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.reportInstances(2, []string{"w1", "w2"})
	c.wantPlaced("after the worker was unlisted", "w1")
	if c.Workers["w2"] != nil {
		t.Error("an idle worker that is unlisted is still in the state")
	}
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.DequeueUpdates()
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	if c.Workers["w1"] != nil {
		t.Error("an unlisted worker is still in the state after its last run")
	}
	notified := false
	for _, update := range c.DequeueUpdates() {
		notified = notified || update.Update.WorkerRemoved == "w1"
	}
	if !notified {
		t.Error("no session is notified that the worker is removed")
	}
}

// TestWorkerListedAgainIsSchedulable checks that a worker that is listed again before its last run ends gets tasks again.
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
		t.Error("a worker that is listed again was removed")
	}
}
