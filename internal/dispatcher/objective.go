package dispatcher

import (
	"time"

	"yardflow/scheduling/job"
)

// chains returns for each step how long the longest chain of steps takes that begins with it, by the
// client's estimates. Waves says how many times over a step runs that is wider than its share of the workers.
func chains(request *job.Request, waves func(*job.Step) int) []time.Duration {
	longest := make([]time.Duration, len(request.Steps))
	for i := len(request.Steps) - 1; i >= 0; i-- {
		step := &request.Steps[i]
		longest[i] += time.Duration(step.EstimateMs) * time.Millisecond * time.Duration(waves(step))
		for _, earlier := range step.DependsOn {
			longest[earlier] = max(longest[earlier], longest[i])
		}
	}
	return longest
}

// begin returns when a time of the job began or begins, on the engine's clock.
func (j *ownedJob) begin(now time.Duration, wallMs int64, run int) time.Duration {
	if due := j.Request.DueMs(run); due > 0 {
		return now + time.Duration(due-wallMs)*time.Millisecond
	}
	return j.since
}

// objective returns when a time of the job that began at the given moment counts as late.
func (j *ownedJob) objective(begin time.Duration, chains []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, chain := range chains {
		longest = max(longest, chain)
	}
	return begin + time.Duration(j.Stretch*float64(longest)) + time.Duration(j.TargetLatencyMs)*time.Millisecond
}
