// Package statemachine is the state that the control machines replicate: the
// configuration, sessions, workers with their owners and room, and jobs with
// their tasks. It is a deterministic state machine: the same commands in the
// same order give the same state, results and updates on every replica. It has
// no I/O, clock or randomness.
package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
)

// Session is a dispatcher's session.
type Session struct {
	ID          SessionID `cbor:"1,keyasint"`
	Node        string    `cbor:"2,keyasint"`
	Zone        string    `cbor:"3,keyasint"`
	Incarnation uint64    `cbor:"4,keyasint"`
	// AcknowledgedThrough is the number up to which commands of the session have an outcome that it knows.
	AcknowledgedThrough uint64 `cbor:"5,keyasint,omitempty"`
}

// LatestSession is the newest session that a node has had.
type LatestSession struct {
	ID   SessionID `cbor:"1,keyasint"`
	Tick uint64    `cbor:"2,keyasint"` // ClockTicks when it was opened, or was over
}

// Worker is a worker with its owner and what is placed on it.
type Worker struct {
	Instance
	Owner SessionID     `cbor:"20,keyasint,omitempty"`
	Token uint64        `cbor:"21,keyasint,omitempty"` // rises with each change of owner, over all workers
	Used  job.Resources `cbor:"22,keyasint,omitempty"`
	// Runs has what is placed here by the names of the tasks.
	Runs map[string]Run `cbor:"23,keyasint,omitempty"`
	// Unlisted says that the platform's list lacks the worker. It leaves the state once nothing is placed here:
	// what runs goes on, or its owner proves that it is over.
	Unlisted bool `cbor:"24,keyasint,omitempty"`
	// Ended says that the worker's life is proven to be over. It stays in the state as long as it is listed, so that
	// a reading that still names it does not bring it back.
	Ended bool `cbor:"25,keyasint,omitempty"`
}

// Unschedulable reports whether nothing may be placed at the worker any more.
func (w *Worker) Unschedulable() bool { return w.Draining || w.Unlisted || w.Ended }

// Run is one run of a task at a worker.
type Run struct {
	Number     uint64 `cbor:"1,keyasint"`
	Checkpoint string `cbor:"2,keyasint,omitempty"` // the checkpoint from which it goes on
	// CheckpointToken and Sequence are those of its newest Checkpoint.
	CheckpointToken    uint64 `cbor:"3,keyasint,omitempty"`
	CheckpointSequence uint64 `cbor:"4,keyasint,omitempty"`
}

// FreeCapacity returns what is left of the worker.
func (w *Worker) FreeCapacity() job.Resources { return w.Capacity.Minus(w.Used) }

// State is the replicated state. Its fields are exported for snapshots alone.
type State struct {
	ConfigVersion  int64                  `cbor:"1,keyasint"`
	ConfigBody     []byte                 `cbor:"2,keyasint"`
	LastSessionID  SessionID              `cbor:"4,keyasint"`
	LastToken      uint64                 `cbor:"5,keyasint"`
	LastJobNumber  uint64                 `cbor:"6,keyasint"`
	ClockTicks     uint64                 `cbor:"7,keyasint"`
	Sessions       map[SessionID]*Session `cbor:"8,keyasint"`
	Workers        map[string]*Worker     `cbor:"9,keyasint"`
	Jobs           map[string]*job.Job    `cbor:"10,keyasint"`
	PendingByRoute map[string]int         `cbor:"11,keyasint"` // jobs of a route of which no task has begun
	// ConfigDigests has the SHA-256 digests of the configurations that were in force lately, by version, and
	// Forgotten the newest version of which the digest is not kept any more. (3 was another form of it.)
	ConfigDigests    map[int64][]byte          `cbor:"12,keyasint"`
	ForgottenThrough int64                     `cbor:"13,keyasint"`
	LatestSessions   map[string]*LatestSession `cbor:"14,keyasint"` // by node
	// Reader and Reading name the newest reading of the platform's list that was taken in.
	LastReader SessionID `cbor:"15,keyasint"`
	LastReport uint64    `cbor:"16,keyasint"`
}

// FSM applies commands to the state and collects updates.
type FSM struct {
	State
	retentionTicks uint64
	updates        []AddressedUpdate
	notices        []Notice
}

// New returns an empty cluster that forgets a job once retentionTicks ages have passed since its end.
func New(keepAges uint64) *FSM {
	return &FSM{retentionTicks: keepAges, State: State{
		ConfigDigests:  map[int64][]byte{},
		Sessions:       map[SessionID]*Session{},
		LatestSessions: map[string]*LatestSession{},
		Workers:        map[string]*Worker{},
		Jobs:           map[string]*job.Job{},
		PendingByRoute: map[string]int{},
	}}
}

// Restore puts a state from a snapshot in the place of the present one.
func (f *FSM) Restore(state State) {
	empty := New(f.retentionTicks).State
	if state.ConfigDigests == nil { // a snapshot of a version that kept other digests
		state.ConfigDigests = empty.ConfigDigests
		state.ForgottenThrough = state.ConfigVersion - 1
		if state.ConfigVersion > 0 {
			state.ConfigDigests[state.ConfigVersion] = digest(state.ConfigBody)
		}
	}
	if state.LatestSessions == nil {
		state.LatestSessions = empty.LatestSessions
		for _, session := range state.Sessions {
			state.LatestSessions[session.Node] = &LatestSession{session.ID, state.ClockTicks}
		}
	}
	f.State, f.updates, f.notices = state, nil, nil
}

// awaitsOutcome reports whether a dispatcher still waits for the outcome of a command. It is false for a copy that
// comes late: its session is over, or has its outcome already, or has given it up.
func (f *FSM) awaitsOutcome(command *Command) bool {
	session := f.Sessions[command.Session]
	if session == nil {
		return false
	}
	session.AcknowledgedThrough = max(session.AcknowledgedThrough, command.AcknowledgedThrough)
	return command.Sequence > session.AcknowledgedThrough
}

// Apply carries out one command.
func (f *FSM) Apply(command *Command) Result {
	if command.Session != 0 && !command.IsRead() && !f.awaitsOutcome(command) {
		return Result{Code: Stale}
	}
	switch {
	case command.OpenSession != nil:
		return f.openSession(command.OpenSession)
	case command.CloseSession != nil:
		return f.closeSession(command.CloseSession.Session)
	case command.InstancesChanged != nil:
		return f.instancesChanged(command.InstancesChanged)
	case command.WorkerEnded != nil:
		return f.workerEnded(command.WorkerEnded)
	case command.SubmitJob != nil:
		return f.submitJob(command.SubmitJob)
	case command.CancelJob != nil:
		return f.cancelJob(command.CancelJob)
	case command.PlaceTasks != nil:
		return f.placeTasks(command.PlaceTasks)
	case command.RunEnded != nil:
		return f.runEnded(command.RunEnded)
	case command.StopRun != nil:
		return f.stopRun(command.StopRun)
	case command.Checkpoint != nil:
		return f.recordCheckpoint(command.Checkpoint)
	case command.Configure != nil:
		return f.configure(command.Configure)
	case command.JobsStarted != nil:
		return f.jobsStarted(command.JobsStarted)
	case command.AdvanceClock != nil:
		return f.advanceClock(command.AdvanceClock)
	case command.ReadJob != nil:
		return f.readJob(command.ReadJob)
	case command.ReadQueue != nil:
		return Result{Count: f.PendingByRoute[command.ReadQueue.Route]}
	case command.ReadConfig != nil:
		return f.readConfig()
	}
	return Result{Code: Invalid}
}

// DequeueUpdates returns the updates since the last call, in order.
func (f *FSM) DequeueUpdates() []AddressedUpdate {
	updates := f.updates
	f.updates = nil
	return updates
}

func (f *FSM) notify(to SessionID, update Update) {
	if to != 0 && f.Sessions[to] == nil {
		return
	}
	f.updates = append(f.updates, AddressedUpdate{to, update})
}

func (f *FSM) notifyAll(update Update) { f.updates = append(f.updates, AddressedUpdate{0, update}) }

// SharedSnapshot returns the part of a snapshot that is the same for all sessions. The configuration is not in
// it: a session may have it already.
func (f *FSM) SharedSnapshot() []Update {
	updates := []Update{{Sessions: f.sessionIDs()}}
	for _, id := range sortedKeys(f.Workers) {
		updates = append(updates, Update{Worker: f.Workers[id].withoutRuns()})
	}
	return updates
}

// SessionSnapshot returns what concerns one session alone: what is placed at its workers, and its jobs. Of a job
// that is over only the state is told.
func (f *FSM) SessionSnapshot(session SessionID) []Update {
	var updates []Update
	for _, id := range sortedKeys(f.Workers) {
		if worker := f.Workers[id]; worker.Owner == session {
			for _, placement := range f.placementsOf(worker) {
				updates = append(updates, Update{Placement: placement})
			}
		}
	}
	for _, id := range f.jobsOwnedBy(session) {
		owned := f.Jobs[id]
		if owned.State.Terminal() {
			updates = append(updates, Update{JobState: &JobStateUpdate{id, owned.State}})
		} else {
			updates = append(updates, Update{Job: owned})
		}
	}
	return updates
}

func (f *FSM) jobsOwnedBy(session SessionID) []string {
	var ids []string
	for id, owned := range f.Jobs {
		if owned.Owner == session {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) withoutRuns() *Worker {
	public := *w
	public.Runs = nil
	return &public
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
