package statemachine

import (
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// placeTasks reserves capacity for all targets or for none. It is where dispatchers that decide independently meet, as
// in Nomad's plan applier: what one of them has decided from its copy of the state is checked against the state itself.
func (f *FSM) placeTasks(command *PlaceTasks) Result {
	j := f.Jobs[command.Job]
	if j == nil || j.State.Terminal() || j.Owner != command.Session || len(command.Targets) == 0 {
		return Result{Code: Conflict}
	}
	targets, code := f.resolveTargets(j, command.Targets)
	if code != OK {
		return Result{Code: code}
	}
	run := uint64(0) // one number for all members of a gang, higher than any that one of them has had
	for _, target := range targets {
		run = max(run, j.EnsureTask(target.Task).Run+1)
	}
	for _, target := range targets {
		f.placeTask(j, target, run)
	}
	if j.State == job.Queued {
		j.State = job.Running
		f.notify(j.Owner, Update{JobState: &JobStateUpdate{j.ID, job.Running}})
	}
	return Result{}
}

// resolveTargets returns the targets as they can be placed: as they are, or where that can't be, a single one at its
// first alternative that can take it. Otherwise the code says why the targets as they are can't.
func (f *FSM) resolveTargets(j *job.Job, targets []Target) ([]Target, Code) {
	code := f.checkTargets(j, targets)
	if code == OK || len(targets) != 1 {
		return targets, code
	}
	for _, alternative := range targets[0].Alternatives {
		moved := []Target{{Task: targets[0].Task, Worker: alternative}}
		if f.checkTargets(j, moved) == OK {
			return moved, OK
		}
	}
	return nil, code
}

// checkTargets checks every rule of a placement: the step's dependencies are done, a gang is complete, all tasks are
// of one step and neither done nor placed, and each worker may take and has capacity for what is to run there.
func (f *FSM) checkTargets(j *job.Job, targets []Target) Code {
	first := targets[0].Task
	if !j.HasTask(first) || !j.DependenciesDone(stepKeyOf(first)) {
		return Conflict
	}
	step := stepOf(j, first)
	if step.Gang && len(targets) != step.Count {
		return Conflict
	}
	targetsAt := map[string]int{} // targets so far by worker
	seen := map[job.TaskKey]bool{}
	for _, target := range targets {
		key := target.Task
		if !j.HasTask(key) || stepKeyOf(key) != stepKeyOf(first) || seen[key] {
			return Conflict
		}
		seen[key] = true
		if task := j.EnsureTask(key); task.Done || task.Worker != "" {
			return Conflict
		}
		targetsAt[target.Worker]++
		if code := f.checkWorker(j, key, target.Worker, targetsAt[target.Worker]); code != OK {
			return code
		}
	}
	return OK
}

// checkWorker checks whether a worker may and can take so many more tasks of a step; key is one of them.
func (f *FSM) checkWorker(j *job.Job, key job.TaskKey, id string, tasks int) Code {
	step, worker := stepOf(j, key), f.Workers[id]
	if worker == nil || worker.Unschedulable() || worker.Service != j.Service || !worker.HasLabel(step.RequiredLabel) {
		return Conflict
	}
	if !worker.FreeCapacity().Covers(step.Demand().Times(int64(tasks))) {
		return NoCapacity
	}
	if limit := step.AntiAffinity; limit > 0 && j.CountPlacedAt(stepKeyOf(key), id)+tasks > limit {
		return Conflict
	}
	return OK
}

// placeTask places one task whose target has been checked.
func (f *FSM) placeTask(j *job.Job, target Target, run uint64) {
	task := j.EnsureTask(target.Task)
	task.Run, task.Worker, task.Stopping = run, target.Worker, false
	worker := f.Workers[target.Worker]
	name := target.Task.Name(j.ID)
	if worker.Runs == nil { // snapshots leave an empty map out
		worker.Runs = map[string]Run{}
	}
	worker.Runs[name] = Run{Number: run, Checkpoint: task.Checkpoint}
	f.addUsage(worker, stepOf(j, target.Task).Demand())
	placement := f.placement(worker, name)
	placement.Undispatched = true
	f.notify(worker.Owner, Update{Placement: placement})
	f.notifyTask(j, target.Task, taskrun.Done)
}

// placementsOf returns all that is placed at a worker, for its owner.
func (f *FSM) placementsOf(worker *Worker) []*taskrun.Placement {
	placements := make([]*taskrun.Placement, 0, len(worker.Runs))
	for _, name := range sortedKeys(worker.Runs) {
		if placement := f.placement(worker, name); placement != nil {
			placements = append(placements, placement)
		}
	}
	return placements
}

// placement returns what a worker's owner needs to know of a run, or nil where its job is not known.
func (f *FSM) placement(worker *Worker, name string) *taskrun.Placement {
	jobID, key, _ := job.ParseTaskName(name)
	j := f.Jobs[jobID]
	if j == nil {
		return nil
	}
	step := stepOf(j, key)
	return &taskrun.Placement{
		Worker:            worker.ID,
		Task:              name,
		Run:               worker.Runs[name].Number,
		Spec:              j.Request.Spec,
		Checkpoint:        worker.Runs[name].Checkpoint,
		Stopping:          j.EnsureTask(key).Stopping,
		RecordCheckpoints: step.Checkpoints,
		UntilStopped:      step.LongRunning,
		EstimateMs:        step.EstimateMs,
		FirstOfJob:        !j.Started,
	}
}
