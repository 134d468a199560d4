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
	since   time.Duration
	queued  map[job.TaskKey]bool // in a placer's queue, or on the way to the control machines
	running map[job.TaskKey]started
	nextDue int64 // when the next time falls due, ms since 1970; 0: none does
	// expected says that the control machines have not told of the job yet: its Submit is on the way.
	expected bool
}

type started struct {
	worker string
	at     time.Duration
}

// expectJob takes a job up whose Submit is about to be sent, so that the placements of its first tasks follow in the
// same message: one commit carries both. A placement that the state refuses, since the Submit has not come through or
// the job is another dispatcher's, changes nothing.
func (d *Dispatcher) expectJob(now time.Duration, submitted job.Job) {
	if d.jobs[submitted.ID] != nil {
		return
	}
	submitted.Tasks, submitted.DoneTasks = map[job.TaskKey]*job.Task{}, map[job.StepKey]int{}
	d.jobs[submitted.ID] = newOwnedJob(now, &submitted)
	d.jobs[submitted.ID].expected = true
	d.dirty[submitted.ID] = true
}

// dropExpected forgets a job that the control machines have not told of: it was refused, or is another dispatcher's,
// or nobody waits for its Submit any more.
func (d *Dispatcher) dropExpected(id string) {
	if known := d.jobs[id]; known != nil && known.expected {
		d.removeJob(id)
	}
}

// confirm takes in that an expected job is known to the control machines, and reports whether that is all there is to
// take in: a job on which other dispatchers have worked before is set as told.
func (d *Dispatcher) confirm(now time.Duration, known *ownedJob, told *job.Job) bool {
	if !known.expected {
		return false
	}
	known.expected = false
	for _, task := range told.Tasks {
		if task.Run > 1 || task.Done {
			return false
		}
	}
	known.Sequence, known.State = told.Sequence, told.State
	for key, task := range told.Tasks {
		*known.EnsureTask(key) = *task
		d.follow(now, known, key, task, taskrun.Stopped)
	}
	d.dirty[told.ID] = true
	return true
}

func newOwnedJob(now time.Duration, told *job.Job) *ownedJob {
	return &ownedJob{Job: told, since: now, queued: map[job.TaskKey]bool{}, running: map[job.TaskKey]started{}}
}

func (d *Dispatcher) setJob(now time.Duration, told *job.Job) {
	known := d.jobs[told.ID]
	if known != nil && d.confirm(now, known, told) {
		return
	}
	if known == nil {
		known = newOwnedJob(now, nil)
		d.jobs[told.ID] = known
	}
	before := known.Job
	known.Job = told
	if before != nil {
		d.placer(told.Service).RemoveJob(told.ID)
		known.queued = map[job.TaskKey]bool{}
	}
	for key, task := range told.Tasks {
		d.follow(now, known, key, task, taskrun.Stopped)
	}
	d.dirty[told.ID] = true
}

func (d *Dispatcher) removeJob(id string) {
	known := d.jobs[id]
	if known == nil {
		return
	}
	d.placer(known.Service).RemoveJob(id)
	d.endRuns(known)
	delete(d.jobs, id)
}

// endRuns takes a job's runs out of the placer's picture.
func (d *Dispatcher) endRuns(known *ownedJob) {
	for key, run := range known.running {
		d.placer(known.Service).TaskEnded(run.worker, known.Request.Steps[key.Step].Demand())
	}
	clear(known.running)
}

// setJobState takes in a job's state. In a snapshot it stands for all of a job that is over.
func (d *Dispatcher) setJobState(update *statemachine.JobStateUpdate, inSnapshot bool) {
	known := d.jobs[update.Job]
	if known == nil {
		d.keepFinal(update.Job, update.State)
		return
	}
	if inSnapshot {
		d.endRuns(known)
	}
	known.State = update.State
	d.logger.Debug().Str("job", update.Job).Stringer("state", update.State).Dur("age", d.now()-known.since).Msg("job")
	if known.State.Terminal() {
		d.placer(known.Service).RemoveJob(known.ID)
	}
}

func (d *Dispatcher) setTask(now time.Duration, update *statemachine.TaskUpdate) {
	known := d.jobs[update.Job]
	if known == nil || !known.HasTask(update.Key) {
		return
	}
	task := update.Task
	wasDone := known.EnsureTask(update.Key).Done
	*known.EnsureTask(update.Key) = task
	if task.Done && !wasDone {
		known.EnsureTask(update.Key).Done = false
		known.MarkDone(update.Key)
	}
	d.follow(now, known, update.Key, &task, update.EndReason)
	d.dirty[update.Job] = true
}

// follow keeps the placer's picture of own running tasks, and lets it learn from their ends.
func (d *Dispatcher) follow(now time.Duration, known *ownedJob, key job.TaskKey, task *job.Task, how taskrun.EndReason) {
	placer := d.placer(known.Service)
	step := &known.Request.Steps[key.Step]
	run, runs := known.running[key]
	if runs && run.worker != task.Worker {
		d.logger.Debug().Str("job", known.ID).Str("task", key.Name("")).Uint64("run", task.Run).Str("worker", run.worker).
			Stringer("how", how).Dur("took", now-run.at).Int64("estimate", step.EstimateMs).Msg("run over")
		placer.TaskEnded(run.worker, step.Demand())
		delete(known.running, key)
		d.learn(now, known, key, run, how)
		runs = false
	}
	if task.Worker != "" && !runs {
		known.running[key] = started{task.Worker, now}
		d.logger.Debug().Str("job", known.ID).Str("task", key.Name("")).Uint64("run", task.Run).
			Str("worker", task.Worker).Msg("run placed")
		placer.TaskStarted(task.Worker, step.Demand())
	}
}

func (d *Dispatcher) learn(now time.Duration, known *ownedJob, key job.TaskKey, run started, how taskrun.EndReason) {
	placer := d.placer(known.Service)
	step := &known.Request.Steps[key.Step]
	switch how {
	case taskrun.Done:
		worker := d.workers[run.worker]
		near := worker != nil && (step.Affinity == "" || len(worker.Labels) > 1 && worker.Labels[1] == step.Affinity)
		if near && !step.Gang && !step.LongRunning {
			placer.ObserveRuntime(run.worker, now-run.at, time.Duration(step.EstimateMs)*time.Millisecond)
		}
	case taskrun.Failed:
		if !step.LongRunning {
			placer.RecordFault(now, run.worker, 0.2)
		}
	case taskrun.NotStarted:
		placer.RecordFault(now, run.worker, 0.5)
	case taskrun.Lost, taskrun.LeaseExpired, taskrun.GangIncomplete:
		placer.RecordFault(now, run.worker, 0.2)
	}
}

// enqueueReady puts tasks into the queue whose turn has come.
func (d *Dispatcher) enqueueReady(now time.Duration) {
	for id := range d.dirty {
		delete(d.dirty, id)
		if known := d.jobs[id]; known != nil && !known.State.Terminal() {
			d.enqueueJob(now, known)
		}
	}
}

func (d *Dispatcher) enqueueJob(now time.Duration, known *ownedJob) {
	wall := d.wallMs(now)
	known.nextDue = 0
	for run := range known.Request.Repetitions() {
		if due := known.Request.DueMs(run); due > wall {
			known.nextDue = due
			return
		}
		for step := range known.Request.Steps {
			key := job.StepKey{Repetition: run, Step: step}
			if known.DoneTasks[key] < known.Request.Steps[step].Count && known.DependenciesDone(key) {
				d.enqueueStep(now, known, key)
			}
		}
	}
}

func (d *Dispatcher) enqueueStep(now time.Duration, known *ownedJob, key job.StepKey) {
	step := &known.Request.Steps[key.Step]
	ready := []int{}
	for index := range step.Count {
		full := job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}
		task := known.Tasks[full]
		if known.queued[full] || task != nil && (task.Done || task.Worker != "") {
			continue
		}
		ready = append(ready, index)
	}
	if step.Gang {
		if len(ready) == step.Count {
			d.enqueue(now, known, key, ready)
		}
		return
	}
	for i := range ready {
		d.enqueue(now, known, key, ready[i:i+1])
	}
}

func (d *Dispatcher) enqueue(now time.Duration, known *ownedJob, key job.StepKey, indices []int) {
	longest := chains(&known.Request, d.placer(known.Service).Waves)
	begin := known.begin(now, d.wallMs(now), key.Repetition)
	unit := &placement.Unit{Job: known.Job, StepKey: key, TaskIndices: indices, EnqueuedAt: now,
		Deadline: known.objective(begin, longest), CriticalPath: longest[key.Step]}
	for _, index := range indices {
		full := job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}
		known.queued[full] = true
		if task := known.Tasks[full]; task != nil && task.LastFailedWorker != "" {
			unit.AvoidWorker(task.LastFailedWorker)
		}
	}
	d.placer(known.Service).Enqueue(unit)
	step := unit.Step()
	d.logger.Debug().Str("job", known.ID).Int("repeat", key.Repetition).Int("step", key.Step).Ints("tasks", indices).Int("priority", known.Priority).
		Int64("cpu", step.CPU).Int64("mem", step.MemoryMB).Int64("estimate", step.EstimateMs).Str("near", step.Affinity).
		Str("requires", step.RequiredLabel).Bool("gang", step.Gang).Dur("left", unit.Deadline-now).Msg("queued")
}

// wallMs returns the time of day, in ms since 1970.
func (d *Dispatcher) wallMs(now time.Duration) int64 { return d.clock.Now(now, time.Now()).UnixMilli() }

// dueJobs looks at jobs whose next time has fallen due.
func (d *Dispatcher) dueJobs(now time.Duration) {
	wall := d.wallMs(now)
	for id, known := range d.jobs {
		if known.nextDue > 0 && known.nextDue <= wall {
			d.dirty[id] = true
		}
	}
}

// begunEvery is how often the control machines are told which jobs have begun: counts of a queue may be 2 s old.
const begunEvery = 500 * time.Millisecond

// tellBegun tells of which jobs a first task has begun here.
func (d *Dispatcher) tellBegun(now time.Duration) {
	if len(d.begun) == 0 || now-d.begunToldAt < begunEvery {
		return
	}
	d.begunToldAt = now
	began := &statemachine.JobsStarted{Jobs: slices.Sorted(maps.Keys(d.begun))}
	clear(d.begun)
	d.uplink.submit(&statemachine.Command{JobsStarted: began}, func(statemachine.Result) {})
}

// decide lets every placer decide, and brings the decisions to the control machines.
func (d *Dispatcher) decide(now time.Duration) {
	if !d.uplink.attached {
		return
	}
	for _, placer := range d.placers {
		for _, decision := range placer.Schedule(now) {
			d.place(placer, decision)
		}
	}
}

func (d *Dispatcher) place(placer *placement.Scheduler, decision placement.Decision) {
	unit := decision.Unit
	known := d.jobs[unit.Job.ID]
	command := &statemachine.PlaceTasks{Session: d.uplink.session, Job: unit.Job.ID}
	for i, index := range unit.TaskIndices {
		key := job.TaskKey{Repetition: unit.StepKey.Repetition, Step: unit.StepKey.Step, Index: index}
		command.Targets = append(command.Targets, statemachine.Target{Task: key, Worker: decision.Workers[i], Alternatives: decision.Alternatives})
		if known != nil {
			known.EnsureTask(key).Worker = decision.Workers[i] // so that tasks decided upon next are kept apart from it
		}
	}
	d.logger.Debug().Str("job", unit.Job.ID).Int("repeat", unit.StepKey.Repetition).Int("step", unit.StepKey.Step).Ints("tasks", unit.TaskIndices).Msg("decided")
	asks := unit.Step().Demand()
	d.uplink.submit(&statemachine.Command{PlaceTasks: command}, func(result statemachine.Result) {
		for _, target := range command.Targets {
			placer.ReleaseReservation(target.Worker, asks)
		}
		d.placed(command, result)
	})
}

// placed takes in the outcome of a placement; what became of the tasks was told by updates before.
func (d *Dispatcher) placed(command *statemachine.PlaceTasks, result statemachine.Result) {
	known := d.jobs[command.Job]
	if known == nil {
		return
	}
	for _, target := range command.Targets {
		delete(known.queued, target.Task)
		if _, runs := known.running[target.Task]; !runs {
			if task := known.EnsureTask(target.Task); task.Worker == target.Worker {
				task.Worker = ""
			}
		}
	}
	d.dirty[command.Job] = true
}
