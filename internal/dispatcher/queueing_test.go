package dispatcher

import (
	"testing"
	"time"

	"yardflow/scheduling/job"
)

// TestDeadlineFollowsTheCriticalPath: the deadline depends on the longest chain of dependent steps, not on the sum of all
// steps.
func TestDeadlineFollowsTheCriticalPath(t *testing.T) {
	owned := &ownedJob{ownedSince: time.Second, Job: &job.Job{Stretch: 2, TargetLatencyMs: 500,
		Request: job.Request{Repeat: 2, FirstRunMs: 10_000, IntervalMs: 3000, Steps: []job.Step{{Count: 3, EstimateMs: 1000},
			{Count: 1, EstimateMs: 250, DependsOn: []int{0}}, {Count: 9, EstimateMs: 600, DependsOn: []int{0}},
			{Count: 1, EstimateMs: 700}}}}}
	waves := func(step *job.Step) int { return (step.Count + 7) / 8 }
	longest := criticalPaths(&owned.Request, waves)
	for i, want := range []time.Duration{2200, 250, 1200, 700} {
		if longest[i] != want*time.Millisecond {
			t.Errorf("the longest chain from step %d takes %v, want %d ms", i, longest[i], want)
		}
	}
	if start := owned.repetitionStart(5*time.Second, 12_000, 1); start != 6*time.Second {
		t.Errorf("the second repetition starts at %v, want 6s", start)
	}
	if got := owned.deadline(time.Second, longest); got != 5900*time.Millisecond {
		t.Errorf("the deadline is %v, want 5.9s", got)
	}
	owned.Request.Repeat = 0
	if start := owned.repetitionStart(5*time.Second, 12_000, 0); start != time.Second {
		t.Errorf("a job without repetitions started at %v, want 1s", start)
	}
}
