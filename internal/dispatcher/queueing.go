package dispatcher

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/placement"
)

// enqueueReady puts the ready tasks of all jobs in jobsToEnqueue into the queues of their schedulers.
func (d *Dispatcher) enqueueReady(now time.Duration) {
	for id := range d.jobsToEnqueue {
		delete(d.jobsToEnqueue, id)
		if owned := d.jobs[id]; owned != nil && !owned.State.Terminal() {
			d.enqueueJob(now, owned)
		}
	}
}

// enqueueDueJobs adds the jobs whose next repetition is due to jobsToEnqueue.
func (d *Dispatcher) enqueueDueJobs(now time.Duration) {
	wallMs := d.wallMs(now)
	for id, owned := range d.jobs {
		if owned.nextRepetitionMs > 0 && owned.nextRepetitionMs <= wallMs {
			d.jobsToEnqueue[id] = true
		}
	}
}

func (d *Dispatcher) enqueueJob(now time.Duration, owned *ownedJob) {
	wallMs := d.wallMs(now)
	owned.nextRepetitionMs = 0
	for repetition := range owned.Request.Repetitions() {
		if due := owned.Request.DueMs(repetition); due > wallMs {
			owned.nextRepetitionMs = due
			return
		}
		for step := range owned.Request.Steps {
			key := job.StepKey{Repetition: repetition, Step: step}
			if owned.DoneTasks[key] < owned.Request.Steps[step].Count && owned.DependenciesDone(key) {
				d.enqueueStep(now, owned, key)
			}
		}
	}
}

// enqueueStep enqueues the tasks of a step that are not done, placed or enqueued yet. Each task is a unit of its own, except
// that the tasks of a gang are one unit, which is enqueued once all of them are ready.
func (d *Dispatcher) enqueueStep(now time.Duration, owned *ownedJob, key job.StepKey) {
	step := &owned.Request.Steps[key.Step]
	ready := []int{}
	for index := range step.Count {
		taskKey := job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}
		task := owned.Tasks[taskKey]
		if owned.enqueued[taskKey] || task != nil && (task.Done || task.Worker != "") {
			continue
		}
		ready = append(ready, index)
	}
	if step.Gang {
		if len(ready) == step.Count {
			d.enqueueUnit(now, owned, key, ready)
		}
		return
	}
	for i := range ready {
		d.enqueueUnit(now, owned, key, ready[i:i+1])
	}
}

func (d *Dispatcher) enqueueUnit(now time.Duration, owned *ownedJob, key job.StepKey, indices []int) {
	paths := criticalPaths(&owned.Request, d.scheduler(owned.Service).Waves)
	start := owned.repetitionStart(now, d.wallMs(now), key.Repetition)
	unit := &placement.Unit{Job: owned.Job, StepKey: key, TaskIndices: indices, EnqueuedAt: now,
		Deadline: owned.deadline(start, paths), CriticalPath: paths[key.Step]}
	for _, index := range indices {
		taskKey := job.TaskKey{Repetition: key.Repetition, Step: key.Step, Index: index}
		owned.enqueued[taskKey] = true
		if task := owned.Tasks[taskKey]; task != nil && task.LastFailedWorker != "" {
			unit.AvoidWorker(task.LastFailedWorker)
		}
	}
	d.scheduler(owned.Service).Enqueue(unit)
	step := unit.Step()
	d.logger.Debug().Str("job", owned.ID).Int("repeat", key.Repetition).Int("step", key.Step).Ints("tasks", indices).
		Int("priority", owned.Priority).Int64("cpu", step.CPU).Int64("mem", step.MemoryMB).
		Int64("estimate", step.EstimateMs).Str("near", step.Affinity).
		Str("requires", step.RequiredLabel).Bool("gang", step.Gang).Dur("left", unit.Deadline-now).Msg("queued")
}

// criticalPaths returns for each step how long the longest chain of dependent steps that starts with it takes, by the
// client's estimates. Waves returns in how many waves the tasks of a step run: more than one if the step exceeds its share
// of the workers.
func criticalPaths(request *job.Request, waves func(*job.Step) int) []time.Duration {
	longest := make([]time.Duration, len(request.Steps))
	for i := len(request.Steps) - 1; i >= 0; i-- {
		step := &request.Steps[i]
		longest[i] += time.Duration(step.EstimateMs) * time.Millisecond * time.Duration(waves(step))
		for _, earlier := range step.DependsOn {
			longest[earlier] = max(longest[earlier], longest[i])
		}
	}
	return longest
}

// repetitionStart returns when a repetition of the job started or will start, on the dispatcher's clock: its due time, or,
// if it has none, the time at which this dispatcher started to own the job.
func (j *ownedJob) repetitionStart(now time.Duration, wallMs int64, repetition int) time.Duration {
	if due := j.Request.DueMs(repetition); due > 0 {
		return now + time.Duration(due-wallMs)*time.Millisecond
	}
	return j.ownedSince
}

// deadline returns when a repetition that started at the given time misses its objective: start plus the critical path times
// the job's stretch plus the job's target latency.
func (j *ownedJob) deadline(start time.Duration, paths []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, path := range paths {
		longest = max(longest, path)
	}
	return start + time.Duration(j.Stretch*float64(longest)) + time.Duration(j.TargetLatencyMs)*time.Millisecond
}
