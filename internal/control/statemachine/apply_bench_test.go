package statemachine

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// encodedCommands returns encoded commands that run jobs of four tasks in a cluster of 48 workers and 8 sessions.
func encodedCommands(jobs int) [][]byte {
	var commands [][]byte
	add := func(command Command) {
		data, err := cbor.Marshal(command)
		if err != nil {
			panic(err)
		}
		commands = append(commands, data)
	}
	for i := range 8 {
		add(Command{OpenSession: &OpenSession{Node: fmt.Sprint("front-", i), Zone: fmt.Sprint("z", i%3), Incarnation: uint64(i + 1)}})
	}
	instances := &InstancesChanged{Reader: 1, Sequence: 1}
	for i := range 48 {
		instances.Changed = append(instances.Changed, Instance{ID: fmt.Sprint("w", i), Service: "s",
			Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: fmt.Sprint("z", i%3), Labels: []string{"a", "r1"},
			Capacity: job.Resources{CPU: 1 << 30, MemoryMB: 1 << 30}})
	}
	add(Command{InstancesChanged: instances})
	for n := range jobs {
		id := fmt.Sprintf("%016x", n)
		add(Command{SubmitJob: &SubmitJob{job.Job{ID: id, Route: "h/p/", Service: "s", MaxAttempts: 3, Owner: uint64(n%8 + 1),
			Request: job.Request{Spec: string(make([]byte, 500)), Steps: []job.Step{{Count: 4, CPU: 1000, MemoryMB: 100}}}}}})
		for index := range 4 {
			key := job.TaskKey{Index: index}
			worker := fmt.Sprint("w", (n+index)%48)
			add(Command{PlaceTasks: &PlaceTasks{Session: uint64(n%8 + 1), Job: id, Targets: []Target{{Task: key, Worker: worker}}}})
			add(Command{RunEnded: &taskrun.Ended{Worker: worker, Job: id, Task: key, Run: 1, Reason: taskrun.Done}})
		}
		if n%100 == 99 {
			add(Command{AdvanceClock: &AdvanceClock{uint64(n/100 + 1)}})
		}
	}
	return commands
}

// BenchmarkApply measures decoding and applying one command.
func BenchmarkApply(b *testing.B) {
	commands := encodedCommands(4000)
	b.ReportAllocs()
	b.ResetTimer()
	c := New(25)
	for i := range b.N {
		if i%len(commands) == 0 {
			c = New(25)
		}
		command := &Command{}
		if err := cbor.Unmarshal(commands[i%len(commands)], command); err != nil {
			b.Fatal(err)
		}
		if result := c.Apply(command); result.Code != OK {
			b.Fatal(result.Code)
		}
		c.DequeueUpdates()
	}
}

// BenchmarkSnapshot measures encoding the state with 2,500 jobs in it.
func BenchmarkSnapshot(b *testing.B) {
	c := New(25)
	for _, data := range encodedCommands(2500) {
		command := &Command{}
		if err := cbor.Unmarshal(data, command); err != nil {
			b.Fatal(err)
		}
		c.Apply(command)
		c.DequeueUpdates()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		data, err := cbor.Marshal(&c.State)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(data)))
	}
}
