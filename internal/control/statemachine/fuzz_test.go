package statemachine

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// FuzzApply applies arbitrary commands to a cluster with a running job, and checks that no command panics and that no
// worker exceeds its capacity.
func FuzzApply(f *testing.F) {
	add := func(command Command) {
		data, err := cbor.Marshal(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	add(Command{PlaceTasks: &PlaceTasks{Session: 1, Job: "j1", Targets: []Target{{Task: job.TaskKey{Index: 1}, Worker: "w1", Alternatives: []string{"w2"}}}}})
	add(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: "j1", Run: 1, Reason: taskrun.Done, Token: 1}})
	add(Command{RunEnded: &taskrun.Ended{Worker: "w1", Job: "j1", Task: job.TaskKey{Repetition: -1, Step: 9}, Run: 1, Reason: taskrun.EndReason(200)}})
	add(Command{SubmitJob: &SubmitJob{job.Job{ID: "j2", Service: "s", Owner: 1, Request: job.Request{Steps: []job.Step{{Count: 1}}}}}})
	add(Command{Configure: &Configure{Version: 3, Body: []byte("{}")}})
	add(Command{InstancesChanged: &InstancesChanged{Reader: 1, Sequence: 1, Removed: []string{"w1"}}})
	add(Command{CloseSession: &CloseSession{Session: 1}})
	f.Fuzz(func(t *testing.T, data []byte) {
		command := Command{}
		if cbor.Unmarshal(data, &command) != nil {
			return
		}
		if s := command.SubmitJob; s != nil && !s.Job.Request.Valid() {
			return // dispatchers reject it before it becomes a command
		}
		c := newTestCluster(t, 2, 3)
		c.submit("j1", job.Step{Count: 2, CPU: 3000}, job.Step{Count: 1, DependsOn: []int{0}, Gang: true})
		c.place("j1", OK, Target{Task: job.TaskKey{}, Worker: "w1"})
		c.Apply(&command)
		c.Apply(&command)
		for id, worker := range c.Workers {
			if len(worker.Runs) > 0 && !worker.Capacity.Covers(worker.Used) && command.InstancesChanged == nil {
				t.Fatalf("%s exceeds its capacity: used %v of %v", id, worker.Used, worker.Capacity)
			}
		}
	})
}
