// Package ssefront is the second front: a client posts a job, sees its progress as
// server-sent events, and gets one final event. It stands on the same broker,
// decisions, server table and connections as the platform's front.
//
// This file owns the way from a team's request to its final event, and the
// bounded queue before a slow reader. It must never take progress for a result,
// never send a second final event, and never send a worker anything itself: it
// hands the broker an attempt function and does what comes back.
package ssefront

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/config"
	"yardflow/internal/platform/invariant"
)

// Names of the events sent to clients; what a worker names otherwise goes on
// under its own name.
const (
	eventResult    = "result"    // final: the worker's answer
	eventError     = "error"     // final: refused or failed
	eventRestarted = "restarted" // progress begins anew at another try
)

// Front answers clients with event streams.
type Front struct {
	live    *config.InForce
	broker  *broker.Broker
	workers *httpfront.WorkerConns
	reader  *httpfront.RequestReader
}

// New makes the front.
func New(live *config.InForce, b *broker.Broker, l *httpfront.WorkerConns, rd *httpfront.RequestReader) *Front {
	return &Front{live, b, l, rd}
}

// authorize finds the team's contract and what it says of this request.
func (f *Front) authorize(r *http.Request) (*config.Contract, *httpfront.Rejection) {
	team := r.Header.Get("X-Team")
	i := slices.IndexFunc(f.live.Get().SSE.Contracts, func(k config.Contract) bool { return k.Team == team })
	if i < 0 {
		return nil, &httpfront.Rejection{Status: http.StatusForbidden, Message: "X-Team: no contract"}
	}
	k := &f.live.Get().SSE.Contracts[i]
	if class := r.Header.Get("X-Priority-Class"); slices.Contains(f.live.Get().Classes, class) && !slices.Contains(k.Classes, class) {
		return nil, &httpfront.Rejection{Status: http.StatusForbidden, Message: "X-Priority-Class: not in the contract"}
	}
	switch r.Header.Get("X-Tenant-Id") {
	case "":
		r.Header.Set("X-Tenant-Id", k.Tenant)
	case k.Tenant:
	default:
		return nil, &httpfront.Rejection{Status: http.StatusForbidden, Message: "X-Tenant-Id: not in the contract"}
	}
	return k, nil
}

// ServeHTTP answers one request; it is the front's handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k, rejection := f.authorize(r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	s, rejection := f.reader.Read(w, r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	defer f.reader.Release(s)
	s.Request.Team = k.Team
	// A reader too slow for its stream is one that has gone: that ends ctx too,
	// and with it the dispatch.
	ctx, gone := httpfront.ClientContext(r)
	defer gone()
	st := newEventStream(w, f.live.Get().SSE, gone)
	answer := f.broker.Serve(ctx, s.Request, f.attemptFunc(s, st))
	if answer.Kind == broker.AnswerClientGone {
		st.abandon()
		return
	}
	rejection = httpfront.RejectionOf(answer)
	if rejection == nil {
		st.finish(Event{Type: eventResult, Data: string(answer.Result)})
		return
	}
	if !st.started() {
		rejection.Write(w) // nothing is out yet: the plain status says it best
		return
	}
	text, _ := json.Marshal(struct {
		Status     int     `json:"status"`
		Error      string  `json:"error"`
		RetryAfter float64 `json:"retry_after,omitempty"`
		Harmless   bool    `json:"retry_harmless"`
	}{rejection.Status, rejection.Message, rejection.RetryAfterSeconds(), answer.Kind == broker.AnswerRejected})
	st.finish(Event{Type: eventError, Data: string(text)})
}

// attemptFunc is the attempt function: one dispatch, its events carried on as progress.
func (f *Front) attemptFunc(s *httpfront.JobRequest, st *eventStream) broker.AttemptFunc {
	return func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		x, o := f.workers.StartAttempt(ctx, a, s, "text/event-stream, application/json;q=0.5")
		if x == nil {
			return o
		}
		load := x.ParseLoad([]byte(x.Header.Get("X-Server-Load")))
		if kind, _, _ := mime.ParseMediaType(x.Header.Get("Content-Type")); kind != "text/event-stream" {
			// A loan worker that knows no events: its lines tell as much.
			return x.ReadLines(a, s, load, func(state string, line []byte) {
				st.progress(a.Number, Event{Type: state, Data: string(line)})
			})
		}
		events := NewScanner(x.Body, f.live.Get().SSE.MaxEventBytes)
		for {
			e, err := events.Next()
			if err != nil {
				return x.Abort() // cut before its final event: a reset, or our own time's up
			}
			switch e.Type {
			case "load":
				if report := x.ParseLoad([]byte(e.Data)); report != nil {
					load = report
				}
				continue
			case "done":
				x.DrainAndReuse()
				return broker.Outcome{Code: broker.OK, Result: []byte(e.Data), Load: load}
			case "failed":
				o = broker.Outcome{Code: broker.Failed, Load: load}
			case "returned":
				o = broker.Outcome{Code: broker.Rejected, Load: load}
			case "lost":
				o = broker.Outcome{Code: broker.ConnectionLost, Load: load}
			default:
				f.reportProgress(a, e)
				st.progress(a.Number, e)
				continue
			}
			x.DrainAndReuse()
			return o
		}
	}
}

// reportProgress tells the broker what an event says of the job.
func (f *Front) reportProgress(a *broker.Attempt, e Event) {
	switch e.Type {
	case "started":
		a.ReportStarted()
	case "progress", "running":
		var in struct{ Share float64 }
		if json.Unmarshal([]byte(e.Data), &in) == nil {
			a.ReportProgress(in.Share)
		}
	}
}

// eventStream is the way to one client. Progress that it is too slow for is dropped,
// oldest first; its final event never is.
type eventStream struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	settings      config.SSE
	cancelRequest func()

	mu          sync.Mutex
	queue       []Event
	opened      bool // the head is out, or about to be
	sealed      bool // nothing more is queued: the final event is, or none will come
	finished    bool // the final event was asked for
	attempt     int
	lastEventID int
	wakeup      chan struct{}
	writerDone  chan struct{}
}

func newEventStream(w http.ResponseWriter, cfg config.SSE, gone func()) *eventStream {
	return &eventStream{w: w, controller: http.NewResponseController(w), settings: cfg, cancelRequest: gone,
		wakeup: make(chan struct{}, 1), writerDone: make(chan struct{})}
}

func (st *eventStream) started() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.opened
}

// progress queues one event of an attempt. A worker's event may not bear the
// name of a final one: whatever it holds, it is no result.
func (st *eventStream) progress(attempt int, e Event) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if e.Type == eventResult || e.Type == eventError || e.Type == eventRestarted {
		e.Type = "progress"
	}
	if st.opened && attempt != st.attempt {
		st.enqueue(Event{Type: eventRestarted, Data: `{"attempt":` + strconv.Itoa(attempt+1) + `}`})
	}
	st.attempt = attempt
	st.enqueue(e)
}

// enqueue queues e under the stream's own ids; mu is held.
func (st *eventStream) enqueue(e Event) {
	if st.sealed {
		return
	}
	st.lastEventID++
	e.ID = strconv.Itoa(st.lastEventID)
	if len(st.queue) >= st.settings.BufferEvents {
		st.queue = slices.Delete(st.queue, 0, 1)
	}
	st.queue = append(st.queue, e)
	if !st.opened {
		st.opened = true
		go st.writeLoop()
	}
	st.signal()
}

func (st *eventStream) signal() {
	select {
	case st.wakeup <- struct{}{}:
	default:
	}
}

// finish sends the one final event and waits until it is out.
func (st *eventStream) finish(e Event) {
	st.mu.Lock()
	if !invariant.Check(!st.finished, "a second final event") {
		st.mu.Unlock()
		return
	}
	st.finished = true
	st.enqueue(e)
	st.sealed = true
	st.mu.Unlock()
	st.signal()
	<-st.writerDone
}

// abandon ends a stream whose client has gone.
func (st *eventStream) abandon() {
	st.mu.Lock()
	st.sealed, st.queue = true, nil
	on := st.opened
	st.mu.Unlock()
	if on {
		st.signal()
		<-st.writerDone
	}
}

// writeLoop is the one goroutine that touches the response once a stream is on.
func (st *eventStream) writeLoop() {
	defer close(st.writerDone)
	h := st.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	beat := time.NewTicker(st.settings.Heartbeat.Duration)
	defer beat.Stop()
	var out []byte
	for {
		out = out[:0]
		select {
		case <-st.wakeup:
		case <-beat.C:
			out = append(out, ": \n\n"...)
		}
		st.mu.Lock()
		for _, e := range st.queue {
			out = e.Append(out)
		}
		st.queue = st.queue[:0]
		over := st.sealed
		st.mu.Unlock()
		if len(out) > 0 {
			st.controller.SetWriteDeadline(time.Now().Add(st.settings.WriteTimeout.Duration))
			if _, err := st.w.Write(out); err != nil || st.controller.Flush() != nil {
				st.mu.Lock()
				st.sealed = true
				st.mu.Unlock()
				st.cancelRequest()
				return
			}
			st.controller.SetWriteDeadline(time.Time{})
		}
		if over {
			return
		}
	}
}
