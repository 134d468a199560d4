package statemachine

import (
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// recordCheckpoint saves the checkpoint of a run, from which the task's next run resumes. It ignores a checkpoint of a run
// that is no longer placed, and one that is older than the saved checkpoint.
func (f *FSM) recordCheckpoint(command *taskrun.Checkpoint) Result {
	worker, j := f.Workers[command.Worker], f.Jobs[command.Job]
	if worker == nil || j == nil {
		return Result{}
	}
	name := command.Task.Name(command.Job)
	run := worker.Runs[name]
	if run.Number == 0 || run.Number != command.Run || !isNewer(command, run) {
		return Result{}
	}
	run.CheckpointToken, run.CheckpointSequence = command.Token, command.Sequence
	worker.Runs[name] = run
	f.markStarted(j)
	f.saveCheckpoint(j, command.Task, command.Data)
	return Result{}
}

// isNewer reports whether a checkpoint is newer than all checkpoints that the run has recorded. A later owner has a higher
// token, and one owner numbers its checkpoints in the order in which it received them.
func isNewer(checkpoint *taskrun.Checkpoint, run Run) bool {
	if checkpoint.Token != run.CheckpointToken {
		return checkpoint.Token > run.CheckpointToken
	}
	return checkpoint.Sequence > run.CheckpointSequence
}

// saveCheckpoint stores a checkpoint in the task. The checkpoint of any member of a gang is stored in all members, since
// they all resume from the same one.
func (f *FSM) saveCheckpoint(j *job.Job, key job.TaskKey, data string) {
	if !stepOf(j, key).Gang {
		j.EnsureTask(key).Checkpoint = data
		return
	}
	for member := range gangOf(j, key) {
		j.EnsureTask(member).Checkpoint = data
	}
}
