package cluster

import (
	"slices"

	"linnetlift/scheduling/job"
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
		c.removeWorker(id, OffTheList, "")
	}
	return Result{}
}

func (c *Cluster) instance(instance Instance) {
	// A new incarnation at a known address proves that the former one runs nothing any more.
	for _, id := range sortedKeys(c.Workers) {
		if id != instance.ID && c.Workers[id].Address == instance.Address {
			c.removeWorker(id, AddressReused, instance.ID)
		}
	}
	worker := c.Workers[instance.ID]
	if worker == nil {
		worker = &Worker{Instance: instance, Placed: map[string]Run{}}
		c.Workers[instance.ID] = worker
		c.notice(Notice{Kind: WorkerJoined, Worker: instance.ID, Address: instance.Address, Reader: c.ReadBy, Reading: c.Reading})
		c.assignWorker(worker)
		if worker.Owner != 0 {
			return
		}
	}
	worker.Draining = worker.Draining || instance.Draining
	worker.Leaves = instance.Leaves
	worker.Capacity, worker.Labels = instance.Capacity, instance.Labels
	c.tellAll(Update{Worker: worker.public()})
}

// removeWorker forgets a worker that is gone; its runs are lost.
func (c *Cluster) removeWorker(id string, evidence Evidence, successor string) {
	worker := c.Workers[id]
	if worker == nil {
		return
	}
	c.notice(Notice{Kind: WorkerLeft, Worker: id, Address: worker.Address, Evidence: evidence, Successor: successor,
		Placed: len(worker.Placed), Reader: c.ReadBy, Reading: c.Reading})
	for _, name := range sortedKeys(worker.Placed) {
		jobID, key, _ := job.ParseName(name)
		c.ended(&Ended{Worker: id, Job: jobID, Task: key, Run: worker.Placed[name].Number, How: Lost,
			Token: worker.Token})
	}
	delete(c.Workers, id)
	c.tellAll(Update{WorkerGone: id})
}

// placementsAt lists what is placed at a worker, for its owner.
func (c *Cluster) placementsAt(worker *Worker) []*Placement {
	list := make([]*Placement, 0, len(worker.Placed))
	for _, name := range sortedKeys(worker.Placed) {
		if placement := c.placement(worker, name); placement != nil {
			list = append(list, placement)
		}
	}
	return list
}

func (c *Cluster) placement(worker *Worker, name string) *Placement {
	jobID, key, _ := job.ParseName(name)
	owned := c.Jobs[jobID]
	if owned == nil {
		return nil
	}
	task := owned.Task(key)
	return &Placement{
		Worker:     worker.ID,
		Task:       name,
		Run:        worker.Placed[name].Number,
		Spec:       owned.Request.Spec,
		Saved:      worker.Placed[name].Saved,
		Stopping:   task.Stopping,
		Saves:      owned.Request.Steps[key.Step].Checkpoints,
		Lasting:    owned.Request.Steps[key.Step].LongRunning,
		EstimateMs: owned.Request.Steps[key.Step].EstimateMs,
		First:      !owned.Begun,
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
