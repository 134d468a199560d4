package job

import "slices"

// Task is the state of one task. The zero value is a task that was never placed.
type Task struct {
	Done           bool   `cbor:"1,keyasint,omitempty"`
	FailedAttempts int    `cbor:"2,keyasint,omitempty"` // number of runs that ended failed
	Run            uint64 `cbor:"3,keyasint,omitempty"` // number of the newest run; the runs of a task are numbered from 1
	Worker         string `cbor:"4,keyasint,omitempty"` // worker at which the task is placed; "" if it is not placed
	Stopping       bool   `cbor:"5,keyasint,omitempty"`
	Checkpoint     string `cbor:"6,keyasint,omitempty"` // the newest checkpoint, from which the next run resumes
	// LastFailedWorker is the worker at which the newest run ended badly. The next run avoids it for a while.
	LastFailedWorker string `cbor:"7,keyasint,omitempty"`
	// FailedRuns are the numbers of the runs that FailedAttempts counts, at most the job's MaxAttempts.
	FailedRuns []uint64 `cbor:"8,keyasint,omitempty"`
}

// Clone returns a copy that shares nothing with the task.
func (t *Task) Clone() Task {
	clone := *t
	clone.FailedRuns = slices.Clone(t.FailedRuns)
	return clone
}

// OlderThan reports whether t is an older state than other of the same task. Runs are numbered in their order, a run that
// has ended is not placed again, a stop is not taken back, and a task that is done stays done.
func (t *Task) OlderThan(other *Task) bool {
	switch {
	case t.Run != other.Run:
		return t.Run < other.Run
	case t.Done != other.Done:
		return other.Done
	case (t.Worker == "") != (other.Worker == ""):
		return t.Worker != ""
	case t.Stopping != other.Stopping:
		return other.Stopping
	}
	return t.FailedAttempts < other.FailedAttempts
}

// CountFailure counts a run that ended failed. It is idempotent, because an end may be reported more than once. It
// returns the number of failed runs counted so far, and whether this call counted the run.
func (t *Task) CountFailure(run uint64) (attempts int, counted bool) {
	if slices.Contains(t.FailedRuns, run) {
		return t.FailedAttempts, false
	}
	t.FailedRuns = append(t.FailedRuns, run)
	t.FailedAttempts++
	return t.FailedAttempts, true
}
