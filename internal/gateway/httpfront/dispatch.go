package httpfront

// This file carries one attempt over a connection to a loan worker: the request written once, the
// answer's lines read, the end told as an outcome. An attempt is told as ended only once its
// connection no longer stands, for the next one could be out beside it.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
	"yardflow/internal/platform/invariant"
)

const (
	maxLineBytes = 256 << 10 // a result of 64 KiB, escaped at its worst
	drainTimeout = time.Second
)

var (
	errNoSocket = errors.New("no socket left for a loan worker")
	errDrained  = errors.New("the loan worker takes nothing new")
)

// singleUseBody hides a request's bytes from the transport. It resends a request on its
// own when it can read the body again or there is none, above all one that
// carries Idempotency-Key; every resend would be an attempt nobody decided on.
// A body of its own type, empty or not, without GetBody, is never sent again.
type singleUseBody struct {
	unread []byte
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

func (b *singleUseBody) Close() error { return nil }

// Exchange is one dispatch's open answer.
type Exchange struct {
	Body   *bufio.Reader
	Header http.Header
	ctx    context.Context
	resp   *http.Response
	conn   *workerConn
	conns  *WorkerConns
	cfg    *config.Config
	detach func() bool // takes the exchange out of ctx
	cancel func()
}

// StartAttempt writes the request to the attempt's loan worker and reads the head of
// the answer. Without a 200 the exchange is nil and the outcome tells the end.
func (l *WorkerConns) StartAttempt(ctx context.Context, a *broker.Attempt, s *JobRequest, accept string) (*Exchange, broker.Outcome) {
	var conn *workerConn
	var refused, wrote, answered atomic.Bool
	reused := false
	var req *http.Request
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			invariant.Check(conn == nil, "the transport sent a dispatch twice")
			conn, _ = info.Conn.(*workerConn)
			l.setBusy(conn, true)
			reused = info.Reused
			if a.Tracing() {
				a.Tracef("conn to=%s reused=%t", a.Worker, reused)
			}
			// A slow connect can cross the time by which nothing new may go to a
			// loan worker that drains, by which a repeat is dropped there, or at which
			// the client leaves: ask again now that the bytes would flow.
			if ctx.Err() != nil || !a.MaySend() || s.maySend != nil && !s.maySend() {
				refused.Store(true)
				info.Conn.Close()
			}
			setTimeoutHeader(req.Header, ctx) // connecting took some of it
		},
		GotFirstResponseByte: func() { answered.Store(true) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			wrote.Store(info.Err == nil)
			if a.Tracing() {
				a.Tracef("wrote to=%s err=%v", a.Worker, info.Err)
			}
		},
	}
	before := int64(0)
	inner := trace.GotConn
	trace.GotConn = func(info httptrace.GotConnInfo) {
		inner(info)
		if conn != nil {
			before = conn.written.Load()
		}
	}
	// ctx ends as soon as the request is answered, which is before the answer's
	// stream has ended: the transport would close a sound connection for it. So
	// the exchange has a context of its own, tied to ctx until Finish.
	own, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, cancel)
	req = s.request(httptrace.WithClientTrace(own, trace), a, accept)
	setTimeoutHeader(req.Header, ctx)
	resp, err := l.transportFor(s).RoundTrip(req)
	if err != nil {
		cancel()
		if conn != nil {
			conn.Close()
		}
		gone := reused && !answered.Load() && ctx.Err() == nil
		if gone && !refused.Load() {
			l.distrustUntil.Store(time.Now().Add(staleConnDistrust).UnixNano())
		}
		switch {
		case refused.Load():
			return nil, broker.Outcome{Code: broker.NotSent}
		case conn == nil || !wrote.Load() || conn.written.Load() == before:
			if ctx.Err() != nil || errors.Is(err, errNoSocket) || gone {
				return nil, broker.Outcome{Code: broker.NotSent}
			}
			return nil, broker.Outcome{Code: broker.ConnectFailed}
		case gone:
			return nil, broker.Outcome{Code: broker.StaleConnection}
		}
		return nil, transportOutcome(ctx)
	}
	x := &Exchange{Body: bufio.NewReaderSize(resp.Body, 4096), Header: resp.Header, ctx: ctx, resp: resp, conn: conn, conns: l, cfg: s.cfg,
		detach: unhook, cancel: cancel}
	if resp.StatusCode == http.StatusOK {
		return x, broker.Outcome{}
	}
	o := broker.Outcome{Code: broker.Failed, Load: x.ParseLoad([]byte(resp.Header.Get("X-Server-Load")))}
	// Without the mark a 503 or 504 may come from behind the job: it may have run.
	if (resp.StatusCode == 503 || resp.StatusCode == 504) && resp.Header.Get("X-Not-Processed") == "1" {
		o.Code = broker.Rejected
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		o.Code = broker.BadRequest
	}
	x.DrainAndReuse()
	return nil, o
}

// transportOutcome words the end of a dispatch whose bytes were all written.
func transportOutcome(ctx context.Context) broker.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return broker.Outcome{Code: broker.TimedOut}
	case ctx.Err() != nil:
		return broker.Outcome{Code: broker.Cancelled}
	}
	return broker.Outcome{Code: broker.ConnectionLost}
}

// Abort closes the connection and tells how the dispatch ended by that. The
// order matters: told first, the next attempt could be out beside this one.
func (x *Exchange) Abort() broker.Outcome {
	o := transportOutcome(x.ctx)
	if x.conn != nil {
		x.conn.Close()
	}
	x.cancel()
	x.resp.Body.Close()
	return o
}

// DrainAndReuse reads what is left of an answer that has ended, behind the caller's
// back, so that the connection can carry the next dispatch.
func (x *Exchange) DrainAndReuse() {
	x.detach()
	x.conns.addDraining(1)
	go func() {
		defer x.conns.addDraining(-1)
		defer x.cancel()
		slow := time.AfterFunc(drainTimeout, func() {
			if x.conn != nil {
				x.conn.Close()
			}
		})
		io.Copy(io.Discard, io.LimitReader(x.Body, maxLineBytes))
		slow.Stop()
		x.conns.setBusy(x.conn, false) // before the transport can lend it out again
		x.resp.Body.Close()
	}()
}

// ParseLoad reads a load report that came as a JSON object.
func (x *Exchange) ParseLoad(text []byte) []float64 { return parseLoad(x.cfg.LoadColumns, text) }

// loadAliases gives the name that a value has on the other of the two wires: the
// settings use the simulator's, loan workers the ones of their own pages.
var loadAliases = map[string]string{"cpu": "util", "err_rps": "eps", "active": "inflight", "waiting": "queue",
	"avg_ms": "latency_ms", "rps": "qps"}

// parseLoad puts a report's values in the settings' order. One that lacks a value is no report.
func parseLoad(columns []string, text []byte) []float64 {
	if len(text) == 0 || len(columns) == 0 {
		return nil
	}
	var in map[string]float64
	if json.Unmarshal(text, &in) != nil {
		return nil
	}
	out := make([]float64, 0, len(columns))
	for _, name := range columns {
		v, ok := in[name]
		if !ok {
			if v, ok = in[loadAliases[name]]; !ok {
				return nil
			}
		}
		out = append(out, v)
	}
	return out
}

// setTimeoutHeader states in a request how long the dispatcher will wait for its answer, from now on.
func setTimeoutHeader(h http.Header, ctx context.Context) {
	if at, ok := ctx.Deadline(); ok {
		h.Set("X-Timeout", strconv.FormatFloat(max(time.Until(at).Seconds(), 0.001), 'f', 3, 64))
	}
}

// request words the request for the wire, once for each dispatch.
func (s *JobRequest) request(own context.Context, a *broker.Attempt, accept string) *http.Request {
	h := make(http.Header, 10)
	for _, name := range forwardedHeaders {
		if v, ok := s.header[name]; ok {
			h[name] = v
		}
	}
	h.Set("X-Request-Id", s.ID)
	h["User-Agent"] = nil
	if accept != "" {
		h.Set("Accept", accept)
	}
	req := &http.Request{Method: s.method, URL: &url.URL{Scheme: "http", Host: a.Addr, Opaque: s.uri},
		Host: s.host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: &singleUseBody{s.body}, ContentLength: int64(len(s.body))}
	if len(s.body) == 0 {
		// The library would send an empty body of unknown type in chunks, and one
		// that it knows to be empty again on its own. So no encoding, and the
		// length in a spelling that it passes on.
		req.TransferEncoding = []string{"identity"}
		h["content-length"] = []string{"0"}
	}
	return req.WithContext(own)
}

// forwardedHeaders are the headers that go on unchanged; the transport adds the framing.
var forwardedHeaders = []string{"Content-Type", "Cookie", "Idempotency-Key", "X-Priority-Class", "X-Tenant-Id", "X-Attrs"}

// statusLine is one line of a loan worker's answer.
type statusLine struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// AttemptFunc is the attempt function of the platform's front.
func (l *WorkerConns) AttemptFunc(s *JobRequest) broker.AttemptFunc {
	return func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		x, o := l.StartAttempt(ctx, a, s, "")
		if x == nil {
			return o
		}
		return x.ReadLines(a, s, x.ParseLoad([]byte(x.Header.Get("X-Server-Load"))), nil)
	}
}

// ReadLines reads a loan worker's lines to the last one and tells the outcome. Each
// line that is not the last goes to progress too, where there is one.
func (x *Exchange) ReadLines(a *broker.Attempt, s *JobRequest, load []float64, progress func(state string, line []byte)) broker.Outcome {
	for {
		text, err := readLine(x.Body)
		if err != nil {
			return x.Abort()
		}
		if len(text) == 0 {
			continue
		}
		var in statusLine
		if json.Unmarshal(text, &in) != nil || in.ID != s.ID {
			x.Abort() // not this request's answer: what it did is not known
			return broker.Outcome{Code: broker.ConnectionLost}
		}
		if more := x.ParseLoad(in.Load); more != nil {
			load = more
		}
		o := broker.Outcome{Load: load}
		switch in.State {
		case "done":
			var ok bool
			if o.Result, ok = resultBytes(in.Result); !ok {
				x.Abort()
				return broker.Outcome{Code: broker.ConnectionLost}
			}
			o.Code = broker.OK
		case "failed":
			o.Code = broker.Failed
		case "returned":
			o.Code = broker.Rejected
		case "lost":
			o.Code = broker.ConnectionLost
		default: // progress, or a state of a later version
			switch in.State {
			case "started":
				a.ReportStarted()
			case "running":
				a.ReportProgress(in.Share)
			}
			if progress != nil {
				progress(in.State, text)
			}
			continue
		}
		x.DrainAndReuse()
		return o
	}
}

// resultBytes gives the result as the client is to get it: a text's characters,
// anything else as written.
func resultBytes(raw json.RawMessage) ([]byte, bool) {
	if len(raw) == 0 {
		return nil, false // done without a result is no answer
	}
	if raw[0] != '"' {
		return raw, true
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		return nil, false
	}
	return []byte(text), true
}

// readLine reads one bounded line. A last one without its end is a cut stream.
func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) > maxLineBytes {
			return nil, bufio.ErrBufferFull
		}
		if err == nil && line == nil {
			return trimLineEnd(part), nil
		}
		line = append(line, part...)
		if err == nil {
			return trimLineEnd(line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line
}
