package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestDelayedCheckpointIsIgnored checks that an older checkpoint does not replace a newer one, whichever owner sends it.
func TestDelayedCheckpointIsIgnored(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 1, CPU: 1, Checkpoints: true})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	record := func(token, sequence uint64, data string) {
		c.mustApply(Command{Checkpoint: &taskrun.Checkpoint{Worker: "w1", Job: jobA, Task: taskKey(0, 0), Run: 1, Data: data, Token: token,
			Sequence: sequence}}, OK)
	}
	record(1, 1, "first")
	record(1, 3, "third")
	record(1, 2, "second")
	if saved := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Checkpoint; saved != "third" {
		t.Errorf("checkpoint %q is saved, want third", saved)
	}
	record(2, 1, "next owner")
	record(1, 4, "former owner")
	if saved := c.Jobs[jobA].EnsureTask(taskKey(0, 0)).Checkpoint; saved != "next owner" {
		t.Errorf("checkpoint %q is saved, want next owner", saved)
	}
}
