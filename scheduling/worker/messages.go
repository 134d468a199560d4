package worker

import "yardflow/scheduling/taskrun"

// Poll asks the worker for its lists of runs, and renews its lease if LeaseUntilMs is not 0. On the wire it is the
// protocol's hold call.
type Poll struct {
	Sequence     uint64 // number of the poll, counted per owner from 1; not sent
	FencingToken uint64
	LeaseUntilMs int64 // new end of the lease, on the worker's clock; 0: no renewal
	// AcknowledgedEnd is the number of the end up to which all ends are committed, so that the worker may forget them.
	AcknowledgedEnd uint64
	WaitMs          int64 // how long the worker may delay its answer until a run ends
}

// StartCommand tells the worker to start a run.
type StartCommand struct {
	Task         string // the task's name on the wire
	Run          uint64
	Spec         string
	LeaseUntilMs int64 // end of the lease that the command grants, on the worker's clock
	FencingToken uint64
	Checkpoint   string // checkpoint from which the run resumes; "": start from the beginning
}

// StopCommand tells the worker to stop a run.
type StopCommand struct {
	Task         string
	Run          uint64
	FencingToken uint64
}

// RunStatus is a run that the worker lists as running.
type RunStatus struct {
	Task       string
	Run        uint64
	Checkpoint string // the newest checkpoint, or ""
	Percent    int    // progress, 0 to 100
}

// EndedRun is a run that the worker lists as ended.
type EndedRun struct {
	Number     uint64 // number of the end; each worker counts its ends from 1
	Task       string
	Run        uint64
	Reason     taskrun.EndReason
	Checkpoint string // the newest checkpoint, or ""
}

// PollAnswer is the worker's answer to a Poll.
type PollAnswer struct {
	ClockMs int64 // the worker's clock
	Running []RunStatus
	Ended   []EndedRun // ends above AcknowledgedEnd, the oldest first, at most 500
}

// Outcome is the outcome of a call to the worker.
type Outcome uint8

// Outcomes of calls. Only after Unanswered is it unknown whether the call was or will be carried out.
const (
	Accepted         Outcome = iota
	Unanswered               // timeout, broken connection, or an answer that cannot be interpreted
	Fenced                   // the worker has seen a higher fencing token
	OutdatedRun              // a run of the same task that is as new or newer has ended or was stopped there
	ArrivedLate              // the lease that the command grants had already expired
	NoCapacity               // the run does not fit beside the running ones
	Unhealthy                // the worker is overloaded or starting
	Invalid                  // the worker rejected the message as invalid
	OtherIncarnation         // another incarnation answered at the worker's address
	Unreachable              // no connection could be made, so nothing was sent
)

var outcomeNames = [...]string{"done", "unanswered", "fenced", "outdated run", "arrived late", "no capacity", "unhealthy",
	"invalid", "other incarnation", "unreachable"}

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Evidence is the kind of evidence that proves the end of a run.
type Evidence uint8

// Kinds of evidence. All except the first are conclusions of the owner, under its current token.
const (
	ReportedByWorker  Evidence = iota
	MissingFromAnswer          // a run that was running is missing from the worker's complete lists
	LeaseExpired               // the worker is silent, and every lease that a command can have granted has expired
	NeverDispatched            // no start was sent, or a higher token has fenced off every start
	Rejected                   // the worker answered that it did not start the run
	NeverSent                  // the start could not be sent, since there was no connection
	UnlistedAndSilent          // not in the platform's list and not answering since then; the leases have expired
)

var evidenceNames = [...]string{"reported by the worker", "missing from its lists", "lease expired", "never dispatched",
	"rejected", "never sent", "unlisted and silent"}

// String returns the evidence's name for logs.
func (e Evidence) String() string { return evidenceNames[e] }

// EndReport reports the end of a run to the control machines, which commit it.
type EndReport struct {
	Number   uint64 // the worker's number of the end, passed to AcknowledgeEnd once committed; 0: the owner's conclusion
	Ended    taskrun.Ended
	Evidence Evidence
}

// Actions are the actions that an owner requests: calls to the worker, whose outcomes are passed to the Handle methods, and
// reports to the control machines and the scheduler.
type Actions struct {
	Polls       []Poll
	Starts      []StartCommand
	Stops       []StopCommand
	Reports     []EndReport
	Checkpoints []taskrun.Checkpoint
	StartedJobs []string // IDs of jobs whose first task has started
	// FaultWeights are the weights of new faults of the worker, each from 0 to 1, for placement.Scheduler.RecordFault.
	FaultWeights []float64
	// RunFaults are new faults of runs that may be the fault of the worker or of the job, for
	// placement.Scheduler.RecordRunFault.
	RunFaults []RunFault
	// IncarnationEnded is set once another incarnation is proven to answer at the address: the owned incarnation and all its
	// runs have ended.
	IncarnationEnded bool
}

// RunFault is a fault of one run.
type RunFault struct {
	Task   string  // its wire name
	Weight float64 // from 0 to 1
}
