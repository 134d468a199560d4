package emulator

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"yardflow/scheduling/job"
)

// Checker judges the rules by what workers, clients and operators observe, and records each violation.
type Checker struct {
	mu      sync.Mutex
	broken  []string
	began   time.Time
	tasks   map[string]*taskSeen
	jobs    map[string]*jobSeen
	used    map[*Worker]job.Resources
	latest  int64            // newest acknowledged version of the configuration
	bodies  map[int64]string // what was acknowledged under each version
	stopped bool
	drainMs int64 // within which starts at a draining worker end; 0: not judged
	excused int   // starts at workers that had drained for longer, by machines out of touch or carried out late
	inTouch func(sender, worker string, at time.Time) bool
	// ConfirmAfter is how much later a start is judged by whether its machine was in touch; 0: at once. It may be set before
	// the start of the cluster, where trouble is recorded late.
	ConfirmAfter time.Duration
	drains       map[*Worker]time.Time // since when the list has shown that a worker drains
}

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

type jobSeen struct {
	request  job.Request
	handedIn time.Time
	accepted bool
	// cancelSent is set once a client may have sent a cancelling, and cancelledAt is when the first one was acknowledged.
	cancelSent  bool
	cancelledAt time.Time
	state       string
	done        map[job.StepKey]int
	running     int       // runs that are at work
	exhausted   bool      // a task has failed as often as it may
	idleSince   time.Time // since when nothing has run beside room; zero: it has not
	idleNoted   bool
}

// NewChecker returns a checker without observations. DrainMs is how long after the list has shown a drain tasks may be started
// at that worker; 0: any time.
func NewChecker(drainMs int64) *Checker {
	return &Checker{drainMs: drainMs, drains: map[*Worker]time.Time{}, began: time.Now(), tasks: map[string]*taskSeen{}, jobs: map[string]*jobSeen{}, used: map[*Worker]job.Resources{},
		bodies: map[int64]string{}}
}

func (j *Checker) violated(rule, format string, args ...any) {
	if j.stopped {
		return
	}
	at := time.Since(j.began).Seconds()
	j.broken = append(j.broken, fmt.Sprintf("%s at %.3f s: %s", rule, at, fmt.Sprintf(format, args...)))
}

// AddViolation records a violation of a rule that the caller has observed.
func (j *Checker) AddViolation(rule, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violated(rule, format, args...)
}

// Violations returns all violations so far.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// Submitted records that a client is about to submit a job.
func (j *Checker) Submitted(id string, request job.Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id] = &jobSeen{request: request, handedIn: time.Now(), done: map[job.StepKey]int{}}
}

// Accepted records that a submission was answered with success.
func (j *Checker) Accepted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].accepted = true
}

// StateShown records a job state that a client was answered, and checks it.
func (j *Checker) StateShown(id, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	seen := j.jobs[id]
	seen.state = state
	if state == "cancelled" && !seen.cancelSent {
		j.violated("LOST", "%s is shown as cancelled, and nobody has cancelled it", id)
	}
	if state == "failed" && !j.hasFailed(id, &seen.request) {
		j.violated("LOST", "%s is shown as failed, and no task of it has failed %d times", id, attempts)
	}
	if state != "completed" {
		return
	}
	for step := range seen.request.Steps {
		if seen.done[job.StepKey{Step: step}] < seen.request.Steps[step].Count {
			j.violated("MIXED", "%s is shown as completed", id)
		}
	}
}

// Gone records that a client was answered that there is no such job.
func (j *Checker) Gone(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen := j.jobs[id]; seen.accepted && !seen.cancelSent {
		j.violated("LOST", "%s was accepted and is not known", id)
	}
}

// drainListed records that the platform's list shows a worker as draining.
func (j *Checker) drainListed(w *Worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, known := j.drains[w]; !known {
		j.drains[w] = time.Now()
	}
}

// checkDrain judges a start by whether the worker was listed as draining for too long. The rule holds for machines in touch,
// and not for orders that the worker carries out late.
func (j *Checker) checkDrain(w *Worker, o *workerCommand) {
	since, drains := j.drains[w]
	late := time.Since(since) - time.Duration(j.drainMs)*time.Millisecond
	if !drains || j.drainMs == 0 || late <= 0 {
		return
	}
	at := time.Now()
	judge := func() {
		if o.delayed || !j.inTouch(o.sender, w.machine, at) {
			j.excused++
			return
		}
		j.violated("DRAIN", "%s starts on %s by order of %s, %v after the last moment", o.Task, w, o.sender, late)
	}
	j.judgeConfirmed(judge)
}

// judgeConfirmed calls a judgement that asks whether a machine was in touch, once the trouble that has befallen the machine is
// recorded. The caller holds the lock.
func (j *Checker) judgeConfirmed(judge func()) {
	if j.ConfirmAfter == 0 {
		judge()
		return
	}
	time.AfterFunc(j.ConfirmAfter, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		judge()
	})
}

// ExcusedStarts returns how many starts came too late at workers that drain, by machines for which the rule did not hold.
func (j *Checker) ExcusedStarts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.excused
}

// started judges a start, and says how long the run takes and whether it fails.
func (j *Checker) started(w *Worker, o *workerCommand) (takes time.Duration, fails bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, key, ok := job.ParseTaskName(o.Task)
	seen := j.jobs[id]
	if !ok || seen == nil || key.Step >= len(seen.request.Steps) || o.Spec != seen.request.Spec {
		j.violated("UNASKED", "%s on %s", o.Task, w)
		return time.Second, false
	}
	task := j.tasks[o.Task]
	if task == nil {
		task = &taskSeen{runs: map[*Worker]bool{}}
		j.tasks[o.Task] = task
	}
	if len(task.runs) > 0 {
		j.violated("TWICE", "%s run %d on %s runs elsewhere", o.Task, o.Command, w)
	}
	if task.doneSeen {
		j.violated("TWICE", "%s run %d on %s was done", o.Task, o.Command, w)
	}
	j.checkDrain(w, o)
	j.checkCancelled(id, seen, w, o)
	task.starts = append(task.starts, len(task.failures))
	j.checkAttempts(o.Task, task)
	step := &seen.request.Steps[key.Step]
	for _, earlier := range step.DependsOn {
		if seen.done[job.StepKey{Step: earlier}] < seen.request.Steps[earlier].Count {
			j.violated("ORDER", "%s before step %d is done", o.Task, earlier)
		}
	}
	j.used[w] = j.used[w].Plus(step.Demand())
	if !w.Capacity.Covers(j.used[w]) {
		j.violated("LIMIT", "%s brings %s to %v", o.Task, w, j.used[w])
	}
	task.runs[w] = true
	seen.running++
	takes = time.Duration(step.EstimateMs) * time.Millisecond
	if isPoison(&seen.request) {
		return takes, !step.Gang
	}
	return takes, o.Command == 1 && (len(o.Task)+int(o.Task[3]))%11 == 0
}

// CancelSent records that a client is about to cancel a job.
func (j *Checker) CancelSent(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[id].cancelSent = true
}

// CancelAcknowledged records that a cancelling was answered 2xx or 410.
func (j *Checker) CancelAcknowledged(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen := j.jobs[id]; seen.cancelledAt.IsZero() {
		seen.cancelledAt = time.Now()
	}
}

// checkCancelled judges a start by whether the job's cancelling was acknowledged too long before. The rule holds for machines
// in touch, and not for orders that the worker carries out late.
func (j *Checker) checkCancelled(id string, seen *jobSeen, w *Worker, o *workerCommand) {
	late := time.Since(seen.cancelledAt) - cancelBound
	if seen.cancelledAt.IsZero() || late <= 0 || o.delayed {
		return
	}
	at := time.Now()
	judge := func() {
		if j.inTouch(o.sender, w.machine, at) {
			j.violated("UNASKED", "%s starts %v after the last moment, job %s is cancelled", o.Task, late, id)
		}
	}
	j.judgeConfirmed(judge)
}

// checkAttempts notes a start that came after as many failed runs as a task may have, if these ends were taken
// note of, then or later.
func (j *Checker) checkAttempts(name string, task *taskSeen) {
	for _, before := range task.starts {
		noted := 0
		for _, failed := range task.failures[:before] {
			if failed.noted {
				noted++
			}
		}
		if noted >= attempts && !task.overrun {
			task.overrun = true
			j.violated("BUDGET", "%s was started again after %d failed runs", name, noted)
		}
	}
}

// ended records the end of a run; number is that of the worker's end, 0 where it has none.
func (j *Checker) ended(w *Worker, name, how string, number uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	id, key, _ := job.ParseTaskName(name)
	seen, task := j.jobs[id], j.tasks[name]
	if seen == nil || task == nil {
		return
	}
	j.used[w] = j.used[w].Minus(seen.request.Steps[key.Step].Demand())
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
func (j *Checker) endAcknowledged(w *Worker, end workerEnd) {
	j.mu.Lock()
	defer j.mu.Unlock()
	task := j.tasks[end.task]
	if task == nil || end.lapses != w.lapses {
		return
	}
	task.doneSeen = task.doneSeen || end.how == "done"
	for i := range task.failures {
		if failed := &task.failures[i]; failed.worker == w && failed.end == end.number {
			failed.noted = true
		}
	}
	j.checkAttempts(end.task, task)
}

// hasFailed reports whether a task of the job has failed as often as it may.
func (j *Checker) hasFailed(id string, request *job.Request) bool {
	for name, task := range j.tasks {
		if of, _, _ := job.ParseTaskName(name); of == id && len(task.failures) >= attempts {
			return true
		}
	}
	return false
}

// acceptedAmong counts the jobs that were handed in first within a span, and those of them that were accepted.
func (j *Checker) acceptedAmong(from, to time.Time) (handedIn, accepted int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, seen := range j.jobs {
		if seen.handedIn.Before(from) || seen.handedIn.After(to) {
			continue
		}
		handedIn++
		if seen.accepted {
			accepted++
		}
	}
	return handedIn, accepted
}

// underWay counts the runs that are at work, and the accepted jobs of which clients have seen no end.
func (j *Checker) underWay() (runs, jobs int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, task := range j.tasks {
		runs += len(task.runs)
	}
	for _, seen := range j.jobs {
		if seen.accepted && !seen.cancelSent && seen.state != "completed" && seen.state != "failed" {
			jobs++
		}
	}
	return runs, jobs
}

func (j *Checker) configured(version, base int64, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if known, taken := j.bodies[version]; taken && known != body {
		j.violated("CONFIG", "two bodies are acknowledged under version %d", version)
	}
	if version <= j.latest {
		return // acknowledged again
	}
	if base != j.latest {
		j.violated("CONFIG", "version %d on top of %d is acknowledged, %d was current", version, base, j.latest)
	}
	j.latest, j.bodies[version] = version, body
}

// newestVersion returns the newest version acknowledged so far.
func (j *Checker) newestVersion() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.latest
}

// readBack judges what a read was answered that was sent when a version had been acknowledged.
func (j *Checker) readBack(acknowledged, version int64, body string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if version < acknowledged {
		j.violated("CONFIG", "version %d is read back, %d was acknowledged", version, acknowledged)
	}
	if want, known := j.bodies[version]; known && want != body {
		j.violated("CONFIG", "version %d reads back differently", version)
	}
}

// Finish judges what must hold at the end.
func (j *Checker) Finish() (accepted, completed int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, seen := range j.jobs {
		if !seen.accepted {
			continue
		}
		accepted++
		switch {
		case seen.state == "completed" || seen.state == "failed" && isPoison(&seen.request):
			completed++
		case !seen.cancelSent:
			j.violated("LOST", "%s was accepted and is %q at the end", id, seen.state)
		}
	}
	j.stopped = true
	return accepted, completed
}

// summary says of each job what became of it, in the order of their names.
func (j *Checker) summary() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	lines := []string{}
	for id, seen := range j.jobs {
		tasks, done := 0, 0
		for step := range seen.request.Steps {
			tasks += seen.request.Steps[step].Count
			done += seen.done[job.StepKey{Step: step}]
		}
		state := seen.state
		if !seen.accepted {
			state = "not accepted"
		}
		lines = append(lines, fmt.Sprintf("job %s: %-10s %d of %d tasks done", id, state, done, tasks))
	}
	sort.Strings(lines)
	return lines
}
