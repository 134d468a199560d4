package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"yardflow/scheduling/job"
)

// Worker is an emulated worker. It reports starts and ends to the judge.
type Worker struct {
	mu       sync.Mutex
	judge    *Checker
	ID       string
	Service  string
	Address  string
	machine  string
	Zone     string
	Labels   []string
	Capacity job.Resources
	leavesAt time.Time // it drains until then, by the list's lock; zero: it does not drain
	began    time.Time
	fence    uint64
	untilMs  int64
	running  map[string]*workerRun
	ended    []workerEnd
	nextEnd  uint64
	outdated map[string]uint64 // highest run of a task that ended or was stopped here
	changed  chan struct{}
	dead     bool
	lapses   int
	planted  Fault
	late     func() time.Duration // how much later an order is carried out, without an answer; 0: at once
}

type workerRun struct {
	command uint64
	timer   *time.Timer
	began   time.Time
	takes   time.Duration
}

type workerEnd struct {
	number  uint64
	lapses  int // how often the hold had lapsed by then
	task    string
	command uint64
	how     string
}

const holdMaxMs = 6000

func newWorker(judge *Checker, id, service, address, zone string, labels []string, capacity job.Resources) *Worker {
	return &Worker{judge: judge, ID: id, Service: service, Address: address, Zone: zone, Labels: labels, Capacity: capacity,
		began: time.Now(), running: map[string]*workerRun{}, outdated: map[string]uint64{}, changed: make(chan struct{})}
}

// hasLabel reports whether the worker has the label; every worker has the label "".
func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

func (w *Worker) clockMs() int64 { return 5000 + time.Since(w.began).Milliseconds() }

// workerCommand is the body of any order to a worker.
type workerCommand struct {
	Task       string
	Command    uint64
	Spec       string
	UntilMs    int64
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64

	sender  string // the machine that has sent it
	delayed bool   // it is carried out late
}

// ServeHTTP carries out orders.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	o := workerCommand{}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	other := r.Header.Get("Yardflow-Expect-Instance") != w.ID || w.dead
	w.mu.Unlock()
	if other {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.sender = machineOf(r.RemoteAddr)
	if delay := w.late(); delay > 0 {
		o.delayed = true
		time.AfterFunc(delay, func() { w.handleCommand(r.URL.Path, &o) })
		<-r.Context().Done() // no answer
		return
	}
	status, body := w.handleCommand(r.URL.Path, &o)
	if r.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMs > 0 {
		w.waitForEnd(r, time.Duration(o.WaitMs)*time.Millisecond)
		body = w.status()
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *Worker) waitForEnd(r *http.Request, wait time.Duration) {
	w.mu.Lock()
	waits, changed := len(w.ended) == 0, w.changed
	w.mu.Unlock()
	if !waits {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (w *Worker) handleCommand(path string, o *workerCommand) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := map[string]any{"ClockMs": w.clockMs()}
	if w.dead {
		return http.StatusMisdirectedRequest, answer
	}
	if o.FenceToken < w.fence {
		answer["Reason"] = "fence"
		return http.StatusConflict, answer
	}
	w.fence = o.FenceToken
	w.renewLease(o.UntilMs)
	switch path {
	case "/-/run-start":
		if reason := w.start(o); reason != "" {
			answer["Reason"] = reason
			return http.StatusConflict, answer
		}
		return http.StatusOK, answer
	case "/-/run-stop":
		w.outdated[o.Task] = max(w.outdated[o.Task], o.Command)
		if run := w.running[o.Task]; run != nil && run.command <= o.Command {
			run.timer.Stop()
			run.timer = time.AfterFunc(200*time.Millisecond, func() { w.end(o.Task, run, "stopped") })
		}
		return http.StatusOK, answer
	}
	for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
		w.judge.endAcknowledged(w, w.ended[0])
		w.ended = w.ended[1:]
	}
	return http.StatusOK, w.statusLocked()
}

// renewLease lengthens the hold, and lets all that runs lapse when it is over.
func (w *Worker) renewLease(untilMs int64) {
	untilMs = min(untilMs, w.clockMs()+holdMaxMs)
	if untilMs <= w.untilMs {
		return
	}
	w.untilMs = untilMs
	if w.planted == HoldsOutlast {
		return
	}
	time.AfterFunc(time.Duration(untilMs-w.clockMs())*time.Millisecond, w.expireLease)
}

func (w *Worker) expireLease() {
	w.mu.Lock()
	over := w.clockMs() >= w.untilMs
	var lapsed []string
	if over {
		w.lapses++
	}
	if over && !w.dead {
		for task := range w.running {
			lapsed = append(lapsed, task)
		}
	}
	runs := map[string]*workerRun{}
	for _, task := range lapsed {
		runs[task] = w.running[task]
	}
	w.mu.Unlock()
	for task, run := range runs {
		w.end(task, run, "lapsed")
	}
}

func (w *Worker) start(o *workerCommand) string {
	if run := w.running[o.Task]; run != nil {
		if run.command == o.Command {
			return ""
		}
		return "old"
	}
	if o.Command <= w.outdated[o.Task] {
		return "old"
	}
	if o.UntilMs <= w.clockMs() && w.untilMs <= w.clockMs() {
		return "late"
	}
	takes, failing := w.judge.started(w, o)
	run := &workerRun{command: o.Command, began: time.Now(), takes: takes}
	how := "done"
	if failing {
		how = "failed"
	}
	run.timer = time.AfterFunc(takes, func() { w.end(o.Task, run, how) })
	w.running[o.Task] = run
	return ""
}

func (w *Worker) end(task string, run *workerRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.running[task] != run {
		return
	}
	run.timer.Stop()
	delete(w.running, task)
	w.outdated[task] = max(w.outdated[task], run.command)
	w.nextEnd++
	w.ended = append(w.ended, workerEnd{w.nextEnd, w.lapses, task, run.command, how})
	w.judge.ended(w, task, how, w.nextEnd)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Crash ends everything here; the next incarnation is another Worker.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for task, run := range w.running {
		run.timer.Stop()
		w.judge.ended(w, task, "crashed", 0)
	}
	w.running = map[string]*workerRun{}
}

func (w *Worker) status() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.statusLocked()
}

func (w *Worker) statusLocked() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.running {
		percent := int(100 * time.Since(run.began) / max(run.takes, 1))
		running = append(running, []any{task, run.command, "", percent})
	}
	for _, end := range w.ended {
		ended = append(ended, []any{end.number, end.task, end.command, end.how, ""})
	}
	return map[string]any{"ClockMs": w.clockMs(), "Running": running, "Ended": ended}
}

func (w *Worker) String() string { return fmt.Sprintf("%s at %s", w.ID, w.Address) }
