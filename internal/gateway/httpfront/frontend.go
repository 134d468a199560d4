// Package httpfront speaks the platform's protocol on both sides of the broker:
// clients in front, loan workers behind, discovery beside. It is thin; what is
// decided is decided in the module, and what is promised is kept by the broker.
//
// This file reads, checks and answers clients' requests.
package httpfront

import (
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
)

const (
	maxBodyBytes         = 64 << 10
	responseWriteTimeout = 10 * time.Second
)

// JobRequest is one request of a client, decoded once.
type JobRequest struct {
	ID      string
	Request broker.Request

	cfg               *config.Config // the snapshot it was read under
	method, uri, host string
	header            http.Header
	body              []byte
	maySend           func() bool // asked just before the first byte; nil: it always may
}

// Rejection is a refusal or an error worded for HTTP.
type Rejection struct {
	Status     int
	Message    string
	RetryAfter time.Duration
}

// Write sends the rejection.
func (d *Rejection) Write(w http.ResponseWriter) {
	setWriteDeadline(w)
	h := w.Header()
	if d.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(d.RetryAfterSeconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(d.Message)+1))
	w.WriteHeader(d.Status)
	io.WriteString(w, d.Message+"\n")
}

// RetryAfterSeconds is the advice as clients get it: to the millisecond, never too soon.
func (d *Rejection) RetryAfterSeconds() float64 { return math.Ceil(d.RetryAfter.Seconds()*1000) / 1000 }

// setWriteDeadline bounds the write of an answer: a client that does not read must not
// keep its socket for good. Each answer sets it anew.
func setWriteDeadline(w http.ResponseWriter) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// TooManyConnections is the rejection on a connection past the budget of sockets.
var TooManyConnections = &Rejection{http.StatusServiceUnavailable, "too many connections", time.Second}

var bodyTooLarge = &Rejection{Status: http.StatusRequestEntityTooLarge, Message: "the body is over 64 KiB"}

// RejectionOf words a final answer that is not a result; nil for one that needs none.
func RejectionOf(a broker.Answer) *Rejection {
	switch {
	case a.Kind == broker.AnswerRejected && a.OverBudget:
		return &Rejection{http.StatusTooManyRequests, "over the contract's budget", a.RetryAfter}
	case a.Kind == broker.AnswerRejected:
		return &Rejection{http.StatusServiceUnavailable, "refused, try again", a.RetryAfter}
	case a.Kind == broker.AnswerFailed && a.BadRequest:
		return &Rejection{http.StatusBadRequest, "loan workers can't use this request", 0}
	case a.Kind == broker.AnswerFailed && a.DeadlineMissed:
		// Not 504 with a promise: 504 is a failure here, since only 429 and 503
		// tell the client that trying again is harmless.
		return &Rejection{http.StatusGatewayTimeout, "no answer in time; it may have run", 0}
	case a.Kind == broker.AnswerFailed:
		return &Rejection{http.StatusBadGateway, "failed; it may have run", 0}
	}
	return nil
}

// RequestReader reads requests off the wire.
type RequestReader struct {
	live           *config.InForce
	limiter        *ConnLimiter
	admissionGate  AdmissionGate // nil: all are admitted
	mu             sync.Mutex
	inUse          map[string]bool // ids of requests not yet answered
	latestDeadline time.Time       // no request read from now on has a later deadline; zero: none
}

// NewRequestReader makes a Reader; both fronts share one.
func NewRequestReader(live *config.InForce, g *ConnLimiter) *RequestReader {
	return &RequestReader{live: live, limiter: g, inUse: map[string]bool{}}
}

// SetAdmissionGate says, at the moment at which a request is admitted, whether it may be, and under which
// version of the policy. It must wait for nobody.
type AdmissionGate func() (version uint64, at time.Time, admits bool)

// AdmissionGate sets the gate. Before any request.
func (rd *RequestReader) SetAdmissionGate(g AdmissionGate) { rd.admissionGate = g }

// Admitting tells whether new work is admitted now.
func (rd *RequestReader) Admitting() bool {
	if rd.admissionGate == nil {
		return true
	}
	_, _, ok := rd.admissionGate()
	return ok
}

// noPolicyInForce is what is told where no policy may be served under. It has not run.
func noPolicyInForce(cfg *config.Config) *Rejection {
	return &Rejection{http.StatusServiceUnavailable, "no policy is in force here", min(cfg.Dispatch.MaxRetryAfter, 500*time.Millisecond)}
}

// singleValueHeaders are the headers that say what a request is. Twice, one copy would be
// believed here and the other by whoever reads after us.
var singleValueHeaders = []string{"X-Team", "X-Request-Id", "X-Priority-Class", "X-Tenant-Id", "X-Timeout", "Idempotency-Key"}

// parseSeconds reads a time as the protocol writes it, digits with a point at most:
// ParseFloat alone would take NaN, Inf, hex and exponents for times too.
func parseSeconds(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return time.Duration(v * float64(time.Second)), err == nil && v > 0 && v <= 86400
}

// Read checks and reads one request. Release is to be called once it is answered.
func (rd *RequestReader) Read(w http.ResponseWriter, r *http.Request) (*JobRequest, *Rejection) {
	bad := func(text string) (*JobRequest, *Rejection) {
		return nil, &Rejection{Status: http.StatusBadRequest, Message: text}
	}
	control := http.NewResponseController(w)
	if rd.limiter.OverLimit() {
		// What the kernel has accepted counts as taken: it gets its answer, and
		// the socket is given back.
		w.Header().Set("Connection", "close")
		return nil, TooManyConnections
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		return nil, &Rejection{Status: http.StatusMethodNotAllowed, Message: "jobs arrive by POST"}
	}
	cfg := rd.live.Get()
	s := &JobRequest{ID: r.Header.Get("X-Request-Id"), cfg: cfg, method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header}
	if s.ID == "" || len(s.ID) > 200 {
		return bad("X-Request-ID: missing or too long")
	}
	s.Request.Settings = &cfg.Dispatch
	name := r.Header.Get("X-Priority-Class")
	if s.Request.Class = slices.Index(cfg.Classes, name); s.Request.Class < 0 {
		return bad("X-Priority-Class: missing or unknown")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != name || !strings.HasPrefix(r.RequestURI, "/") {
		return bad("the path does not begin with the class")
	}
	if len(cfg.Tenants) > 0 {
		if s.Request.Tenant = slices.Index(cfg.Tenants, r.Header.Get("X-Tenant-Id")); s.Request.Tenant < 0 {
			return bad("X-Tenant-Id: missing or unknown")
		}
	}
	left := cfg.Dispatch.Classes[s.Request.Class].Deadline
	if text := r.Header.Get("X-Timeout"); text != "" {
		var ok bool
		if left, ok = parseSeconds(text); !ok {
			return bad("X-Timeout: not a number of seconds")
		}
	}
	s.Request.ClientRetry = r.Header.Get("X-Retried") == "1"
	s.Request.Slots = 1
	for part := range strings.SplitSeq(r.Header.Get("X-Attrs"), ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < 1e6) {
			continue // figures that are not understood are passed over, as on the wire
		}
		switch strings.ToLower(key) {
		case "slots", "width":
			s.Request.Slots = v
		case "memory":
			s.Request.Memory = v
		}
	}
	var err error
	s.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		// The time to read stays in force: net/http reads on before the rejection.
		w.Header().Set("Connection", "close")
	} else {
		// A time's up on reading after this point would look like a client that left.
		control.SetReadDeadline(time.Time{})
	}
	if large := new(http.MaxBytesError); errors.As(err, &large) {
		return nil, bodyTooLarge
	} else if err != nil {
		return bad("the body did not arrive")
	}
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.requestRead()
	}
	if rd.admissionGate != nil {
		// Asked last: what was read meanwhile may have taken longer than a lease holds.
		var ok bool
		if s.Request.PolicyVersion, s.Request.AdmittedAt, ok = rd.admissionGate(); !ok {
			return nil, noPolicyInForce(cfg)
		}
	}
	s.Request.Deadline = time.Now().Add(left) // counted from the request's last byte
	rd.mu.Lock()
	defer rd.mu.Unlock()
	// The same id again while the first is still out would be a second copy at
	// the loan workers.
	if rd.inUse[s.ID] {
		return nil, &Rejection{Status: http.StatusConflict, Message: "X-Request-ID: in use"}
	}
	rd.inUse[s.ID] = true
	if !rd.latestDeadline.IsZero() && s.Request.Deadline.After(rd.latestDeadline) {
		s.Request.Deadline = rd.latestDeadline
	}
	return s, nil
}

// LimitDeadlines bounds the deadline of every request read from now on.
func (rd *RequestReader) LimitDeadlines(end time.Time) {
	rd.mu.Lock()
	rd.latestDeadline = end
	rd.mu.Unlock()
}

// Release frees the request's id.
func (rd *RequestReader) Release(s *JobRequest) {
	rd.mu.Lock()
	delete(rd.inUse, s.ID)
	rd.mu.Unlock()
}

// Frontend answers clients.
type Frontend struct {
	broker             *broker.Broker
	workers            *WorkerConns
	reader             *RequestReader
	limiter            *ConnLimiter
	ready              func() bool // tells whether requests can be served; nil: from the first moment
	draining           atomic.Bool
	closeAfterResponse atomic.Bool
}

// SetReadiness has the health check say no until started tells otherwise. Before any request.
func (f *Frontend) SetReadiness(started func() bool) { f.ready = started }

// NewFrontend makes the platform's front.
func NewFrontend(b *broker.Broker, l *WorkerConns, rd *RequestReader) *Frontend {
	return &Frontend{broker: b, workers: l, reader: rd, limiter: rd.limiter}
}

// Server returns the HTTP server for this front.
func (f *Frontend) Server() *http.Server {
	return f.NewServer(f.serveRequest)
}

// checkFraming checks what makes a message safe to read on, whatever it is for, and sets
// the time to read it.
func checkFraming(w http.ResponseWriter, r *http.Request) *Rejection {
	// net/http reads on in a rejected body before it sends the rejection, and has no bound
	// of its own for that. So the time runs on every path.
	control, until, fault := http.NewResponseController(w), time.Now().Add(bodyReadTimeout), ""
	control.SetWriteDeadline(time.Time{}) // the last answer's on this connection
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		fault, until = c.framingFault()
	}
	control.SetReadDeadline(until)
	for _, name := range singleValueHeaders {
		if len(r.Header[name]) > 1 && fault == "" {
			return &Rejection{Status: http.StatusBadRequest, Message: name + ": comes twice"}
		}
	}
	// What stands behind such a message can't be told from its body, and behind one
	// in chunks nothing is taken for another.
	if fault != "" || r.ContentLength < 0 || r.ContentLength > maxBodyBytes {
		w.Header().Set("Connection", "close")
	}
	switch {
	case fault != "":
		return &Rejection{Status: http.StatusBadRequest, Message: fault}
	case r.ContentLength > maxBodyBytes:
		return bodyTooLarge
	}
	return nil
}

// NewServer makes a server for one front: its requests, the health check, and the
// guard that all fronts share. It is to serve on the guard's listener.
func (f *Frontend) NewServer(session http.HandlerFunc) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(plain http.ResponseWriter, r *http.Request) {
			w := keepAliveWriter{plain, f}
			if rejection := checkFraming(w, r); rejection != nil {
				rejection.Write(w)
				return
			}
			switch {
			case r.URL.Path != "/healthz":
				session(w, r)
			case f.Draining():
				(&Rejection{Status: http.StatusServiceUnavailable, Message: "stopping"}).Write(w)
			case f.ready != nil && !f.ready():
				(&Rejection{Status: http.StatusServiceUnavailable, Message: "no list of loan workers yet"}).Write(w)
			case !f.reader.Admitting():
				(&Rejection{Status: http.StatusServiceUnavailable, Message: "no policy is in force here"}).Write(w)
			default:
				setWriteDeadline(w)
				io.WriteString(w, "ok\n")
			}
		}),
		ReadHeaderTimeout: firstRequestTimeout, IdleTimeout: 3 * time.Minute, MaxHeaderBytes: 16 << 10,
		ConnState: f.limiter.onConnState, ConnContext: withConn,
	}
}

// Drain makes the health check say that this dispatcher is stopping.
func (f *Frontend) Drain() { f.draining.Store(true) }

// DisableKeepAlives makes every answer from now on its connection's last: another process
// has taken over. Idle connections stay until they are used, since closing one
// races with the request that is on its way.
func (f *Frontend) DisableKeepAlives() { f.closeAfterResponse.Store(true) }

// keepAliveWriter is a response that says at its head whether more may follow on its
// connection. A request may be out when that changes.
type keepAliveWriter struct {
	http.ResponseWriter
	front *Frontend
}

func (w keepAliveWriter) WriteHeader(status int) {
	if w.front.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w keepAliveWriter) Write(p []byte) (int, error) {
	if w.front.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close") // without effect once the head is out
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is for http.ResponseController.
func (w keepAliveWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Draining tells whether Drain was called.
func (f *Frontend) Draining() bool { return f.draining.Load() }

func (f *Frontend) serveRequest(w http.ResponseWriter, r *http.Request) {
	s, rejection := f.reader.Read(w, r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	defer f.reader.Release(s)
	ctx, stop := ClientContext(r)
	defer stop()
	answer := f.broker.Serve(ctx, s.Request, f.workers.AttemptFunc(s))
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
