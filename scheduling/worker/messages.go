package worker

import "yardflow/scheduling/taskrun"

// Poll is a call that renews the hold and asks for both lists.
type Poll struct {
	Sequence        uint64
	FencingToken    uint64
	LeaseUntilMs    int64 // 0: no renewal
	AcknowledgedEnd uint64
	WaitMs          int64
}

// StartCommand is an order to start a run.
type StartCommand struct {
	Task         string
	Run          uint64
	Spec         string
	LeaseUntilMs int64
	FencingToken uint64
	Checkpoint   string
}

// StopCommand is an order to stop a run.
type StopCommand struct {
	Task         string
	Run          uint64
	FencingToken uint64
}

// RunStatus is a run in a worker's list.
type RunStatus struct {
	Task       string
	Run        uint64
	Checkpoint string
	Percent    int
}

// EndedRun is an ended run in a worker's list.
type EndedRun struct {
	Number     uint64
	Task       string
	Run        uint64
	Reason     taskrun.EndReason
	Checkpoint string
}

// PollAnswer is a worker's answer to a Hold.
type PollAnswer struct {
	ClockMs int64
	Running []RunStatus
	Ended   []EndedRun
}

// Outcome is how a call has come out.
type Outcome uint8

// Answers of workers.
const (
	Accepted    Outcome = iota
	Unanswered          // it may have been carried out, or may be later
	Fenced              // a higher token was there
	OutdatedRun         // the run is not above one that ended or was stopped there
	ArrivedLate         // the hold would have been over
	NoCapacity
	Unhealthy // nothing was done
	Invalid
	OtherIncarnation // another incarnation is at this address
	Unreachable      // nothing was sent
)

// String names an answer in logs.
func (a Outcome) String() string {
	names := [...]string{"done", "unanswered", "fenced", "old", "late", "no room", "unhealthy", "invalid", "other life", "unreached"}
	if int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

// Evidence is why an owner counts a run as over that its worker has not told the end of.
type Evidence uint8

// Kinds of evidence.
const (
	ReportedByWorker  Evidence = iota
	MissingFromAnswer          // the worker's lists lack a run that was at work
	LeaseExpired               // the worker is silent, and every hold that any order can have given is over
	NeverDispatched            // nobody has ordered the run, or every such order was overtaken by a higher token
	Rejected                   // the worker answered that it has done nothing
	NeverSent                  // there was no connection to send the order on
	UnlistedAndSilent          // the platform's list lacks the worker, and it has not answered since
)

var evidenceNames = [...]string{"told by the worker", "not in its lists", "hold over", "never ordered", "rejected", "never sent",
	"off the list and silent"}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// EndReport is what the control machines are to know. Number is that of the worker's end, or 0.
type EndReport struct {
	Number   uint64
	Ended    taskrun.Ended
	Evidence Evidence
}

// Actions is what an agent wants done.
type Actions struct {
	Polls            []Poll
	Starts           []StartCommand
	Stops            []StopCommand
	Reports          []EndReport
	Checkpoints      []taskrun.Checkpoint
	StartedJobs      []string  // jobs of which a first task is at work
	FaultWeights     []float64 // weights by which the worker is to be trusted less
	IncarnationEnded bool      // another life answers at the address: this one is over, with all that ran there
}
