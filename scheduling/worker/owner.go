// Package worker is the state machine with which a dispatcher owns a worker: it dispatches the runs that are placed
// there, renews the worker's lease, collects ends of runs, and reconciles commands that were not answered.
//
// Its invariant: at most one run of a task is at work. A start command without an answer may or may not have been carried
// out, so the owner neither repeats nor gives up the run until a list that the worker gave under a higher fencing token
// shows which: from then on the worker refuses whatever is still on its way under a lower one.
//
// An Owner has no I/O, clock or randomness. It is handed events with the time, on a steady clock, and collects the actions
// that its caller takes and carries out. It is not safe for concurrent use.
package worker

import (
	"slices"
	"time"

	"yardflow/scheduling/taskrun"
)

// tokenRaiseBits is how many low bits of a fencing token count the owner's own raises; the upper ones are the token that
// the control machines gave with the ownership. Beyond 2^20 raises the token no longer rises: a start command without an
// answer then stays uncertain until the worker's lease has expired.
const tokenRaiseBits = 20

// Owner owns one worker under one token. A dispatcher creates it when the control machines assign it the worker, and drops
// it with the ownership.
type Owner struct {
	id          string
	token       uint64
	tokenRaises uint64
	runs        map[string]*run // by the task's name
	checkpoints uint64          // reported under this token

	lease   lease
	contact contact
	polls   polls
	ends    endLog

	fencedUntil time.Duration // no commands before then: a higher token than this owner's overtook them again and again
	draining    bool
	departureAt time.Duration // the worker drains and leaves then; 0: it does not drain, or nobody knows when
	actions     Actions
}

// NewOwner returns the owner of a worker under the token that the control machines gave. HoldMaxMs is the longest lease
// that any owner may grant; a former one may have granted as much.
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

// Token returns the token under which the worker is owned, as the control machines gave it.
func (o *Owner) Token() uint64 { return o.token }

// fencingToken returns the token that commands carry now.
func (o *Owner) fencingToken() uint64 {
	return o.token<<tokenRaiseBits | min(o.tokenRaises, 1<<tokenRaiseBits-1)
}

// raiseToken makes all that is sent from now on overtake what is still on its way.
func (o *Owner) raiseToken() { o.tokenRaises++ }

// SetPlacement adds a run that is to be at work at the worker, or records that it is to stop. A placement that is not
// marked Undispatched may have been dispatched by a former owner: the first list under this token shows whether it was.
func (o *Owner) SetPlacement(now time.Duration, placement taskrun.Placement) {
	known := o.runs[placement.Task]
	if known != nil && known.Run == placement.Run {
		known.Stopping = known.Stopping || placement.Stopping
		o.act(now)
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
	o.act(now)
}

// RemovePlacement records that the control machines know of a run's end.
func (o *Owner) RemovePlacement(now time.Duration, task string, number uint64) {
	if known := o.runs[task]; known != nil && known.Run == number {
		delete(o.runs, task)
	}
	o.act(now)
}

// RetainPlacements drops all runs but those named, by task and number of the run: a new snapshot does not have the others.
func (o *Owner) RetainPlacements(named map[string]uint64) {
	for task, known := range o.runs {
		if named[task] != known.Run {
			delete(o.runs, task)
		}
	}
}

// Tick lets time-outs take effect. Its caller calls it every 100 ms or so, and says whether leases may be renewed: a
// dispatcher that has had no contact with the control machines for long stops renewing, since another owner may count on
// that.
func (o *Owner) Tick(now time.Duration, mayRenew bool) {
	o.lease.mayRenew = mayRenew
	o.act(now)
}

// TakeActions returns the actions to carry out that have gathered since the last call.
func (o *Owner) TakeActions() Actions {
	actions := o.actions
	o.actions = Actions{}
	return actions
}

// sortedTasks returns the names of all tasks in order, so that the same events give the same actions.
func (o *Owner) sortedTasks() []string {
	tasks := make([]string, 0, len(o.runs))
	for task := range o.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}
