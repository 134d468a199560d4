package statemachine

import (
	"fmt"
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// testCluster is a state machine with sessions (ID i of node front-i, zone z) and workers (w1, w2, … with 4 cores each).
// Its methods send the commands of a dispatcher as session 1.
type testCluster struct {
	*FSM
	t *testing.T
}

func newTestCluster(t *testing.T, sessions, workers int) *testCluster {
	c := &testCluster{New(2), t}
	for i := range sessions {
		c.mustApply(Command{OpenSession: &OpenSession{Node: fmt.Sprint("front-", i+1), Zone: "z", Incarnation: uint64(i + 1)}}, OK)
	}
	report := &InstancesChanged{Reader: 1, Sequence: 1}
	for i := range workers {
		report.Changed = append(report.Changed, Instance{ID: fmt.Sprint("w", i+1), Service: "s", Address: fmt.Sprint("a", i+1),
			Zone: "z", Labels: []string{"kind", "rack"}, Capacity: job.Resources{CPU: 4000, MemoryMB: 4000}})
	}
	if workers > 0 {
		c.mustApply(Command{InstancesChanged: report}, OK)
	}
	c.DequeueUpdates()
	return c
}

// mustApply applies a command, and fails the test if its outcome is not want.
func (c *testCluster) mustApply(command Command, want Code) Result {
	c.t.Helper()
	result := c.Apply(&command)
	if result.Code != want {
		c.t.Fatalf("outcome %d, want %d", result.Code, want)
	}
	return result
}

// submit submits a job of two attempts.
func (c *testCluster) submit(id string, steps ...job.Step) {
	c.t.Helper()
	c.mustApply(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 2, Owner: 1,
		Request: job.Request{Steps: steps}}}}, OK)
}

func (c *testCluster) place(id string, want Code, targets ...Target) {
	c.t.Helper()
	c.mustApply(Command{PlaceTasks: &PlaceTasks{Session: 1, Job: id, Targets: targets}}, want)
}

// endRun reports the end of a run under the present token of the worker's owner.
func (c *testCluster) endRun(id string, key job.TaskKey, worker string, run uint64, reason taskrun.EndReason) {
	c.t.Helper()
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: worker, Job: id, Task: key, Run: run, Reason: reason, Token: c.Workers[worker].Token}}, OK)
}

func taskKey(step, index int) job.TaskKey { return job.TaskKey{Step: step, Index: index} }

const jobA = "00000000000000aa"

// fenced returns a command with the fields that fence a dispatcher's command.
func fenced(command Command, session SessionID, sequence, acknowledged uint64) Command {
	command.Session, command.Sequence, command.AcknowledgedThrough = session, sequence, acknowledged
	return command
}

// reportInstances applies a report of the platform's list as session 1.
func (c *testCluster) reportInstances(sequence uint64, removed []string, changed ...Instance) {
	c.t.Helper()
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: sequence, Changed: changed, Removed: removed}}, OK)
}

// wantPlaced checks that the first task of job A is placed at a worker, or not placed if worker is "".
func (c *testCluster) wantPlaced(when, worker string) {
	c.t.Helper()
	if at := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Worker; at != worker {
		c.t.Errorf("%s: placed at %q, want %q", when, at, worker)
	}
}
