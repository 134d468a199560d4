package statemachine

import (
	"iter"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// submitJob accepts a job. If the state has a job with the same ID already, that job is unchanged. A job that was cancelled
// before is accepted as cancelled.
func (f *FSM) submitJob(command *SubmitJob) Result {
	if f.Jobs[command.Job.ID] != nil {
		return Result{}
	}
	if !command.Job.Request.Valid() {
		return Result{Code: Invalid}
	}
	accepted := command.Job
	f.LastJobNumber++
	accepted.Sequence, accepted.Started = f.LastJobNumber, false
	accepted.Tasks, accepted.DoneTasks = map[job.TaskKey]*job.Task{}, map[job.StepKey]int{}
	if f.Sessions[accepted.Owner] == nil {
		accepted.Owner = f.chooseOwner(accepted.ID, "")
	}
	f.Jobs[accepted.ID] = &accepted
	if f.takeCancelledID(accepted.ID) {
		return f.acceptAsCancelled(&accepted)
	}
	f.PendingByRoute[accepted.Route]++
	f.notifyJob(&accepted)
	return Result{}
}

// acceptAsCancelled makes a job terminal that was cancelled before it was submitted. The state is then the same as if the job
// had been cancelled right after it was submitted.
func (f *FSM) acceptAsCancelled(j *job.Job) Result {
	j.Started, j.State, j.EndedAtTick = true, job.Cancelled, f.ClockTicks
	f.notify(j.Owner, Update{JobState: &JobStateUpdate{j.ID, j.State}})
	return Result{JobState: j.State}
}

// cancelJob cancels a job and returns the resulting job state. A job that was terminal before keeps its state.
func (f *FSM) cancelJob(command *CancelJob) Result {
	j := f.Jobs[command.Job]
	if j == nil {
		return f.cancelUnknownJob(command)
	}
	if !j.State.Terminal() {
		f.finishJob(j, job.Cancelled)
	}
	return Result{JobState: j.State}
}

// finishJob makes a job terminal and stops its placed runs.
func (f *FSM) finishJob(j *job.Job, state job.State) {
	f.markStarted(j)
	j.State, j.EndedAtTick = state, f.ClockTicks
	for _, key := range j.SortedTaskKeys() {
		f.stopTask(j, key)
	}
	f.notify(j.Owner, Update{JobState: &JobStateUpdate{j.ID, state}})
}

// jobsStarted records that a task of each of these jobs has started. It skips jobs that are no longer in the state.
func (f *FSM) jobsStarted(command *JobsStarted) Result {
	for _, id := range command.Jobs {
		if j := f.Jobs[id]; j != nil {
			f.markStarted(j)
		}
	}
	return Result{}
}

// markStarted records that a job has started and removes it from the count of pending jobs of its route, once per job.
func (f *FSM) markStarted(j *job.Job) {
	if j.Started || j.State.Terminal() {
		return
	}
	j.Started = true
	if f.PendingByRoute[j.Route]--; f.PendingByRoute[j.Route] <= 0 {
		delete(f.PendingByRoute, j.Route)
	}
}

// stopRun requests the end of a placed run, and of its whole gang. It returns Conflict if the session does not own the
// job, or if the run is not placed.
func (f *FSM) stopRun(command *StopRun) Result {
	j := f.Jobs[command.Job]
	if j == nil || j.Owner != command.Session || !j.HasTask(command.Task) {
		return Result{Code: Conflict}
	}
	if task := j.EnsureTask(command.Task); task.Worker == "" || task.Run != command.Run {
		return Result{Code: Conflict}
	}
	if stepOf(j, command.Task).Gang {
		f.stopGang(j, command.Task)
	} else {
		f.stopTask(j, command.Task)
	}
	return Result{}
}

// stopTask asks the worker's owner to end the run of a task, if a run is placed that is not stopping yet. The run's
// capacity stays reserved until it has ended.
func (f *FSM) stopTask(j *job.Job, key job.TaskKey) {
	task := j.Tasks[key]
	if task == nil || task.Worker == "" || task.Stopping {
		return
	}
	task.Stopping = true
	if worker := f.Workers[task.Worker]; worker != nil {
		f.notify(worker.Owner, Update{Placement: f.placement(worker, key.Name(j.ID))})
	}
	f.notifyTask(j, key, taskrun.Done)
}

// stopGang stops all members of a gang that are still placed.
func (f *FSM) stopGang(j *job.Job, key job.TaskKey) {
	for member := range gangOf(j, key) {
		f.stopTask(j, member)
	}
}

// notifyTask notifies the job's owner of a task's state. The reason is how the task's last run ended, or Done if the run
// has not ended.
func (f *FSM) notifyTask(j *job.Job, key job.TaskKey, reason taskrun.EndReason) {
	f.notify(j.Owner, Update{Task: &TaskUpdate{j.ID, key, j.EnsureTask(key).Clone(), reason}})
}

// stepOf returns the step of a task; the job must have that task.
func stepOf(j *job.Job, key job.TaskKey) *job.Step { return &j.Request.Steps[key.Step] }

// stepKeyOf returns the key of the step repetition to which a task belongs.
func stepKeyOf(key job.TaskKey) job.StepKey {
	return job.StepKey{Repetition: key.Repetition, Step: key.Step}
}

// gangOf yields the keys of all tasks in the same repetition of a task's step, in order of their indices.
func gangOf(j *job.Job, key job.TaskKey) iter.Seq[job.TaskKey] {
	return func(yield func(job.TaskKey) bool) {
		for index := range stepOf(j, key).Count {
			if !yield(job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}) {
				return
			}
		}
	}
}
