package statemachine

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// FuzzApply applies arbitrary commands to a cluster at work: an outcome, never a panic, and no worker over its room.
func FuzzApply(f *testing.F) {
	add := func(command Command) {
		data, err := cbor.Marshal(command)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	add(Command{Place: &Place{Session: 1, Job: "j1", Targets: []Target{{Task: job.Key{Index: 1}, Worker: "w1", Others: []string{"w2"}}}}})
	add(Command{Ended: &taskrun.Ended{Worker: "w1", Job: "j1", Run: 1, Reason: taskrun.Done, Token: 1}})
	add(Command{Ended: &taskrun.Ended{Worker: "w1", Job: "j1", Task: job.Key{Time: -1, Step: 9}, Run: 1, Reason: taskrun.EndReason(200)}})
	add(Command{Submit: &Submit{job.Job{ID: "j2", Service: "s", Owner: 1, Request: job.Request{Steps: []job.Step{{Count: 1}}}}}})
	add(Command{Configure: &Configure{Version: 3, Body: []byte("{}")}})
	add(Command{Instances: &Instances{Reader: 1, Reading: 1, Gone: []string{"w1"}}})
	add(Command{CloseSession: &CloseSession{Session: 1}})
	f.Fuzz(func(t *testing.T, data []byte) {
		command := Command{}
		if cbor.Unmarshal(data, &command) != nil {
			return
		}
		if s := command.Submit; s != nil && !s.Job.Request.Valid() {
			return // dispatchers refuse it before it becomes a command
		}
		y := newYard(t, 2, 3)
		y.submit("j1", job.Step{Count: 2, Cpu: 3000}, job.Step{Count: 1, DependsOn: []int{0}, Gang: true})
		y.place("j1", OK, Target{Task: job.Key{}, Worker: "w1"})
		y.Apply(&command)
		y.Apply(&command)
		for id, worker := range y.Workers {
			if len(worker.Placed) > 0 && !worker.Capacity.Holds(worker.Used) && command.Instances == nil {
				t.Fatalf("%s is over its room: %v of %v", id, worker.Used, worker.Capacity)
			}
		}
	})
}
