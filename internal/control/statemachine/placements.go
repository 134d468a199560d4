package statemachine

import (
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// placeTasks reserves capacity for all targets or for none. Dispatchers decide independently, each from its own copy of
// the state, so placeTasks checks their decisions against the state itself, like Nomad's plan applier.
func (f *FSM) placeTasks(command *PlaceTasks) Result {
	j := f.Jobs[command.Job]
	if j == nil || j.State.Terminal() || j.Owner != command.Session || len(command.Targets) == 0 {
		return Result{Code: Conflict}
	}
	targets, code := f.resolveTargets(j, command.Targets)
	if code != OK {
		return Result{Code: code}
	}
	run := uint64(0) // one number for all members of a gang, higher than that of any earlier run of a member
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

// resolveTargets returns the targets unchanged if they can be placed. Otherwise it moves a single target to its first
// alternative that suits it. If there is none, the code is the reason why the unchanged targets can't be placed.
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

// checkTargets checks all rules of a placement: the step's dependencies are done, a gang is complete, all tasks belong to
// one step and are neither done nor placed, and each worker is eligible and has free capacity for its tasks.
func (f *FSM) checkTargets(j *job.Job, targets []Target) Code {
	first := targets[0].Task
	if !j.HasTask(first) || !j.DependenciesDone(stepKeyOf(first)) {
		return Conflict
	}
	step := stepOf(j, first)
	if step.Gang && len(targets) != step.Count {
		return Conflict
	}
	targetsAt := map[string]int{} // number of targets checked so far, by worker
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

// checkWorker checks whether a worker is eligible for a number of further tasks of a step and has the free capacity for
// them; key is one of these tasks.
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

// placeTask places one task whose target checkTargets has accepted.
func (f *FSM) placeTask(j *job.Job, target Target, run uint64) {
	task := j.EnsureTask(target.Task)
	task.Run, task.Worker, task.Stopping = run, target.Worker, false
	worker := f.Workers[target.Worker]
	name := target.Task.Name(j.ID)
	if worker.Runs == nil { // snapshots omit an empty map
		worker.Runs = map[string]Run{}
	}
	worker.Runs[name] = Run{Number: run, Checkpoint: task.Checkpoint}
	f.addUsage(worker, stepOf(j, target.Task).Demand())
	placement := f.placement(worker, name)
	placement.Undispatched = true
	f.notify(worker.Owner, Update{Placement: placement})
	f.notifyTask(j, target.Task, taskrun.Done)
}

// placementsOf returns all placements at a worker, for its owner.
func (f *FSM) placementsOf(worker *Worker) []*taskrun.Placement {
	placements := make([]*taskrun.Placement, 0, len(worker.Runs))
	for _, name := range sortedKeys(worker.Runs) {
		if placement := f.placement(worker, name); placement != nil {
			placements = append(placements, placement)
		}
	}
	return placements
}

// placement returns the placement of a run, for the worker's owner, or nil if the state does not have the run's job.
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
