package statemachine

import (
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// runEnded records that a run has ended. The worker's own report is accepted from any sender. An end that the worker's owner
// has concluded (NotStarted, Lost) is accepted only under the present fencing token, since the next owner may have started
// the run meanwhile.
func (f *FSM) runEnded(command *taskrun.Ended) Result {
	worker, j := f.Workers[command.Worker], f.Jobs[command.Job]
	if worker != nil && !command.Reason.ReportedByWorker() && command.Token != worker.Token {
		return Result{Code: Conflict}
	}
	if j == nil || command.Run == 0 || !j.HasTask(command.Task) {
		return Result{}
	}
	if command.Reason.ReportedByWorker() {
		f.markStarted(j)
	}
	if worker == nil || worker.Runs[command.Task.Name(command.Job)].Number != command.Run {
		f.unplacedRunEnded(j, command)
		return Result{}
	}
	f.releaseRun(worker, j, command)
	f.endTask(j, command)
	if stepOf(j, command.Task).Gang && command.Reason != taskrun.Done {
		f.stopGang(j, command.Task)
	}
	f.notifyTask(j, command.Task, command.Reason)
	return Result{}
}

// releaseRun removes a run that has ended from its worker, and releases its capacity.
func (f *FSM) releaseRun(worker *Worker, j *job.Job, command *taskrun.Ended) {
	name := command.Task.Name(command.Job)
	if command.Reason == taskrun.Lost {
		f.addNotice(Notice{Kind: NoticeRunLost, Worker: worker.ID, Task: name, Run: command.Run, EndReason: command.Reason,
			Attempts: j.EnsureTask(command.Task).FailedAttempts})
	}
	delete(worker.Runs, name)
	f.addUsage(worker, job.Resources{}.Minus(stepOf(j, command.Task).Demand()))
	f.notify(worker.Owner, Update{PlacementRemoved: &PlacementRemoved{worker.ID, name, command.Run}})
	f.removeIfIdle(worker)
}

// endTask updates a task after the end of its placed run.
func (f *FSM) endTask(j *job.Job, command *taskrun.Ended) {
	task := j.EnsureTask(command.Task)
	task.Worker, task.Stopping = "", false
	if command.Checkpoint != "" {
		f.saveCheckpoint(j, command.Task, command.Checkpoint)
	}
	if countsAgainstWorker(command.Reason) {
		task.LastFailedWorker = command.Worker
	}
	switch command.Reason {
	case taskrun.Done:
		f.completeTask(j, command.Task)
	case taskrun.Failed:
		f.countFailure(j, command.Task, command.Run)
	}
}

// countsAgainstWorker reports whether the next run of a task should avoid the worker at which a run ended for this reason.
func countsAgainstWorker(reason taskrun.EndReason) bool {
	return reason != taskrun.Done && reason != taskrun.Stopped && reason != taskrun.GangBroken
}

// unplacedRunEnded records the end of a run that is no longer placed, usually because its worker's owner declared it lost
// before the worker reported its end. A successful run completes the task, so that the work is not repeated, and a failed
// run counts as an attempt. Any other end, such as one that is reported twice, is ignored.
func (f *FSM) unplacedRunEnded(j *job.Job, command *taskrun.Ended) {
	task := j.EnsureTask(command.Task)
	step := stepOf(j, command.Task)
	mustIgnore := task.Done || j.State.Terminal() || step.LongRunning || command.Run > task.Run
	switch {
	case !mustIgnore && command.Reason == taskrun.Failed:
		f.countFailure(j, command.Task, command.Run)
	case !mustIgnore && command.Reason == taskrun.Done && !step.Gang:
		f.stopTask(j, command.Task) // a later run of the task may be placed
		f.completeTask(j, command.Task)
		f.notifyTask(j, command.Task, taskrun.Done)
	default:
		f.addNotice(Notice{Kind: NoticeEndIgnored, Worker: command.Worker, Task: command.Task.Name(command.Job),
			Run: command.Run, EndReason: command.Reason, Attempts: task.FailedAttempts})
	}
}

// completeTask marks a task as done, or all tasks of its gang. When the last task is done, the job is completed. A task of a
// long-running step is never marked as done.
func (f *FSM) completeTask(j *job.Job, key job.TaskKey) {
	step := stepOf(j, key)
	if step.LongRunning {
		return
	}
	j.MarkDone(key)
	if step.Gang {
		for member := range gangOf(j, key) {
			if j.EnsureTask(member).Done {
				continue // it was notified already; else each member's end would notify all members: n² updates per gang
			}
			j.MarkDone(member)
			f.notifyTask(j, member, taskrun.Done)
		}
	}
	if !j.State.Terminal() && j.AllDone() {
		f.finishJob(j, job.Completed)
	}
}

// countFailure counts a failed run as an attempt, once for a whole gang, and fails the job after its last attempt. A run
// is counted only once, since two owners may report its end, and reports may be late.
func (f *FSM) countFailure(j *job.Job, key job.TaskKey, run uint64) {
	step := stepOf(j, key)
	if step.LongRunning {
		return
	}
	attempts, counted := 0, false
	if step.Gang {
		attempts, counted = j.CountGangFailure(stepKeyOf(key), run)
	} else {
		attempts, counted = j.EnsureTask(key).CountFailure(run)
	}
	if !counted {
		return
	}
	f.addNotice(Notice{Kind: NoticeFailureCounted, Task: key.Name(j.ID), Run: run, EndReason: taskrun.Failed,
		Attempts: attempts})
	if attempts >= j.MaxAttempts && !j.State.Terminal() {
		f.finishJob(j, job.Failed)
	}
}
