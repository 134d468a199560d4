package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"yardflow/scheduling/job"
)

// simulation plays one dispatcher's jobs at workers in virtual time. Workers may be sick, and jobs hopeless.
type simulation struct {
	scheduler *Scheduler
	random    *rand.Rand
	now       time.Duration
	events    eventQueue
	sequence  int
	jobs      map[string]*simulatedJob
	used      map[string]job.Resources

	failShare func(worker string, now time.Duration) float64 // of the runs of sound jobs
	// sick reports whether starts at the worker are counted.
	sick         func(worker string, now time.Duration) bool
	startsAtSick int
	failedJobs   int // sound jobs with a task that has failed maxAttempts times
	completed    int
	backoffs     int // workers found in backoff, over all cycles
	// longestStarved is the longest time for which a sound job had nothing running, though a worker had room for it twice over
	// and under half of the CPU was in use.
	longestStarved time.Duration
}

const simulatedAttempts = 4

type simulatedJob struct {
	*job.Job
	hopeless  bool
	runTime   time.Duration
	left      int
	ended     bool
	idleSince time.Duration
}

type simulatedEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}
func (q eventQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation returns a simulation of workers with 16 cores; every third has the label "b".
func newSimulation(seed uint64, workers int) *simulation {
	s := &simulation{scheduler: New(1, seed), random: rand.New(rand.NewPCG(seed, 9)), jobs: map[string]*simulatedJob{},
		used: map[string]job.Resources{}, failShare: func(string, time.Duration) float64 { return 0 },
		sick: func(string, time.Duration) bool { return false }}
	for i := range workers {
		kind := "a"
		if i%3 == 2 {
			kind = "b"
		}
		s.scheduler.SetWorker(simulatedWorker(i), []string{kind, fmt.Sprint("r", i)}, simulatedCapacity, job.Resources{}, false)
	}
	return s
}

var simulatedCapacity = job.Resources{CPU: 16000, MemoryMB: 65536}

func simulatedWorker(i int) string { return fmt.Sprintf("w%04d", i) }

func (s *simulation) after(delay time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, simulatedEvent{s.now + delay, s.sequence, run})
}

// play runs until the given time. A cycle follows each event, and each 100 ms.
func (s *simulation) play(until time.Duration) {
	var tick func()
	tick = func() {
		s.checkStarved()
		s.after(100*time.Millisecond, tick)
	}
	tick()
	for s.events[0].at <= until {
		event := heap.Pop(&s.events).(simulatedEvent)
		s.now = event.at
		event.run()
		s.cycle()
	}
}

func (s *simulation) cycle() {
	for _, decision := range s.scheduler.Schedule(s.now) {
		for i, worker := range decision.Workers {
			s.scheduler.ReleaseReservation(worker, decision.Unit.Step().Demand())
			s.start(s.jobs[decision.Unit.Job.ID], decision.Unit, decision.Unit.TaskIndices[i], worker)
		}
	}
	for _, worker := range s.scheduler.workerList {
		if s.now < worker.backoffUntil {
			s.backoffs++
		}
	}
}

// submit hands a job of one step in, and returns it.
func (s *simulation) submit(step job.Step, runTime time.Duration, hopeless bool) *simulatedJob {
	id := fmt.Sprintf("%016x", len(s.jobs)+1)
	step.EstimateMs = runTime.Milliseconds()
	j := &simulatedJob{Job: &job.Job{ID: id, Priority: 1, MaxAttempts: simulatedAttempts, Request: job.Request{Steps: []job.Step{step}}},
		hopeless: hopeless, runTime: runTime, left: step.Count, idleSince: s.now}
	s.jobs[id] = j
	if step.Gang {
		indices := make([]int, step.Count)
		for i := range indices {
			indices[i] = i
		}
		s.enqueue(j, indices, "")
		return j
	}
	for i := range step.Count {
		s.enqueue(j, []int{i}, "")
	}
	return j
}

func (s *simulation) enqueue(j *simulatedJob, indices []int, avoid string) {
	unit := &Unit{Job: j.Job, TaskIndices: indices, EnqueuedAt: s.now, Deadline: s.now + 4*j.runTime, CriticalPath: j.runTime}
	unit.AvoidWorker(avoid)
	s.scheduler.Enqueue(unit)
}

func (s *simulation) start(j *simulatedJob, unit *Unit, index int, worker string) {
	task := j.EnsureTask(job.TaskKey{Index: index})
	task.Worker = worker
	task.Run++
	s.use(worker, unit.Step().Demand())
	s.scheduler.AddPlacedTask(worker, unit.Step().Demand())
	if s.sick(worker, s.now) {
		s.startsAtSick++
	}
	fails := j.hopeless || s.random.Float64() < s.failShare(worker, s.now)
	takes := j.runTime
	if fails && !j.hopeless {
		takes = j.runTime / 4
	}
	s.after(takes, func() { s.end(j, index, worker, fails) })
}

func (s *simulation) use(worker string, demand job.Resources) {
	s.used[worker] = s.used[worker].Plus(demand)
	s.scheduler.SetUsed(worker, s.used[worker])
}

func (s *simulation) end(j *simulatedJob, index int, worker string, failed bool) {
	step := &j.Request.Steps[0]
	task := j.EnsureTask(job.TaskKey{Index: index})
	task.Worker = ""
	s.use(worker, job.Resources{}.Minus(step.Demand()))
	s.scheduler.RemovePlacedTask(worker, step.Demand())
	j.idleSince = s.now
	ref := RunRef{Job: j.ID}
	switch {
	case failed:
		task.CountFailure(task.Run)
		s.scheduler.RecordRunFault(s.now, worker, RunFault{RunRef: ref, Weight: 0.2, Step: step})
		s.retry(j, index, worker, task)
		return
	case j.ended:
		return
	}
	s.scheduler.RecordRunDone(s.now, worker, ref, step.Count > 1)
	s.scheduler.ObserveRuntime(worker, j.runTime, j.runTime)
	j.MarkDone(job.TaskKey{Index: index})
	if j.left--; j.left == 0 {
		s.completed++
		s.finish(j)
	}
}

func (s *simulation) retry(j *simulatedJob, index int, worker string, task *job.Task) {
	if j.ended {
		return
	}
	if task.FailedAttempts < simulatedAttempts {
		s.enqueue(j, []int{index}, worker)
		return
	}
	if !j.hopeless {
		s.failedJobs++
	}
	s.finish(j)
}

func (s *simulation) finish(j *simulatedJob) {
	j.ended = true
	s.scheduler.RemoveJob(j.Job)
}

// checkStarved measures for how long sound jobs have had nothing running though a worker has room for a task twice over.
func (s *simulation) checkStarved() {
	for _, j := range s.jobs {
		if j.ended || j.hopeless || j.HasPlacedTask() || !s.hasRoomTwice(&j.Request.Steps[0]) {
			if !j.ended {
				j.idleSince = s.now
			}
			continue
		}
		s.longestStarved = max(s.longestStarved, s.now-j.idleSince)
	}
}

// hasRoomTwice reports whether under half of the CPU is in use, and what a step places at once fits twice over: a task, or all
// members of a gang.
func (s *simulation) hasRoomTwice(step *job.Step) bool {
	used := job.Resources{}
	for _, amount := range s.used {
		used = used.Plus(amount)
	}
	if 2*used.CPU >= int64(len(s.scheduler.workerList))*simulatedCapacity.CPU {
		return false
	}
	fits, wanted := 0, 2
	if step.Gang {
		wanted = 2 * step.Count
	}
	for _, worker := range s.scheduler.workerList {
		if !eligible(worker, step) {
			continue
		}
		for here := int64(1); worker.available().Covers(step.Demand().Times(here)); here++ {
			fits++
		}
	}
	return fits >= wanted
}
