// Package taskrun defines the types that the owner of a worker and the replicated state exchange about one run of a task:
// its placement at the worker, its checkpoints, and its end.
//
// The types are encoded in commands, updates and snapshots; the numbers in their tags never change. The package has no
// behaviour except for converting end reasons to and from their names on the wire.
package taskrun

import "yardflow/scheduling/job"

// EndReason is the reason for which a run has ended.
type EndReason uint8

// The reasons for which a run ends. Workers report the reasons up to GangIncomplete under the names in endReasonNames (the
// protocol's field Ended). The other reasons are conclusions of the worker's owner, and no worker sends them.
const (
	Done EndReason = iota
	Failed
	Stopped
	LeaseExpired   // the worker's lease expired
	GangBroken     // another member of the run's gang ended
	GangIncomplete // not all members of the run's gang started in time
	NotStarted     // the run has not started and never will
	Lost           // the worker has ended, was silent beyond its lease, or no longer lists the run
)

var endReasonNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "not-started", "lost"}

// String returns the reason's name on the wire.
func (r EndReason) String() string { return endReasonNames[r] }

// ReportedByWorker reports whether workers may report the reason.
func (r EndReason) ReportedByWorker() bool { return r <= GangIncomplete }

// ParseEndReason parses the name of a reason that a worker reports. Unknown names count as Stopped.
func ParseEndReason(name string) EndReason {
	for reason := Done; reason.ReportedByWorker(); reason++ {
		if endReasonNames[reason] == name {
			return reason
		}
	}
	return Stopped
}

// Ended reports that a run has ended. The report is idempotent: it changes nothing if it is repeated, or if the run is no
// longer placed.
type Ended struct {
	Worker     string      `cbor:"1,keyasint"`
	Job        string      `cbor:"2,keyasint"`
	Task       job.TaskKey `cbor:"3,keyasint"`
	Run        uint64      `cbor:"4,keyasint"`
	Reason     EndReason   `cbor:"5,keyasint"`
	Checkpoint string      `cbor:"6,keyasint,omitempty"` // the newest checkpoint, if the worker reports it with the end
	// Token is the fencing token of the owner that concluded the end, if the worker did not report the end.
	Token uint64 `cbor:"7,keyasint,omitempty"`
}

// Checkpoint is the newest checkpoint of a run that has not ended.
type Checkpoint struct {
	Worker string      `cbor:"1,keyasint"`
	Job    string      `cbor:"2,keyasint"`
	Task   job.TaskKey `cbor:"3,keyasint"`
	Run    uint64      `cbor:"4,keyasint"`
	Data   string      `cbor:"5,keyasint"`
	// Token and Sequence order the checkpoints of a run: first by the owner that reported them, then by the order in
	// which that owner received them.
	Token    uint64 `cbor:"6,keyasint"`
	Sequence uint64 `cbor:"7,keyasint"`
}

// Placement tells the owner of a worker which run the worker must execute. It is a desired state: the state machine
// creates it when it places a task, and removes it when the run has ended.
type Placement struct {
	Worker     string `cbor:"1,keyasint"`
	Task       string `cbor:"2,keyasint"` // the task's name on the wire
	Run        uint64 `cbor:"3,keyasint"`
	Spec       string `cbor:"4,keyasint,omitempty"`
	Checkpoint string `cbor:"5,keyasint,omitempty"` // checkpoint from which the run resumes
	Stopping   bool   `cbor:"6,keyasint,omitempty"`
	// RecordCheckpoints is set if the owner must report the run's checkpoints.
	RecordCheckpoints bool  `cbor:"7,keyasint,omitempty"`
	UntilStopped      bool  `cbor:"9,keyasint,omitempty"`  // the run does not end by itself
	EstimateMs        int64 `cbor:"10,keyasint,omitempty"` // the client's estimate of the run time
	// Undispatched is set if the task was placed just now, so that no previous owner can have sent the run to the worker.
	Undispatched bool `cbor:"8,keyasint,omitempty"`
	FirstOfJob   bool `cbor:"11,keyasint,omitempty"` // no task of the job is known to have started
}
