package placement

import (
	"slices"
	"time"
)

// queue holds the units that wait, in the order in which they are tried: by priority, then those whose objective can still
// be met, then by deadline, then by age.
type queue []*Unit

// Enqueue adds a unit to the queue. Units that will be late whatever is done come behind those of their priority that can
// still meet their objective: under overload each late one would make another one late, and a late one loses nothing more
// by waiting.
func (s *Scheduler) Enqueue(unit *Unit) {
	s.urgent.recordWork(unit)
	unit.late = unit.willBeLate(unit.EnqueuedAt)
	s.queue.insert(unit)
}

// RemoveJob takes all units of a job out of the queue.
func (s *Scheduler) RemoveJob(id string) {
	s.queue = slices.DeleteFunc(s.queue, func(u *Unit) bool { return u.Job.ID == id })
}

// QueueLength returns how many units wait.
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

// demoteLate moves the units behind the others that have become late.
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

// before reports whether a is tried before b. Of units that are equal in all else, the one enqueued first is.
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
