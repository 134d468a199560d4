//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMs = 6000
	stopTime  = 100 * time.Millisecond
	mostEnds  = 500
)

// worker is a sound worker by the pages: it keeps the highest fence token, holds what runs for a time, lists what runs and
// what has ended, and rejects what does not fit.
type worker struct {
	id, addr, kind, rack string
	rec                  *record
	capCPU, capMem       int64
	began                time.Time
	server               *http.Server

	mu      sync.Mutex
	fence   uint64
	holdEnd int64
	runs    map[string]*activeRun
	highest map[string]uint64
	ends    []endRow
	lastEnd uint64
	changed chan struct{}
	gone    bool
	// lateOrders: orders get no answer and are carried out late.
	lateFor time.Duration
}

type activeRun struct {
	number   uint64
	cpu, mem int64
	began    time.Time
	takes    time.Duration
	fails    bool
	stopping bool
	dead     bool
}

type endRow struct {
	n     uint64
	task  string
	run   uint64
	how   string
	saved string
}

func startWorker(id, addr, kind, rack string, cpu, mem int64, rec *record) (*worker, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, addr: addr, kind: kind, rack: rack, rec: rec, capCPU: cpu, capMem: mem, began: time.Now(),
		runs: map[string]*activeRun{}, highest: map[string]uint64{}, changed: make(chan struct{})}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.watchHold()
	return w, nil
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

func (w *worker) wakeLocked() { close(w.changed); w.changed = make(chan struct{}) }

// watchHold kills all that runs once the hold is over.
func (w *worker) watchHold() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.gone {
			w.mu.Unlock()
			return
		}
		if len(w.runs) > 0 && w.clock() > w.holdEnd {
			for task, r := range w.runs {
				w.endLocked(task, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) endLocked(task string, r *activeRun, how string) {
	if r.dead {
		return
	}
	r.dead = true
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, endRow{w.lastEnd, task, r.number, how, ""})
	w.rec.runEnded(w.id, task, r.number, how)
	w.wakeLocked()
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

func (w *worker) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	text, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.Method == http.MethodGet {
		out.WriteHeader(http.StatusOK)
		return
	}
	if expected := q.Header.Get("Yardflow-Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o := order{}
	if json.Unmarshal(text, &o) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := http.StatusNotFound, map[string]any{}
	switch q.URL.Path {
	case "/-/run-start":
		status, body = w.startRun(&o)
	case "/-/run-stop":
		status, body = w.stopRun(&o)
	case "/-/hold":
		status, body = w.hold(q, &o)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *worker) answerLocked(reason string) (int, map[string]any) {
	body := map[string]any{"ClockMs": w.clock()}
	if reason != "" {
		body["Reason"] = reason
		return http.StatusConflict, body
	}
	return http.StatusOK, body
}

func (w *worker) extendLocked(until int64) {
	if until > 0 {
		w.holdEnd = max(w.holdEnd, min(until, w.clock()+holdMaxMs))
	}
}

// specOf reads what a task does from the job's text: cpu/mem;milliseconds of each task;index that fails in its first run, * for all that always fail, or -.
func specOf(spec, task string) (cpu, mem int64, takes time.Duration, failsFirst bool) {
	parts := strings.Split(spec, ";")
	if len(parts) < 3 {
		return 1000, 1000, 100 * time.Millisecond, false
	}
	sizes := strings.Split(parts[0], "/")
	cpu, _ = strconv.ParseInt(sizes[0], 10, 64)
	mem, _ = strconv.ParseInt(sizes[1], 10, 64)
	index, _ := strconv.Atoi(task[strings.LastIndex(task, ".")+1:])
	times := strings.Split(parts[1], ",")
	ms, _ := strconv.Atoi(times[index%len(times)])
	fails, err := strconv.Atoi(parts[2])
	return cpu, mem, time.Duration(ms) * time.Millisecond, parts[2] == "*" || err == nil && fails == index
}

func (w *worker) startRun(o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FenceToken < w.fence {
		return w.answerLocked("fence")
	}
	w.fence = o.FenceToken
	if o.UntilMs <= w.clock() {
		return w.answerLocked("late")
	}
	w.extendLocked(o.UntilMs)
	if r := w.runs[o.Task]; r != nil && r.number == o.Command {
		return w.answerLocked("")
	}
	if o.Command <= w.highest[o.Task] {
		return w.answerLocked("old")
	}
	cpu, mem, takes, failsFirst := specOf(o.Spec, o.Task)
	usedCPU, usedMem := cpu, mem
	for _, r := range w.runs {
		usedCPU, usedMem = usedCPU+r.cpu, usedMem+r.mem
	}
	if usedCPU > w.capCPU || usedMem > w.capMem {
		return w.answerLocked("room")
	}
	r := &activeRun{number: o.Command, cpu: cpu, mem: mem, began: time.Now(), takes: takes, fails: failsFirst && (o.Command == 1 || strings.HasSuffix(o.Spec, "*"))}
	w.runs[o.Task] = r
	w.rec.runStarted(w.id, o.Task, o.Command, o.FenceToken)
	time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		how := "done"
		if r.fails {
			how = "failed"
		}
		if !r.stopping {
			w.endLocked(o.Task, r, how)
		}
	})
	return w.answerLocked("")
}

func (w *worker) stopRun(o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.FenceToken < w.fence {
		return w.answerLocked("fence")
	}
	w.fence = o.FenceToken
	w.highest[o.Task] = max(w.highest[o.Task], o.Command)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Command && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endLocked(o.Task, r, "stopped")
		})
	}
	return w.answerLocked("")
}

func (w *worker) hold(q *http.Request, o *order) (int, map[string]any) {
	limit := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	first := true
	for {
		w.mu.Lock()
		if o.FenceToken < w.fence {
			status, body := w.answerLocked("fence")
			w.mu.Unlock()
			return status, body
		}
		w.fence = o.FenceToken
		if first {
			w.extendLocked(o.UntilMs)
			for len(w.ends) > 0 && w.ends[0].n <= o.LastSeen {
				w.ends = w.ends[1:]
			}
			first = false
		}
		changed := w.changed
		expired := false
		if len(w.ends) == 0 && o.WaitMs > 0 {
			w.mu.Unlock()
			select {
			case <-changed:
				continue
			case <-limit:
				expired = true
			case <-q.Context().Done():
				expired = true
			}
			w.mu.Lock()
		}
		_ = expired
		running, ended := [][]any{}, [][]any{}
		for task, r := range w.runs {
			percent := int(100 * float64(time.Since(r.began)) / float64(max(r.takes, 1)))
			running = append(running, []any{task, r.number, "", min(percent, 99)})
		}
		for _, e := range w.ends[:min(len(w.ends), mostEnds)] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
		}
		status, body := w.answerLocked("")
		w.mu.Unlock()
		body["Running"], body["Ended"] = running, ended
		return status, body
	}
}

// entry is the worker's line of the platform's list.
func (w *worker) entry(service, zone string) map[string]any {
	return map[string]any{"Id": w.id, "Service": service, "Address": w.addr, "Zone": zone, "Version": "v1", "Slots": 8,
		"State": "ready", "ColdLeftMs": 0, "Labels": []string{w.kind, w.rack},
		"Capacity": map[string]any{"Cpu": w.capCPU, "MemMb": w.capMem, "Gpu": 0}}
}

func (w *worker) String() string { return fmt.Sprintf("%s at %s", w.id, w.addr) }
