package statemachine

import (
	"yardflow/internal/control/patch"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Command is one change or read of the replicated state; exactly one of its pointers is set. Dispatchers and
// control machines make commands; the log keeps them until a snapshot includes them.
//
// A command that makes a request is named by a verb (SubmitJob, PlaceTasks), and a command that reports a fact by that fact
// (RunEnded, WorkerEnded). Senders resend a command until they know its outcome, so applying a command twice must be
// safe.
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

	// Session, Sequence and AcknowledgedThrough fence a dispatcher's command against duplicates that are delivered
	// late, as in Ongaro's thesis on Raft, section 6.3. They are the session that sent the command, its number among
	// the commands of that session, and the number up to which the session no longer waits for outcomes. They are
	// not set in a command of a control machine.
	Session             SessionID `cbor:"30,keyasint,omitempty"`
	Sequence            uint64    `cbor:"31,keyasint,omitempty"`
	AcknowledgedThrough uint64    `cbor:"32,keyasint,omitempty"`

	SetRules       *SetRules       `cbor:"14,keyasint,omitempty"`
	RecordClockAge *RecordClockAge `cbor:"15,keyasint,omitempty"` // needs ClockAgeRules
	Acknowledge    *Acknowledge    `cbor:"16,keyasint,omitempty"`
}

// OpenSession opens a session for an incarnation of a dispatcher, and closes an open session of the same node. The
// control machine to which the dispatcher connects sends it.
type OpenSession struct {
	Node string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Incarnation is a random number that the process chooses when it starts. If the incarnation has an open session
	// already, the command returns that session.
	Incarnation uint64 `cbor:"3,keyasint"`
	// ExpectedLatest is the node's latest session when the command was sent, or 0 if there was none. If the state has
	// another latest session, the command was delivered late and must not close the session of a later incarnation.
	ExpectedLatest SessionID `cbor:"4,keyasint,omitempty"`
}

// CloseSession closes a session and gives its jobs and workers other owners. A control machine sends it when the
// dispatcher reports that it shuts down, and the head of the chain sends it once a session's heartbeats have stopped.
type CloseSession struct {
	Session SessionID `cbor:"1,keyasint"`
}

// InstancesChanged reports how the platform's instance list differs from the state. The dispatcher whose session is the
// InstanceReader sends it, or the dispatcher's control machine on its behalf. Tasks are placed only at listed workers, but
// the list does not prove that a worker has ended: it lags, and for some seconds contains both a crashed worker and its
// successor.
type InstancesChanged struct {
	Reader  SessionID  `cbor:"1,keyasint"`
	Changed []Instance `cbor:"2,keyasint,omitempty"` // new, or listed with other values
	Removed []string   `cbor:"3,keyasint,omitempty"` // IDs of workers that are no longer listed
	// Sequence increases with each report of one reader, so that an earlier report that is delivered late is ignored.
	Sequence uint64 `cbor:"4,keyasint"`
}

// WorkerEnded reports proof that a worker's incarnation has ended: another incarnation at the same address answered the
// worker's owner. The worker's runs are lost.
type WorkerEnded struct {
	Worker string `cbor:"1,keyasint"`
	Token  uint64 `cbor:"2,keyasint"` // fencing token of the owner that has the proof
}

// SubmitJob accepts a job for scheduling. The dispatcher that received the client's request sends it.
type SubmitJob struct {
	Job job.Job `cbor:"1,keyasint"`
}

// CancelJob cancels a job that is not yet terminal. The dispatcher that received the client's request sends it.
type CancelJob struct {
	Job string `cbor:"1,keyasint"`
	// Route is the queue that the client named. Earlier versions don't set it.
	Route string `cbor:"2,keyasint,omitempty"`
}

// Target is a task and the worker at which it is to be placed.
type Target struct {
	Task   job.TaskKey `cbor:"1,keyasint"`
	Worker string      `cbor:"2,keyasint"`
	// Alternatives are other suitable workers, tried in order if the task can't be placed at Worker. They are used only
	// if the command has a single target.
	Alternatives []string `cbor:"3,keyasint,omitempty"`
}

// PlaceTasks reserves capacity for tasks of one step of a job, either for all targets or for none. The session that owns
// the job sends it.
type PlaceTasks struct {
	Session SessionID `cbor:"1,keyasint"`
	Job     string    `cbor:"2,keyasint"`
	Targets []Target  `cbor:"3,keyasint"`
}

// JobsStarted reports jobs of which at least one task has started at a worker. The owners of the workers send it.
type JobsStarted struct {
	Jobs []string `cbor:"1,keyasint"`
}

// StopRun requests the end of a run, and of the runs of its whole gang. Only the job's owner may send it. The owner places
// the task again once the run has ended. Dispatchers of this version never send it on their own initiative.
type StopRun struct {
	Session SessionID   `cbor:"1,keyasint"`
	Job     string      `cbor:"2,keyasint"`
	Task    job.TaskKey `cbor:"3,keyasint"`
	Run     uint64      `cbor:"4,keyasint"`
}

// Configure puts a configuration in force that an operator has sent. It contains the whole body, or a patch of the body
// of BaseVersion and the digest of the resulting body.
type Configure struct {
	Version     int64        `cbor:"1,keyasint"`
	BaseVersion int64        `cbor:"2,keyasint"` // the operator's If-Match: the version that this one replaces
	Body        []byte       `cbor:"3,keyasint,omitempty"`
	Patch       *patch.Patch `cbor:"4,keyasint,omitempty"`
	Digest      []byte       `cbor:"5,keyasint,omitempty"` // SHA-256 of the body, set if Patch is
}

// AdvanceClock reports that one tick of the clock has passed. The head of the chain sends it, and so determines how long a
// tick is. Tick is the number of the tick, so that a command that is delivered twice or late counts once.
type AdvanceClock struct {
	Tick uint64 `cbor:"1,keyasint"`
}

// SetRules changes the rules by which the following commands are applied. The head of the chain sends it to raise the
// version once all members support it, and any member sends it to lower the version once a member does not. A build from
// before there were versions can't decode the command, and goes on by the InitialRules.
type SetRules struct {
	From RulesVersion `cbor:"1,keyasint,omitempty"` // the version in force when the command was sent
	To   RulesVersion `cbor:"2,keyasint,omitempty"`
}

// RecordClockAge records how much time has passed since a tick of the clock, at least. The head sends it while restarts
// are frequent, so that the time is not lost if all control machines restart before the next tick. It needs ClockAgeRules.
type RecordClockAge struct {
	Tick  uint64 `cbor:"1,keyasint"`
	AgeMs uint64 `cbor:"2,keyasint"`
}

// Acknowledge does nothing but advance the session's AcknowledgedThrough, so that copies of commands that the dispatcher has
// abandoned are rejected. A dispatcher sends it if it has no other command to send. Earlier versions, which can't decode
// it, advance AcknowledgedThrough as well, and answer Invalid.
type Acknowledge struct{}

// ReadJob requests a job's state.
type ReadJob struct {
	Job string `cbor:"1,keyasint"`
}

// ReadQueue requests the number of pending jobs of a route (State.PendingByRoute).
type ReadQueue struct {
	Route string `cbor:"1,keyasint"` // host and path prefix
}

// ReadConfig requests the configuration in force.
type ReadConfig struct{}
