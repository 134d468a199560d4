package statemachine

import (
	"iter"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// submitJob accepts a job. One whose ID is known stays as it is.
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
	f.PendingByRoute[accepted.Route]++
	f.notify(accepted.Owner, Update{Job: &accepted})
	return Result{}
}

// cancelJob cancels a job and returns the state that it has then: one that was terminal before stays as it is.
func (f *FSM) cancelJob(command *CancelJob) Result {
	j := f.Jobs[command.Job]
	if j == nil {
		return Result{Code: NotFound}
	}
	if !j.State.Terminal() {
		f.finishJob(j, job.Cancelled)
	}
	return Result{JobState: j.State}
}

// finishJob makes a job terminal and stops the runs that it still has.
func (f *FSM) finishJob(j *job.Job, state job.State) {
	f.markStarted(j)
	j.State, j.EndedAtTick = state, f.ClockTicks
	for _, key := range j.SortedTaskKeys() {
		f.stopTask(j, key)
	}
	f.notify(j.Owner, Update{JobState: &JobStateUpdate{j.ID, state}})
}

// jobsStarted enters that a task of each of these jobs has started. A job that is forgotten is skipped.
func (f *FSM) jobsStarted(command *JobsStarted) Result {
	for _, id := range command.Jobs {
		if j := f.Jobs[id]; j != nil {
			f.markStarted(j)
		}
	}
	return Result{}
}

// markStarted takes a job out of the count of pending jobs of its route, once.
func (f *FSM) markStarted(j *job.Job) {
	if j.Started || j.State.Terminal() {
		return
	}
	j.Started = true
	if f.PendingByRoute[j.Route]--; f.PendingByRoute[j.Route] <= 0 {
		delete(f.PendingByRoute, j.Route)
	}
}

// stopRun asks for the end of a run that is placed, and of its whole gang. Conflict: the session does not own the job,
// or another run of the task is placed, or none.
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

// stopTask asks the worker's owner to end the run of a task, where one is placed and not stopping yet. Its capacity
// stays reserved until the run has ended.
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

// stopGang stops all members of a gang that still run.
func (f *FSM) stopGang(j *job.Job, key job.TaskKey) {
	for member := range gangOf(j, key) {
		f.stopTask(j, member)
	}
}

// notifyTask notifies the job's owner of a task. The reason says how the task's last run ended; Done where it has not.
func (f *FSM) notifyTask(j *job.Job, key job.TaskKey, reason taskrun.EndReason) {
	f.notify(j.Owner, Update{Task: &TaskUpdate{j.ID, key, *j.EnsureTask(key), reason}})
}

// stepOf returns the step of a task that the job has.
func stepOf(j *job.Job, key job.TaskKey) *job.Step { return &j.Request.Steps[key.Step] }

// stepKeyOf names the repetition of the step to which a task belongs.
func stepKeyOf(key job.TaskKey) job.StepKey {
	return job.StepKey{Repetition: key.Repetition, Step: key.Step}
}

// gangOf yields the keys of all tasks of one repetition of a task's step, by index.
func gangOf(j *job.Job, key job.TaskKey) iter.Seq[job.TaskKey] {
	return func(yield func(job.TaskKey) bool) {
		for index := range stepOf(j, key).Count {
			if !yield(job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}) {
				return
			}
		}
	}
}
