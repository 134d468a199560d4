package emulator

import (
	"time"

	"yardflow/scheduling/job"
)

// Submitted records that a client is about to submit a job.
func (c *Checker) Submitted(id string, request job.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = &jobSeen{request: request, handedIn: time.Now(), done: map[job.StepKey]int{}}
}

// Accepted records that a submission was answered with success.
func (c *Checker) Accepted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].accepted = true
}

// StateShown records a job state that a client was answered, and checks it.
func (c *Checker) StateShown(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.jobs[id]
	seen.state = state
	if state == "cancelled" && !seen.cancelSent {
		c.violated("LOST", "%s is shown as cancelled, and nobody has cancelled it", id)
	}
	if state == "failed" && !c.hasFailed(id, &seen.request) {
		c.violated("LOST", "%s is shown as failed, and no task of it has failed %d times", id, attempts)
	}
	if state != "completed" {
		return
	}
	for step := range seen.request.Steps {
		if seen.done[job.StepKey{Step: step}] < seen.request.Steps[step].Count {
			c.violated("MIXED", "%s is shown as completed", id)
		}
	}
}

// Gone records that a client was answered that there is no such job.
func (c *Checker) Gone(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen := c.jobs[id]; seen.accepted && !seen.cancelSent {
		c.violated("LOST", "%s was accepted and is not known", id)
	}
}

// CancelSent records that a client is about to cancel a job.
func (c *Checker) CancelSent(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id].cancelSent = true
}

// CancelAcknowledged records that a cancelling was answered 2xx or 410.
func (c *Checker) CancelAcknowledged(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if seen := c.jobs[id]; seen.cancelledAt.IsZero() {
		seen.cancelledAt = time.Now()
	}
}

// hasFailed reports whether a task of the job has failed as often as it may.
func (c *Checker) hasFailed(id string, request *job.Request) bool {
	for name, task := range c.tasks {
		if of, _, _ := job.ParseTaskName(name); of == id && len(task.failures) >= attempts {
			return true
		}
	}
	return false
}
