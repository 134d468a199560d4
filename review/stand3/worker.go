//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// resources is an amount of resources in the form of the pages.
type resources struct {
	Cpu   int64
	MemMb int64
	Gpu   int64
}

func (r resources) plus(o resources) resources {
	return resources{r.Cpu + o.Cpu, r.MemMb + o.MemMb, r.Gpu + o.Gpu}
}

func (r resources) covers(o resources) bool {
	return o.Cpu <= r.Cpu && o.MemMb <= r.MemMb && o.Gpu <= r.Gpu
}

// holdMaxMs is the longest time for which a worker holds what runs without a renewal.
const holdMaxMs = 6000

// worker is a stand-in of a worker that guards its capacity. A task takes the time that its Spec names: "ms=300 cpu=1000".
type worker struct {
	record   *record
	id       string
	service  string
	zone     string
	labels   []string
	capacity resources
	address  string
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	began    time.Time
	dead     bool
	fence    uint64
	untilMs  int64
	running  map[string]*run
	ended    []ended
	lastEnd  uint64
	outdated map[string]uint64 // the highest run of a task that was stopped or has ended here
	changed  chan struct{}
	onStart  func(w *worker, task string)
}

type run struct {
	command uint64
	demand  resources
	began   time.Time
	takes   time.Duration
	timer   *time.Timer
}

type ended struct {
	number  uint64
	task    string
	command uint64
	how     string
}

func startWorker(record *record, id, service, zone string, labels []string, capacity resources,
	onStart func(w *worker, task string)) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{record: record, id: id, service: service, zone: zone, labels: labels, capacity: capacity,
		address: listener.Addr().String(), listener: listener, began: time.Now(), running: map[string]*run{},
		outdated: map[string]uint64{}, changed: make(chan struct{}), onStart: onStart}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// crash ends the worker with all that runs: nothing listens at its address any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.dead = true
	for _, r := range w.running {
		r.timer.Stop()
	}
	w.running = map[string]*run{}
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) clockMs() int64 { return 1000 + time.Since(w.began).Milliseconds() }

func (w *worker) used() resources {
	sum := resources{}
	for _, r := range w.running {
		sum = sum.plus(r.demand)
	}
	return sum
}

// load returns what is in use, and how many tasks of a job run here.
func (w *worker) load(job string) (used resources, ofJob int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task := range w.running {
		if strings.HasPrefix(task, job+".") {
			ofJob++
		}
	}
	return w.used(), ofJob
}

type order struct {
	Task         string
	Command      uint64
	Spec         string
	UntilMs      int64
	FenceToken   uint64
	LastSeen     uint64
	WaitMs       int64
	Checkpointed string
}

// ServeHTTP serves the calls of PROTOCOL.md, "Running tasks".
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		out.WriteHeader(http.StatusOK) // HealthPath
		return
	}
	o := order{}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Yardflow-Expect-Instance") != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, reason := w.carryOut(r.URL.Path, &o)
	if r.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMs > 0 {
		w.awaitEnd(r, time.Duration(o.WaitMs)*time.Millisecond)
	}
	answer := w.lists()
	if r.URL.Path != "/-/hold" || status != http.StatusOK {
		delete(answer, "Running")
		delete(answer, "Ended")
	}
	if reason != "" {
		answer["Reason"] = reason
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(answer)
}

func (w *worker) carryOut(path string, o *order) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return http.StatusServiceUnavailable, ""
	}
	if o.FenceToken < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.FenceToken
	w.prolong(o.UntilMs)
	switch path {
	case "/-/run-start":
		return w.start(o)
	case "/-/run-stop":
		w.stop(o)
	case "/-/hold":
		for len(w.ended) > 0 && w.ended[0].number <= o.LastSeen {
			w.ended = w.ended[1:]
		}
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// prolong lengthens the hold. When it is over, all that runs lapses.
func (w *worker) prolong(untilMs int64) {
	untilMs = min(untilMs, w.clockMs()+holdMaxMs)
	if untilMs <= w.untilMs {
		return
	}
	w.untilMs = untilMs
	time.AfterFunc(time.Duration(untilMs-w.clockMs())*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.clockMs() < w.untilMs {
			return
		}
		for task, r := range w.running {
			w.end(task, r, "lapsed")
		}
	})
}

func (w *worker) start(o *order) (status int, reason string) {
	if present := w.running[o.Task]; present != nil {
		if present.command == o.Command {
			return http.StatusOK, ""
		}
		return http.StatusConflict, "old"
	}
	if o.Command <= w.outdated[o.Task] {
		return http.StatusConflict, "old"
	}
	if w.untilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	takes, demand := parseSpec(o.Spec)
	if !w.capacity.covers(w.used().plus(demand)) {
		return http.StatusConflict, "room"
	}
	started := &run{command: o.Command, demand: demand, began: time.Now(), takes: takes}
	started.timer = time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == started {
			w.end(o.Task, started, "done")
		}
	})
	w.running[o.Task] = started
	w.record.printf("worker %s starts %s run %d (fence %d)", w.id, o.Task, o.Command, o.FenceToken)
	if w.onStart != nil {
		w.onStart(w, o.Task)
	}
	return http.StatusOK, ""
}

func (w *worker) stop(o *order) {
	w.outdated[o.Task] = max(w.outdated[o.Task], o.Command)
	present := w.running[o.Task]
	if present == nil || present.command > o.Command {
		return
	}
	present.timer.Stop()
	present.timer = time.AfterFunc(100*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Task] == present {
			w.end(o.Task, present, "stopped")
		}
	})
}

// end ends a run. The caller holds mu.
func (w *worker) end(task string, r *run, how string) {
	if w.dead {
		return
	}
	r.timer.Stop()
	delete(w.running, task)
	w.outdated[task] = max(w.outdated[task], r.command)
	w.lastEnd++
	w.ended = append(w.ended, ended{w.lastEnd, task, r.command, how})
	w.record.printf("worker %s: %s run %d ends %s", w.id, task, r.command, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) awaitEnd(r *http.Request, wait time.Duration) {
	w.mu.Lock()
	isListed, changed := len(w.ended) > 0, w.changed
	w.mu.Unlock()
	if isListed {
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

func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, listed := [][]any{}, [][]any{}
	for task, r := range w.running {
		percent := min(99, int(100*time.Since(r.began)/max(r.takes, 1)))
		running = append(running, []any{task, r.command, "", percent})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		listed = append(listed, []any{e.number, e.task, e.command, e.how, ""})
	}
	return map[string]any{"ClockMs": w.clockMs(), "Running": running, "Ended": listed}
}

// parseSpec reads how long a task takes and what it asks for.
func parseSpec(spec string) (takes time.Duration, demand resources) {
	takes = 300 * time.Millisecond
	for _, field := range strings.Fields(spec) {
		key, value, _ := strings.Cut(field, "=")
		number, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			continue
		}
		switch key {
		case "ms":
			takes = time.Duration(number) * time.Millisecond
		case "cpu":
			demand.Cpu = number
		}
	}
	return takes, demand
}
