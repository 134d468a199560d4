// Package httpfront speaks HTTP on both sides of the broker: with clients in front, with workers ("loan workers" in the
// platform's texts) behind, and with the list service ("discovery") beside. It decides nothing: where a request goes is
// the dispatch module's decision, and what a client is promised the broker's.
//
// Invariants, which tests of this package hold:
//   - a request is written to a worker once for each attempt that the module has decided on; net/http resends none;
//   - an attempt is reported as ended only once its connection is closed or clear;
//   - a client's connection is closed here only so that a request which comes at that moment is neither reset nor served;
//   - what changes at the list service counts as known at a stated time, and past that nothing is sent under an older list.
package httpfront

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"yardflow/internal/gateway/broker"
)

const (
	// clientIdleTimeout is how long a client's connection is kept without a request.
	clientIdleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds the head of a client's request.
	maxHeaderBytes = 16 << 10
)

// healthPath answers load balancers' health checks.
const healthPath = "/healthz"

// Frontend answers clients' requests, one response each.
type Frontend struct {
	broker  *broker.Broker
	workers *WorkerConns
	reader  *RequestReader
	limiter *ConnLimiter
	ready   func() bool // whether requests can be served; nil: from the first moment

	draining           atomic.Bool
	closeAfterResponse atomic.Bool
}

// NewFrontend returns the front for clients of the platform.
func NewFrontend(b *broker.Broker, workers *WorkerConns, reader *RequestReader) *Frontend {
	return &Frontend{broker: b, workers: workers, reader: reader, limiter: reader.limiter}
}

// SetReadiness has the health check fail until ready reports true. Before any request.
func (f *Frontend) SetReadiness(ready func() bool) { f.ready = ready }

// Drain has the health check say from now on that this process stops.
func (f *Frontend) Drain() { f.draining.Store(true) }

// Draining reports whether Drain was called.
func (f *Frontend) Draining() bool { return f.draining.Load() }

// DisableKeepAlives makes every response from now on its connection's last: another process has taken over. Idle
// connections stay until they are used, because a close would cross a request that is on its way.
func (f *Frontend) DisableKeepAlives() { f.closeAfterResponse.Store(true) }

// Server returns the HTTP server of this front. It is to serve on a listener of the connection limiter.
func (f *Frontend) Server() *http.Server { return f.NewServer(f.serveRequest) }

// NewServer returns an HTTP server for any front: its requests, the health check, and the framing check and connection
// limiter that all fronts share. It is to serve on a listener of the connection limiter.
func (f *Frontend) NewServer(serve http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(plain http.ResponseWriter, r *http.Request) {
			w := keepAliveWriter{plain, f}
			if rejection := checkFraming(w, r); rejection != nil {
				rejection.Write(w)
				return
			}
			if r.URL.Path == healthPath {
				f.serveHealth(w)
				return
			}
			serve(w, r)
		}),
		ReadHeaderTimeout: firstRequestTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         f.limiter.onConnState,
		ConnContext:       withConn,
	}
}

// serveHealth answers a health check.
func (f *Frontend) serveHealth(w http.ResponseWriter) {
	switch {
	case f.Draining():
		unavailable("stopping").Write(w)
	case f.ready != nil && !f.ready():
		unavailable("no list of loan workers yet").Write(w)
	case !f.reader.Admitting():
		unavailable("no policy is in force here").Write(w)
	default:
		setWriteDeadline(w)
		io.WriteString(w, "ok\n")
	}
}

// serveRequest takes one client's request to its answer.
func (f *Frontend) serveRequest(w http.ResponseWriter, r *http.Request) {
	job, rejection := f.reader.Read(w, r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	defer f.reader.Release(job)
	ctx, stop := ClientContext(r)
	defer stop()
	answer := f.broker.Serve(ctx, job.Request, f.workers.AttemptFunc(job))
	if rejection := RejectionOf(answer); rejection != nil {
		rejection.Write(w)
		return
	}
	if answer.Kind == broker.AnswerServed {
		setWriteDeadline(w)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer.Result)))
		w.Write(answer.Result)
	}
}

// keepAliveWriter is a response that says in its head whether its connection stays open. That is settled when the head is
// written: DisableKeepAlives may come while a request is under way.
type keepAliveWriter struct {
	http.ResponseWriter
	front *Frontend
}

func (w keepAliveWriter) setConnectionHeader() {
	if w.front.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
}

func (w keepAliveWriter) WriteHeader(status int) {
	w.setConnectionHeader()
	w.ResponseWriter.WriteHeader(status)
}

func (w keepAliveWriter) Write(p []byte) (int, error) {
	w.setConnectionHeader() // without effect once the head is written
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
