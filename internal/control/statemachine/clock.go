package statemachine

import "yardflow/scheduling/job"

// advanceClock counts one tick of the clock, and forgets what its retention has run out for. A tick that is counted
// already, or that skips one, is a Conflict: it would shorten the retention that clients were promised.
func (f *FSM) advanceClock(command *AdvanceClock) Result {
	if command.Tick != f.ClockTicks+1 {
		return Result{Code: Conflict}
	}
	f.ClockTicks++
	f.forgetLatestSessions()
	f.forgetJobs()
	return Result{}
}

// forgetLatestSessions forgets nodes that have had no open session for the retention. Until then a delayed OpenSession
// of one of their former incarnations is rejected.
func (f *FSM) forgetLatestSessions() {
	for node, latest := range f.LatestSessions {
		if f.Sessions[latest.ID] == nil && f.retentionOver(latest.Tick) {
			delete(f.LatestSessions, node)
		}
	}
}

// forgetJobs forgets jobs that have been terminal for the retention. A job of which something is still placed stays:
// the demand of its steps is needed to release the capacity.
func (f *FSM) forgetJobs() {
	for _, id := range sortedKeys(f.Jobs) {
		j := f.Jobs[id]
		if !j.State.Terminal() || !f.retentionOver(j.EndedAtTick) || hasPlacedTasks(j) {
			continue
		}
		delete(f.Jobs, id)
		f.notify(j.Owner, Update{JobRemoved: id})
	}
}

// retentionOver reports whether what ended at the given tick need not be remembered any more.
func (f *FSM) retentionOver(ended uint64) bool { return ended+f.retentionTicks <= f.ClockTicks }

func hasPlacedTasks(j *job.Job) bool {
	for _, task := range j.Tasks {
		if task.Worker != "" {
			return true
		}
	}
	return false
}
