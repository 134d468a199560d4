package placement

import (
	"time"

	"yardflow/scheduling/job"
)

// Unit is the unit of placement: a single task, or all members of a gang. The dispatcher creates it when the task is ready,
// and passes it to Enqueue.
type Unit struct {
	Job          *job.Job
	StepKey      job.StepKey
	TaskIndices  []int // a single index, or those of all members of a gang
	EnqueuedAt   time.Duration
	Deadline     time.Duration // the time by which the job's repetition must end to meet its objective
	CriticalPath time.Duration // how long the repetition takes from this step on if nothing has to wait
	avoid        string        // worker at which the task's last run ended badly
	late         bool          // the objective can no longer be met
}

// Step returns the step that the unit belongs to.
func (u *Unit) Step() *job.Step { return &u.Job.Request.Steps[u.StepKey.Step] }

// AvoidWorker sets a worker on which the unit is not placed for the first 400 ms (initialBackoff) after it is enqueued.
func (u *Unit) AvoidWorker(worker string) { u.avoid = worker }

// willBeLate reports whether the objective can no longer be met. Clients' estimates may be up to twice the
// actual run times, so only half of the critical path counts.
func (u *Unit) willBeLate(now time.Duration) bool { return now+u.CriticalPath/2 > u.Deadline }

// Decision assigns a unit to workers, one for each of its tasks.
type Decision struct {
	Unit    *Unit
	Workers []string
	// Alternatives are equally suitable workers for a unit of a single task, the best first. They are used if another
	// dispatcher has taken the free capacity of the chosen worker.
	Alternatives []string
}
