package statemachine

import (
	"yardflow/internal/control/patch"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Update tells dispatchers what has changed; one field is set.
type Update struct {
	Config           *ConfigUpdate      `cbor:"1,keyasint,omitempty"`
	Worker           *Worker            `cbor:"2,keyasint,omitempty"`
	WorkerRemoved    string             `cbor:"3,keyasint,omitempty"`
	Usage            *UsageUpdate       `cbor:"4,keyasint,omitempty"`
	Job              *job.Job           `cbor:"5,keyasint,omitempty"`
	JobRemoved       string             `cbor:"6,keyasint,omitempty"`
	Task             *TaskUpdate        `cbor:"7,keyasint,omitempty"`
	JobState         *JobStateUpdate    `cbor:"8,keyasint,omitempty"`
	Placement        *taskrun.Placement `cbor:"9,keyasint,omitempty"`
	PlacementRemoved *PlacementRemoved  `cbor:"10,keyasint,omitempty"`
	Sessions         []SessionID        `cbor:"11,keyasint,omitempty"`
}

// ConfigUpdate brings a configuration that is in force from now on: the whole body, or a patch of the body of
// version Base.
type ConfigUpdate struct {
	Version     int64        `cbor:"1,keyasint"`
	Body        []byte       `cbor:"2,keyasint,omitempty"`
	BaseVersion int64        `cbor:"3,keyasint,omitempty"`
	Patch       *patch.Patch `cbor:"4,keyasint,omitempty"`
}

// Usage tells how much of a worker is taken.
type UsageUpdate struct {
	Worker string        `cbor:"1,keyasint"`
	Used   job.Resources `cbor:"2,keyasint"`
}

// TaskUpdate tells the job's owner of one task.
type TaskUpdate struct {
	Job       string            `cbor:"1,keyasint"`
	Key       job.TaskKey       `cbor:"2,keyasint"`
	Task      job.Task          `cbor:"3,keyasint"`
	EndReason taskrun.EndReason `cbor:"4,keyasint,omitempty"` // how the last run ended, where the task is not placed
}

// JobStateUpdate tells the job's owner of the job as a whole.
type JobStateUpdate struct {
	Job   string    `cbor:"1,keyasint"`
	State job.State `cbor:"2,keyasint"`
}

// PlacementRemoved tells the owner of a worker that a run is over for the system.
type PlacementRemoved struct {
	Worker string `cbor:"1,keyasint"`
	Task   string `cbor:"2,keyasint"`
	Run    uint64 `cbor:"3,keyasint"`
}

// AddressedUpdate is an update with those whom it concerns.
type AddressedUpdate struct {
	To     SessionID // 0: all sessions
	Update Update
}
