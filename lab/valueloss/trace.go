package main

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// run is one run of a task, as its owners' logs tell of it. Times are seconds on the bench's clock; 0: never.
type run struct {
	task     string
	step     int
	placed   float64 // the placement is committed, and the job's owner knows
	started  float64 // the worker has answered the order
	endTold  float64 // the worker's owner has been told of the end
	over     float64 // the end is committed, and the job's owner knows
	how      string
	estimate float64 // s
}

// longestRun is up to how many times its estimate a run may take on a sound worker.
const longestRun = 1.8

// began returns when the worker began the run, as far as the log has it.
func (r *run) began() float64 {
	if r.started > 0 {
		return r.started
	}
	return r.placed
}

// ended returns when the run's end was known, as far as the log has it.
func (r *run) ended() float64 {
	if r.endTold > 0 {
		return r.endTold
	}
	return r.over
}

// soundWork returns how long the run takes on a sound worker.
func (r *run) soundWork() float64 {
	return max(min(r.ended()-r.began(), longestRun*r.estimate), 0)
}

// task is what becomes of one task.
type task struct {
	queued  []float64 // when it was put into the queue, and put there again
	decided []float64
	runs    []*run
}

// job is one job from its first Submit on.
type job struct {
	id       string
	priority int
	work     float64 // core-seconds that the client expects
	plain    bool    // it has no times, and ends
	handedIn float64 // the first Submit began
	accepted float64
	refused  int // Submits without a 2xx
	stretch  float64
	target   float64 // s
	over     float64
	state    string
	tasks    map[string]*task
}

// line is what the tool reads of a log line; it names the fields of all messages of interest.
type line struct {
	Message  string  `json:"message"`
	Job      string  `json:"job"`
	Task     string  `json:"task"`
	Tasks    []int   `json:"tasks"`
	Step     int     `json:"step"`
	Run      uint64  `json:"run"`
	How      string  `json:"how"`
	Answer   string  `json:"answer"`
	Outcome  string  `json:"outcome"`
	State    string  `json:"state"`
	Priority int     `json:"priority"`
	Work     float64 `json:"work"`
	Times    int     `json:"times"`
	Lasting  bool    `json:"lasting"`
	Took     float64 `json:"took"`
	Stretch  float64 `json:"stretch"`
	Target   float64 `json:"target"` // ms
	Estimate float64 `json:"estimate"`
}

// trace collects jobs from a log that the bench has printed: the time, the machine and the line itself.
type trace struct {
	jobs map[string]*job
	runs map[string]*run // by the task's full name and the run's number
}

const msPerSecond = 1000

func readTrace(log io.Reader) (*trace, error) {
	t := &trace{jobs: map[string]*job{}, runs: map[string]*run{}}
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, 1<<24)
	for scanner.Scan() {
		text := scanner.Text()
		begin := strings.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		head := strings.Fields(text[:begin])
		if len(head) != 2 {
			continue
		}
		at, err := strconv.ParseFloat(head[0], 64)
		l := line{}
		if err != nil || json.Unmarshal([]byte(text[begin:]), &l) != nil {
			continue
		}
		t.take(at, &l)
	}
	return t, scanner.Err()
}

func (t *trace) job(id string) *job {
	known := t.jobs[id]
	if known == nil {
		known = &job{id: id, tasks: map[string]*task{}}
		t.jobs[id] = known
	}
	return known
}

func (t *trace) take(at float64, l *line) {
	switch l.Message {
	case "submit":
		t.submit(at, l)
	case "queued", "decided":
		t.waits(at, l)
	case "run placed":
		r := t.run(l.Job+l.Task, l.Run)
		r.placed = at
	case "order":
		if r := t.run(l.Task, l.Run); l.Answer == "done" && r.started == 0 {
			r.started = at
		}
	case "end told":
		if r := t.run(l.Task, l.Run); r.endTold == 0 {
			r.endTold = at
		}
	case "run over":
		r := t.run(l.Job+l.Task, l.Run)
		r.over, r.how, r.estimate = at, l.How, l.Estimate/msPerSecond
	case "job":
		known := t.job(l.Job)
		if l.State != "running" && known.over == 0 {
			known.over, known.state = at, l.State
		}
	}
}

func (t *trace) submit(at float64, l *line) {
	known := t.job(l.Job)
	if known.handedIn == 0 || at-l.Took/msPerSecond < known.handedIn {
		known.handedIn = at - l.Took/msPerSecond
	}
	known.priority, known.work = l.Priority, l.Work/msPerSecond/msPerSecond
	known.plain = l.Times == 0 && !l.Lasting
	known.stretch, known.target = l.Stretch, l.Target/msPerSecond
	if l.Outcome != "answered" {
		known.refused++
	} else if known.accepted == 0 || at < known.accepted {
		known.accepted = at
	}
}

// waits takes in that tasks wait, or that it is decided where they go.
func (t *trace) waits(at float64, l *line) {
	known := t.job(l.Job)
	for _, index := range l.Tasks {
		waiting := t.task(known, taskName(0, l.Step, index))
		if l.Message == "queued" {
			waiting.queued = append(waiting.queued, at)
		} else {
			waiting.decided = append(waiting.decided, at)
		}
	}
}

func taskName(time, step, index int) string {
	return "." + strconv.Itoa(time) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

func (t *trace) task(owned *job, name string) *task {
	known := owned.tasks[name]
	if known == nil {
		known = &task{}
		owned.tasks[name] = known
	}
	return known
}

// run returns a run by its task's full name.
func (t *trace) run(name string, number uint64) *run {
	key := name + "#" + strconv.FormatUint(number, 10)
	known := t.runs[key]
	if known != nil {
		return known
	}
	known = &run{}
	t.runs[key] = known
	id, rest, found := strings.Cut(name, ".")
	if !found {
		return known
	}
	known.task = "." + rest
	if parts := strings.Split(rest, "."); len(parts) == 3 {
		known.step, _ = strconv.Atoi(parts[1])
	}
	owner := t.task(t.job(id), known.task)
	owner.runs = append(owner.runs, known)
	return known
}
