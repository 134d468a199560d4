package statemachine

import (
	"yardflow/internal/control/patch"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Update notifies dispatchers of one change of the state; exactly one field is set. Commands queue updates, and the
// server sends each to the sessions that it concerns and drops it. A queued update is a value as of its command: it shares
// nothing with the state that a later command changes, since the server encodes it only after a batch of commands. A
// dispatcher that connects gets updates that describe the whole state instead (SharedSnapshot, SessionSnapshot).
type Update struct {
	Config           *ConfigUpdate      `cbor:"1,keyasint,omitempty"`
	Worker           *Worker            `cbor:"2,keyasint,omitempty"` // without its runs
	WorkerRemoved    string             `cbor:"3,keyasint,omitempty"` // ID
	Usage            *UsageUpdate       `cbor:"4,keyasint,omitempty"`
	Job              *job.Job           `cbor:"5,keyasint,omitempty"` // to a session that becomes the job's owner
	JobRemoved       string             `cbor:"6,keyasint,omitempty"` // ID
	Task             *TaskUpdate        `cbor:"7,keyasint,omitempty"`
	JobState         *JobStateUpdate    `cbor:"8,keyasint,omitempty"`
	Placement        *taskrun.Placement `cbor:"9,keyasint,omitempty"` // to the worker's owner
	PlacementRemoved *PlacementRemoved  `cbor:"10,keyasint,omitempty"`
	Sessions         []SessionID        `cbor:"11,keyasint,omitempty"` // all open sessions, ascending
	// WorkerDraining is the ID of a worker that has begun to drain. It may overtake other updates; the Worker update that
	// follows in order contains the same information.
	WorkerDraining string `cbor:"12,keyasint,omitempty"`
}

// ConfigUpdate contains a configuration that was put in force: the whole body, or a patch of the body of BaseVersion.
type ConfigUpdate struct {
	Version     int64        `cbor:"1,keyasint"`
	Body        []byte       `cbor:"2,keyasint,omitempty"`
	BaseVersion int64        `cbor:"3,keyasint,omitempty"`
	Patch       *patch.Patch `cbor:"4,keyasint,omitempty"`
}

// UsageUpdate notifies all sessions of the used capacity of a worker, since every dispatcher may place tasks there.
type UsageUpdate struct {
	Worker string        `cbor:"1,keyasint"`
	Used   job.Resources `cbor:"2,keyasint"`
}

// TaskUpdate notifies the job's owner of the state of one task.
type TaskUpdate struct {
	Job  string      `cbor:"1,keyasint"`
	Key  job.TaskKey `cbor:"2,keyasint"`
	Task job.Task    `cbor:"3,keyasint"`
	// EndReason is how the task's last run ended. It is valid only if the task is not placed.
	EndReason taskrun.EndReason `cbor:"4,keyasint,omitempty"`
}

// JobStateUpdate notifies the job's owner of the state of the whole job.
type JobStateUpdate struct {
	Job   string    `cbor:"1,keyasint"`
	State job.State `cbor:"2,keyasint"`
}

// PlacementRemoved notifies a worker's owner that the state has recorded the end of a run, so that the owner need not
// report anything more about it.
type PlacementRemoved struct {
	Worker string `cbor:"1,keyasint"`
	Task   string `cbor:"2,keyasint"` // its wire name
	Run    uint64 `cbor:"3,keyasint"`
}

// AddressedUpdate is an update and the session to which it is sent.
type AddressedUpdate struct {
	To     SessionID // 0: all sessions
	Update Update
}

// DequeueUpdates returns the updates that were queued since the last call, in order.
func (f *FSM) DequeueUpdates() []AddressedUpdate {
	updates := f.updates
	f.updates = nil
	return updates
}

// notify queues an update for a session if it is open, or for all sessions if to is 0.
func (f *FSM) notify(to SessionID, update Update) {
	if to != 0 && f.Sessions[to] == nil {
		return
	}
	f.updates = append(f.updates, AddressedUpdate{to, update})
}

// notifyJob queues the state of a whole job for its owner.
func (f *FSM) notifyJob(j *job.Job) {
	if f.Sessions[j.Owner] != nil {
		f.notify(j.Owner, Update{Job: j.Clone()})
	}
}

// notifyAll queues an update for all sessions.
func (f *FSM) notifyAll(update Update) { f.updates = append(f.updates, AddressedUpdate{0, update}) }
