package dispatcher

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/taskrun"
)

// ownedJob is a job that this dispatcher schedules.
type ownedJob struct {
	*job.Job
	ownedSince       time.Duration
	enqueued         map[job.TaskKey]bool // in a scheduler's queue, or in a proposal without an outcome
	runs             map[job.TaskKey]placedRun
	nextRepetitionMs int64 // when the next repetition is due, in ms since 1970; 0 if there is none
	// provisional means that the job's SubmitJob command has no outcome yet: the control machines may not know the job.
	provisional bool
}

// placedRun is a run that the scheduler counts as placed at its worker.
type placedRun struct {
	worker   string
	placedAt time.Duration
}

// Weights, from 0 to 1, with which runs that failed, did not start or were lost count as faults of their workers.
const (
	failedRunFaultWeight     = 0.2
	notStartedRunFaultWeight = 0.5
	lostRunFaultWeight       = 0.2
)

func newOwnedJob(now time.Duration, committed *job.Job) *ownedJob {
	return &ownedJob{Job: committed, ownedSince: now, enqueued: map[job.TaskKey]bool{}, runs: map[job.TaskKey]placedRun{}}
}

// addProvisionalJob adds a job whose SubmitJob command is about to be sent, so that the placements of its first tasks go out
// in the same message and are committed together with the submit. The replicated state rejects the placements if the submit
// was not applied or another dispatcher owns the job.
func (d *Dispatcher) addProvisionalJob(now time.Duration, submitted job.Job) {
	if d.jobs[submitted.ID] != nil {
		return
	}
	submitted.Tasks, submitted.DoneTasks = map[job.TaskKey]*job.Task{}, map[job.StepKey]int{}
	d.jobs[submitted.ID] = newOwnedJob(now, &submitted)
	d.jobs[submitted.ID].provisional = true
	d.jobsToEnqueue[submitted.ID] = true
}

// dropProvisionalJob removes a job if no update has confirmed it: its submit was rejected, another dispatcher owns it, or
// the client's call has stopped waiting for the outcome.
func (d *Dispatcher) dropProvisionalJob(id string) {
	if owned := d.jobs[id]; owned != nil && owned.provisional {
		d.removeJob(id)
	}
}

// confirmProvisionalJob applies the committed state of a provisional job. It returns false if the job was not provisional,
// or if other dispatchers have run its tasks before: the committed state then has to replace the job here.
func (d *Dispatcher) confirmProvisionalJob(now time.Duration, owned *ownedJob, committed *job.Job) bool {
	if !owned.provisional {
		return false
	}
	owned.provisional = false
	for _, task := range committed.Tasks {
		if task.Run > 1 || task.Done {
			return false
		}
	}
	owned.Sequence, owned.State = committed.Sequence, committed.State
	for key, task := range committed.Tasks {
		*owned.EnsureTask(key) = *task
		d.trackRun(now, owned, key, task, taskrun.Stopped)
	}
	d.jobsToEnqueue[committed.ID] = true
	return true
}

// mergeJob applies the complete state of a job outside of a snapshot. Of a job that is known already it applies what is
// newer.
func (d *Dispatcher) mergeJob(now time.Duration, committed *job.Job) {
	owned := d.jobs[committed.ID]
	if owned == nil || owned.provisional {
		d.setJob(now, committed)
		return
	}
	for key, task := range committed.Tasks {
		d.setTask(now, &statemachine.TaskUpdate{Job: committed.ID, Key: key, Task: *task, EndReason: taskrun.Stopped})
	}
	d.setJobState(&statemachine.JobStateUpdate{Job: committed.ID, State: committed.State}, false)
}

// setJob applies the complete state of a job that this dispatcher owns. It replaces what is known of the job.
func (d *Dispatcher) setJob(now time.Duration, committed *job.Job) {
	committed.RecountDone()
	owned := d.jobs[committed.ID]
	if owned != nil && d.confirmProvisionalJob(now, owned, committed) {
		return
	}
	if owned == nil {
		owned = newOwnedJob(now, nil)
		d.jobs[committed.ID] = owned
	}
	before := owned.Job
	owned.Job = committed
	if before != nil {
		d.scheduler(committed.Service).RemoveJob(committed)
		owned.enqueued = map[job.TaskKey]bool{}
	}
	for key, task := range committed.Tasks {
		d.trackRun(now, owned, key, task, taskrun.Stopped)
	}
	d.jobsToEnqueue[committed.ID] = true
}

func (d *Dispatcher) removeJob(id string) {
	owned := d.jobs[id]
	if owned == nil {
		return
	}
	d.scheduler(owned.Service).RemoveJob(owned.Job)
	d.dropRuns(owned)
	delete(d.jobs, id)
}

// dropRuns stops counting a job's runs as placed at their workers.
func (d *Dispatcher) dropRuns(owned *ownedJob) {
	for key, run := range owned.runs {
		d.scheduler(owned.Service).RemovePlacedTask(run.worker, owned.Request.Steps[key.Step].Demand())
	}
	clear(owned.runs)
}

// setJobState applies an update of a job's state, unless it is older than the known state: states follow each other in their
// order, and a terminal one is final. In a snapshot, a job that has ended is represented by this update alone.
func (d *Dispatcher) setJobState(update *statemachine.JobStateUpdate, inSnapshot bool) {
	owned := d.jobs[update.Job]
	if owned == nil {
		d.terminal.remember(update.Job, update.State)
		return
	}
	if inSnapshot {
		d.dropRuns(owned)
	}
	if owned.State.Terminal() || update.State <= owned.State {
		return
	}
	owned.State = update.State
	d.logger.Debug().Str("job", update.Job).Stringer("state", update.State).Dur("age", d.now()-owned.ownedSince).Msg("job")
	if owned.State.Terminal() {
		d.scheduler(owned.Service).RemoveJob(owned.Job)
	}
}

// setTask applies the state of one task, unless it is older than the known state.
func (d *Dispatcher) setTask(now time.Duration, update *statemachine.TaskUpdate) {
	owned := d.jobs[update.Job]
	if owned == nil || !owned.HasTask(update.Key) {
		return
	}
	task, known := update.Task, owned.committedTask(update.Key)
	if task.OlderThan(&known) {
		return
	}
	reason := update.EndReason
	if reason == taskrun.NotStarted && known.Stopping {
		reason = taskrun.Stopped // it was not to start any more, which is no fault of its worker
	}
	*owned.EnsureTask(update.Key) = task
	if task.Done && !known.Done {
		owned.EnsureTask(update.Key).Done = false // so that MarkDone counts it
		owned.MarkDone(update.Key)
	}
	d.trackRun(now, owned, update.Key, &task, reason)
	d.jobsToEnqueue[update.Job] = true
}

// committedTask returns a task as the replicated state has it, as far as known. The job's own entry may show the worker of
// a proposal that has no outcome yet.
func (j *ownedJob) committedTask(key job.TaskKey) job.Task {
	task := j.Tasks[key]
	if task == nil {
		return job.Task{}
	}
	committed := *task
	committed.Worker = j.runs[key].worker
	return committed
}

// trackRun updates the scheduler's count of placed tasks from the state of one task, and records how its former run has
// ended. Reason is the end reason of the former run, if the state shows that it has ended.
func (d *Dispatcher) trackRun(now time.Duration, owned *ownedJob, key job.TaskKey, task *job.Task,
	reason taskrun.EndReason) {
	scheduler := d.scheduler(owned.Service)
	step := &owned.Request.Steps[key.Step]
	run, tracked := owned.runs[key]
	if tracked && run.worker != task.Worker {
		d.logger.Debug().Str("job", owned.ID).Str("task", key.Name("")).Uint64("run", task.Run).Str("worker", run.worker).
			Stringer("how", reason).Dur("took", now-run.placedAt).Int64("estimate", step.EstimateMs).Msg("run over")
		scheduler.RemovePlacedTask(run.worker, step.Demand())
		delete(owned.runs, key)
		d.recordRunOutcome(now, owned, key, run, reason)
		tracked = false
	}
	if task.Worker != "" && !tracked {
		owned.runs[key] = placedRun{task.Worker, now}
		d.logger.Debug().Str("job", owned.ID).Str("task", key.Name("")).Uint64("run", task.Run).
			Str("worker", task.Worker).Msg("run placed")
		scheduler.AddPlacedTask(task.Worker, step.Demand())
	}
}

// recordRunOutcome updates the scheduler's figures of a worker's speed and faults after a run has ended. Only runs whose
// time is comparable with their estimate count for the speed: members of a gang wait for each other, and a task that runs
// away from its data is slower.
func (d *Dispatcher) recordRunOutcome(now time.Duration, owned *ownedJob, key job.TaskKey, run placedRun,
	reason taskrun.EndReason) {
	scheduler := d.scheduler(owned.Service)
	step := &owned.Request.Steps[key.Step]
	fault := placement.RunFault{RunRef: placement.RunRef{Job: owned.ID, Step: key.Step}, Step: step,
		Weight: lostRunFaultWeight}
	switch reason {
	case taskrun.Done:
		scheduler.RecordRunDone(now, run.worker, fault.RunRef, step.Count > 1)
		worker := d.workers[run.worker]
		local := worker != nil && (step.Affinity == "" || len(worker.Labels) > 1 && worker.Labels[1] == step.Affinity)
		if local && !step.Gang && !step.LongRunning {
			scheduler.ObserveRuntime(run.worker, now-run.placedAt, time.Duration(step.EstimateMs)*time.Millisecond)
		}
	case taskrun.Failed:
		if !step.LongRunning {
			fault.Weight = failedRunFaultWeight
			scheduler.RecordRunFault(now, run.worker, fault)
		}
	case taskrun.NotStarted:
		fault.Weight = notStartedRunFaultWeight
		scheduler.RecordRunFault(now, run.worker, fault)
	case taskrun.Lost, taskrun.LeaseExpired, taskrun.GangIncomplete:
		scheduler.RecordRunFault(now, run.worker, fault)
	}
}

// startedJobsInterval is the interval at which started jobs are reported. The counts of a queue may be up to 2 s old.
const startedJobsInterval = 500 * time.Millisecond

// startedJobs holds the jobs whose first task has started at an owned worker, until they are reported to the control
// machines.
type startedJobs struct {
	ids        map[string]bool
	reportedAt time.Duration
}

// reportStartedJobs reports the jobs that have started since the last report.
func (d *Dispatcher) reportStartedJobs(now time.Duration) {
	started := &d.startedJobs
	if len(started.ids) == 0 || now-started.reportedAt < startedJobsInterval {
		return
	}
	started.reportedAt = now
	command := &statemachine.JobsStarted{Jobs: slices.Sorted(maps.Keys(started.ids))}
	clear(started.ids)
	d.uplink.submit(&statemachine.Command{JobsStarted: command}, func(statemachine.Result) {})
}
