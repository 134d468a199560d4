package placement

import (
	"time"

	"yardflow/scheduling/job"
)

// Unit is what is placed in one go: a task, or all members of a gang. The dispatcher creates it when the task is ready, and
// hands it over with Enqueue.
type Unit struct {
	Job          *job.Job
	StepKey      job.StepKey
	TaskIndices  []int // one, or all of a gang
	EnqueuedAt   time.Duration
	Deadline     time.Duration // when the objective of the job's repetition is missed
	CriticalPath time.Duration // how long the repetition takes from this step on, where nothing has to wait
	avoid        string        // worker at which the task's last run did not end well
	late         bool          // its objective can't be met any more
}

// Step returns the step that the unit belongs to.
func (u *Unit) Step() *job.Step { return &u.Job.Request.Steps[u.StepKey.Step] }

// AvoidWorker names a worker to which the unit had better not go again. It is avoided for the first 400 ms.
func (u *Unit) AvoidWorker(worker string) { u.avoid = worker }

// willBeLate reports whether the objective can't be met any more. Clients' estimates may be off by half.
func (u *Unit) willBeLate(now time.Duration) bool { return now+u.CriticalPath/2 > u.Deadline }

// Decision says that a unit goes to workers, one for each of its tasks.
type Decision struct {
	Unit    *Unit
	Workers []string
	// Alternatives are workers that are as good for a unit of one task, the best first, in case another dispatcher has
	// taken what is free at the chosen one.
	Alternatives []string
}
