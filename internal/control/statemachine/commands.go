package statemachine

import (
	"yardflow/internal/control/patch"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// SessionID names a dispatcher's session: one life of its process, as long as it keeps in touch.
type SessionID = uint64

// Command is one change or read of the replicated state; exactly one field is set.
type Command struct {
	OpenSession      *OpenSession        `cbor:"1,keyasint,omitempty"`
	CloseSession     *CloseSession       `cbor:"2,keyasint,omitempty"`
	InstancesChanged *InstancesChanged   `cbor:"3,keyasint,omitempty"`
	SubmitJob        *SubmitJob          `cbor:"4,keyasint,omitempty"`
	CancelJob        *CancelJob          `cbor:"5,keyasint,omitempty"`
	PlaceTasks       *PlaceTasks         `cbor:"6,keyasint,omitempty"`
	RunEnded         *taskrun.Ended      `cbor:"7,keyasint,omitempty"`
	Configure        *Configure          `cbor:"8,keyasint,omitempty"`
	AdvanceClock     *AdvanceClock       `cbor:"9,keyasint,omitempty"`
	StopRun          *StopRun            `cbor:"10,keyasint,omitempty"`
	Checkpoint       *taskrun.Checkpoint `cbor:"11,keyasint,omitempty"`
	ReadJob          *ReadJob            `cbor:"20,keyasint,omitempty"`
	ReadQueue        *ReadQueue          `cbor:"21,keyasint,omitempty"`
	ReadConfig       *ReadConfig         `cbor:"22,keyasint,omitempty"`
	JobsStarted      *JobsStarted        `cbor:"12,keyasint,omitempty"`
	WorkerEnded      *WorkerEnded        `cbor:"13,keyasint,omitempty"`

	// Session, Number and Settled fence a dispatcher's command against copies of it that come late: the session
	// that sent it, its number among those of the session, and up to which number the session waits for no
	// outcome any more. A command of a control machine has none of them.
	Session             SessionID `cbor:"30,keyasint,omitempty"`
	Sequence            uint64    `cbor:"31,keyasint,omitempty"`
	AcknowledgedThrough uint64    `cbor:"32,keyasint,omitempty"`
}

// IsRead reports whether the command changes nothing.
func (c *Command) IsRead() bool {
	return c.ReadJob != nil || c.ReadQueue != nil || c.ReadConfig != nil
}

// OpenSession begins a session. A session of the same node that is still open is over by that.
type OpenSession struct {
	Node        string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint"` // drawn by the process at its start: the same life finds its own session
	// ExpectedLatest is the node's newest session when the command was sent, 0 where there was none. A command behind
	// another one is late: it must not end the session of a later life.
	ExpectedLatest SessionID `cbor:"4,keyasint,omitempty"`
}

// CloseSession ends a session; its jobs and workers get other owners.
type CloseSession struct {
	Session SessionID `cbor:"1,keyasint"`
}

// Instance is a worker as the platform's list names it.
type Instance struct {
	ID          string        `cbor:"1,keyasint"`
	Service     string        `cbor:"2,keyasint"`
	Address     string        `cbor:"3,keyasint"`
	Zone        string        `cbor:"4,keyasint"`
	Labels      []string      `cbor:"5,keyasint,omitempty"`
	Capacity    job.Resources `cbor:"6,keyasint"`
	Draining    bool          `cbor:"7,keyasint,omitempty"`
	RemainingMs int64         `cbor:"8,keyasint,omitempty"` // least time that remains to one that drains, ms
}

// InstancesChanged carries changes of the platform's list, read by the session that is the reader. The list tells which
// workers may be given work. It proves no worker to be over: it lags, and names the dead beside the living.
type InstancesChanged struct {
	Reader  SessionID  `cbor:"1,keyasint"`
	Changed []Instance `cbor:"2,keyasint,omitempty"`
	Removed []string   `cbor:"3,keyasint,omitempty"` // that are not listed any more
	// Sequence numbers what one reader has read, rising: an earlier reading that comes late changes nothing.
	Sequence uint64 `cbor:"4,keyasint"`
}

// WorkerEnded tells that a worker's life is over: its owner was answered by another life at the address. Its runs
// are lost.
type WorkerEnded struct {
	Worker string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"` // of the owner that found it out
}

// SubmitJob hands in a job.
type SubmitJob struct {
	Job job.Job `cbor:"1,keyasint"`
}

// CancelJob cancels a job.
type CancelJob struct {
	Job string `cbor:"1,keyasint"`
}

// Target is where one task is to run.
type Target struct {
	Task   job.TaskKey `cbor:"1,keyasint"`
	Worker string      `cbor:"2,keyasint"`
	// Alternatives are workers that are as good, tried in order where the first one has no room any more. They
	// count for a single target alone.
	Alternatives []string `cbor:"3,keyasint,omitempty"`
}

// PlaceTasks reserves room for tasks of one job, for all of them or for none.
type PlaceTasks struct {
	Session SessionID `cbor:"1,keyasint"`
	Job     string    `cbor:"2,keyasint"`
	Targets []Target  `cbor:"3,keyasint"`
}

// JobsStarted tells of which jobs a task has begun.
type JobsStarted struct {
	Jobs []string `cbor:"1,keyasint"`
}

// StopRun asks for the end of a run, by the job's owner; the task is placed again afterwards.
type StopRun struct {
	Session SessionID   `cbor:"1,keyasint"`
	Job     string      `cbor:"2,keyasint"`
	Task    job.TaskKey `cbor:"3,keyasint"`
	Run     uint64      `cbor:"4,keyasint"`
}

// Configure puts a configuration in force. It brings the whole body, or a patch of the body of version Match
// with the digest of what it makes.
type Configure struct {
	Version     int64        `cbor:"1,keyasint"`
	BaseVersion int64        `cbor:"2,keyasint"`
	Body        []byte       `cbor:"3,keyasint,omitempty"`
	Patch       *patch.Patch `cbor:"4,keyasint,omitempty"`
	Digest      []byte       `cbor:"5,keyasint,omitempty"` // SHA-256, beside a patch
}

// AdvanceClock tells that a span of time has passed; jobs that were over long ago are forgotten. Count numbers the
// spans, so that one that is told twice or late counts once.
type AdvanceClock struct {
	Tick uint64 `cbor:"1,keyasint"`
}

// ReadJob asks for a job's state.
type ReadJob struct {
	Job string `cbor:"1,keyasint"`
}

// ReadQueue asks of how many jobs of a queue no task has begun.
type ReadQueue struct {
	Route string `cbor:"1,keyasint"`
}

// ReadConfig asks for the newest configuration.
type ReadConfig struct{}

// Code is the outcome of a command.
type Code uint8

// Outcomes of commands.
const (
	OK       Code = iota
	Conflict      // another version, another placement, another owner
	NoCapacity
	NotFound
	Invalid
	Stale   // the session that sent it is over, or does not wait for its outcome any more
	Unknown // whether it was carried out is not known any more
)

// Result answers a command.
type Result struct {
	Code     Code      `cbor:"1,keyasint,omitempty"`
	Session  SessionID `cbor:"2,keyasint,omitempty"`
	JobState job.State `cbor:"3,keyasint,omitempty"`
	Count    int       `cbor:"4,keyasint,omitempty"`
	Body     []byte    `cbor:"5,keyasint,omitempty"`
}
