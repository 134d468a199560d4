package statemachine

import (
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// recordCheckpoint keeps the checkpoint of a run, from which the task's next run resumes. One of a run that is not
// placed any more, or that is older than the one kept, is ignored.
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

// isNewer reports whether a checkpoint is newer than all that the run has recorded: the one of a later owner is, and of
// one owner's checkpoints the one that it received later.
func isNewer(checkpoint *taskrun.Checkpoint, run Run) bool {
	if checkpoint.Token != run.CheckpointToken {
		return checkpoint.Token > run.CheckpointToken
	}
	return checkpoint.Sequence > run.CheckpointSequence
}

// saveCheckpoint keeps a checkpoint at the task. Any member's stands for its gang: all members resume from the same.
func (f *FSM) saveCheckpoint(j *job.Job, key job.TaskKey, data string) {
	if !stepOf(j, key).Gang {
		j.EnsureTask(key).Checkpoint = data
		return
	}
	for member := range gangOf(j, key) {
		j.EnsureTask(member).Checkpoint = data
	}
}
