// Package taskrun has the values in which the owner of a worker and the replicated state speak of one run of a task:
// what is placed at the worker, the checkpoints that the run records, and how it has ended.
//
// The values are encoded in commands, updates and snapshots: the numbers in their tags never change. The package has no
// behaviour beyond the names of reasons on the wire.
package taskrun

import "yardflow/scheduling/job"

// EndReason is how a run has ended.
type EndReason uint8

// The reasons for which a run ends. Those up to GangIncomplete are reported by workers, under the names below (the
// protocol's field Ended); the owner of the worker concludes the others, and no worker sends them.
const (
	Done EndReason = iota
	Failed
	Stopped
	LeaseExpired   // its lease at the worker expired
	GangBroken     // a member of its gang ended
	GangIncomplete // members of its gang did not start in time
	NotStarted     // it has not run, and never will
	Lost           // its worker has ended, was silent beyond its lease, or no longer knows of the run
)

var endReasonNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "not-started", "lost"}

// String returns the reason's name on the wire.
func (r EndReason) String() string { return endReasonNames[r] }

// ReportedByWorker reports whether a worker itself may report the reason.
func (r EndReason) ReportedByWorker() bool { return r <= GangIncomplete }

// ParseEndReason reads the reason that a worker reports; unknown names count as Stopped.
func ParseEndReason(name string) EndReason {
	for reason := Done; reason.ReportedByWorker(); reason++ {
		if endReasonNames[reason] == name {
			return reason
		}
	}
	return Stopped
}

// Ended reports that a run has ended. It is idempotent: repeated, or about a run that is no longer placed, it changes nothing.
type Ended struct {
	Worker     string      `cbor:"1,keyasint"`
	Job        string      `cbor:"2,keyasint"`
	Task       job.TaskKey `cbor:"3,keyasint"`
	Run        uint64      `cbor:"4,keyasint"`
	Reason     EndReason   `cbor:"5,keyasint"`
	Checkpoint string      `cbor:"6,keyasint,omitempty"` // the newest one, where the worker reports it with the end
	// Token is the fencing token of the owner that concluded the end, where the worker has not reported it.
	Token uint64 `cbor:"7,keyasint,omitempty"`
}

// Checkpoint is the newest checkpoint of a run that goes on.
type Checkpoint struct {
	Worker string      `cbor:"1,keyasint"`
	Job    string      `cbor:"2,keyasint"`
	Task   job.TaskKey `cbor:"3,keyasint"`
	Run    uint64      `cbor:"4,keyasint"`
	Data   string      `cbor:"5,keyasint"`
	// Token and Sequence order the checkpoints of a run: by the worker's owner, then as that owner received them.
	Token    uint64 `cbor:"6,keyasint"`
	Sequence uint64 `cbor:"7,keyasint"`
}

// Placement says to the owner of a worker what is to run there. It is a desired state: the state machine creates it when
// a task is placed, and it exists until the run has ended.
type Placement struct {
	Worker     string `cbor:"1,keyasint"`
	Task       string `cbor:"2,keyasint"` // its name on the wire
	Run        uint64 `cbor:"3,keyasint"`
	Spec       string `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"` // from which the run resumes
	Stopping   bool   `cbor:"6,keyasint,omitempty"`
	// RecordCheckpoints says that the run's checkpoints are worth recording.
	RecordCheckpoints bool  `cbor:"7,keyasint,omitempty"`
	UntilStopped      bool  `cbor:"9,keyasint,omitempty"`  // it has no end of its own
	EstimateMs        int64 `cbor:"10,keyasint,omitempty"` // the client's estimate of its run time
	// Undispatched says that the task was placed just now, so that no owner can have sent it to the worker before.
	Undispatched bool `cbor:"8,keyasint,omitempty"`
	FirstOfJob   bool `cbor:"11,keyasint,omitempty"` // no task of the job is known to have begun
}
