//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a worker with Guards. A task's Spec tells it what the task asks for and how long it runs.
type worker struct {
	id, address string
	labels      []string
	cpu, memory int64
	record      *record
	server      *http.Server
	began       time.Time

	mu       sync.Mutex
	dead     bool
	fence    uint64
	untilMs  int64
	running  map[string]*taskRun
	outdated map[string]uint64 // highest run of each task that was stopped or ended here
	ended    []taskEnd
	ends     uint64
	changed  chan struct{} // closed at the next end
	starts   []taskStart
}

// taskStart is a run that began here.
type taskStart struct {
	task string
	at   time.Time
}

type taskRun struct {
	number      uint64
	cpu, memory int64
	began       time.Time
	takes       time.Duration
	timer       *time.Timer
}

type taskEnd struct {
	number uint64
	task   string
	run    uint64
	how    string
}

// spec returns the Spec of a task that asks for so much and runs for so long.
func spec(cpu, memory int64, runMs int) string {
	return fmt.Sprintf("cpu %d mem %d run %d", cpu, memory, runMs)
}

func newWorker(record *record, id string, labels ...string) (*worker, error) {
	w := &worker{id: id, labels: labels, cpu: 16000, memory: 65536, record: record, began: time.Now(),
		running: map[string]*taskRun{}, outdated: map[string]uint64{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// startsOf returns when runs of a job's tasks began here.
func (w *worker) startsOf(job string) (at []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, start := range w.starts {
		if strings.HasPrefix(start.task, job+".") {
			at = append(at, start.at)
		}
	}
	return at
}

// crash ends the worker for good: its connections break, and its address refuses connections.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for task, r := range w.running {
		r.timer.Stop()
		w.record.note(w.id, "%s run %d ends with the worker", task, r.number)
	}
	w.running = map[string]*taskRun{}
	w.mu.Unlock()
	w.record.note(w.id, "is lost for good")
	_ = w.server.Close()
}

// usage returns the CPU and the memory that tasks take here.
func (w *worker) usage() (cpu, memory int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.usageLocked()
}

func (w *worker) usageLocked() (cpu, memory int64) {
	for _, r := range w.running {
		cpu, memory = cpu+r.cpu, memory+r.memory
	}
	return cpu, memory
}

func (w *worker) clockMs() int64 { return 1000 + time.Since(w.began).Milliseconds() }

// order is the body of a call.
type order struct {
	Task       string
	Command    uint64
	Spec       string
	UntilMs    int64
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		out.Header().Set("Yardflow-Instance-Id", w.id)
		return
	}
	if expected := r.Header.Get("Yardflow-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o := order{}
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status, answer := w.carryOut(r.URL.Path, &o)
	if r.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMs > 0 {
		w.await(r, time.Duration(min(o.WaitMs, 2000))*time.Millisecond)
		answer = w.lists()
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer)
}

// await waits for the next end if none is listed.
func (w *worker) await(r *http.Request, wait time.Duration) {
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

func (w *worker) carryOut(path string, o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := map[string]any{"ClockMs": w.clockMs()}
	if w.dead {
		return http.StatusServiceUnavailable, answer
	}
	if o.FenceToken < w.fence {
		answer["Reason"] = "fence"
		return http.StatusConflict, answer
	}
	w.fence = o.FenceToken
	w.hold(o.UntilMs)
	switch path {
	case "/-/run-start":
		if reason := w.begin(o); reason != "" {
			w.record.note(w.id, "start of %s run %d refused: %s", o.Task, o.Command, reason)
			answer["Reason"] = reason
			return http.StatusConflict, answer
		}
	case "/-/run-stop":
		w.outdated[o.Task] = max(w.outdated[o.Task], o.Command)
		if r := w.running[o.Task]; r != nil && r.number <= o.Command {
			r.timer.Stop()
			r.timer = time.AfterFunc(200*time.Millisecond, func() { w.end(o.Task, r, "stopped") })
		}
	case "/-/hold":
		for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
			w.ended = w.ended[1:]
		}
		return http.StatusOK, w.listsLocked()
	default:
		return http.StatusNotFound, answer
	}
	return http.StatusOK, answer
}

// hold lengthens the time for which the worker holds what runs.
func (w *worker) hold(untilMs int64) {
	now := w.clockMs()
	untilMs = min(untilMs, now+holdMaxMs)
	if untilMs <= w.untilMs {
		return
	}
	w.untilMs = untilMs
	time.AfterFunc(time.Duration(untilMs-now)*time.Millisecond, func() {
		w.mu.Lock()
		lapsed := map[string]*taskRun{}
		if !w.dead && w.clockMs() >= w.untilMs {
			for task, r := range w.running {
				lapsed[task] = r
			}
		}
		w.mu.Unlock()
		for task, r := range lapsed {
			w.end(task, r, "lapsed")
		}
	})
}

// begin starts a run, or returns why not.
func (w *worker) begin(o *order) string {
	if r := w.running[o.Task]; r != nil {
		if r.number == o.Command {
			return ""
		}
		return "old"
	}
	if o.Command <= w.outdated[o.Task] {
		return "old"
	}
	if w.untilMs <= w.clockMs() {
		return "late"
	}
	r, runMs := &taskRun{number: o.Command, began: time.Now()}, 0
	if n, err := fmt.Sscanf(o.Spec, "cpu %d mem %d run %d", &r.cpu, &r.memory, &runMs); n != 3 || err != nil {
		return "room" // no client has sent such a Spec
	}
	if cpu, memory := w.usageLocked(); cpu+r.cpu > w.cpu || memory+r.memory > w.memory {
		return "room"
	}
	r.takes = time.Duration(runMs) * time.Millisecond
	r.timer = time.AfterFunc(r.takes, func() { w.end(o.Task, r, "done") })
	w.running[o.Task] = r
	w.starts = append(w.starts, taskStart{o.Task, r.began})
	w.record.note(w.id, "%s run %d begins", o.Task, o.Command)
	return ""
}

func (w *worker) end(task string, r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead || w.running[task] != r {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.outdated[task] = max(w.outdated[task], r.number)
	w.ends++
	w.ended = append(w.ended, taskEnd{w.ends, task, r.number, how})
	w.record.note(w.id, "%s run %d ends %s", task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listsLocked()
}

func (w *worker) listsLocked() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for task, r := range w.running {
		percent := int(min(100*time.Since(r.began)/max(r.takes, 1), 100))
		running = append(running, []any{task, r.number, "", percent})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clockMs(), "Running": running, "Ended": ended}
}
