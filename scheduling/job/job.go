// Package job holds what clients hand in: jobs, their steps and tasks, and the
// state of each task while the job runs. It has no I/O, clock or randomness, so
// the replicated state and every dispatcher's copy of it share one set of rules.
package job

import (
	"slices"
	"strconv"
	"strings"
)

// Resources is an amount of what a worker offers and a task asks for.
type Resources struct {
	CPU      int64 `json:"Cpu" cbor:"1,keyasint,omitempty"`   // thousandths of a core
	MemoryMB int64 `json:"MemMb" cbor:"2,keyasint,omitempty"` // megabytes
	GPU      int64 `json:"Gpu" cbor:"3,keyasint,omitempty"`   // whole devices
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r less o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Covers reports whether o fits into r in every respect.
func (r Resources) Covers(o Resources) bool {
	return o.CPU <= r.CPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}

// Times returns n times the amount.
func (r Resources) Times(n int64) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.GPU * n}
}

// Step is one step of a job: Count tasks that ask for the same.
type Step struct {
	Count         int    `json:"Count" cbor:"1,keyasint"`
	CPU           int64  `json:"Cpu" cbor:"2,keyasint,omitempty"`
	MemoryMB      int64  `json:"MemMb" cbor:"3,keyasint,omitempty"`
	GPU           int64  `json:"Gpu" cbor:"4,keyasint,omitempty"`
	EstimateMs    int64  `json:"EstimateMs" cbor:"5,keyasint,omitempty"`
	DependsOn     []int  `json:"DependsOn" cbor:"6,keyasint,omitempty"`
	Checkpoints   bool   `json:"Checkpoints" cbor:"7,keyasint,omitempty"`
	Gang          bool   `json:"Gang" cbor:"8,keyasint,omitempty"`
	SameRack      bool   `json:"SameRack" cbor:"9,keyasint,omitempty"`
	RequiredLabel string `json:"Requires" cbor:"10,keyasint,omitempty"`
	Affinity      string `json:"Affinity" cbor:"11,keyasint,omitempty"`
	AntiAffinity  int    `json:"AntiAffinity" cbor:"12,keyasint,omitempty"`
	Speculative   bool   `json:"Twice" cbor:"13,keyasint,omitempty"`
	LongRunning   bool   `json:"LongRunning" cbor:"14,keyasint,omitempty"`
}

// Demand returns what one task of the step asks for.
func (s *Step) Demand() Resources { return Resources{s.CPU, s.MemoryMB, s.GPU} }

// Request is the body with which a client hands in a job.
type Request struct {
	Spec       string `json:"Spec" cbor:"1,keyasint"`
	Steps      []Step `json:"Steps" cbor:"2,keyasint"`
	Repeat     int    `json:"Repeat" cbor:"3,keyasint,omitempty"`
	FirstRunMs int64  `json:"FirstRunMs" cbor:"4,keyasint,omitempty"` // since 1970
	IntervalMs int64  `json:"IntervalMs" cbor:"5,keyasint,omitempty"`
}

// Bounds on what one job may ask for; larger ones are refused.
const (
	MaxSpecBytes = 4000
	maxSteps     = 256
	maxTasks     = 1 << 16
	maxRuns      = 10_000 // times of a repeated job
)

// Valid reports whether the request can be carried out as a job at all.
func (r *Request) Valid() bool {
	if len(r.Spec) > MaxSpecBytes || len(r.Steps) == 0 || len(r.Steps) > maxSteps || r.Repeat < 0 || r.Repeat > maxRuns {
		return false
	}
	tasks := 0
	for i := range r.Steps {
		step := &r.Steps[i]
		if step.Count < 1 || step.CPU < 0 || step.MemoryMB < 0 || step.GPU < 0 || step.EstimateMs < 0 {
			return false
		}
		if tasks += step.Count; tasks > maxTasks {
			return false
		}
		for _, earlier := range step.DependsOn {
			if earlier < 0 || earlier >= i {
				return false
			}
		}
	}
	return true
}

// Repetitions returns how many times the steps are run.
func (r *Request) Repetitions() int { return max(r.Repeat, 1) }

// EstimatedWork returns how much the client expects all tasks of one time to take, in thousandths of cores times ms.
func (r *Request) EstimatedWork() int64 {
	work := int64(0)
	for i := range r.Steps {
		work += int64(r.Steps[i].Count) * r.Steps[i].CPU * r.Steps[i].EstimateMs
	}
	return work
}

// DueMs returns when the given time of a repeated job falls due, in
// milliseconds since 1970, and 0 where the job has no times.
func (r *Request) DueMs(time int) int64 {
	if r.Repeat == 0 {
		return 0
	}
	return r.FirstRunMs + int64(time)*r.IntervalMs
}

// TaskKey names a task within its job.
type TaskKey struct {
	Repetition int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
	Index      int `cbor:"3,keyasint,omitempty"`
}

// StepKey names one time of a step within its job.
type StepKey struct {
	Repetition int `cbor:"1,keyasint,omitempty"`
	Step       int `cbor:"2,keyasint,omitempty"`
}

// Name returns the task's name on the wire: ID.K.STEP.INDEX.
func (k TaskKey) Name(id string) string {
	name := make([]byte, 0, len(id)+16)
	name = append(name, id...)
	for _, number := range [3]int{k.Repetition, k.Step, k.Index} {
		name = append(name, '.')
		name = strconv.AppendInt(name, int64(number), 10)
	}
	return string(name)
}

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (id string, key TaskKey, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", TaskKey{}, false
	}
	numbers := [3]int{}
	for i := range numbers {
		number, err := strconv.Atoi(parts[i+1])
		if err != nil || number < 0 {
			return "", TaskKey{}, false
		}
		numbers[i] = number
	}
	return parts[0], TaskKey{numbers[0], numbers[1], numbers[2]}, true
}

// ValidID reports whether id is 16 hex digits.
func ValidID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for i := 0; i < len(id); i++ {
		c := id[i]
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// State is what clients are told of a job.
type State uint8

// The states of a job.
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

// Terminal reports whether nothing more happens to the job.
func (s State) Terminal() bool { return s >= Completed }

// Task is what is known of one task. The zero value is one never started.
type Task struct {
	Done             bool   `cbor:"1,keyasint,omitempty"`
	FailedAttempts   int    `cbor:"2,keyasint,omitempty"` // runs that ended failed
	Run              uint64 `cbor:"3,keyasint,omitempty"` // number of the last run
	Worker           string `cbor:"4,keyasint,omitempty"` // where it is placed; "" where it is not
	Stopping         bool   `cbor:"5,keyasint,omitempty"`
	Checkpoint       string `cbor:"6,keyasint,omitempty"` // newest checkpoint
	LastFailedWorker string `cbor:"7,keyasint,omitempty"` // worker at which the last run did not end well
	// FailedRuns has the numbers of the runs that Attempts counts. A job has as few as its attempts allow.
	FailedRuns []uint64 `cbor:"8,keyasint,omitempty"`
}

// CountFailure counts a run that ended failed, once, and returns the failed runs so far.
func (t *Task) CountFailure(run uint64) (attempts int, counted bool) {
	if slices.Contains(t.FailedRuns, run) {
		return t.FailedAttempts, false
	}
	t.FailedRuns = append(t.FailedRuns, run)
	t.FailedAttempts++
	return t.FailedAttempts, true
}

// Job is a job that the system has accepted.
type Job struct {
	ID                string             `cbor:"1,keyasint"`
	Route             string             `cbor:"2,keyasint"` // host and path prefix of its queue
	Service           string             `cbor:"3,keyasint"`
	Priority          int                `cbor:"4,keyasint,omitempty"`
	MaxAttempts       int                `cbor:"5,keyasint,omitempty"`
	Stretch           float64            `cbor:"6,keyasint,omitempty"`
	TargetLatencyMs   int64              `cbor:"7,keyasint,omitempty"`
	Owner             uint64             `cbor:"8,keyasint,omitempty"` // session of the dispatcher that schedules it
	Request           Request            `cbor:"9,keyasint"`
	State             State              `cbor:"10,keyasint,omitempty"`
	Tasks             map[TaskKey]*Task  `cbor:"11,keyasint,omitempty"` // tasks ever placed
	DoneTasks         map[StepKey]int    `cbor:"12,keyasint,omitempty"` // tasks of a step that ended done
	GangFailures      map[StepKey]int    `cbor:"13,keyasint,omitempty"` // runs of a gang that failed
	LastFailedGangRun map[StepKey]uint64 `cbor:"14,keyasint,omitempty"` // in states of a former version: the last failed run counted
	EndedAge          uint64             `cbor:"15,keyasint,omitempty"` // age of the system when the job was over
	Sequence          uint64             `cbor:"16,keyasint,omitempty"` // position in the order of acceptance
	Started           bool               `cbor:"17,keyasint,omitempty"` // a task is known to have begun, or the job is over
	// GangFailedRuns has the numbers of the runs that GangFailures counts.
	GangFailedRuns map[StepKey][]uint64 `cbor:"18,keyasint,omitempty"`
}

// CountGangFailure counts a run of a gang that failed, once for all members, and returns the failed runs so far.
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

// EnsureTask returns the state of one task, which it enters where there was none.
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

// HasTask reports whether the job has a task of that name.
func (j *Job) HasTask(key TaskKey) bool {
	return key.Repetition >= 0 && key.Repetition < j.Request.Repetitions() && key.Step >= 0 && key.Step < len(j.Request.Steps) &&
		key.Index >= 0 && key.Index < j.Request.Steps[key.Step].Count
}

// DependenciesDone reports whether all tasks that come before the step are done.
func (j *Job) DependenciesDone(key StepKey) bool {
	for _, earlier := range j.Request.Steps[key.Step].DependsOn {
		if j.DoneTasks[StepKey{key.Repetition, earlier}] < j.Request.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// MarkDone enters that a task has ended done, once.
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

// AllDone reports whether every task of every time has ended done.
func (j *Job) AllDone() bool {
	for time := range j.Request.Repetitions() {
		for step := range j.Request.Steps {
			if j.DoneTasks[StepKey{time, step}] < j.Request.Steps[step].Count {
				return false
			}
		}
	}
	return true
}

// CountPlacedAt returns how many tasks of one time of a step are placed at the worker.
func (j *Job) CountPlacedAt(key StepKey, worker string) int {
	count := 0
	for k, task := range j.Tasks {
		if k.Repetition == key.Repetition && k.Step == key.Step && task.Worker == worker {
			count++
		}
	}
	return count
}

// SortedTaskKeys returns the names of all tasks that were ever placed, in order.
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
