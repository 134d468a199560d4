// Package cluster is the state that the control machines replicate: the
// configuration, sessions, workers with their owners and room, and jobs with
// their tasks. It is a deterministic state machine: the same commands in the
// same order give the same state, results and updates on every replica. It has
// no I/O, clock or randomness.
package cluster

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"linnetlift/scheduling/job"
)

// Session is a dispatcher's session.
type Session struct {
	ID   SessionID `cbor:"1,keyasint"`
	Node string    `cbor:"2,keyasint"`
	Zone string    `cbor:"3,keyasint"`
	Life uint64    `cbor:"4,keyasint"`
}

// Worker is a worker with its owner and what is placed on it.
type Worker struct {
	Instance
	Owner SessionID     `cbor:"20,keyasint,omitempty"`
	Token uint64        `cbor:"21,keyasint,omitempty"` // rises with each change of owner, over all workers
	Used  job.Resources `cbor:"22,keyasint,omitempty"`
	// Placed has what is placed here by the names of the tasks.
	Placed map[string]Run `cbor:"23,keyasint,omitempty"`
}

// Run is one run of a task at a worker.
type Run struct {
	Number uint64 `cbor:"1,keyasint"`
	Saved  string `cbor:"2,keyasint,omitempty"` // the checkpoint from which it goes on
}

// Room returns what is left of the worker.
func (w *Worker) Room() job.Resources { return w.Capacity.Minus(w.Used) }

// State is the replicated state. Its fields are exported for snapshots alone.
type State struct {
	ConfigVersion int64                  `cbor:"1,keyasint"`
	ConfigBody    []byte                 `cbor:"2,keyasint"`
	Taken         map[int64]uint64       `cbor:"3,keyasint"` // hashes of all configurations ever in force
	NextSession   SessionID              `cbor:"4,keyasint"`
	NextToken     uint64                 `cbor:"5,keyasint"`
	NextJob       uint64                 `cbor:"6,keyasint"`
	AgeCount      uint64                 `cbor:"7,keyasint"`
	Sessions      map[SessionID]*Session `cbor:"8,keyasint"`
	Workers       map[string]*Worker     `cbor:"9,keyasint"`
	Jobs          map[string]*job.Job    `cbor:"10,keyasint"`
	Pending       map[string]int         `cbor:"11,keyasint"` // jobs of a route that are not over
}

// Cluster applies commands to the state and collects updates.
type Cluster struct {
	State
	keepAges uint64
	updates  []Addressed
}

// New returns an empty cluster that forgets a job once keepAges ages have passed since its end.
func New(keepAges uint64) *Cluster {
	return &Cluster{keepAges: keepAges, State: State{
		Taken:    map[int64]uint64{},
		Sessions: map[SessionID]*Session{},
		Workers:  map[string]*Worker{},
		Jobs:     map[string]*job.Job{},
		Pending:  map[string]int{},
	}}
}

// Apply carries out one command.
func (c *Cluster) Apply(command *Command) Result {
	switch {
	case command.OpenSession != nil:
		return c.openSession(command.OpenSession)
	case command.CloseSession != nil:
		return c.closeSession(command.CloseSession.Session)
	case command.Instances != nil:
		return c.instances(command.Instances)
	case command.Submit != nil:
		return c.submit(command.Submit)
	case command.Cancel != nil:
		return c.cancel(command.Cancel)
	case command.Place != nil:
		return c.place(command.Place)
	case command.Ended != nil:
		return c.ended(command.Ended)
	case command.Stop != nil:
		return c.stop(command.Stop)
	case command.Checkpoint != nil:
		return c.checkpoint(command.Checkpoint)
	case command.Configure != nil:
		return c.configure(command.Configure)
	case command.Age != nil:
		return c.age()
	case command.ReadJob != nil:
		return c.readJob(command.ReadJob)
	case command.ReadQueue != nil:
		return Result{Count: c.Pending[command.ReadQueue.Route]}
	case command.ReadConfig != nil:
		return c.readConfig()
	}
	return Result{Code: Invalid}
}

// TakeUpdates returns the updates since the last call, in order.
func (c *Cluster) TakeUpdates() []Addressed {
	updates := c.updates
	c.updates = nil
	return updates
}

func (c *Cluster) tell(to SessionID, update Update) {
	if to != 0 && c.Sessions[to] == nil {
		return
	}
	c.updates = append(c.updates, Addressed{to, update})
}

func (c *Cluster) tellAll(update Update) { c.updates = append(c.updates, Addressed{0, update}) }

// configure puts a configuration in force. One that was ever in force is acknowledged again.
func (c *Cluster) configure(command *Configure) Result {
	sum := xxhash.Sum64(command.Body)
	if taken, known := c.Taken[command.Version]; known && taken == sum {
		return Result{}
	}
	if command.Match != c.ConfigVersion {
		return Result{Code: Conflict}
	}
	if command.Version <= c.ConfigVersion {
		return Result{Code: Invalid}
	}
	c.ConfigVersion, c.ConfigBody = command.Version, command.Body
	c.Taken[command.Version] = sum
	c.tellAll(Update{Config: &ConfigUpdate{command.Version, command.Body}})
	return Result{}
}

func (c *Cluster) readConfig() Result {
	if c.ConfigVersion == 0 {
		return Result{Code: NotFound}
	}
	return Result{Body: c.ConfigBody}
}

// Snapshot returns the updates that bring a session up to the present state.
func (c *Cluster) Snapshot(session SessionID) []Update {
	return append(c.SharedSnapshot(), c.OwnSnapshot(session)...)
}

// SharedSnapshot returns the part of a snapshot that is the same for all sessions.
func (c *Cluster) SharedSnapshot() []Update {
	updates := []Update{{Sessions: c.sessionIDs()}}
	if c.ConfigVersion > 0 {
		updates = append(updates, Update{Config: &ConfigUpdate{c.ConfigVersion, c.ConfigBody}})
	}
	for _, id := range sortedKeys(c.Workers) {
		updates = append(updates, Update{Worker: c.Workers[id].public()})
	}
	return updates
}

// OwnSnapshot returns what concerns one session alone: what is placed at its workers, and its jobs. Of a job
// that is over only the state is told.
func (c *Cluster) OwnSnapshot(session SessionID) []Update {
	var updates []Update
	for _, id := range sortedKeys(c.Workers) {
		if worker := c.Workers[id]; worker.Owner == session {
			for _, placement := range c.placementsAt(worker) {
				updates = append(updates, Update{Placement: placement})
			}
		}
	}
	for _, id := range c.jobsOwnedBy(session) {
		owned := c.Jobs[id]
		if owned.State.Over() {
			updates = append(updates, Update{JobState: &JobState{id, owned.State}})
		} else {
			updates = append(updates, Update{Job: owned})
		}
	}
	return updates
}

func (c *Cluster) jobsOwnedBy(session SessionID) []string {
	var ids []string
	for id, owned := range c.Jobs {
		if owned.Owner == session {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (w *Worker) public() *Worker {
	public := *w
	public.Placed = nil
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
