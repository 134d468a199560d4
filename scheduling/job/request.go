package job

// Step is one step of a job: Count tasks with the same demand. Its JSON form is that of the protocol.
type Step struct {
	Count         int    `json:"Count" cbor:"1,keyasint"`
	CPU           int64  `json:"Cpu" cbor:"2,keyasint,omitempty"`        // per task, in thousandths of a core
	MemoryMB      int64  `json:"MemMb" cbor:"3,keyasint,omitempty"`      // per task, in megabytes
	GPU           int64  `json:"Gpu" cbor:"4,keyasint,omitempty"`        // per task, in whole devices
	EstimateMs    int64  `json:"EstimateMs" cbor:"5,keyasint,omitempty"` // the client's rough estimate of a task's run time
	DependsOn     []int  `json:"DependsOn" cbor:"6,keyasint,omitempty"`  // indices of earlier steps that must be done first
	Checkpoints   bool   `json:"Checkpoints" cbor:"7,keyasint,omitempty"`
	Gang          bool   `json:"Gang" cbor:"8,keyasint,omitempty"`     // all tasks are placed, run and end together
	SameRack      bool   `json:"SameRack" cbor:"9,keyasint,omitempty"` // the gang is slower on more than one rack
	RequiredLabel string `json:"Requires" cbor:"10,keyasint,omitempty"`
	// Affinity is the rack that holds the step's data; tasks take longer in other racks. "" means that there is no such
	// rack.
	Affinity string `json:"Affinity" cbor:"11,keyasint,omitempty"`
	// AntiAffinity is the maximum number of tasks of one repetition of the step on the same worker; 0 means no limit.
	AntiAffinity int `json:"AntiAffinity" cbor:"12,keyasint,omitempty"`
	// Speculative allows several copies of a task to run in parallel; the first one to end counts.
	Speculative bool `json:"Twice" cbor:"13,keyasint,omitempty"`
	// LongRunning marks tasks that run until the job is cancelled. They are restarted if they end earlier, for any reason.
	LongRunning bool `json:"LongRunning" cbor:"14,keyasint,omitempty"`
}

// Demand returns the resources that one task of the step needs.
func (s *Step) Demand() Resources { return Resources{s.CPU, s.MemoryMB, s.GPU} }

// Request is the body with which a client submits a job.
type Request struct {
	Spec  string `json:"Spec" cbor:"1,keyasint"`
	Steps Steps  `json:"Steps" cbor:"2,keyasint"`
	// Repeat is how many times a scheduled job runs its steps; 0 means that the job starts at once and runs its steps once.
	Repeat     int   `json:"Repeat" cbor:"3,keyasint,omitempty"`
	FirstRunMs int64 `json:"FirstRunMs" cbor:"4,keyasint,omitempty"` // when repetition 0 is due, ms since 1970
	IntervalMs int64 `json:"IntervalMs" cbor:"5,keyasint,omitempty"` // time between the due times of repetitions
}

// Limits of one job. A request that exceeds any of them is invalid. They bound how much a single request can add to the
// replicated state; the protocol itself limits only Spec.
const (
	MaxSpecBytes   = 4000 // by the protocol
	maxSteps       = 256
	maxTasks       = 1 << 16 // per repetition, over all steps
	maxRepetitions = 10_000
)

// Valid reports whether the request is within the limits, has no negative amount, and has only steps that depend on earlier
// steps, so that its dependencies have no cycle.
func (r *Request) Valid() bool {
	if len(r.Spec) > MaxSpecBytes || len(r.Steps) == 0 || len(r.Steps) > maxSteps ||
		r.Repeat < 0 || r.Repeat > maxRepetitions {
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

// Repetitions returns how many times the steps run, which is at least 1.
func (r *Request) Repetitions() int { return max(r.Repeat, 1) }

// EstimatedWork returns the client's estimate of the work of one repetition, in thousandths of cores times milliseconds.
func (r *Request) EstimatedWork() int64 {
	work := int64(0)
	for i := range r.Steps {
		work += int64(r.Steps[i].Count) * r.Steps[i].CPU * r.Steps[i].EstimateMs
	}
	return work
}

// DueMs returns the time at which a repetition of a scheduled job is due, in milliseconds since 1970. It returns 0 for a job
// that starts at once.
func (r *Request) DueMs(repetition int) int64 {
	if r.Repeat == 0 {
		return 0
	}
	return r.FirstRunMs + int64(repetition)*r.IntervalMs
}
