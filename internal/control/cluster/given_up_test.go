package cluster

import (
	"testing"

	"linnetlift/scheduling/job"
)

// TestFailedEndOfAGivenUpRunCounts: a run that was given up turns out to have ended failed. It counts as an attempt,
// once, and the last one that is allowed ends the job.
func TestFailedEndOfAGivenUpRunCounts(t *testing.T) {
	y := newYard(t, 1, 2)
	y.submit(jobA, job.Step{Count: 1, Cpu: 1}) // two attempts
	y.place(jobA, OK, Target{Task: task(0, 0), Worker: "w1"})
	y.end(jobA, task(0, 0), "w1", 1, Lost)
	y.place(jobA, OK, Target{Task: task(0, 0), Worker: "w2"})
	late := Command{Ended: &Ended{Worker: "w1", Job: jobA, Task: task(0, 0), Run: 1, How: RunFailed}}
	y.do(late, OK)
	y.do(late, OK)
	if attempts := y.Jobs[jobA].Task(task(0, 0)).Attempts; attempts != 1 {
		t.Errorf("%d attempts are counted, one has failed", attempts)
	}
	y.end(jobA, task(0, 0), "w2", 2, RunFailed)
	if state := y.Jobs[jobA].State; state != job.Failed {
		t.Errorf("the job is %v after its last attempt", state)
	}
	y.place(jobA, Conflict, Target{Task: task(0, 0), Worker: "w1"})
}
