package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// instancesChanged takes in what the reader has read. Only the present reader is heard.
func (f *FSM) instancesChanged(command *InstancesChanged) Result {
	if command.Reader != f.InstanceReader() {
		return Result{Code: Conflict}
	}
	if command.Reader == f.LastReader && command.Sequence <= f.LastReport {
		return Result{} // an earlier reading that comes late
	}
	f.LastReader, f.LastReport = command.Reader, command.Sequence
	for i := range command.Changed {
		f.updateInstance(command.Changed[i])
	}
	for _, id := range command.Removed {
		f.markUnlisted(id)
	}
	return Result{}
}

// updateInstance takes in what the list says of one worker. It speaks of that worker alone: another one at the same
// address may be dead and still listed, or be its successor.
func (f *FSM) updateInstance(instance Instance) {
	worker := f.Workers[instance.ID]
	if worker == nil {
		worker = &Worker{Instance: instance, Runs: map[string]Run{}}
		f.Workers[instance.ID] = worker
		f.addNotice(Notice{Kind: NoticeWorkerJoined, Worker: instance.ID, Address: instance.Address, Reader: f.LastReader, Report: f.LastReport})
		f.assignWorker(worker)
	}
	worker.Draining = worker.Draining || instance.Draining
	worker.RemainingMs = instance.RemainingMs
	worker.Capacity, worker.Labels = instance.Capacity, instance.Labels
	worker.Unlisted = false
	f.notifyAll(Update{Worker: worker.withoutRuns()})
}

// markUnlisted takes in that the platform's list lacks a worker.
func (f *FSM) markUnlisted(id string) {
	worker := f.Workers[id]
	if worker == nil || worker.Unlisted {
		return
	}
	worker.Unlisted = true
	f.addNotice(Notice{Kind: NoticeWorkerUnlisted, Worker: id, Address: worker.Address, Runs: len(worker.Runs),
		Reader: f.LastReader, Report: f.LastReport})
	if !f.removeIfIdle(worker) {
		f.notifyAll(Update{Worker: worker.withoutRuns()})
	}
}

// removeIfIdle forgets a worker that is not listed and at which nothing is placed, and reports whether it did.
func (f *FSM) removeIfIdle(worker *Worker) bool {
	if !worker.Unlisted || len(worker.Runs) > 0 {
		return false
	}
	delete(f.Workers, worker.ID)
	f.addNotice(Notice{Kind: NoticeWorkerRemoved, Worker: worker.ID, Address: worker.Address, Reader: f.LastReader, Report: f.LastReport})
	f.notifyAll(Update{WorkerRemoved: worker.ID})
	return true
}

// workerEnded takes in the proof that a worker's life is over: what is placed there runs no more.
func (f *FSM) workerEnded(command *WorkerEnded) Result {
	worker := f.Workers[command.Worker]
	if worker == nil || worker.Ended {
		return Result{}
	}
	if command.Token != worker.Token {
		return Result{Code: Conflict}
	}
	worker.Ended = true
	f.addNotice(Notice{Kind: NoticeWorkerEnded, Worker: worker.ID, Address: worker.Address, Runs: len(worker.Runs),
		Reader: f.LastReader, Report: f.LastReport})
	for _, name := range sortedKeys(worker.Runs) {
		jobID, key, _ := job.ParseTaskName(name)
		f.runEnded(&taskrun.Ended{Worker: worker.ID, Job: jobID, Task: key, Run: worker.Runs[name].Number, Reason: taskrun.Lost,
			Token: worker.Token})
	}
	if f.Workers[worker.ID] != nil {
		f.notifyAll(Update{Worker: worker.withoutRuns()})
	}
	return Result{}
}

// placementsOf lists what is placed at a worker, for its owner.
func (f *FSM) placementsOf(worker *Worker) []*taskrun.Placement {
	list := make([]*taskrun.Placement, 0, len(worker.Runs))
	for _, name := range sortedKeys(worker.Runs) {
		if placement := f.placement(worker, name); placement != nil {
			list = append(list, placement)
		}
	}
	return list
}

func (f *FSM) placement(worker *Worker, name string) *taskrun.Placement {
	jobID, key, _ := job.ParseTaskName(name)
	owned := f.Jobs[jobID]
	if owned == nil {
		return nil
	}
	task := owned.EnsureTask(key)
	return &taskrun.Placement{
		Worker:            worker.ID,
		Task:              name,
		Run:               worker.Runs[name].Number,
		Spec:              owned.Request.Spec,
		Checkpoint:        worker.Runs[name].Checkpoint,
		Stopping:          task.Stopping,
		RecordCheckpoints: owned.Request.Steps[key.Step].Checkpoints,
		UntilStopped:      owned.Request.Steps[key.Step].LongRunning,
		EstimateMs:        owned.Request.Steps[key.Step].EstimateMs,
		FirstOfJob:        !owned.Started,
	}
}

func (f *FSM) addUsage(worker *Worker, amount job.Resources) {
	worker.Used = worker.Used.Plus(amount)
	f.notifyAll(Update{Usage: &UsageUpdate{worker.ID, worker.Used}})
}

// HasLabel reports whether the worker bears the label; "" is borne by all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
