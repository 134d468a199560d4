package emulator

import (
	"time"

	"yardflow/scheduling/job"
)

type taskSeen struct {
	runs     map[*Worker]bool // where it is at work
	done     bool
	doneSeen bool // the end was taken note of
	failures []failure
	starts   []int // of each start, how many runs had ended failed by then
	overrun  bool  // a start beyond the attempts was noted
}

// failure is a run that ended failed.
type failure struct {
	worker *Worker
	end    uint64 // its number at the worker
	noted  bool
}

// drainListed records that the platform's list shows a worker as draining.
func (c *Checker) drainListed(w *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.drains[w]; !known {
		c.drains[w] = time.Now()
	}
}

// checkDrain judges a start by whether the worker was listed as draining for too long. The rule holds for machines in touch,
// and not for orders that the worker carries out late.
func (c *Checker) checkDrain(w *Worker, o *workerCommand) {
	since, drains := c.drains[w]
	late := time.Since(since) - time.Duration(c.drainMs)*time.Millisecond
	if !drains || c.drainMs == 0 || late <= 0 {
		return
	}
	at := time.Now()
	judge := func() {
		if o.delayed || !c.inTouch(o.sender, w.machine, at) {
			c.excused++
			return
		}
		c.violated("DRAIN", "%s starts on %s by order of %s, %v after the last moment", o.Task, w, o.sender, late)
	}
	c.judgeConfirmed(judge)
}

// judgeConfirmed calls a judgement that asks whether a machine was in touch, once the trouble that has befallen the machine is
// recorded. The caller holds the lock.
func (c *Checker) judgeConfirmed(judge func()) {
	if c.ConfirmAfter == 0 {
		judge()
		return
	}
	time.AfterFunc(c.ConfirmAfter, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		judge()
	})
}

// ExcusedStarts returns how many starts came too late at workers that drain, by machines for which the rule did not hold.
func (c *Checker) ExcusedStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excused
}

// started judges a start, and says how long the run takes and whether it fails.
func (c *Checker) started(w *Worker, o *workerCommand) (takes time.Duration, fails bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, key, ok := job.ParseTaskName(o.Task)
	seen := c.jobs[id]
	if !ok || seen == nil || key.Step >= len(seen.request.Steps) || o.Spec != seen.request.Spec {
		c.violated("UNASKED", "%s on %s", o.Task, w)
		return time.Second, false
	}
	task := c.tasks[o.Task]
	if task == nil {
		task = &taskSeen{runs: map[*Worker]bool{}}
		c.tasks[o.Task] = task
	}
	if len(task.runs) > 0 {
		c.violated("TWICE", "%s run %d on %s runs elsewhere", o.Task, o.Command, w)
	}
	if task.doneSeen {
		c.violated("TWICE", "%s run %d on %s was done", o.Task, o.Command, w)
	}
	c.checkDrain(w, o)
	c.checkCancelled(id, seen, w, o)
	task.starts = append(task.starts, len(task.failures))
	c.checkAttempts(o.Task, task)
	step := &seen.request.Steps[key.Step]
	for _, earlier := range step.DependsOn {
		if seen.done[job.StepKey{Step: earlier}] < seen.request.Steps[earlier].Count {
			c.violated("ORDER", "%s before step %d is done", o.Task, earlier)
		}
	}
	c.used[w] = c.used[w].Plus(step.Demand())
	if !w.Capacity.Covers(c.used[w]) {
		c.violated("LIMIT", "%s brings %s to %v", o.Task, w, c.used[w])
	}
	task.runs[w] = true
	seen.running++
	takes = time.Duration(step.EstimateMs) * time.Millisecond
	if isPoison(&seen.request) {
		return takes, !step.Gang
	}
	return takes, o.Command == 1 && (len(o.Task)+int(o.Task[3]))%11 == 0
}

// checkCancelled judges a start by whether the job's cancelling was acknowledged too long before. The rule holds for machines
// in touch, and not for orders that the worker carries out late.
func (c *Checker) checkCancelled(id string, seen *jobSeen, w *Worker, o *workerCommand) {
	late := time.Since(seen.cancelledAt) - cancelBound
	if seen.cancelledAt.IsZero() || late <= 0 || o.delayed {
		return
	}
	at := time.Now()
	judge := func() {
		if c.inTouch(o.sender, w.machine, at) {
			c.violated("UNASKED", "%s starts %v after the last moment, job %s is cancelled", o.Task, late, id)
		}
	}
	c.judgeConfirmed(judge)
}

// checkAttempts notes a start that came after as many failed runs as a task may have, if these ends were taken
// note of, then or later.
func (c *Checker) checkAttempts(name string, task *taskSeen) {
	for _, before := range task.starts {
		noted := 0
		for _, failed := range task.failures[:before] {
			if failed.noted {
				noted++
			}
		}
		if noted >= attempts && !task.overrun {
			task.overrun = true
			c.violated("BUDGET", "%s was started again after %d failed runs", name, noted)
		}
	}
}

// ended records the end of a run; number is that of the worker's end, 0 where it has none.
func (c *Checker) ended(w *Worker, name, how string, number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id, key, _ := job.ParseTaskName(name)
	seen, task := c.jobs[id], c.tasks[name]
	if seen == nil || task == nil {
		return
	}
	c.used[w] = c.used[w].Minus(seen.request.Steps[key.Step].Demand())
	if task.runs[w] {
		seen.running--
	}
	delete(task.runs, w)
	if how == "failed" {
		task.failures = append(task.failures, failure{worker: w, end: number})
		seen.exhausted = seen.exhausted || len(task.failures) >= attempts
	}
	if how == "done" && !task.done {
		task.done = true
		if seen.request.Steps[key.Step].Gang {
			seen.done[job.StepKey{Step: key.Step}] = seen.request.Steps[key.Step].Count // stands for all
			return
		}
		seen.done[job.StepKey{Step: key.Step}]++
	}
}

// endAcknowledged records that the owner has acknowledged an end. It does not count if the lease has expired since.
func (c *Checker) endAcknowledged(w *Worker, end workerEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	task := c.tasks[end.task]
	if task == nil || end.lapses != w.lapses {
		return
	}
	task.doneSeen = task.doneSeen || end.how == "done"
	for i := range task.failures {
		if failed := &task.failures[i]; failed.worker == w && failed.end == end.number {
			failed.noted = true
		}
	}
	c.checkAttempts(end.task, task)
}
