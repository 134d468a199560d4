package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

func TestJobRunsToCompletion(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1000}, job.Step{Count: 2, CPU: 1000, DependsOn: []int{0}})
	c.place(jobA, Conflict, Target{Task: taskKey(1, 0), Worker: "w1"}) // depends on step 0
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"}) // placed already
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
	c.place(jobA, OK, Target{Task: taskKey(1, 1), Worker: "w1"})
	c.endRun(jobA, taskKey(1, 0), "w1", 1, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("the job is %v before the last task is done", state)
	}
	c.endRun(jobA, taskKey(1, 1), "w1", 1, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Completed {
		t.Errorf("the job is %v after the last task is done", state)
	}
	if used := c.Workers["w1"].Used; used != (job.Resources{}) {
		t.Errorf("capacity %v of the worker is still used", used)
	}
	c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	if c.Jobs[jobA] != nil {
		t.Error("the job is still in the state after its retention time")
	}
}

func TestCancelledJobStartsNothing(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{CancelJob: &CancelJob{Job: jobA}}, OK)
	c.mustApply(Command{CancelJob: &CancelJob{Job: jobA}}, OK)
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w1"})
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Stopping {
		t.Error("the placed run is not stopping")
	}
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Stopped)
	c.mustApply(Command{CancelJob: &CancelJob{Job: "00000000000000cc"}}, NotFound)
}

func TestSubmittingAJobTwiceIsIdempotent(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.submit(jobA, job.Step{Count: 5, CPU: 1})
	if got := c.Jobs[jobA].Request.Steps[0].Count; got != 1 || c.PendingByRoute["r"] != 1 {
		t.Errorf("%d tasks, %d pending jobs; want 1 each", got, c.PendingByRoute["r"])
	}
}

// TestDelayedSubmitOfARemovedJobIsStale checks that a duplicate of a SubmitJob does not start a job again that was removed
// after its retention time, if its session has acknowledged the outcome or is closed.
func TestDelayedSubmitOfARemovedJobIsStale(t *testing.T) {
	submit := func() Command {
		return Command{SubmitJob: &SubmitJob{job.Job{ID: jobA, Route: "r", Service: "s", MaxAttempts: 1, Owner: 1,
			Request: job.Request{Steps: []job.Step{{Count: 1, CPU: 1}}}}}}
	}
	clusterAfterRetention := func(t *testing.T) *testCluster {
		c := newTestCluster(t, 1, 1)
		c.mustApply(fenced(submit(), 1, 7, 6), OK)
		c.mustApply(fenced(submit(), 1, 7, 6), OK) // sent again before its outcome was known: one job
		c.mustApply(fenced(Command{CancelJob: &CancelJob{Job: jobA}}, 1, 8, 7), OK)
		for range 3 {
			c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
		}
		if c.Jobs[jobA] != nil {
			t.Fatal("the job is still in the state after its retention time")
		}
		return c
	}
	t.Run("the outcome is acknowledged", func(t *testing.T) {
		c := clusterAfterRetention(t)
		c.mustApply(fenced(submit(), 1, 7, 6), Stale)
		if len(c.Jobs) != 0 {
			t.Error("the duplicate has started the job again")
		}
	})
	t.Run("the session is closed", func(t *testing.T) {
		c := clusterAfterRetention(t)
		c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
		c.mustApply(fenced(submit(), 1, 7, 6), Stale)
		if len(c.Jobs) != 0 {
			t.Error("the duplicate has started the job again")
		}
	})
}

// TestPendingCountsJobsThatHaveNotStarted checks the number of pending jobs of a queue, as the platform's page NEWS defines
// it: placing a task does not start it.
func TestPendingCountsJobsThatHaveNotStarted(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	expectPending := func(want int) {
		t.Helper()
		if got := c.mustApply(Command{ReadQueue: &ReadQueue{"r"}}, OK).Count; got != want {
			t.Errorf("%d jobs are pending, want %d", got, want)
		}
	}
	const other, third = "00000000000000bb", "00000000000000cc"
	for _, id := range []string{jobA, other, third} {
		c.submit(id, job.Step{Count: 1, CPU: 1})
	}
	expectPending(3)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	expectPending(3)
	c.mustApply(Command{JobsStarted: &JobsStarted{[]string{jobA}}}, OK)
	c.mustApply(Command{JobsStarted: &JobsStarted{[]string{jobA}}}, OK)
	expectPending(2)
	c.place(other, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(other, taskKey(0, 0), "w1", 1, taskrun.NotStarted)
	expectPending(2) // the job has never started
	c.place(other, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(other, taskKey(0, 0), "w1", 2, taskrun.Failed)
	expectPending(1) // an end that is reported by the worker shows that the job has started
	c.mustApply(Command{CancelJob: &CancelJob{Job: third}}, OK)
	expectPending(0)
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	expectPending(0)
}

// TestQueuedUpdatesAreAsOfTheirCommands guards against jobs that stand still because an update was encoded with a later
// state than that of its command (review/6): commands that follow in the same batch change no update that is queued.
func TestQueuedUpdatesAreAsOfTheirCommands(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	type queuedUpdate struct {
		update   AddressedUpdate
		encoding string // when it was queued
	}
	var queued []queuedUpdate
	collect := func() {
		for _, update := range c.DequeueUpdates() {
			queued = append(queued, queuedUpdate{update, encoded(t, update)})
		}
	}
	c.submit(jobA, job.Step{Count: 2, CPU: 1000})
	collect()
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	collect()
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Failed)
	collect()
	c.mustApply(Command{CloseSession: &CloseSession{Session: 1}}, OK) // session 2 takes over the job
	collect()
	c.mustApply(Command{PlaceTasks: &PlaceTasks{Session: 2, Job: jobA, Targets: []Target{{Task: taskKey(0, 0), Worker: "w2"}}}}, OK)
	c.endRun(jobA, taskKey(0, 0), "w2", 2, taskrun.Done)
	collect()
	for _, q := range queued {
		if now := encoded(t, q.update); now != q.encoding {
			t.Errorf("an update has changed since it was queued: %x, was %x", now, q.encoding)
		}
	}
}
