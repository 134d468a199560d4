package httpfront

// This file carries one attempt over a connection to a worker: the request written once, the head of the response read,
// the end of the connection turned into an outcome. An attempt is reported as ended only once its connection is closed or
// clear, because the next attempt may begin at once.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/platform/invariant"
)

const (
	// drainTimeout is how long the rest of a finished response may take. Beyond it the connection is closed, which costs
	// the worker a new one.
	drainTimeout = time.Second
	// responseBufferBytes is how much of a response is read at once; a status line mostly fits.
	responseBufferBytes = 4096
)

// Exchange is the open response of one attempt. Whoever got it from StartAttempt ends it by Abort or DrainAndReuse.
type Exchange struct {
	Body   *bufio.Reader
	Header http.Header

	ctx    context.Context // the attempt's
	resp   *http.Response
	conn   *workerConn
	conns  *WorkerConns
	cfg    *config.Config // under which the request was read
	detach func() bool    // unties the exchange's own context from ctx
	cancel func()         // ends the exchange's own context
}

// sendState is how far the transport has come with one attempt's request.
type sendState struct {
	conns   *WorkerConns
	attempt *broker.Attempt
	request *JobRequest
	header  http.Header // of the request that is written

	conn          *workerConn // nil: none has come up
	reused        bool        // the connection carried another request before
	writtenBefore int64       // bytes written to the connection before this request
	refused       atomic.Bool // the attempt was not to be sent any more when the connection was up
	wrote         atomic.Bool // the whole request was written
	answered      atomic.Bool // the first byte of the response has come
}

func (s *sendState) trace(ctx context.Context) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn:              func(info httptrace.GotConnInfo) { s.gotConn(ctx, info) },
		GotFirstResponseByte: func() { s.answered.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			s.wrote.Store(info.Err == nil)
			if s.attempt.Tracing() {
				s.attempt.Tracef("wrote to=%s err=%v", s.attempt.Worker, info.Err)
			}
		},
	}
}

// gotConn is called once the connection is up and before the first byte is written. Connecting takes time, in which the
// worker may have begun to drain, the window for a retry may have passed, or the client may have left: whether the
// attempt may be sent is asked again here.
func (s *sendState) gotConn(ctx context.Context, info httptrace.GotConnInfo) {
	invariant.Check(s.conn == nil, "the transport sent a dispatch twice")
	s.conn, _ = info.Conn.(*workerConn)
	s.conns.setBusy(s.conn, true)
	s.reused = info.Reused
	if s.attempt.Tracing() {
		s.attempt.Tracef("conn to=%s reused=%t", s.attempt.Worker, s.reused)
	}
	if ctx.Err() != nil || !s.attempt.MaySend() || s.request.maySend != nil && !s.request.maySend() {
		s.refused.Store(true)
		_ = info.Conn.Close()
	}
	setTimeoutHeader(s.header, ctx) // connecting took some of the time
	if s.conn != nil {
		s.writtenBefore = s.conn.written.Load()
	}
}

// failure is the outcome of an attempt whose response has no head. The connection is closed by then.
func (s *sendState) failure(ctx context.Context, err error) broker.Outcome {
	if s.conn != nil {
		_ = s.conn.Close()
	}
	stale := s.reused && !s.answered.Load() && ctx.Err() == nil
	if stale && !s.refused.Load() {
		s.conns.distrustUntil.Store(time.Now().Add(staleConnDistrust).UnixNano())
	}
	switch {
	case s.refused.Load():
		return broker.Outcome{Code: broker.NotSent}
	case s.conn == nil || !s.wrote.Load() || s.conn.written.Load() == s.writtenBefore:
		if ctx.Err() != nil || errors.Is(err, errNoSocket) || stale {
			return broker.Outcome{Code: broker.NotSent}
		}
		return broker.Outcome{Code: broker.ConnectFailed}
	case stale:
		return broker.Outcome{Code: broker.StaleConnection}
	}
	return outcomeOfCut(ctx)
}

// StartAttempt writes a request to the attempt's worker and reads the head of the response. accept is the request's
// Accept header; empty: none. Where the status is not 200 the exchange is nil and the outcome is the attempt's.
func (l *WorkerConns) StartAttempt(ctx context.Context, a *broker.Attempt, job *JobRequest, accept string) (*Exchange, broker.Outcome) {
	// ctx ends as soon as the request is answered, before the response's stream has ended, and the transport would close
	// a sound connection for it. So the exchange has a context of its own, which follows ctx until DrainAndReuse.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	send := &sendState{conns: l, attempt: a, request: job}
	req := job.toWorker(httptrace.WithClientTrace(own, send.trace(ctx)), a, accept)
	send.header = req.Header
	setTimeoutHeader(req.Header, ctx)
	resp, err := l.transportFor(job).RoundTrip(req)
	if err != nil {
		cancel()
		return nil, send.failure(ctx, err)
	}
	x := &Exchange{Body: bufio.NewReaderSize(resp.Body, responseBufferBytes), Header: resp.Header, ctx: ctx, resp: resp, conn: send.conn,
		conns: l, cfg: job.cfg, detach: detach, cancel: cancel}
	if resp.StatusCode == http.StatusOK {
		return x, broker.Outcome{}
	}
	o := broker.Outcome{Code: codeOfStatus(resp), Load: x.HeaderLoad()}
	x.DrainAndReuse()
	return nil, o
}

// codeOfStatus is the outcome of a response that is not 200. A 503 or 504 says that the request never ran only with the
// worker's own header: without it the status may come from behind the job.
func codeOfStatus(resp *http.Response) broker.Code {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	switch {
	case unavailable && resp.Header.Get("X-Not-Processed") == "1":
		return broker.Rejected
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		return broker.BadRequest
	}
	return broker.Failed
}

// outcomeOfCut is the outcome of an attempt that was cut off after its request was written.
func outcomeOfCut(ctx context.Context) broker.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return broker.Outcome{Code: broker.TimedOut}
	case ctx.Err() != nil:
		return broker.Outcome{Code: broker.Cancelled}
	}
	return broker.Outcome{Code: broker.ConnectionLost}
}

// Abort closes the connection and returns the outcome that the attempt has by that. The connection is closed when it
// returns: reported earlier, the next attempt could be outstanding beside this one.
func (x *Exchange) Abort() broker.Outcome {
	o := outcomeOfCut(x.ctx)
	if x.conn != nil {
		_ = x.conn.Close()
	}
	x.cancel()
	_ = x.resp.Body.Close()
	return o
}

// DrainAndReuse reads the rest of a response whose outcome is known, in the background, so that its connection can carry
// the next request. A rest that takes longer than drainTimeout closes the connection.
func (x *Exchange) DrainAndReuse() {
	x.detach()
	x.conns.addDraining(1)
	go func() {
		defer x.conns.addDraining(-1)
		defer x.cancel()
		slow := time.AfterFunc(drainTimeout, func() {
			if x.conn != nil {
				_ = x.conn.Close()
			}
		})
		_, _ = io.Copy(io.Discard, io.LimitReader(x.Body, maxLineBytes))
		slow.Stop()
		x.conns.setBusy(x.conn, false) // before the transport can use it again
		_ = x.resp.Body.Close()
	}()
}
