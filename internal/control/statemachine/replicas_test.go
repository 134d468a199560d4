package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestReplicasAgree applies random commands to two replicas, one of which is restored from a snapshot midway. It checks
// that results, updates and jobs are the same, and that the used capacity of each worker is correct.
func TestReplicasAgree(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		first, second := New(2), New(2)
		for step := range 400 {
			command := randomCommand(random)
			a, b := first.Apply(command), second.Apply(command)
			if a.Code != b.Code || a.Session != b.Session || a.JobState != b.JobState {
				t.Fatalf("seed %d step %d: the replicas return %v and %v", seed, step, a, b)
			}
			if encoded(t, first.DequeueUpdates()) != encoded(t, second.DequeueUpdates()) {
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

// encoded returns a value's deterministic CBOR encoding, with sorted map keys.
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
		return &Command{CancelJob: &CancelJob{Job: id}}
	case 5:
		return &Command{AdvanceClock: &AdvanceClock{uint64(random.IntN(12))}}
	case 6, 7:
		return &Command{PlaceTasks: &PlaceTasks{Session: uint64(random.IntN(8)), Job: id, Targets: []Target{{Task: key, Worker: worker}}}}
	default:
		return &Command{RunEnded: &taskrun.Ended{Worker: worker, Job: id, Task: key, Run: uint64(random.IntN(3)),
			Reason: taskrun.EndReason(random.IntN(int(taskrun.Lost) + 1)), Token: uint64(random.IntN(20))}}
	}
}

// checkUsage checks that the used capacity of each worker is the sum of its runs' demands, and within its capacity.
func checkUsage(t *testing.T, c *FSM) {
	t.Helper()
	for id, worker := range c.Workers {
		sum := job.Resources{}
		for name := range worker.Runs {
			jobID, key, _ := job.ParseTaskName(name)
			sum = sum.Plus(c.Jobs[jobID].Request.Steps[key.Step].Demand())
		}
		if sum != worker.Used || !worker.Capacity.Covers(worker.Used) {
			t.Fatalf("%s: used %v of %v, sum of its runs' demands %v", id, worker.Used, worker.Capacity, sum)
		}
	}
}
