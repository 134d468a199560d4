package placement

import (
	"slices"
	"time"

	"yardflow/scheduling/job"
)

// queue holds the waiting units in scheduling order: by priority, then units that can still meet their objective before
// late ones, then by deadline, then by age.
type queue []*Unit

// Enqueue adds a unit to the queue. Units that can no longer meet their objective come behind units of the same priority
// that can: under overload each late unit would make another one late, and a late unit loses nothing more by waiting.
func (s *Scheduler) Enqueue(unit *Unit) {
	s.urgent.recordWork(unit)
	unit.late = unit.willBeLate(unit.EnqueuedAt)
	s.queue.insert(unit)
}

// RemoveJob removes all units of a job from the queue, and what is known of its steps.
func (s *Scheduler) RemoveJob(j *job.Job) {
	s.evidence.forgetJob(j.ID, len(j.Request.Steps))
	s.queue = slices.DeleteFunc(s.queue, func(u *Unit) bool { return u.Job.ID == j.ID })
}

// QueueLength returns the number of waiting units.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

func (q *queue) insert(unit *Unit) {
	at, _ := slices.BinarySearchFunc(*q, unit, func(a, b *Unit) int {
		if before(a, b) {
			return -1
		}
		return 1
	})
	*q = slices.Insert(*q, at, unit)
}

func (q *queue) removeAt(i int) { *q = slices.Delete(*q, i, i+1) }

// demoteLate marks the units that have become late and moves them behind the others of their priority.
func (q *queue) demoteLate(now time.Duration) {
	var demoted []*Unit
	*q = slices.DeleteFunc(*q, func(u *Unit) bool {
		if u.late || !u.willBeLate(now) {
			return false
		}
		u.late = true
		demoted = append(demoted, u)
		return true
	})
	for _, unit := range demoted {
		q.insert(unit)
	}
}

// before reports whether a precedes b in the queue. Among units that are otherwise equal, the one enqueued first precedes.
func before(a, b *Unit) bool {
	if a.Job.Priority != b.Job.Priority {
		return a.Job.Priority < b.Job.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.EnqueuedAt <= b.EnqueuedAt
}
