package ssefront

// This file writes a stream of events to one client, with a bounded queue before a client that reads slowly.

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/internal/platform/invariant"
)

// heartbeat is a comment, which clients skip; it keeps proxies from taking a quiet stream for a dead one.
const heartbeat = ": \n\n"

// eventStream is the way to one client. Progress that the client is too slow for is dropped, the oldest first; the final
// event never is. The first event starts the goroutine of writeLoop, which ends with the final event or with abandon.
type eventStream struct {
	w          http.ResponseWriter // writeLoop's alone once opened
	controller *http.ResponseController
	settings   config.SSE
	// cancelRequest ends the request, because its client no longer reads.
	cancelRequest func()

	mu          sync.Mutex
	queue       []Event
	opened      bool // the head of the response is written, or about to be
	sealed      bool // nothing more is queued: the final event is, or none will come
	finished    bool // the final event was asked for
	attempt     int  // that the latest progress came from
	lastEventID int

	wakeup     chan struct{} // of capacity 1: something is queued, or the stream is sealed
	writerDone chan struct{} // closed when writeLoop has ended
}

func newEventStream(w http.ResponseWriter, settings config.SSE, cancelRequest func()) *eventStream {
	return &eventStream{w: w, controller: http.NewResponseController(w), settings: settings, cancelRequest: cancelRequest,
		wakeup: make(chan struct{}, 1), writerDone: make(chan struct{})}
}

// started reports whether an event was queued, and with it the status 200.
func (st *eventStream) started() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.opened
}

// progress queues one event of an attempt. A worker's event may not have the type of one of this front's: whatever it
// holds, it is no result.
func (st *eventStream) progress(attempt int, e Event) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if e.Type == eventResult || e.Type == eventError || e.Type == eventRestarted {
		e.Type = eventProgress
	}
	if st.opened && attempt != st.attempt {
		st.enqueue(Event{Type: eventRestarted, Data: `{"attempt":` + strconv.Itoa(attempt+1) + `}`})
	}
	st.attempt = attempt
	st.enqueue(e)
}

// enqueue queues e under the stream's own ids. The caller holds mu.
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

// finish sends the one final event and blocks until it is written, or the client has left.
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

// abandon ends a stream whose client has left.
func (st *eventStream) abandon() {
	st.mu.Lock()
	st.sealed, st.queue = true, nil
	opened := st.opened
	st.mu.Unlock()
	if opened {
		st.signal()
		<-st.writerDone
	}
}

// writeLoop is the one goroutine that touches the response once the stream is opened.
func (st *eventStream) writeLoop() {
	defer close(st.writerDone)
	h := st.w.Header()
	h.Set("Content-Type", mediaTypeEvents)
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no") // for proxies of the nginx kind
	ticker := time.NewTicker(st.settings.Heartbeat.Duration)
	defer ticker.Stop()
	var out []byte
	for sealed := false; !sealed; {
		out = out[:0]
		select {
		case <-st.wakeup:
		case <-ticker.C:
			out = append(out, heartbeat...)
		}
		out, sealed = st.takeQueue(out)
		if len(out) > 0 && !st.write(out) {
			return
		}
	}
}

// takeQueue appends the queued events to out and reports whether no more will come.
func (st *eventStream) takeQueue(out []byte) (_ []byte, sealed bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, e := range st.queue {
		out = e.Append(out)
	}
	st.queue = st.queue[:0]
	return out, st.sealed
}

// write writes to the client within the settings' WriteTimeout. Past that the client counts as left: the stream is sealed
// and the request cancelled.
func (st *eventStream) write(out []byte) bool {
	_ = st.controller.SetWriteDeadline(time.Now().Add(st.settings.WriteTimeout.Duration))
	if _, err := st.w.Write(out); err != nil || st.controller.Flush() != nil {
		st.mu.Lock()
		st.sealed = true
		st.mu.Unlock()
		st.cancelRequest()
		return false
	}
	_ = st.controller.SetWriteDeadline(time.Time{})
	return true
}
