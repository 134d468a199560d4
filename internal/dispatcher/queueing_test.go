package dispatcher

import (
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// TestDeadlineFollowsTheCriticalPath: the objective is the stretch times the longest chain of steps, not the sum of all.
func TestDeadlineFollowsTheCriticalPath(t *testing.T) {
	owned := &ownedJob{ownedSince: time.Second, Job: &job.Job{Stretch: 2, TargetLatencyMs: 500,
		Request: job.Request{Repeat: 2, FirstRunMs: 10_000, IntervalMs: 3000, Steps: []job.Step{{Count: 3, EstimateMs: 1000},
			{Count: 1, EstimateMs: 250, DependsOn: []int{0}}, {Count: 9, EstimateMs: 600, DependsOn: []int{0}}, {Count: 1, EstimateMs: 700}}}}}
	waves := func(step *job.Step) int { return (step.Count + 7) / 8 }
	longest := criticalPaths(&owned.Request, waves)
	for i, want := range []time.Duration{2200, 250, 1200, 700} {
		if longest[i] != want*time.Millisecond {
			t.Errorf("step %d: the chain from it takes %v, want %d ms", i, longest[i], want)
		}
	}
	if begin := owned.repetitionStart(5*time.Second, 12_000, 1); begin != 6*time.Second {
		t.Errorf("the second time falls due at %v", begin)
	}
	if got := owned.deadline(time.Second, longest); got != 5900*time.Millisecond {
		t.Errorf("objective %v", got)
	}
	owned.Request.Repeat = 0
	if begin := owned.repetitionStart(5*time.Second, 12_000, 0); begin != time.Second {
		t.Errorf("a job without times began at %v", begin)
	}
}
