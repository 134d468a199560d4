package statemachine

import (
	"fmt"
	"testing"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// TestLargeGangEndsInFewUpdates: one good end stands for all of a gang, and each of the others tells only of itself.
// Otherwise a gang of 100 makes 10,000 updates to one dispatcher, which hold up the configuration on its link.
func TestLargeGangEndsInFewUpdates(t *testing.T) {
	const members = 100
	c := newTestCluster(t, 1, members)
	c.submit(jobA, job.Step{Count: members, CPU: 1, Gang: true}, job.Step{Count: 1, CPU: 1, DependsOn: []int{0}})
	targets := make([]Target, members)
	for i := range targets {
		targets[i] = Target{Task: taskKey(0, i), Worker: fmt.Sprint("w", i+1)}
	}
	c.place(jobA, OK, targets...)
	c.DequeueUpdates()
	told := map[job.TaskKey]bool{}
	count := 0
	for i := range targets {
		c.endRun(jobA, taskKey(0, i), targets[i].Worker, 1, taskrun.Done)
		for _, update := range c.DequeueUpdates() {
			if of := update.Update.Task; of != nil {
				count++
				told[of.Key] = of.Task.Done && of.Task.Worker == ""
			}
		}
	}
	if most := 3 * members; count > most {
		t.Errorf("%d updates of tasks, %d at most are expected", count, most)
	}
	for i := range targets {
		if !told[taskKey(0, i)] {
			t.Errorf("the job's owner is not told that member %d is done and has left its worker", i)
		}
	}
	c.place(jobA, OK, Target{Task: taskKey(1, 0), Worker: "w1"})
}
