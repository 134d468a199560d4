package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// instances takes in what the reader has read. Only the present reader is heard.
func (c *FSM) instances(command *InstancesChanged) Result {
	if command.Reader != c.InstanceReader() {
		return Result{Code: Conflict}
	}
	if command.Reader == c.LastReader && command.Sequence <= c.LastReport {
		return Result{} // an earlier reading that comes late
	}
	c.LastReader, c.LastReport = command.Reader, command.Sequence
	for i := range command.Changed {
		c.instance(command.Changed[i])
	}
	for _, id := range command.Removed {
		c.unlist(id)
	}
	return Result{}
}

// instance takes in what the list says of one worker. It speaks of that worker alone: another one at the same
// address may be dead and still listed, or be its successor.
func (c *FSM) instance(instance Instance) {
	worker := c.Workers[instance.ID]
	if worker == nil {
		worker = &Worker{Instance: instance, Runs: map[string]Run{}}
		c.Workers[instance.ID] = worker
		c.notice(Notice{Kind: NoticeWorkerJoined, Worker: instance.ID, Address: instance.Address, Reader: c.LastReader, Report: c.LastReport})
		c.assignWorker(worker)
	}
	worker.Draining = worker.Draining || instance.Draining
	worker.RemainingMs = instance.RemainingMs
	worker.Capacity, worker.Labels = instance.Capacity, instance.Labels
	worker.Unlisted = false
	c.tellAll(Update{Worker: worker.public()})
}

// unlist takes in that the platform's list lacks a worker.
func (c *FSM) unlist(id string) {
	worker := c.Workers[id]
	if worker == nil || worker.Unlisted {
		return
	}
	worker.Unlisted = true
	c.notice(Notice{Kind: NoticeWorkerUnlisted, Worker: id, Address: worker.Address, Runs: len(worker.Runs),
		Reader: c.LastReader, Report: c.LastReport})
	if !c.removeIdle(worker) {
		c.tellAll(Update{Worker: worker.public()})
	}
}

// removeIdle forgets a worker that is not listed and at which nothing is placed, and reports whether it did.
func (c *FSM) removeIdle(worker *Worker) bool {
	if !worker.Unlisted || len(worker.Runs) > 0 {
		return false
	}
	delete(c.Workers, worker.ID)
	c.notice(Notice{Kind: NoticeWorkerRemoved, Worker: worker.ID, Address: worker.Address, Reader: c.LastReader, Report: c.LastReport})
	c.tellAll(Update{WorkerRemoved: worker.ID})
	return true
}

// workerOver takes in the proof that a worker's life is over: what is placed there runs no more.
func (c *FSM) workerOver(command *WorkerEnded) Result {
	worker := c.Workers[command.Worker]
	if worker == nil || worker.Ended {
		return Result{}
	}
	if command.Token != worker.Token {
		return Result{Code: Conflict}
	}
	worker.Ended = true
	c.notice(Notice{Kind: NoticeWorkerEnded, Worker: worker.ID, Address: worker.Address, Runs: len(worker.Runs),
		Reader: c.LastReader, Report: c.LastReport})
	for _, name := range sortedKeys(worker.Runs) {
		jobID, key, _ := job.ParseTaskName(name)
		c.ended(&taskrun.Ended{Worker: worker.ID, Job: jobID, Task: key, Run: worker.Runs[name].Number, Reason: taskrun.Lost,
			Token: worker.Token})
	}
	if c.Workers[worker.ID] != nil {
		c.tellAll(Update{Worker: worker.public()})
	}
	return Result{}
}

// placementsAt lists what is placed at a worker, for its owner.
func (c *FSM) placementsAt(worker *Worker) []*taskrun.Placement {
	list := make([]*taskrun.Placement, 0, len(worker.Runs))
	for _, name := range sortedKeys(worker.Runs) {
		if placement := c.placement(worker, name); placement != nil {
			list = append(list, placement)
		}
	}
	return list
}

func (c *FSM) placement(worker *Worker, name string) *taskrun.Placement {
	jobID, key, _ := job.ParseTaskName(name)
	owned := c.Jobs[jobID]
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

func (c *FSM) use(worker *Worker, amount job.Resources) {
	worker.Used = worker.Used.Plus(amount)
	c.tellAll(Update{Usage: &UsageUpdate{worker.ID, worker.Used}})
}

// HasLabel reports whether the worker bears the label; "" is borne by all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
