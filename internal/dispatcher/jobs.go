package dispatcher

import (
	"maps"
	"slices"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// ownedJob is a job that this dispatcher schedules.
type ownedJob struct {
	*job.Job
	ownedSince time.Duration
	enqueued   map[job.TaskKey]bool // in a scheduler's queue, or in a proposal without an outcome
	runs       map[job.TaskKey]placedRun
	nextDueMs  int64 // when the next repetition is due, ms since 1970; 0: none is to come
	// provisional says that the job's Submit has no outcome yet: the control machines may not know the job.
	provisional bool
}

// placedRun is a run that counts at its worker.
type placedRun struct {
	worker   string
	placedAt time.Duration
}

// Weights, from 0 to 1, of runs that did not end well, as faults of their workers.
const (
	failedRunFault     = 0.2
	notStartedRunFault = 0.5
	lostRunFault       = 0.2
)

func newOwnedJob(now time.Duration, committed *job.Job) *ownedJob {
	return &ownedJob{Job: committed, ownedSince: now, enqueued: map[job.TaskKey]bool{}, runs: map[job.TaskKey]placedRun{}}
}

// addProvisionalJob takes up a job whose Submit is about to be sent, so that the placements of its first tasks follow in
// the same message: one commit carries both. A placement that the state rejects, because the Submit has not come through
// or the job is another dispatcher's, changes nothing.
func (d *Dispatcher) addProvisionalJob(now time.Duration, submitted job.Job) {
	if d.jobs[submitted.ID] != nil {
		return
	}
	submitted.Tasks, submitted.DoneTasks = map[job.TaskKey]*job.Task{}, map[job.StepKey]int{}
	d.jobs[submitted.ID] = newOwnedJob(now, &submitted)
	d.jobs[submitted.ID].provisional = true
	d.jobsToEnqueue[submitted.ID] = true
}

// dropProvisionalJob forgets a job that no update has confirmed: its Submit was rejected, or it is another dispatcher's,
// or nobody waits for it any more.
func (d *Dispatcher) dropProvisionalJob(id string) {
	if owned := d.jobs[id]; owned != nil && owned.provisional {
		d.removeJob(id)
	}
}

// confirmProvisionalJob takes in that a provisional job is committed. It reports whether that is all there is to take in: a
// job that other dispatchers have worked on before replaces what is known here.
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

// setJob takes in the whole state of a job that this dispatcher owns.
func (d *Dispatcher) setJob(now time.Duration, committed *job.Job) {
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
		d.scheduler(committed.Service).RemoveJob(committed.ID)
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
	d.scheduler(owned.Service).RemoveJob(id)
	d.dropRuns(owned)
	delete(d.jobs, id)
}

// dropRuns takes a job's runs out of what counts at their workers.
func (d *Dispatcher) dropRuns(owned *ownedJob) {
	for key, run := range owned.runs {
		d.scheduler(owned.Service).TaskEnded(run.worker, owned.Request.Steps[key.Step].Demand())
	}
	clear(owned.runs)
}

// setJobState takes in a job's state. A snapshot has nothing else of a job that has ended.
func (d *Dispatcher) setJobState(update *statemachine.JobStateUpdate, inSnapshot bool) {
	owned := d.jobs[update.Job]
	if owned == nil {
		d.terminal.remember(update.Job, update.State)
		return
	}
	if inSnapshot {
		d.dropRuns(owned)
	}
	owned.State = update.State
	d.logger.Debug().Str("job", update.Job).Stringer("state", update.State).Dur("age", d.now()-owned.ownedSince).Msg("job")
	if owned.State.Terminal() {
		d.scheduler(owned.Service).RemoveJob(owned.ID)
	}
}

// setTask takes in the state of one task.
func (d *Dispatcher) setTask(now time.Duration, update *statemachine.TaskUpdate) {
	owned := d.jobs[update.Job]
	if owned == nil || !owned.HasTask(update.Key) {
		return
	}
	task := update.Task
	wasDone := owned.EnsureTask(update.Key).Done
	*owned.EnsureTask(update.Key) = task
	if task.Done && !wasDone {
		owned.EnsureTask(update.Key).Done = false // so that MarkDone counts it
		owned.MarkDone(update.Key)
	}
	d.trackRun(now, owned, update.Key, &task, update.EndReason)
	d.jobsToEnqueue[update.Job] = true
}

// trackRun keeps the scheduler's view of own runs in step with a task's state, and lets it learn from their ends. Reason
// is how the former run has ended, where the state shows that it has.
func (d *Dispatcher) trackRun(now time.Duration, owned *ownedJob, key job.TaskKey, task *job.Task, reason taskrun.EndReason) {
	scheduler := d.scheduler(owned.Service)
	step := &owned.Request.Steps[key.Step]
	run, tracked := owned.runs[key]
	if tracked && run.worker != task.Worker {
		d.logger.Debug().Str("job", owned.ID).Str("task", key.Name("")).Uint64("run", task.Run).Str("worker", run.worker).
			Stringer("how", reason).Dur("took", now-run.placedAt).Int64("estimate", step.EstimateMs).Msg("run over")
		scheduler.TaskEnded(run.worker, step.Demand())
		delete(owned.runs, key)
		d.learnFromEnd(now, owned, key, run, reason)
		tracked = false
	}
	if task.Worker != "" && !tracked {
		owned.runs[key] = placedRun{task.Worker, now}
		d.logger.Debug().Str("job", owned.ID).Str("task", key.Name("")).Uint64("run", task.Run).
			Str("worker", task.Worker).Msg("run placed")
		scheduler.TaskStarted(task.Worker, step.Demand())
	}
}

// learnFromEnd lets the scheduler learn of a worker's speed and faults. Only runs whose estimate can be compared count for
// its speed: members of a gang wait for each other, and work away from its data is slower.
func (d *Dispatcher) learnFromEnd(now time.Duration, owned *ownedJob, key job.TaskKey, run placedRun, reason taskrun.EndReason) {
	scheduler := d.scheduler(owned.Service)
	step := &owned.Request.Steps[key.Step]
	switch reason {
	case taskrun.Done:
		worker := d.workers[run.worker]
		local := worker != nil && (step.Affinity == "" || len(worker.Labels) > 1 && worker.Labels[1] == step.Affinity)
		if local && !step.Gang && !step.LongRunning {
			scheduler.ObserveRuntime(run.worker, now-run.placedAt, time.Duration(step.EstimateMs)*time.Millisecond)
		}
	case taskrun.Failed:
		if !step.LongRunning {
			scheduler.RecordFault(now, run.worker, failedRunFault)
		}
	case taskrun.NotStarted:
		scheduler.RecordFault(now, run.worker, notStartedRunFault)
	case taskrun.Lost, taskrun.LeaseExpired, taskrun.GangIncomplete:
		scheduler.RecordFault(now, run.worker, lostRunFault)
	}
}

// startedJobsInterval is how often started jobs are reported: the counts of a queue may be 2 s old.
const startedJobsInterval = 500 * time.Millisecond

// startedJobs are jobs of which a first task started at an owned worker, to be reported to the control machines.
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
