package statemachine

import (
	"time"

	"yardflow/scheduling/job"
)

// advanceClock counts one tick of the clock, and removes the sessions, jobs and cancelled IDs whose retention time has expired. A tick that
// is already counted, or that skips one, is a Conflict: it would shorten the retention time that clients were promised.
func (f *FSM) advanceClock(command *AdvanceClock) Result {
	if command.Tick != f.ClockTicks+1 {
		return Result{Code: Conflict}
	}
	f.ClockTicks++
	f.ClockAgeMs = 0
	f.forgetLatestSessions()
	f.forgetJobs()
	f.forgetCancelledIDs()
	return Result{}
}

// recordClockAge records the age of the present tick. An age that is delivered late, after the tick, is a Conflict.
func (f *FSM) recordClockAge(command *RecordClockAge) Result {
	if command.Tick != f.ClockTicks {
		return Result{Code: Conflict}
	}
	f.ClockAgeMs = max(f.ClockAgeMs, command.AgeMs)
	return Result{}
}

// ClockAge returns the recorded age of the present tick of the clock.
func (f *FSM) ClockAge() time.Duration { return time.Duration(f.ClockAgeMs) * time.Millisecond }

// forgetLatestSessions removes the LatestSession of each node that has had no open session for the retention time. Until
// then a delayed OpenSession of a former incarnation of the node is rejected.
func (f *FSM) forgetLatestSessions() {
	for node, latest := range f.LatestSessions {
		if f.Sessions[latest.ID] == nil && f.retentionOver(latest.Tick) {
			delete(f.LatestSessions, node)
		}
	}
}

// forgetJobs removes the jobs that have been terminal for the retention time. A job that still has a placed task stays:
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

// retentionOver reports whether the retention time of a job or session that ended at the given tick has expired.
func (f *FSM) retentionOver(ended uint64) bool { return ended+f.retentionTicks <= f.ClockTicks }

func hasPlacedTasks(j *job.Job) bool {
	for _, task := range j.Tasks {
		if task.Worker != "" {
			return true
		}
	}
	return false
}
