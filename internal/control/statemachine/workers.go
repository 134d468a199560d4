package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Instance is a worker as the platform's instance list names it. InstancesChanged brings it into the state.
type Instance struct {
	ID       string        `cbor:"1,keyasint"` // of one incarnation: a restarted worker has another ID
	Service  string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"` // host and port; a successor may have the same
	Zone     string        `cbor:"4,keyasint"`
	Labels   []string      `cbor:"5,keyasint,omitempty"`
	Capacity job.Resources `cbor:"6,keyasint"`
	Draining bool          `cbor:"7,keyasint,omitempty"`
	// RemainingMs is the least time that a draining worker still has, in milliseconds from the reading of the list.
	RemainingMs int64 `cbor:"8,keyasint,omitempty"`
}

// Worker is an instance with its owner and what is placed at it. The instance reader's first report of it creates it;
// later reports, changes of owner and placements change it. It is removed once it is unlisted and its last run ended.
type Worker struct {
	Instance
	// Owner is the session that dispatches to the worker; 0 while no session is open.
	Owner SessionID `cbor:"20,keyasint,omitempty"`
	// Token is the owner's fencing token. Every change of owner takes the next number of the whole cluster.
	Token uint64 `cbor:"21,keyasint,omitempty"`
	// Used is what the runs at the worker demand together.
	Used job.Resources `cbor:"22,keyasint,omitempty"`
	// Runs has what is placed at the worker, by the wire name of the task.
	Runs map[string]Run `cbor:"23,keyasint,omitempty"`
	// Unlisted says that the platform's list no longer names the worker. Nothing new is placed there, and its runs go
	// on: they end by reports of the worker or by proof of its owner.
	Unlisted bool `cbor:"24,keyasint,omitempty"`
	// Ended says that the worker's incarnation is proven to have ended. The worker stays in the state as long as it is
	// listed, so that a report that still names it does not make it schedulable again.
	Ended bool `cbor:"25,keyasint,omitempty"`
}

// Run is one run of a task that is placed at a worker. PlaceTasks creates it, and the end of the run removes it.
type Run struct {
	Number     uint64 `cbor:"1,keyasint"`           // rises with each run of the task; a gang's members share it
	Checkpoint string `cbor:"2,keyasint,omitempty"` // from which the run resumes
	// CheckpointToken and CheckpointSequence are those of the newest checkpoint that the run has recorded: an earlier
	// one is ignored.
	CheckpointToken    uint64 `cbor:"3,keyasint,omitempty"`
	CheckpointSequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Unschedulable reports whether nothing new may be placed at the worker.
func (w *Worker) Unschedulable() bool { return w.Draining || w.Unlisted || w.Ended }

// FreeCapacity returns the capacity that no run at the worker demands.
func (w *Worker) FreeCapacity() job.Resources { return w.Capacity.Minus(w.Used) }

// HasLabel reports whether the worker bears the label; every worker bears "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// withoutRuns returns a copy for those who need not know what runs at the worker, which can be much.
func (w *Worker) withoutRuns() *Worker {
	public := *w
	public.Runs = nil
	return &public
}

// instancesChanged applies a report of the instance reader. One of another session is a Conflict.
func (f *FSM) instancesChanged(command *InstancesChanged) Result {
	if command.Reader != f.InstanceReader() {
		return Result{Code: Conflict}
	}
	if command.Reader == f.LastReader && command.Sequence <= f.LastReport {
		return Result{} // a newer report of the same reader counts already
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

// updateInstance enters what the list says of one worker. It concerns that worker alone: another one at the same
// address may have ended and be listed still, or be its successor. A worker that drains never stops doing so.
func (f *FSM) updateInstance(instance Instance) {
	worker := f.Workers[instance.ID]
	if worker == nil {
		worker = &Worker{Instance: instance, Runs: map[string]Run{}}
		f.Workers[instance.ID] = worker
		f.addWorkerNotice(NoticeWorkerJoined, worker)
		f.assignWorker(worker)
	}
	if instance.Draining && !worker.Draining {
		worker.Draining = true
		f.notifyAll(Update{WorkerDraining: worker.ID})
	}
	worker.RemainingMs = instance.RemainingMs
	worker.Capacity, worker.Labels = instance.Capacity, instance.Labels
	worker.Unlisted = false
	f.notifyAll(Update{Worker: worker.withoutRuns()})
}

// markUnlisted enters that the list no longer names a worker.
func (f *FSM) markUnlisted(id string) {
	worker := f.Workers[id]
	if worker == nil || worker.Unlisted {
		return
	}
	worker.Unlisted = true
	f.addWorkerNotice(NoticeWorkerUnlisted, worker)
	if !f.removeIfIdle(worker) {
		f.notifyAll(Update{Worker: worker.withoutRuns()})
	}
}

// removeIfIdle removes a worker that is unlisted and has no run, and reports whether it did.
func (f *FSM) removeIfIdle(worker *Worker) bool {
	if !worker.Unlisted || len(worker.Runs) > 0 {
		return false
	}
	delete(f.Workers, worker.ID)
	f.addWorkerNotice(NoticeWorkerRemoved, worker)
	f.notifyAll(Update{WorkerRemoved: worker.ID})
	return true
}

// workerEnded enters the proof that a worker's incarnation has ended: all its runs are lost. The proof of a former
// owner is a Conflict: another incarnation that answered it may be one that the present owner dispatches to.
func (f *FSM) workerEnded(command *WorkerEnded) Result {
	worker := f.Workers[command.Worker]
	if worker == nil || worker.Ended {
		return Result{}
	}
	if command.Token != worker.Token {
		return Result{Code: Conflict}
	}
	worker.Ended = true
	f.addWorkerNotice(NoticeWorkerEnded, worker)
	for _, name := range sortedKeys(worker.Runs) {
		jobID, key, _ := job.ParseTaskName(name)
		f.runEnded(&taskrun.Ended{Worker: worker.ID, Job: jobID, Task: key, Run: worker.Runs[name].Number,
			Reason: taskrun.Lost, Token: worker.Token})
	}
	if f.Workers[worker.ID] != nil { // an unlisted one has left with its last run
		f.notifyAll(Update{Worker: worker.withoutRuns()})
	}
	return Result{}
}

// addUsage adds to what is used at a worker; the amount is negative where a run has ended.
func (f *FSM) addUsage(worker *Worker, amount job.Resources) {
	worker.Used = worker.Used.Plus(amount)
	f.notifyAll(Update{Usage: &UsageUpdate{worker.ID, worker.Used}})
}
