package statemachine

import "yardflow/scheduling/job"

// Bounds of the IDs that are remembered as cancelled. An entry takes some 25 bytes of a snapshot, and is removed after the
// retention time.
const (
	// maxCancelledIDsPerRoute is the most IDs of one queue.
	maxCancelledIDsPerRoute = 2048
	// maxCancelledIDs is the most IDs of all queues, beyond the guaranteed ones.
	maxCancelledIDs = 32768
	// guaranteedCancelledIDsPerRoute is how many IDs of a queue are remembered however many other queues have.
	guaranteedCancelledIDsPerRoute = 64
)

// cancelUnknownJob acknowledges the cancelling of a job that the state does not have: it was never submitted, its SubmitJob
// is delayed, or it was removed after its retention time. The ID is remembered, so that a delayed SubmitJob starts nothing.
// If the queue has too many IDs already, the command is Exhausted: without the record the answer could turn out wrong.
// Commands of dispatchers that name no queue are of an earlier build, which knows no such outcome.
func (f *FSM) cancelUnknownJob(command *CancelJob) Result {
	if f.Rules < CancelledIDsRules || !job.ValidID(command.Job) {
		return Result{Code: NotFound}
	}
	if !f.rememberCancelledID(command.Route, command.Job) && command.Route != "" {
		return Result{Code: Exhausted}
	}
	return Result{Code: NotFound}
}

// rememberCancelledID records that the cancelling of an unknown job was acknowledged now. It reports whether there was space.
func (f *FSM) rememberCancelledID(route, id string) bool {
	ids := f.CancelledIDs[route]
	if _, known := ids[id]; !known && !f.hasSpaceForCancelledID(len(ids)) {
		return false
	}
	if ids == nil {
		ids = map[string]uint64{}
		if f.CancelledIDs == nil {
			f.CancelledIDs = map[string]map[string]uint64{}
		}
		f.CancelledIDs[route] = ids
	}
	ids[id] = f.ClockTicks
	return true
}

// hasSpaceForCancelledID reports whether a queue that has a number of IDs may get another one.
func (f *FSM) hasSpaceForCancelledID(ofRoute int) bool {
	switch {
	case ofRoute < guaranteedCancelledIDsPerRoute:
		return true
	case ofRoute >= maxCancelledIDsPerRoute:
		return false
	}
	return f.cancelledIDCount() < maxCancelledIDs
}

// cancelledIDCount returns the number of IDs of all queues.
func (f *FSM) cancelledIDCount() int {
	count := 0
	for _, ids := range f.CancelledIDs {
		count += len(ids)
	}
	return count
}

// takeCancelledID reports whether the cancelling of an ID was acknowledged before the job was submitted, and removes the
// record: a cancelled job takes its place. An ID may be remembered for more than one queue.
func (f *FSM) takeCancelledID(id string) bool {
	wasCancelled := false
	for route, ids := range f.CancelledIDs {
		if _, known := ids[id]; known {
			wasCancelled = true
			f.removeCancelledID(route, id)
		}
	}
	return wasCancelled
}

// forgetCancelledIDs removes the IDs whose cancelling was acknowledged longer ago than the retention time. No copy of a
// SubmitJob is that late: its session has ended by then, or no longer waits for it.
func (f *FSM) forgetCancelledIDs() {
	for route, ids := range f.CancelledIDs {
		for id, tick := range ids {
			if f.retentionOver(tick) {
				f.removeCancelledID(route, id)
			}
		}
	}
}

func (f *FSM) removeCancelledID(route, id string) {
	delete(f.CancelledIDs[route], id)
	if len(f.CancelledIDs[route]) == 0 {
		delete(f.CancelledIDs, route)
	}
}
