package statemachine

import (
	"fmt"
	"strings"
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// fenced returns a command with the fences of a dispatcher's session.
func fenced(command Command, session SessionID, number, settled uint64) Command {
	command.Session, command.Sequence, command.AcknowledgedThrough = session, number, settled
	return command
}

// TestDelayedOpenOfAFormerIncarnationIsRejected keeps that a command that a cut-off member brings late does not end the session of the
// node's present life.
func TestDelayedOpenOfAFormerIncarnationIsRejected(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	former := Command{OpenSession: &OpenSession{Node: "front-1", Zone: "z", Incarnation: 1, ExpectedLatest: 0}}
	present := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Zone: "z", Incarnation: 2, ExpectedLatest: 1}}, OK).Session
	if result := c.mustApply(former, Conflict); result.Session != present {
		t.Errorf("the refusal names session %d, the newest is %d", result.Session, present)
	}
	if c.Sessions[present] == nil || c.Workers["w1"].Owner != present {
		t.Error("a former life has ended the present session")
	}
	// Also once the present session is over: the former life is not to come back between two lives.
	c.mustApply(Command{CloseSession: &CloseSession{present}}, OK)
	c.mustApply(former, Conflict)
	if len(c.Sessions) != 0 {
		t.Errorf("sessions %v", c.sessionIDs())
	}
}

func TestLatestSessionsAreForgotten(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
	for range 4 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	}
	if len(c.LatestSessions) != 0 {
		t.Error("a node that is gone is remembered for ever")
	}
}

// TestDelayedInstanceReportIsIgnored keeps that an earlier reading of the platform's list does not bring a worker back.
func TestDelayedInstanceReportIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	old := Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 1, Changed: []Instance{{ID: "w1", Service: "s", Address: "a1"}}}}
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 2, Removed: []string{"w1"}}}, OK)
	c.mustApply(old, OK)
	if len(c.Workers) != 0 {
		t.Error("a worker that is gone is back")
	}
}

// TestDelayedCheckpointIsIgnored keeps that an older checkpoint does not take the place of a newer one, also beside a new owner.
func TestDelayedCheckpointIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1, Checkpoints: true})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	tell := func(token, sequence uint64, saved string) {
		c.mustApply(Command{Checkpoint: &taskrun.Checkpoint{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Data: saved, Token: token,
			Sequence: sequence}}, OK)
	}
	tell(1, 1, "first")
	tell(1, 3, "third")
	tell(1, 2, "second")
	if saved := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Checkpoint; saved != "third" {
		t.Errorf("saved %q", saved)
	}
	tell(2, 1, "next owner")
	tell(1, 4, "former owner")
	if saved := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Checkpoint; saved != "next owner" {
		t.Errorf("saved %q", saved)
	}
}

// TestClockTicksCountOnce keeps that spans of time told twice, as while nothing is committed, let nothing be forgotten
// early.
func TestClockTicksCountOnce(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.mustApply(Command{CancelJob: &CancelJob{jobA}}, OK)
	c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, OK)
	for range 20 {
		c.mustApply(Command{AdvanceClock: &AdvanceClock{1}}, Conflict)
	}
	if c.ClockTicks != 1 || c.Jobs[jobA] == nil {
		t.Errorf("age %d", c.ClockTicks)
	}
}

// TestDelayedSubmitOfAForgottenJobIsStale keeps that a job that is over and forgotten is not started anew by a copy of its
// submission: its session has the outcome, or is over.
func TestDelayedSubmitOfAForgottenJobIsStale(t *testing.T) {
	submit := func() Command {
		return Command{SubmitJob: &SubmitJob{job.Job{ID: jobA, Route: "r", Service: "s", MaxAttempts: 1, Owner: 1,
			Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}}
	}
	forgotten := func(t *testing.T) *testCluster {
		c := newTestCluster(t, 1, 1)
		c.mustApply(fenced(submit(), 1, 7, 6), OK)
		c.mustApply(fenced(submit(), 1, 7, 6), OK) // sent again before its outcome was known: one job
		c.mustApply(fenced(Command{CancelJob: &CancelJob{jobA}}, 1, 8, 7), OK)
		for range 3 {
			c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
		}
		if c.Jobs[jobA] != nil {
			t.Fatal("the job is not forgotten")
		}
		return c
	}
	t.Run("its outcome is known", func(t *testing.T) {
		c := forgotten(t)
		c.mustApply(fenced(submit(), 1, 7, 6), Stale)
		if len(c.Jobs) != 0 {
			t.Error("the job is back")
		}
	})
	t.Run("its session is over", func(t *testing.T) {
		c := forgotten(t)
		c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
		c.mustApply(fenced(submit(), 1, 7, 6), Stale)
		if len(c.Jobs) != 0 {
			t.Error("the job is back")
		}
	})
}

// TestAcknowledgedConfigurationIsNeverRejected sends each configuration again at once and after many others, and
// another body under each number.
func TestAcknowledgedConfigurationIsNeverRejected(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	body := func(version int64) []byte {
		return []byte(fmt.Sprintf(`{"Version":%d,"Routes":[%s]}`, version, strings.Repeat(`{"Name":"r"},`, 3)))
	}
	const versions = maxConfigDigests + 200
	for version := int64(1); version <= versions; version++ {
		command := Command{Configure: c.NewConfigure(version, version-1, body(version))}
		if version > 1 && command.Configure.Patch == nil {
			t.Fatal("a change of the present version is sent whole")
		}
		c.mustApply(command, OK)
		c.mustApply(command, OK) // its acknowledgement was lost
		c.mustApply(Command{Configure: c.NewConfigure(version, version-1, body(version))}, OK)
		c.mustApply(Command{Configure: c.NewConfigure(version, version-1, append(body(version), ' '))}, Conflict)
		if string(c.ConfigBody) != string(body(version)) {
			t.Fatalf("version %d reads %s", version, c.ConfigBody)
		}
	}
	for version := int64(1); version < versions; version++ {
		result := c.Apply(&Command{Configure: c.NewConfigure(version, version-1, body(version))})
		if want := map[bool]Code{true: Unknown, false: OK}[version <= versions-maxConfigDigests]; result.Code != want {
			t.Fatalf("version %d of %d sent again: outcome %d, want %d", version, versions, result.Code, want)
		}
	}
	if len(c.ConfigDigests) > maxConfigDigests {
		t.Errorf("%d digests are kept", len(c.ConfigDigests))
	}
	// What can't have been acknowledged is refused also below what is forgotten.
	c.mustApply(Command{Configure: c.NewConfigure(3, versions, body(3))}, Invalid)
}

// TestOneOfTwoConfigurationsOfAVersionIsAcknowledged keeps that of two bodies under one number one is acknowledged.
func TestOneOfTwoConfigurationsOfAVersionIsAcknowledged(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	c.mustApply(Command{Configure: c.NewConfigure(3, 0, []byte(`{"Version":3}`))}, OK)
	first := Command{Configure: c.NewConfigure(5, 3, []byte(`{"Version":5,"A":1}`))}
	second := Command{Configure: c.NewConfigure(5, 3, []byte(`{"Version":5,"A":2}`))}
	c.mustApply(first, OK)
	c.mustApply(second, Conflict)
	c.mustApply(first, OK)
	c.mustApply(second, Conflict)
}

// TestRestoreOfASnapshotWithoutDigests keeps that the configuration in force is acknowledged again behind a snapshot that has
// no digests, and that older ones are not refused.
func TestRestoreOfASnapshotWithoutDigests(t *testing.T) {
	c := New(2)
	c.Restore(State{ConfigVersion: 9, ConfigBody: []byte("nine"), Sessions: map[SessionID]*Session{4: {ID: 4, Node: "n", Incarnation: 1}}})
	for _, again := range []struct {
		configure Configure
		want      Code
	}{
		{Configure{Version: 9, BaseVersion: 7, Body: []byte("nine")}, OK},
		{Configure{Version: 9, BaseVersion: 7, Body: []byte("other")}, Conflict},
		{Configure{Version: 7, BaseVersion: 3, Body: []byte("seven")}, Unknown},
	} {
		if result := c.Apply(&Command{Configure: &again.configure}); result.Code != again.want {
			t.Errorf("version %d: outcome %d, want %d", again.configure.Version, result.Code, again.want)
		}
	}
	if c.LatestSession("n") != 4 {
		t.Error("the newest session of a node is not known")
	}
}

// TestPendingCountsJobsThatHaveNotStarted follows a queue's count as NEWS of the platform defines it: placing a task
// doesn't begin it.
func TestPendingCountsJobsThatHaveNotStarted(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	count := func(want int) {
		t.Helper()
		if got := c.mustApply(Command{ReadQueue: &ReadQueue{"r"}}, OK).Count; got != want {
			t.Errorf("%d jobs are pending, want %d", got, want)
		}
	}
	const other, third = "00000000000000bb", "00000000000000cc"
	for _, id := range []string{jobA, other, third} {
		c.submit(id, job.Step{Count: 1, CPU: 1})
	}
	count(3)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	count(3)
	c.mustApply(Command{JobsStarted: &JobsStarted{[]string{jobA}}}, OK)
	c.mustApply(Command{JobsStarted: &JobsStarted{[]string{jobA}}}, OK)
	count(2)
	c.place(other, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(other, taskKey(0, 0), "w1", 1, taskrun.NotStarted)
	count(2) // it has not run
	c.place(other, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(other, taskKey(0, 0), "w1", 2, taskrun.Failed)
	count(1) // a worker's word for its end shows that it began
	c.mustApply(Command{CancelJob: &CancelJob{third}}, OK)
	count(0)
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	count(0)
}

// TestEndOfARunAtARemovedWorkerCounts keeps that work counts that was done at a worker that has left the list since:
// its owner takes note of the end.
func TestEndOfARunAtARemovedWorkerCounts(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 2, Removed: []string{"w1"}}}, OK)
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Done}}, OK)
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Done {
		t.Error("a noted end is not kept: the task would be done twice")
	}
}
