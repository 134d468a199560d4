// Package statemachine is the finite state machine that the control machines replicate: the configuration in force,
// the sessions of dispatchers, the workers with their owners and reserved capacity, and the jobs with their tasks.
//
// Every control machine holds one [FSM] and applies the same log of [Command] values to it. The package is a function
// of that log: it has no I/O, clock or randomness, and no result depends on the iteration order of a map. So the same
// commands in the same order give the same state, results, updates and notices on every replica. Time advances only by
// [AdvanceClock].
//
// Invariants, each of which a test checks with random commands:
//
//   - Commands are idempotent or fenced. A duplicate that is delivered at any later time does not end a newer session,
//     restore a removed worker or restart a job that was removed after its retention time.
//   - A job whose cancelling was acknowledged, also before the job was known, is never open again within the retention time.
//   - The Used of a worker is the sum of the demands of its runs, and no placement raises Used above Capacity.
//   - A worker belongs to the open session with the highest claim, under a fencing token that no other change of owner
//     has had.
//
// The package never sends, stores or logs anything: the server calls [FSM.DequeueUpdates] and [FSM.DequeueNotices] after
// each command. A changed rule gets a version (see [RulesVersion]): a log gives the same state as ever. The CBOR keys in tags are part of the log and of snapshots on disk and never change; Go names may.
package statemachine

import (
	"cmp"
	"slices"

	"yardflow/scheduling/job"
)

// FSM applies commands to the replicated state, and queues updates for dispatchers and notices for operators. It must be
// used by one goroutine only.
type FSM struct {
	State
	// retentionTicks is the number of ticks of the clock for which the state keeps a terminal job, or the latest session
	// of a node that has no open one.
	retentionTicks uint64
	supportedRules RulesVersion // the newest rules that this machine applies
	updates        []AddressedUpdate
	notices        []Notice
}

// State is the replicated state, as a snapshot stores it. Only commands change it; its fields are exported for the
// encoding and for status pages, which only read them.
type State struct {
	// ConfigVersion and ConfigBody are the configuration in force; version 0 means that there is none yet.
	ConfigVersion int64  `cbor:"1,keyasint"`
	ConfigBody    []byte `cbor:"2,keyasint"`
	// LastSessionID, LastToken and LastJobNumber are the last numbers that were assigned. No number is assigned twice.
	LastSessionID SessionID `cbor:"4,keyasint"`
	LastToken     uint64    `cbor:"5,keyasint"`
	LastJobNumber uint64    `cbor:"6,keyasint"`
	// ClockTicks is the state's clock: the number of AdvanceClock commands that were counted.
	ClockTicks uint64                 `cbor:"7,keyasint"`
	Sessions   map[SessionID]*Session `cbor:"8,keyasint"`  // open sessions
	Workers    map[string]*Worker     `cbor:"9,keyasint"`  // by ID
	Jobs       map[string]*job.Job    `cbor:"10,keyasint"` // by ID
	// PendingByRoute is the number of non-terminal jobs of a route of which no task has started yet. A route without such
	// jobs has no entry.
	PendingByRoute map[string]int `cbor:"11,keyasint"`
	// ConfigDigests contains the SHA-256 digests of the latest configurations that were in force, by version, at most
	// maxConfigDigests. ForgottenThrough is the highest version whose digest was dropped. (Key 3 had an earlier format.)
	ConfigDigests    map[int64][]byte          `cbor:"12,keyasint"`
	ForgottenThrough int64                     `cbor:"13,keyasint"`
	LatestSessions   map[string]*LatestSession `cbor:"14,keyasint"` // by node
	// LastReader and LastReport identify the newest accepted report of the platform's instance list: the session
	// that was the InstanceReader, and the report's number among those of that session.
	LastReader SessionID `cbor:"15,keyasint"`
	LastReport uint64    `cbor:"16,keyasint"`
	// Rules is the version of the rules in force. The fields below are used by later rules than the InitialRules; a
	// state under the InitialRules has none of them, so that a build from before there were versions can read it.
	Rules RulesVersion `cbor:"17,keyasint,omitempty"`
	// ClockAgeMs is a lower bound of the time since the present tick of the clock, in ms, as last recorded.
	ClockAgeMs uint64 `cbor:"18,keyasint,omitempty"`
	// CancelledIDs are the IDs of jobs whose cancelling was acknowledged while the state did not have the job, by route, with
	// the tick of the newest acknowledgement. A job that is submitted with such an ID is cancelled at once.
	CancelledIDs map[string]map[string]uint64 `cbor:"19,keyasint,omitempty"`
}

// New returns the state machine of an empty cluster. It removes a job retentionTicks ticks of the clock after the job
// became terminal.
func New(retentionTicks uint64) *FSM {
	return &FSM{retentionTicks: retentionTicks, supportedRules: NewestRules, State: State{
		ConfigDigests:  map[int64][]byte{},
		Sessions:       map[SessionID]*Session{},
		LatestSessions: map[string]*LatestSession{},
		Workers:        map[string]*Worker{},
		Jobs:           map[string]*job.Job{},
		PendingByRoute: map[string]int{},
	}}
}

// Restore replaces the state by that of a snapshot, and drops the queued updates and notices: their recipients get a
// snapshot instead.
func (f *FSM) Restore(state State) {
	if state.ConfigDigests == nil {
		state.addConfigDigests()
	}
	if state.LatestSessions == nil {
		state.addLatestSessions()
	}
	if f.supportedRules == InitialRules {
		state.dropLaterRules()
	}
	f.State, f.updates, f.notices = state, nil, nil
}

// addConfigDigests fills in the digests that a snapshot of an earlier version lacks. The snapshot does not show which older
// configurations were in force, so all versions below the present one are treated as dropped.
func (s *State) addConfigDigests() {
	s.ConfigDigests = map[int64][]byte{}
	s.ForgottenThrough = s.ConfigVersion - 1
	if s.ConfigVersion > 0 {
		s.ConfigDigests[s.ConfigVersion] = digest(s.ConfigBody)
	}
}

// addLatestSessions fills in the latest sessions that a snapshot of an earlier version lacks.
func (s *State) addLatestSessions() {
	s.LatestSessions = map[string]*LatestSession{}
	for _, session := range s.Sessions {
		s.LatestSessions[session.Node] = &LatestSession{session.ID, s.ClockTicks}
	}
}

// Apply executes one command and returns its outcome. A command whose outcome is not OK leaves configuration, sessions,
// owners, placements and job states as they were, and queues no updates. A dispatcher's command advances its session's
// AcknowledgedThrough even then.
func (f *FSM) Apply(command *Command) Result {
	if command.Session != 0 && !command.IsRead() && !f.admit(command) {
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
	case command.Acknowledge != nil:
		return Result{}
	case command.RecordClockAge != nil && f.Rules >= ClockAgeRules:
		return f.recordClockAge(command.RecordClockAge)
	case command.SetRules != nil && f.supportedRules > InitialRules:
		return f.setRules(command.SetRules)
	case command.ReadJob != nil:
		return f.readJob(command.ReadJob)
	case command.ReadQueue != nil:
		return f.readQueue(command.ReadQueue)
	case command.ReadConfig != nil:
		return f.readConfig()
	}
	return Result{Code: Invalid}
}

// sortedKeys returns the keys of a map in ascending order. Code whose effect depends on the iteration order must use it,
// so that all replicas agree. The result is not nil even if the map is empty.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
