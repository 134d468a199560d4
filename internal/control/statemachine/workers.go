package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// instances takes in what the reader has read. Only the present reader is heard.
func (c *Cluster) instances(command *Instances) Result {
	if command.Reader != c.Reader() {
		return Result{Code: Conflict}
	}
	if command.Reader == c.ReadBy && command.Reading <= c.Reading {
		return Result{} // an earlier reading that comes late
	}
	c.ReadBy, c.Reading = command.Reader, command.Reading
	for i := range command.Changed {
		c.instance(command.Changed[i])
	}
	for _, id := range command.Gone {
		c.unlist(id)
	}
	return Result{}
}

// instance takes in what the list says of one worker. It speaks of that worker alone: another one at the same
// address may be dead and still listed, or be its successor.
func (c *Cluster) instance(instance Instance) {
	worker := c.Workers[instance.ID]
	if worker == nil {
		worker = &Worker{Instance: instance, Placed: map[string]Run{}}
		c.Workers[instance.ID] = worker
		c.notice(Notice{Kind: WorkerJoined, Worker: instance.ID, Address: instance.Address, Reader: c.ReadBy, Reading: c.Reading})
		c.assignWorker(worker)
	}
	worker.Draining = worker.Draining || instance.Draining
	worker.Leaves = instance.Leaves
	worker.Capacity, worker.Labels = instance.Capacity, instance.Labels
	worker.Unlisted = false
	c.tellAll(Update{Worker: worker.public()})
}

// unlist takes in that the platform's list lacks a worker.
func (c *Cluster) unlist(id string) {
	worker := c.Workers[id]
	if worker == nil || worker.Unlisted {
		return
	}
	worker.Unlisted = true
	c.notice(Notice{Kind: WorkerUnlisted, Worker: id, Address: worker.Address, Placed: len(worker.Placed),
		Reader: c.ReadBy, Reading: c.Reading})
	if !c.removeIdle(worker) {
		c.tellAll(Update{Worker: worker.public()})
	}
}

// removeIdle forgets a worker that is not listed and at which nothing is placed, and reports whether it did.
func (c *Cluster) removeIdle(worker *Worker) bool {
	if !worker.Unlisted || len(worker.Placed) > 0 {
		return false
	}
	delete(c.Workers, worker.ID)
	c.notice(Notice{Kind: WorkerLeft, Worker: worker.ID, Address: worker.Address, Reader: c.ReadBy, Reading: c.Reading})
	c.tellAll(Update{WorkerGone: worker.ID})
	return true
}

// workerOver takes in the proof that a worker's life is over: what is placed there runs no more.
func (c *Cluster) workerOver(command *WorkerOver) Result {
	worker := c.Workers[command.Worker]
	if worker == nil || worker.Over {
		return Result{}
	}
	if command.Token != worker.Token {
		return Result{Code: Conflict}
	}
	worker.Over = true
	c.notice(Notice{Kind: WorkerEnded, Worker: worker.ID, Address: worker.Address, Placed: len(worker.Placed),
		Reader: c.ReadBy, Reading: c.Reading})
	for _, name := range sortedKeys(worker.Placed) {
		jobID, key, _ := job.ParseName(name)
		c.ended(&taskrun.Ended{Worker: worker.ID, Job: jobID, Task: key, Run: worker.Placed[name].Number, Reason: taskrun.Lost,
			Token: worker.Token})
	}
	if c.Workers[worker.ID] != nil {
		c.tellAll(Update{Worker: worker.public()})
	}
	return Result{}
}

// placementsAt lists what is placed at a worker, for its owner.
func (c *Cluster) placementsAt(worker *Worker) []*taskrun.Placement {
	list := make([]*taskrun.Placement, 0, len(worker.Placed))
	for _, name := range sortedKeys(worker.Placed) {
		if placement := c.placement(worker, name); placement != nil {
			list = append(list, placement)
		}
	}
	return list
}

func (c *Cluster) placement(worker *Worker, name string) *taskrun.Placement {
	jobID, key, _ := job.ParseName(name)
	owned := c.Jobs[jobID]
	if owned == nil {
		return nil
	}
	task := owned.Task(key)
	return &taskrun.Placement{
		Worker:            worker.ID,
		Task:              name,
		Run:               worker.Placed[name].Number,
		Spec:              owned.Request.Spec,
		Checkpoint:        worker.Placed[name].Saved,
		Stopping:          task.Stopping,
		RecordCheckpoints: owned.Request.Steps[key.Step].Checkpoints,
		UntilStopped:      owned.Request.Steps[key.Step].LongRunning,
		EstimateMs:        owned.Request.Steps[key.Step].EstimateMs,
		FirstOfJob:        !owned.Begun,
	}
}

func (c *Cluster) use(worker *Worker, amount job.Resources) {
	worker.Used = worker.Used.Plus(amount)
	c.tellAll(Update{Used: &Used{worker.ID, worker.Used}})
}

// HasLabel reports whether the worker bears the label; "" is borne by all.
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}
