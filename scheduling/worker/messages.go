package worker

import "yardflow/scheduling/taskrun"

// Poll asks the worker for its lists of runs, and renews its lease where LeaseUntilMs is not 0. On the wire it is the
// protocol's hold call.
type Poll struct {
	Sequence     uint64 // numbers an owner's polls from 1; not sent
	FencingToken uint64
	LeaseUntilMs int64 // end of the lease on the worker's clock; 0: no renewal
	// AcknowledgedEnd is the number of the end up to which the worker may forget all, since they are committed.
	AcknowledgedEnd uint64
	WaitMs          int64 // how long the worker may delay its answer until a run ends
}

// StartCommand tells the worker to start a run.
type StartCommand struct {
	Task         string // its name on the wire
	Run          uint64
	Spec         string
	LeaseUntilMs int64 // end of the lease that the command grants, on the worker's clock
	FencingToken uint64
	Checkpoint   string // from which the run resumes; "": from the beginning
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
	Checkpoint string // the newest one, or ""
	Percent    int    // progress, 0 to 100
}

// EndedRun is a run that the worker lists as ended.
type EndedRun struct {
	Number     uint64 // of the end, in the worker's own count from 1
	Task       string
	Run        uint64
	Reason     taskrun.EndReason
	Checkpoint string // the newest one, or ""
}

// PollAnswer is the worker's answer to a Poll.
type PollAnswer struct {
	ClockMs int64 // the worker's clock
	Running []RunStatus
	Ended   []EndedRun // above AcknowledgedEnd, the oldest first, 500 at most
}

// Outcome is how a call to the worker has come out.
type Outcome uint8

// Outcomes of calls. After Unanswered alone it is unknown whether the call was carried out, or will be.
const (
	Accepted         Outcome = iota
	Unanswered               // time-out, broken connection, or an answer that cannot be interpreted
	Fenced                   // the worker has seen a higher fencing token
	OutdatedRun              // the run is not newer than one of the task that ended or was stopped there
	ArrivedLate              // the lease to be granted had expired already
	NoCapacity               // the run does not fit beside what is at work
	Unhealthy                // the worker is overloaded or starting
	Invalid                  // the worker refuses the message
	OtherIncarnation         // another incarnation answers at this address
	Unreachable              // there was no connection, so that nothing was sent
)

var outcomeNames = [...]string{"done", "unanswered", "fenced", "outdated run", "arrived late", "no capacity", "unhealthy",
	"invalid", "other incarnation", "unreachable"}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// Evidence is what proves the end of a run.
type Evidence uint8

// Kinds of evidence. All but the first are conclusions of the owner, under its present token.
const (
	ReportedByWorker  Evidence = iota
	MissingFromAnswer          // the worker's complete lists lack a run that was at work
	LeaseExpired               // the worker is silent, and every lease has expired that any command can have granted
	NeverDispatched            // no start was sent, or every one was overtaken by a higher token
	Rejected                   // the worker answered that it has not started the run
	NeverSent                  // there was no connection over which to send the start
	UnlistedAndSilent          // the platform's list lacks the worker, it has not answered since, and its leases have expired
)

var evidenceNames = [...]string{"reported by the worker", "missing from its lists", "lease expired", "never dispatched",
	"rejected", "never sent", "unlisted and silent"}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// EndReport is an end of a run that the control machines are to commit.
type EndReport struct {
	Number   uint64 // of the worker's end, to be handed to AcknowledgeEnd once it is committed; 0: the owner's conclusion
	Ended    taskrun.Ended
	Evidence Evidence
}

// Actions is what an owner wants done: calls to the worker, whose outcomes come back by the Handle methods, and what the
// control machines and the scheduler are to know.
type Actions struct {
	Polls       []Poll
	Starts      []StartCommand
	Stops       []StopCommand
	Reports     []EndReport
	Checkpoints []taskrun.Checkpoint
	StartedJobs []string // IDs of jobs of which a first task is at work
	// FaultWeights are faults of the worker, each from 0 to 1, by which it is to be trusted less.
	FaultWeights []float64
	// IncarnationEnded says that another incarnation answers at the address: the owned one has ended with all its runs.
	IncarnationEnded bool
}
