package statemachine

import (
	"slices"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// Instance is a worker as described by the platform's instance list. InstancesChanged adds it to the state.
type Instance struct {
	ID       string        `cbor:"1,keyasint"` // of one incarnation: a restarted worker has another ID
	Service  string        `cbor:"2,keyasint"`
	Address  string        `cbor:"3,keyasint"` // host and port; a successor may have the same
	Zone     string        `cbor:"4,keyasint"`
	Labels   []string      `cbor:"5,keyasint,omitempty"`
	Capacity job.Resources `cbor:"6,keyasint"`
	Draining bool          `cbor:"7,keyasint,omitempty"`
	// RemainingMs is the minimum time until a draining worker ends, in milliseconds since the list was read.
	RemainingMs int64 `cbor:"8,keyasint,omitempty"`
}

// Worker is an instance with its owner and placed runs. The instance reader's first report of the instance creates it;
// later reports, changes of owner and placements change it. It is removed once it is unlisted and its last run has ended.
type Worker struct {
	Instance
	// Owner is the session that dispatches to the worker; 0 while no session is open.
	Owner SessionID `cbor:"20,keyasint,omitempty"`
	// Token is the owner's fencing token. Every change of owner takes the next number of a counter of the whole cluster.
	Token uint64 `cbor:"21,keyasint,omitempty"`
	// Used is the sum of the demands of the runs at the worker.
	Used job.Resources `cbor:"22,keyasint,omitempty"`
	// Runs contains the runs that are placed at the worker, by the wire name of the task.
	Runs map[string]Run `cbor:"23,keyasint,omitempty"`
	// Unlisted is set while the worker is not in the platform's list. No new tasks are placed there. Its runs continue
	// until the worker reports their ends or its owner proves that the worker has ended.
	Unlisted bool `cbor:"24,keyasint,omitempty"`
	// Ended is set once the worker's incarnation is proven to have ended. The worker stays in the state as long as it is
	// listed, so that a report that still contains it does not make it schedulable again.
	Ended bool `cbor:"25,keyasint,omitempty"`
}

// Run is one run of a task that is placed at a worker. PlaceTasks creates it, and the end of the run removes it.
type Run struct {
	Number     uint64 `cbor:"1,keyasint"`           // increases with each run of the task; a gang's members share it
	Checkpoint string `cbor:"2,keyasint,omitempty"` // from which the run resumes
	// CheckpointToken and CheckpointSequence are the token and sequence number of the newest checkpoint that the run has
	// recorded. An earlier checkpoint is ignored.
	CheckpointToken    uint64 `cbor:"3,keyasint,omitempty"`
	CheckpointSequence uint64 `cbor:"4,keyasint,omitempty"`
}

// Unschedulable reports whether no new tasks may be placed at the worker.
func (w *Worker) Unschedulable() bool { return w.Draining || w.Unlisted || w.Ended }

// FreeCapacity returns the capacity that is not used by the runs at the worker.
func (w *Worker) FreeCapacity() job.Resources { return w.Capacity.Minus(w.Used) }

// HasLabel reports whether the worker has the label; every worker has the label "".
func (w *Worker) HasLabel(label string) bool {
	return label == "" || slices.Contains(w.Labels, label)
}

// withoutRuns returns a copy without Runs, which can be large. The worker's owner gets the runs as placements.
func (w *Worker) withoutRuns() *Worker {
	stripped := *w
	stripped.Runs = nil
	stripped.Labels = slices.Clone(w.Labels)
	return &stripped
}

// instancesChanged applies a report of the instance reader. A report of another session is a Conflict.
func (f *FSM) instancesChanged(command *InstancesChanged) Result {
	if command.Reader != f.InstanceReader() {
		return Result{Code: Conflict}
	}
	if command.Reader == f.LastReader && command.Sequence <= f.LastReport {
		return Result{} // this report, or a newer one of the same reader, was applied already
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

// updateInstance applies the list's entry of one worker. For a worker that is in the state already, it applies only the
// capacity, the labels, the drain and the remaining time. It changes no other worker at the same address, which may have
// ended and still be listed, or be the successor. A draining worker stays draining until it ends.
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

// markUnlisted records that a worker is no longer in the list.
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

// removeIfIdle removes a worker if it is unlisted and has no runs, and reports whether it did.
func (f *FSM) removeIfIdle(worker *Worker) bool {
	if !worker.Unlisted || len(worker.Runs) > 0 {
		return false
	}
	delete(f.Workers, worker.ID)
	f.addWorkerNotice(NoticeWorkerRemoved, worker)
	f.notifyAll(Update{WorkerRemoved: worker.ID})
	return true
}

// workerEnded records the proof that a worker's incarnation has ended: all its runs are lost. The proof of a former owner
// is a Conflict, since the other incarnation that answered it may be one to which the present owner dispatches.
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
	if f.Workers[worker.ID] != nil { // an unlisted worker was removed with its last run
		f.notifyAll(Update{Worker: worker.withoutRuns()})
	}
	return Result{}
}

// addUsage adds an amount to the used capacity of a worker. The amount is negative if a run has ended.
func (f *FSM) addUsage(worker *Worker, amount job.Resources) {
	worker.Used = worker.Used.Plus(amount)
	f.notifyAll(Update{Usage: &UsageUpdate{worker.ID, worker.Used}})
}
