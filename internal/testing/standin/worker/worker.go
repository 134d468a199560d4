// Package worker is a stand-in loan worker on loopback: it takes a job, says that
// it has started, and some time later that it is done, as the platform's protocol
// has it.
//
// It serves tests, proofs and the demonstration. It must never listen anywhere but
// on loopback. It keeps when the first byte of each request came, since that is
// what drains are counted by.
package worker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/testing/standin/machine"
)

// Arrival is one request that came.
type Arrival struct {
	ID, Class string
	First     time.Time // its first byte
	Done      bool      // it ran to its end
}

// Worker is one stand-in.
type Worker struct {
	ID, Addr string
	Work     func(class string) time.Duration // how long a job runs; before Start

	Spoil func(id, class string) Spoilt // what becomes of a job; nil: nothing

	Engine *Engine // its inside

	slots  int
	server *http.Server

	fails atomic.Bool
	crash atomic.Pointer[context.CancelFunc] // ends all that is open
	alive atomic.Pointer[context.Context]

	mu         sync.Mutex
	arrivals   []Arrival
	open, peak int
}

// Spoilt is what becomes of a job that does not go as it should.
type Spoilt uint8

// The kinds.
const (
	Sound Spoilt = iota
	Kills        // it takes the worker with it, and all that is open there
	Alien        // it is answered under another's id
)

func (w *Worker) renew() {
	ctx, stop := context.WithCancel(context.Background())
	w.alive.Store(&ctx)
	w.crash.Store(&stop)
}

// Fail has it answer every job with an error, or serve again.
func (w *Worker) Fail(fails bool) { w.fails.Store(fails) }

// Peak is the most jobs that were open here at one moment since it was last asked.
func (w *Worker) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	peak := w.peak
	w.peak = w.open
	return peak
}

// Start listens on a loopback port and runs so many jobs at once; others wait, in
// order.
func Start(id string, slots int, work func(class string) time.Duration) (*Worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Addr: l.Addr().String(), Work: work, slots: slots, Engine: NewEngine(machine.New(slots, 64*slots, 1))}
	w.renew()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go func() { _ = w.server.Serve(listener{l}) }()
	return w, nil
}

// Close ends it at once, with whatever it runs.
func (w *Worker) Close() { _ = w.server.Close() }

// Arrivals is what has come so far, in order.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// Clear forgets what has come.
func (w *Worker) Clear() {
	w.mu.Lock()
	w.arrivals = nil
	w.mu.Unlock()
}

type connKey struct{}

// listener gives connections that keep when a request's first byte came.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type conn struct {
	net.Conn
	first atomic.Int64 // Unix nanoseconds of the first byte since the last answer; 0: none yet
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.first.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// serve takes a job in, and streams what becomes of it.
func (w *Worker) serve(out http.ResponseWriter, q *http.Request) {
	c := q.Context().Value(connKey{}).(*conn)
	id, class := q.Header.Get("X-Request-Id"), q.Header.Get("X-Priority-Class")
	first := time.Unix(0, c.first.Load())
	defer c.first.Store(0)
	if id == "" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	place := w.arrive(Arrival{ID: id, Class: class, First: first})
	defer w.leave()
	if w.fails.Load() {
		out.WriteHeader(http.StatusInternalServerError)
		return
	}
	out.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(out).Flush()
	slots, err := strconv.Atoi(q.Header.Get("X-Slots"))
	if err != nil {
		slots = 1
	}
	var spoilt Spoilt
	if w.Spoil != nil {
		spoilt = w.Spoil(id, class)
	}
	alive := *w.alive.Load()
	if spoilt == Kills {
		stop := *w.crash.Load()
		w.renew()
		stop()
	}
	if spoilt == Alien {
		id = "another's"
	}
	number, events := w.Engine.Submit(slots, w.Work(class))
	for {
		select {
		case e := <-events:
			if w.report(out, e, place, id, class); e.Kind != machine.Started {
				return
			}
		case <-q.Context().Done():
			w.Engine.Cancel(number)
			return
		case <-alive.Done():
			w.Engine.Cancel(number)
			panic(http.ErrAbortHandler)
		}
	}
}

// arrive notes that a job has come, and returns its place among the arrivals.
func (w *Worker) arrive(arrival Arrival) (place int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	place = len(w.arrivals)
	w.arrivals = append(w.arrivals, arrival)
	w.open++
	w.peak = max(w.peak, w.open)
	return place
}

// leave notes that a job is over.
func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
}

// report writes an event of a job's as a line.
func (w *Worker) report(out http.ResponseWriter, e machine.Event, place int, id, class string) {
	if e.Kind == machine.Done {
		w.mu.Lock()
		if place < len(w.arrivals) { // else cleared meanwhile
			w.arrivals[place].Done = true
		}
		w.mu.Unlock()
	}
	state := [...]string{"started", "done", "returned", "lost"}[e.Kind]
	free := w.Engine.Free()
	fmt.Fprintf(out, "{\"id\":%q,\"from\":%q,\"state\":%q,\"result\":\"%s by %s\",\"load\":{\"util\":%.2f,\"eps\":0,\"x0\":%d}}\n",
		id, w.ID, state, class, w.ID, float64(w.slots-free)/float64(w.slots), free)
	if e.Kind == machine.Started {
		_ = http.NewResponseController(out).Flush()
	}
}
