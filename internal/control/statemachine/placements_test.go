package statemachine

import (
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

func TestCapacityIsNeverExceeded(t *testing.T) {
	c := newTestCluster(t, 1, 1)
	c.submit(jobA, job.Step{Count: 3, CPU: 2000})
	c.place(jobA, OK, Target{Task: taskKey(0, 0), Worker: "w1"})
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 1), Worker: "w1"}, Target{Task: taskKey(0, 2), Worker: "w1"})
	c.place(jobA, OK, Target{Task: taskKey(0, 1), Worker: "w1"})
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 2), Worker: "w1"})
	c.mustApply(Command{StopRun: &StopRun{Session: 1, Job: jobA, Task: taskKey(0, 0), Run: 1}}, OK)
	c.place(jobA, NoCapacity, Target{Task: taskKey(0, 2), Worker: "w1"}) // a run that is stopping still uses its capacity
	c.endRun(jobA, taskKey(0, 0), "w1", 1, taskrun.Stopped)
	c.place(jobA, OK, Target{Task: taskKey(0, 2), Worker: "w1"})
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

// TestTargetFallsBackToAnAlternative checks that a task is placed at an alternative if its worker lacks capacity, and that
// all placement rules apply to alternatives too.
func TestTargetFallsBackToAnAlternative(t *testing.T) {
	c := newTestCluster(t, 1, 4)
	c.submit("j1", job.Step{Count: 1, CPU: 4000})
	c.submit("j2", job.Step{Count: 2, CPU: 4000, AntiAffinity: 1})
	key := func(index int) job.TaskKey { return job.TaskKey{Index: index} }
	c.place("j1", OK, Target{Task: key(0), Worker: "w1"})
	c.place("j2", NoCapacity, Target{Task: key(0), Worker: "w1", Alternatives: []string{"w1", "unknown"}})
	c.place("j2", OK, Target{Task: key(0), Worker: "w1", Alternatives: []string{"w1", "w2"}})
	if at := c.Jobs["j2"].EnsureTask(key(0)).Worker; at != "w2" {
		t.Errorf("placed at %q, want w2, the alternative that has free capacity", at)
	}
	c.place("j2", NoCapacity, Target{Task: key(1), Worker: "w1", Alternatives: []string{"w2"}})
	c.place("j2", NoCapacity, Target{Task: key(1), Worker: "w2", Alternatives: []string{"w1"}})
	c.place("j2", OK, Target{Task: key(1), Worker: "w2", Alternatives: []string{"w3"}})
}
