// Package job defines the data model of the scheduler: jobs as clients submit them, their steps and tasks, and the state of
// each task while the job runs.
//
// The replicated state and every dispatcher's copy of it both apply the rules of this package. It therefore has no I/O,
// clock or randomness: the same calls in the same order give the same state on every machine. The types are encoded in
// requests, commands, updates and snapshots; the names and numbers in their tags never change.
package job

import (
	"maps"
	"slices"
)

// State is the state of a job as clients see it.
type State uint8

// The states of a job. Completed, Failed and Cancelled are terminal.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the state's name on the wire.
func (s State) String() string { return stateNames[s] }

// Terminal reports whether the job has ended: its state never changes again.
func (s State) Terminal() bool { return s >= Completed }

// Job is a job that the system has accepted. The replicated state creates it when it applies the client's Submit command,
// and removes it some time after the job has reached a terminal state.
type Job struct {
	ID              string            `cbor:"1,keyasint"`
	Route           string            `cbor:"2,keyasint"` // host and path prefix of the job's queue
	Service         string            `cbor:"3,keyasint"`
	Priority        int               `cbor:"4,keyasint,omitempty"` // 0 is the most urgent
	MaxAttempts     int               `cbor:"5,keyasint,omitempty"` // the job fails after this many failed runs of a task
	Stretch         float64           `cbor:"6,keyasint,omitempty"` // the objective is Stretch times the critical path
	TargetLatencyMs int64             `cbor:"7,keyasint,omitempty"` // added to the objective
	Owner           uint64            `cbor:"8,keyasint,omitempty"` // session of the dispatcher that schedules it
	Request         Request           `cbor:"9,keyasint"`
	State           State             `cbor:"10,keyasint,omitempty"`
	Tasks           map[TaskKey]*Task `cbor:"11,keyasint,omitempty"` // all tasks that were ever placed
	DoneTasks       map[StepKey]int   `cbor:"12,keyasint,omitempty"` // number of tasks that have ended done
	GangFailures    map[StepKey]int   `cbor:"13,keyasint,omitempty"` // number of runs of a gang that ended failed
	// LastFailedGangRun is the newest failed run that GangFailures counts. Only snapshots of versions before GangFailedRuns
	// have it.
	LastFailedGangRun map[StepKey]uint64 `cbor:"14,keyasint,omitempty"`
	EndedAtTick       uint64             `cbor:"15,keyasint,omitempty"` // tick of the replicated clock when the job ended
	Sequence          uint64             `cbor:"16,keyasint,omitempty"` // position of the job in the order of acceptance
	Started           bool               `cbor:"17,keyasint,omitempty"` // a task is known to have started, or the job ended
	// GangFailedRuns are the numbers of the runs that GangFailures counts.
	GangFailedRuns map[StepKey][]uint64 `cbor:"18,keyasint,omitempty"`
}

// Clone returns a copy that shares only the request, which never changes once the job is accepted.
func (j *Job) Clone() *Job {
	clone := *j
	clone.Tasks = make(map[TaskKey]*Task, len(j.Tasks))
	for key, task := range j.Tasks {
		copied := task.Clone()
		clone.Tasks[key] = &copied
	}
	clone.DoneTasks = maps.Clone(j.DoneTasks)
	clone.GangFailures = maps.Clone(j.GangFailures)
	clone.LastFailedGangRun = maps.Clone(j.LastFailedGangRun)
	clone.GangFailedRuns = maps.Clone(j.GangFailedRuns)
	for key, runs := range clone.GangFailedRuns {
		clone.GangFailedRuns[key] = slices.Clone(runs)
	}
	return &clone
}

// RecountDone derives DoneTasks from the tasks.
func (j *Job) RecountDone() {
	j.DoneTasks = map[StepKey]int{}
	for key, task := range j.Tasks {
		if task.Done {
			j.DoneTasks[StepKey{key.Repetition, key.Step}]++
		}
	}
}

// HasPlacedTask reports whether a task of the job is placed at a worker.
func (j *Job) HasPlacedTask() bool {
	for _, task := range j.Tasks {
		if task.Worker != "" {
			return true
		}
	}
	return false
}

// CountGangFailure counts a run of a gang that ended failed, once for all members. It returns the number of failed runs
// counted so far, and whether this call counted the run.
func (j *Job) CountGangFailure(key StepKey, run uint64) (attempts int, counted bool) {
	if j.GangFailures == nil {
		j.GangFailures = map[StepKey]int{}
	}
	if j.GangFailedRuns == nil {
		j.GangFailedRuns = map[StepKey][]uint64{}
	}
	if run <= j.LastFailedGangRun[key] || slices.Contains(j.GangFailedRuns[key], run) {
		return j.GangFailures[key], false
	}
	j.GangFailedRuns[key] = append(j.GangFailedRuns[key], run)
	j.GangFailures[key]++
	return j.GangFailures[key], true
}

// EnsureTask returns the state of a task, and creates it if it does not exist yet.
func (j *Job) EnsureTask(key TaskKey) *Task {
	task := j.Tasks[key]
	if task == nil {
		task = &Task{}
		if j.Tasks == nil {
			j.Tasks = map[TaskKey]*Task{}
		}
		j.Tasks[key] = task
	}
	return task
}

// HasTask reports whether the job's request has a task with this key, whether or not it was ever placed.
func (j *Job) HasTask(key TaskKey) bool {
	return key.Repetition >= 0 && key.Repetition < j.Request.Repetitions() && key.Step >= 0 &&
		key.Step < len(j.Request.Steps) && key.Index >= 0 && key.Index < j.Request.Steps[key.Step].Count
}

// DependenciesDone reports whether all tasks of the steps on which the step depends are done in the same repetition.
func (j *Job) DependenciesDone(key StepKey) bool {
	for _, earlier := range j.Request.Steps[key.Step].DependsOn {
		if j.DoneTasks[StepKey{key.Repetition, earlier}] < j.Request.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// MarkDone records that a task has ended done. It is idempotent.
func (j *Job) MarkDone(key TaskKey) {
	task := j.EnsureTask(key)
	if task.Done {
		return
	}
	task.Done = true
	if j.DoneTasks == nil {
		j.DoneTasks = map[StepKey]int{}
	}
	j.DoneTasks[StepKey{key.Repetition, key.Step}]++
}

// AllDone reports whether every task of every repetition has ended done.
func (j *Job) AllDone() bool {
	for repetition := range j.Request.Repetitions() {
		for step := range j.Request.Steps {
			if j.DoneTasks[StepKey{repetition, step}] < j.Request.Steps[step].Count {
				return false
			}
		}
	}
	return true
}

// CountPlacedAt returns the number of tasks of one repetition of a step that are placed at the worker.
func (j *Job) CountPlacedAt(key StepKey, worker string) int {
	count := 0
	for k, task := range j.Tasks {
		if k.Repetition == key.Repetition && k.Step == key.Step && task.Worker == worker {
			count++
		}
	}
	return count
}

// PlacedPerWorker returns the number of tasks of one repetition of a step that are placed at each worker.
func (j *Job) PlacedPerWorker(key StepKey) map[string]int {
	counts := map[string]int{}
	for k, task := range j.Tasks {
		if k.Repetition == key.Repetition && k.Step == key.Step && task.Worker != "" {
			counts[task.Worker]++
		}
	}
	return counts
}

// SortedTaskKeys returns the keys of all tasks that were ever placed, sorted by repetition, step and index. The replicated
// state iterates over tasks in this order, because the iteration order of a map differs between machines.
func (j *Job) SortedTaskKeys() []TaskKey {
	keys := make([]TaskKey, 0, len(j.Tasks))
	for key := range j.Tasks {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b TaskKey) int {
		if a.Repetition != b.Repetition {
			return a.Repetition - b.Repetition
		}
		if a.Step != b.Step {
			return a.Step - b.Step
		}
		return a.Index - b.Index
	})
	return keys
}
