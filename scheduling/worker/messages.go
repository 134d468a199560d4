package worker

import "yardflow/scheduling/taskrun"

// Hold is a call that renews the hold and asks for both lists.
type Hold struct {
	Sequence uint64
	Fence    uint64
	UntilMs  int64 // 0: no renewal
	LastSeen uint64
	WaitMs   int64
}

// Start is an order to start a run.
type Start struct {
	Task    string
	Command uint64
	Spec    string
	UntilMs int64
	Fence   uint64
	Saved   string
}

// Stop is an order to stop a run.
type Stop struct {
	Task    string
	Command uint64
	Fence   uint64
}

// Running is a run in a worker's list.
type Running struct {
	Task    string
	Command uint64
	Saved   string
	Percent int
}

// End is an ended run in a worker's list.
type End struct {
	Number  uint64
	Task    string
	Command uint64
	How     taskrun.EndReason
	Saved   string
}

// Lists is a worker's answer to a Hold.
type Lists struct {
	ClockMs int64
	Running []Running
	Ended   []End
}

// Answer is how a call has come out.
type Answer uint8

// Answers of workers.
const (
	Done       Answer = iota
	Unanswered        // it may have been carried out, or may be later
	Fenced            // a higher token was there
	Old               // the run is not above one that ended or was stopped there
	Late              // the hold would have been over
	NoRoom
	Unhealthy // nothing was done
	Invalid
	OtherLife // another incarnation is at this address
	Unreached // nothing was sent
)

// String names an answer in logs.
func (a Answer) String() string {
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
	ToldByWorker  Evidence = iota
	NotInLists             // the worker's lists lack a run that was at work
	HoldOver               // the worker is silent, and every hold that any order can have given is over
	NeverOrdered           // nobody has ordered the run, or every such order was overtaken by a higher token
	Rejected               // the worker answered that it has done nothing
	NeverSent              // there was no connection to send the order on
	SilentOffList          // the platform's list lacks the worker, and it has not answered since
)

var evidenceNames = [...]string{"told by the worker", "not in its lists", "hold over", "never ordered", "rejected", "never sent",
	"off the list and silent"}

// String returns the evidence's name in logs.
func (e Evidence) String() string { return evidenceNames[e] }

// Report is what the control machines are to know. Number is that of the worker's end, or 0.
type Report struct {
	Number   uint64
	Ended    taskrun.Ended
	Evidence Evidence
}

// Calls is what an agent wants done.
type Calls struct {
	Holds       []Hold
	Starts      []Start
	Stops       []Stop
	Reports     []Report
	Checkpoints []taskrun.Checkpoint
	Began       []string  // jobs of which a first task is at work
	Blames      []float64 // weights by which the worker is to be trusted less
	Over        bool      // another life answers at the address: this one is over, with all that ran there
}
