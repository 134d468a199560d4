// Package job has the nouns of the scheduler: jobs as clients submit them, their steps and tasks, and the state of each
// task while the job runs.
//
// Both the replicated state and every dispatcher's copy of it apply the rules of this package, so it has no I/O, clock or
// randomness: the same calls in the same order give the same state on every machine. The values are encoded in requests,
// commands, updates and snapshots; the names and numbers in their tags never change.
package job

import "slices"

// State is the state of a job as clients see it.
type State uint8

// The states of a job. Those from Completed on are terminal.
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

// Job is a job that the system has accepted. The replicated state creates it with the client's Submit and removes it some
// time after it has reached a terminal state.
type Job struct {
	ID              string            `cbor:"1,keyasint"`
	Route           string            `cbor:"2,keyasint"` // host and path prefix of its queue
	Service         string            `cbor:"3,keyasint"`
	Priority        int               `cbor:"4,keyasint,omitempty"` // 0 is the most urgent
	MaxAttempts     int               `cbor:"5,keyasint,omitempty"` // failed runs of a task after which the job has failed
	Stretch         float64           `cbor:"6,keyasint,omitempty"` // the objective is so many times the critical path,
	TargetLatencyMs int64             `cbor:"7,keyasint,omitempty"` // plus this
	Owner           uint64            `cbor:"8,keyasint,omitempty"` // session of the dispatcher that schedules it
	Request         Request           `cbor:"9,keyasint"`
	State           State             `cbor:"10,keyasint,omitempty"`
	Tasks           map[TaskKey]*Task `cbor:"11,keyasint,omitempty"` // tasks that were ever placed
	DoneTasks       map[StepKey]int   `cbor:"12,keyasint,omitempty"` // number of tasks that ended done
	GangFailures    map[StepKey]int   `cbor:"13,keyasint,omitempty"` // runs of a gang that ended failed
	// LastFailedGangRun is the newest failed run counted, in snapshots of versions before GangFailedRuns.
	LastFailedGangRun map[StepKey]uint64 `cbor:"14,keyasint,omitempty"`
	EndedAtTick       uint64             `cbor:"15,keyasint,omitempty"` // tick of the replicated clock at which the job ended
	Sequence          uint64             `cbor:"16,keyasint,omitempty"` // position in the order of acceptance
	Started           bool               `cbor:"17,keyasint,omitempty"` // a task is known to have started, or the job has ended
	// GangFailedRuns are the numbers of the runs that GangFailures counts.
	GangFailedRuns map[StepKey][]uint64 `cbor:"18,keyasint,omitempty"`
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

// CountGangFailure counts a run of a gang that ended failed, once for all members. It returns the number of failed runs so
// far and whether this run was counted now.
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

// EnsureTask returns the state of a task and creates it where there is none yet.
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

// HasTask reports whether the request names such a task, placed or not.
func (j *Job) HasTask(key TaskKey) bool {
	return key.Repetition >= 0 && key.Repetition < j.Request.Repetitions() && key.Step >= 0 && key.Step < len(j.Request.Steps) &&
		key.Index >= 0 && key.Index < j.Request.Steps[key.Step].Count
}

// DependenciesDone reports whether all tasks on which the step depends are done, within the same repetition.
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

// CountPlacedAt returns how many tasks of one repetition of a step are placed at the worker.
func (j *Job) CountPlacedAt(key StepKey, worker string) int {
	count := 0
	for k, task := range j.Tasks {
		if k.Repetition == key.Repetition && k.Step == key.Step && task.Worker == worker {
			count++
		}
	}
	return count
}

// PlacedPerWorker returns how many tasks of a step are placed at each worker.
func (j *Job) PlacedPerWorker(key StepKey) map[string]int {
	counts := map[string]int{}
	for k, task := range j.Tasks {
		if k.Repetition == key.Repetition && k.Step == key.Step && task.Worker != "" {
			counts[task.Worker]++
		}
	}
	return counts
}

// SortedTaskKeys returns the keys of all tasks that were ever placed, by repetition, step and index: the replicated state
// walks tasks in this order, since the order of a map differs between machines.
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
