// Package worker implements the state machine by which a dispatcher owns a worker. It dispatches the runs that are placed at
// the worker, renews the worker's lease, collects ends of runs, and reconciles unanswered commands.
//
// Invariant: at most one run of a task executes at any time. An unanswered start command may or may not have been carried
// out, so the owner neither repeats the command nor gives up the run until the worker has listed its runs in answer to a
// poll with a higher fencing token. That list shows which is the case, and from then on the worker refuses all commands
// with lower tokens that are still in flight.
//
// An Owner has no I/O, clock or randomness. Its caller passes it events with the time, on a monotonic clock, and carries out
// the actions that it collects. An Owner is not safe for concurrent use.
package worker

import (
	"slices"
	"time"

	"yardflow/scheduling/taskrun"
)

// tokenRaiseBits is the number of low bits of a fencing token that count the owner's own raises. The upper bits are the
// token that the control machines assigned with the ownership. After 2^20 raises the token no longer rises; an unanswered
// start command then stays uncertain until the worker's lease has expired.
const tokenRaiseBits = 20

// Owner owns one worker under one token. A dispatcher creates an Owner when the control machines assign the worker to the
// dispatcher, and discards it when the ownership ends.
type Owner struct {
	id          string
	token       uint64
	tokenRaises uint64
	runs        map[string]*run // by the task's name
	checkpoints uint64          // number of checkpoints reported under this token

	lease   lease
	contact contact
	polls   polls
	ends    endLog

	pausedUntil time.Duration // no commands before this time, because a higher token has fenced them repeatedly
	draining    bool
	departureAt time.Duration // when the draining worker leaves; 0: it does not drain, or the time is not known
	actions     Actions
}

// NewOwner returns the owner of a worker under the token that the control machines assigned. HoldMaxMs is the longest lease
// that any owner may grant; a previous owner may have granted one of this length.
func NewOwner(now time.Duration, id string, token uint64, holdMaxMs int64) *Owner {
	return &Owner{
		id:      id,
		token:   token,
		runs:    map[string]*run{},
		lease:   lease{grantMs: min(holdMaxMs, leaseMs), maxMs: holdMaxMs, renewedAt: now - time.Second, mayRenew: true},
		contact: contact{createdAt: now, answeredAt: now - time.Second, reachable: true},
		ends:    endLog{reported: map[uint64]bool{}},
	}
}

// Token returns the token that the control machines assigned with the ownership.
func (o *Owner) Token() uint64 { return o.token }

// fencingToken returns the current fencing token for commands.
func (o *Owner) fencingToken() uint64 {
	return o.token<<tokenRaiseBits | min(o.tokenRaises, 1<<tokenRaiseBits-1)
}

// raiseToken raises the fencing token, so that the worker refuses earlier commands still in flight once it has received a
// later one.
func (o *Owner) raiseToken() { o.tokenRaises++ }

// SetPlacement adds a run that the worker must execute, or records that the run must stop. If the placement is not marked
// Undispatched, a previous owner may have dispatched it: the first list under this token shows whether it did.
func (o *Owner) SetPlacement(now time.Duration, placement taskrun.Placement) {
	known := o.runs[placement.Task]
	if known != nil && known.Run == placement.Run {
		known.Stopping = known.Stopping || placement.Stopping
		o.collectActions(now)
		return
	}
	if known != nil && known.Run > placement.Run {
		return
	}
	added := &run{Placement: placement, phase: uncertain, progressAt: now, reportedCheckpoint: placement.Checkpoint}
	if placement.Undispatched {
		added.phase = pending
	}
	o.runs[placement.Task] = added
	o.collectActions(now)
}

// RemovePlacement removes a run whose end the control machines have recorded.
func (o *Owner) RemovePlacement(now time.Duration, task string, number uint64) {
	if known := o.runs[task]; known != nil && known.Run == number {
		delete(o.runs, task)
	}
	o.collectActions(now)
}

// RetainPlacements removes all runs that are not in a new snapshot. Named maps each task in the snapshot to the number of
// its run.
func (o *Owner) RetainPlacements(named map[string]uint64) {
	for task, known := range o.runs {
		if named[task] != known.Run {
			delete(o.runs, task)
		}
	}
}

// PlacedRuns returns the numbers of the runs that are placed at the worker, by task.
func (o *Owner) PlacedRuns() map[string]uint64 {
	placed := make(map[string]uint64, len(o.runs))
	for task, known := range o.runs {
		placed[task] = known.Run
	}
	return placed
}

// Tick applies timeouts; the caller calls it about every 100 ms. No lease is renewed unless mayRenew is set: a dispatcher
// that has had no contact with the control machines for a long time stops renewing leases, and the next owner may rely on
// that.
func (o *Owner) Tick(now time.Duration, mayRenew bool) {
	o.lease.mayRenew = mayRenew
	o.collectActions(now)
}

// TakeActions returns the actions collected since the last call.
func (o *Owner) TakeActions() Actions {
	actions := o.actions
	o.actions = Actions{}
	return actions
}

// sortedTasks returns the names of all tasks in sorted order, so that the same events always give the same actions.
func (o *Owner) sortedTasks() []string {
	tasks := make([]string, 0, len(o.runs))
	for task := range o.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}
