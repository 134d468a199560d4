package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// testCluster is a cluster with sessions and workers for tests.
type testCluster struct {
	*FSM
	t *testing.T
}

func newTestCluster(t *testing.T, sessions, workers int) *testCluster {
	c := &testCluster{New(2), t}
	for i := range sessions {
		c.mustApply(Command{OpenSession: &OpenSession{Node: fmt.Sprint("front-", i+1), Zone: "z", Incarnation: uint64(i + 1)}}, OK)
	}
	list := &InstancesChanged{Reader: 1, Sequence: 1}
	for i := range workers {
		list.Changed = append(list.Changed, Instance{ID: fmt.Sprint("w", i+1), Service: "s", Address: fmt.Sprint("a", i+1),
			Zone: "z", Labels: []string{"kind", "rack"}, Capacity: job.Resources{CPU: 4000, MemoryMB: 4000}})
	}
	if workers > 0 {
		c.mustApply(Command{InstancesChanged: list}, OK)
	}
	c.DequeueUpdates()
	return c
}

func (c *testCluster) mustApply(command Command, want Code) Result {
	c.t.Helper()
	result := c.Apply(&command)
	if result.Code != want {
		c.t.Fatalf("outcome %d, want %d", result.Code, want)
	}
	return result
}

func (c *testCluster) submit(id string, steps ...job.Step) {
	c.t.Helper()
	c.mustApply(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 2, Owner: 1,
		Request: job.Request{Steps: steps}}}}, OK)
}

func (c *testCluster) place(id string, want Code, targets ...Target) {
	c.t.Helper()
	c.mustApply(Command{PlaceTasks: &PlaceTasks{Session: 1, Job: id, Targets: targets}}, want)
}

func (c *testCluster) endRun(id string, key job.TaskKey, worker string, run uint64, how taskrun.EndReason) {
	c.t.Helper()
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: worker, Job: id, Task: key, Run: run, Reason: how, Token: c.Workers[worker].Token}}, OK)
}

func taskKey(step, index int) job.TaskKey { return job.TaskKey{Step: step, Index: index} }

const jobA = "00000000000000aa"

func TestJobRunsToCompletion(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1000}, job.Step{Count: 2, CPU: 1000, DependsOn: []int{0}})
	c.place(jobA, Conflict, Target{Task: taskKey(1, 0), Worker: "w1"}) // its turn has not come
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"}) // placed already
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
	c.place(jobA, OK, Target{Task: taskKey(1, 1), Worker: "w1"})
	c.endRun(jobA, taskKey(1, 0), "w1", 1, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("state %v before the last task is done", state)
	}
	c.endRun(jobA, taskKey(1, 1), "w1", 1, taskrun.Done)
	if state := c.Jobs[jobA].State; state != job.Completed {
		t.Errorf("state %v", state)
	}
	if used := c.Workers["w1"].Used; used != (job.Resources{}) {
		t.Errorf("still used: %v", used)
	}
	c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	c.mustApply(Command{AdvanceClock: &AdvanceClock{c.ClockTicks + 1}}, OK)
	if c.Jobs[jobA] != nil {
		t.Error("not forgotten")
	}
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 3, CPU: 2000})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 1), Worker: "w1"}, Target{Task: taskKey(0, 2), Worker: "w1"})
	c.place(jobA, OK, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 2), Worker: "w1"})
	c.mustApply(Command{StopRun: &StopRun{Session: 1, Job: jobA, Task: taskKey(0, 0), Run: 1}}, OK)
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 2), Worker: "w1"}) // what is being stopped still counts
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Stopped)
	c.place(jobA, OK, Target{Task: taskKey(0, 2), Worker: "w1"})
}

func TestFailedRunsAreCounted(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Lost)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 2, taskrun.Failed)
	c.endRun(jobA, taskKey(0, 0), "w1", 2, taskrun.Failed) // told twice
	if state := c.Jobs[jobA].State; state != job.Running {
		t.Errorf("state %v after one failed run of two", state)
	}
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 3, taskrun.Failed)
	if state := c.Jobs[jobA].State; state != job.Failed {
		t.Errorf("state %v", state)
	}
}

func TestGangIsPlacedStoppedAndCountedAsOne(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 3000, Gang: true})
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w1"}) // never a part of one
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w1"})
	if used := c.Workers["w1"].Used; used != (job.Resources{}) {
		t.Errorf("a gang that did not fit keeps %v", used)
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
		t.Errorf("state %v: one member's good end stands for all", state)
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
		t.Errorf("a member of the run under way is to start from %q", saved)
	}
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.LeaseExpired)
	c.endRun(jobA, taskKey(0, 1), "w2", 1, taskrun.GangBroken)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"}, Target{Task: taskKey(0, 1), Worker: "w2"})
	if saved := c.Workers["w2"].Runs[name].Checkpoint; saved != "x" {
		t.Errorf("the next run starts from %q", saved)
	}
}

func TestAntiAffinityLabelsAndDraining(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 3, CPU: 1, AntiAffinity: 1, RequiredLabel: "kind"})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.mustApply(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 2, Changed: []Instance{{ID: "w2", Service: "s", Address: "a2", Draining: true,
		Labels: []string{"kind"}, Capacity: job.Resources{CPU: 4000}}}}}, OK)
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w2"})
	c.submit("00000000000000bb", job.Step{Count: 1, CPU: 1, RequiredLabel: "other"})
	c.place("00000000000000bb", Conflict, Target{Task: taskKey(0, 0), Worker: "w1"})
}

func TestCancelledJobStartsNothing(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.mustApply(Command{CancelJob: &CancelJob{jobA}}, OK)
	c.mustApply(Command{CancelJob: &CancelJob{jobA}}, OK)
	c.place(jobA, Conflict, Target{Task: taskKey(0, 1), Worker: "w1"})
	if !c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Stopping {
		t.Error("what runs is not stopped")
	}
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Stopped)
	c.mustApply(Command{CancelJob: &CancelJob{"00000000000000cc"}}, NotFound)
}

func TestSubmittingAJobTwiceIsIdempotent(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.submit(jobA, job.Step{Count: 5, CPU: 1})
	if got := c.Jobs[jobA].Request.Steps[0].Count; got != 1 || c.PendingByRoute["r"] != 1 {
		t.Errorf("%d tasks, %d pending", got, c.PendingByRoute["r"])
	}
}

// TestFormerOwnerCannotEndARun keeps that a worker's former owner can't release what the next one runs.
func TestFormerOwnerCannotEndARun(t *testing.T) {
	c := newTestCluster(t, 2, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	former := *c.Workers["w1"]
	c.mustApply(Command{CloseSession: &CloseSession{former.Owner}}, OK)
	if c.Workers["w1"].Owner == former.Owner || c.Workers["w1"].Token <= former.Token {
		t.Fatal("no new owner with a higher token")
	}
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Run: 1, Reason: taskrun.NotStarted, Token: former.Token}}, Conflict)
	if c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Worker != "w1" {
		t.Error("the former owner has released the run")
	}
}

func TestClosedSessionsJobsAndWorkersAreReassigned(t *testing.T) {
	c := newTestCluster(t, 3, 6)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
	if owner := c.Jobs[jobA].Owner; owner != 2 && owner != 3 {
		t.Errorf("the job's owner is %d", owner)
	}
	for id, worker := range c.Workers {
		if worker.Owner == 1 || worker.Owner == 0 {
			t.Errorf("%s is owned by %d", id, worker.Owner)
		}
	}
	c.mustApply(Command{CloseSession: &CloseSession{2}}, OK)
	c.mustApply(Command{CloseSession: &CloseSession{3}}, OK)
	result := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-9", Incarnation: 9}}, OK)
	if c.Jobs[jobA].Owner != result.Session {
		t.Error("a job without an owner is not taken up by the next session")
	}
}

func TestNextIncarnationOfANodeTakesOver(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	again := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: 1}}, OK)
	if again.Session != 1 {
		t.Errorf("the same life got session %d", again.Session)
	}
	next := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-1", Incarnation: 7, ExpectedLatest: 1}}, OK)
	if next.Session == 1 || c.Sessions[1] != nil || c.Workers["w1"].Owner != next.Session {
		t.Errorf("session %d, worker owned by %d", next.Session, c.Workers["w1"].Owner)
	}
}

func TestConfigureChecksVersions(t *testing.T) {
	c := newTestCluster(t, 1, 0)
	configure := func(version, match int64, body string, want Code) {
		t.Helper()
		c.mustApply(Command{Configure: &Configure{Version: version, BaseVersion: match, Body: []byte(body)}}, want)
	}
	c.mustApply(Command{ReadConfig: &ReadConfig{}}, NotFound)
	configure(3, 0, "three", OK)
	configure(3, 0, "three", OK)       // its acknowledgement was lost
	configure(3, 0, "other", Conflict) // another change under the same number
	configure(5, 0, "five", Conflict)  // lost the race
	configure(2, 3, "two", Invalid)    // not above the current version
	configure(5, 3, "five", OK)
	configure(3, 0, "three", OK) // was in force once: never a refusal
	if body := string(c.mustApply(Command{ReadConfig: &ReadConfig{}}, OK).Body); body != "five" {
		t.Errorf("in force: %q", body)
	}
}

func TestSnapshotHoldsTheCompleteState(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	c.submit(jobA, job.Step{Count: 2, CPU: 1})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	data, err := cbor.Marshal(&c.State)
	if err != nil {
		t.Fatal(err)
	}
	other := New(2)
	if err := cbor.Unmarshal(data, &other.State); err != nil {
		t.Fatal(err)
	}
	restored := &testCluster{other, t}
	restored.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Done)
	restored.place(jobA, OK, Target{Task: taskKey(0, 1), Worker: "w2"})
}

// A session's snapshot has its own open jobs whole, the state of those that are over, and nothing of others.
func TestSessionSnapshotHoldsItsOwnJobsOnly(t *testing.T) {
	c := newTestCluster(t, 2, 2)
	c.submit("open", job.Step{Count: 1, CPU: 1})
	c.submit("over", job.Step{Count: 1, CPU: 1})
	c.place("over", OK, Target{Task: job.TaskKey{}, Worker: "w1"})
	c.endRun("over", job.TaskKey{}, "w1", 1, taskrun.Done)
	tell := func(session SessionID) (whole, states []string) {
		for _, update := range c.SessionSnapshot(session) {
			if update.Job != nil {
				whole = append(whole, update.Job.ID)
			}
			if update.JobState != nil && update.JobState.State == job.Completed {
				states = append(states, update.JobState.Job)
			}
		}
		return whole, states
	}
	whole, states := tell(1)
	if len(whole) != 1 || whole[0] != "open" || len(states) != 1 || states[0] != "over" {
		t.Errorf("whole %v, states %v", whole, states)
	}
	if whole, states := tell(2); len(whole)+len(states) != 0 {
		t.Errorf("another session is told of %v %v", whole, states)
	}
	workers := 0
	for _, update := range c.SharedSnapshot() {
		if update.Worker != nil {
			workers++
		}
	}
	if workers != 2 {
		t.Errorf("%d workers of 2 in the shared part", workers)
	}
}

// TestReplicasAgree applies random commands to two replicas, one of them restored from a snapshot midway.
func TestReplicasAgree(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		first, second := New(2), New(2)
		for step := range 400 {
			command := randomCommand(random)
			a, b := first.Apply(command), second.Apply(command)
			if a.Code != b.Code || a.Session != b.Session || a.JobState != b.JobState {
				t.Fatalf("seed %d step %d: %v and %v", seed, step, a, b)
			}
			if ours, theirs := encoded(t, first.DequeueUpdates()), encoded(t, second.DequeueUpdates()); ours != theirs {
				t.Fatalf("seed %d step %d: updates differ", seed, step)
			}
			if encoded(t, first.Jobs) != encoded(t, second.Jobs) {
				t.Fatalf("seed %d step %d: jobs differ", seed, step)
			}
			checkUsage(t, first)
			if step == 200 {
				data, err := cbor.Marshal(&first.State)
				if err != nil {
					t.Fatal(err)
				}
				second = New(2)
				if err := cbor.Unmarshal(data, &second.State); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
}

// encoded returns a value's one encoding, with the keys of maps in order.
func encoded(t *testing.T, value any) string {
	t.Helper()
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := mode.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func randomCommand(random *rand.Rand) *Command {
	id := fmt.Sprintf("%016x", random.IntN(6))
	key := taskKey(random.IntN(2), random.IntN(2))
	worker := fmt.Sprint("w", random.IntN(4))
	switch random.IntN(11) {
	case 10:
		return &Command{WorkerEnded: &WorkerEnded{Worker: worker, Token: uint64(random.IntN(20))}}
	case 0:
		return &Command{OpenSession: &OpenSession{Node: fmt.Sprint(random.IntN(3)), Incarnation: uint64(random.IntN(3)),
			ExpectedLatest: uint64(random.IntN(8))}}
	case 1:
		return &Command{CloseSession: &CloseSession{uint64(random.IntN(8))}}
	case 2:
		return &Command{InstancesChanged: &InstancesChanged{Reader: uint64(random.IntN(5)), Sequence: uint64(random.IntN(40)), Changed: []Instance{{ID: worker, Service: "s",
			Address: fmt.Sprint("a", random.IntN(4)), Capacity: job.Resources{CPU: 3}}},
			Removed: []string{fmt.Sprint("w", random.IntN(4))}[:random.IntN(2)]}}
	case 3:
		return &Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "r", Service: "s", MaxAttempts: 2,
			Owner: uint64(random.IntN(8)), Request: job.Request{Steps: []job.Step{{Count: 2, CPU: 1}, {Count: 2, CPU: 2,
				DependsOn: []int{0}, Gang: true}}}}}}
	case 4:
		return &Command{CancelJob: &CancelJob{id}}
	case 5:
		return &Command{AdvanceClock: &AdvanceClock{uint64(random.IntN(12))}}
	case 6, 7:
		return &Command{PlaceTasks: &PlaceTasks{Session: uint64(random.IntN(8)), Job: id, Targets: []Target{{Task: key, Worker: worker}}}}
	default:
		return &Command{RunEnded: &taskrun.Ended{Worker: worker, Job: id, Task: key, Run: uint64(random.IntN(3)),
			Reason: taskrun.EndReason(random.IntN(int(taskrun.Lost) + 1)), Token: uint64(random.IntN(20))}}
	}
}

// checkUsage checks that what is used is the sum of what is placed, and within the capacity.
func checkUsage(t *testing.T, c *FSM) {
	t.Helper()
	for id, worker := range c.Workers {
		sum := job.Resources{}
		for name := range worker.Runs {
			jobID, key, _ := job.ParseTaskName(name)
			sum = sum.Plus(c.Jobs[jobID].Request.Steps[key.Step].Demand())
		}
		if sum != worker.Used || !worker.Capacity.Covers(worker.Used) {
			t.Fatalf("%s uses %v of %v, placed %v", id, worker.Used, worker.Capacity, sum)
		}
	}
}

// TestLateSuccessOfARunDeclaredLostCounts: a run that was given up had been done before.
func TestLateSuccessOfARunDeclaredLostCounts(t *testing.T) {
	c := newTestCluster(t, 1, 2)
	c.submit(jobA, job.Step{Count: 1, CPU: 1}, job.Step{Count: 1, CPU: 1, DependsOn: []int{0}})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Lost)
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w2"})
	c.mustApply(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Reason: taskrun.Done}}, OK)
	if seen := c.Jobs[jobA].EnsureTask(taskKey(0, 0)); !seen.Done || !seen.Stopping {
		t.Errorf("task %+v", seen)
	}
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
	c.endRun(jobA, taskKey(0, 0), "w2", 2, taskrun.Stopped)
	c.place(jobA, Conflict, Target{Task: taskKey(0, 0), Worker: "w2"})
}

// A task goes to another worker named beside the first where that one's room is gone, and rules hold there too.
func TestTargetFallsBackToAnAlternative(t *testing.T) {
	c := newTestCluster(t, 1, 4)
	c.submit("j1", job.Step{Count: 1, CPU: 4000})
	c.submit("j2", job.Step{Count: 2, CPU: 4000, AntiAffinity: 1})
	key := func(index int) job.TaskKey { return job.TaskKey{Index: index} }
	c.place("j1", OK, Target{Task: key(0), Worker: "w1"})
	c.place("j2", NoCapacity, Target{Task: key(0), Worker: "w1", Alternatives: []string{"w1", "unknown"}})
	c.place("j2", OK, Target{Task: key(0), Worker: "w1", Alternatives: []string{"w1", "w2"}})
	if at := c.Jobs["j2"].EnsureTask(key(0)).Worker; at != "w2" {
		t.Errorf("placed at %q, not at the one that has room", at)
	}
	c.place("j2", NoCapacity, Target{Task: key(1), Worker: "w1", Alternatives: []string{"w2"}})
	c.place("j2", NoCapacity, Target{Task: key(1), Worker: "w2", Alternatives: []string{"w1"}})
	c.place("j2", OK, Target{Task: key(1), Worker: "w2", Alternatives: []string{"w3"}})
}
