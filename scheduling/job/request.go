package job

// Step is one step of a job: Count tasks with the same demand. It is the protocol's shape of a step.
type Step struct {
	Count         int    `json:"Count" cbor:"1,keyasint"`
	CPU           int64  `json:"Cpu" cbor:"2,keyasint,omitempty"`        // of one task, thousandths of a core
	MemoryMB      int64  `json:"MemMb" cbor:"3,keyasint,omitempty"`      // of one task
	GPU           int64  `json:"Gpu" cbor:"4,keyasint,omitempty"`        // of one task, whole devices
	EstimateMs    int64  `json:"EstimateMs" cbor:"5,keyasint,omitempty"` // the client's rough guess of a task's run time
	DependsOn     []int  `json:"DependsOn" cbor:"6,keyasint,omitempty"`  // indices of earlier steps, all tasks of which must be done first
	Checkpoints   bool   `json:"Checkpoints" cbor:"7,keyasint,omitempty"`
	Gang          bool   `json:"Gang" cbor:"8,keyasint,omitempty"`     // all tasks are placed together, run together and end together
	SameRack      bool   `json:"SameRack" cbor:"9,keyasint,omitempty"` // a gang is slower on more than one rack
	RequiredLabel string `json:"Requires" cbor:"10,keyasint,omitempty"`
	// Affinity is the rack that holds the data: elsewhere the work takes longer. "" means no such rack.
	Affinity string `json:"Affinity" cbor:"11,keyasint,omitempty"`
	// AntiAffinity is how many tasks of one repetition of the step a worker may hold; 0 means any number.
	AntiAffinity int `json:"AntiAffinity" cbor:"12,keyasint,omitempty"`
	// Speculative allows copies of a task to run side by side, of which the first to end counts.
	Speculative bool `json:"Twice" cbor:"13,keyasint,omitempty"`
	// LongRunning marks tasks without an end of their own: they run until the job is cancelled and are restarted however
	// they end.
	LongRunning bool `json:"LongRunning" cbor:"14,keyasint,omitempty"`
}

// Demand returns the resources that one task of the step needs.
func (s *Step) Demand() Resources { return Resources{s.CPU, s.MemoryMB, s.GPU} }

// Request is the body with which a client submits a job.
type Request struct {
	Spec  string `json:"Spec" cbor:"1,keyasint"`
	Steps []Step `json:"Steps" cbor:"2,keyasint"`
	// Repeat is how often a scheduled job repeats its steps; 0 means a job that starts at once and runs its steps once.
	Repeat     int   `json:"Repeat" cbor:"3,keyasint,omitempty"`
	FirstRunMs int64 `json:"FirstRunMs" cbor:"4,keyasint,omitempty"` // when repetition 0 is due, ms since 1970
	IntervalMs int64 `json:"IntervalMs" cbor:"5,keyasint,omitempty"` // between the due times of repetitions
}

// Limits of one job; a request beyond any of them is invalid. They bound what a single request can make the replicated
// state hold: the protocol itself limits only Spec.
const (
	MaxSpecBytes   = 4000 // by the protocol
	maxSteps       = 256
	maxTasks       = 1 << 16 // of one repetition, over all steps
	maxRepetitions = 10_000
)

// Valid reports whether the request is within the limits, has no negative amount, and has steps that depend on earlier
// steps only, so that its dependencies have no cycle.
func (r *Request) Valid() bool {
	if len(r.Spec) > MaxSpecBytes || len(r.Steps) == 0 || len(r.Steps) > maxSteps || r.Repeat < 0 || r.Repeat > maxRepetitions {
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

// Repetitions returns how many times the steps run: at least once.
func (r *Request) Repetitions() int { return max(r.Repeat, 1) }

// EstimatedWork returns the client's estimate for all tasks of one repetition, in thousandths of cores times milliseconds.
func (r *Request) EstimatedWork() int64 {
	work := int64(0)
	for i := range r.Steps {
		work += int64(r.Steps[i].Count) * r.Steps[i].CPU * r.Steps[i].EstimateMs
	}
	return work
}

// DueMs returns when a repetition of a scheduled job is due, in milliseconds since 1970, and 0 for a job that starts at
// once.
func (r *Request) DueMs(repetition int) int64 {
	if r.Repeat == 0 {
		return 0
	}
	return r.FirstRunMs + int64(repetition)*r.IntervalMs
}
