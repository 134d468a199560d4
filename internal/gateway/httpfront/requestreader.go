package httpfront

// This file reads and checks clients' requests.

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
)

const (
	// maxBodyBytes bounds a request's body. A larger one is answered by 413.
	maxBodyBytes = 64 << 10
	// maxRequestIDLength bounds X-Request-Id.
	maxRequestIDLength = 200
	// maxTimeoutSeconds bounds X-Timeout: a day.
	maxTimeoutSeconds = 86400
	// maxAttribute bounds the figures of X-Attrs; one that is not below is skipped.
	maxAttribute = 1e6
)

// JobRequest is one request of a client, decoded once.
type JobRequest struct {
	ID      string
	Request broker.Request

	cfg               *config.Config // under which it was read
	method, uri, host string
	header            http.Header
	body              []byte
	maySend           func() bool // asked just before the first byte of each attempt; nil: it always may
}

// RequestReader reads requests. All fronts share one, so that an id is in use once over all of them.
type RequestReader struct {
	live          *config.InForce
	limiter       *ConnLimiter
	admissionGate AdmissionGate // nil: all are admitted

	mu             sync.Mutex
	inUse          map[string]bool // ids of requests without a final answer
	latestDeadline time.Time       // of requests that are read from now on; zero: none
}

// NewRequestReader returns a reader of requests on connections of limiter.
func NewRequestReader(live *config.InForce, limiter *ConnLimiter) *RequestReader {
	return &RequestReader{live: live, limiter: limiter, inUse: map[string]bool{}}
}

// AdmissionGate says, at the moment at which a request is admitted, whether it may be, and under which version of the
// policy. It must not block.
type AdmissionGate func() (version uint64, at time.Time, admits bool)

// SetAdmissionGate sets the gate. Before any request.
func (rd *RequestReader) SetAdmissionGate(gate AdmissionGate) { rd.admissionGate = gate }

// Admitting reports whether new work is admitted now.
func (rd *RequestReader) Admitting() bool {
	if rd.admissionGate == nil {
		return true
	}
	_, _, admits := rd.admissionGate()
	return admits
}

// LimitDeadlines bounds the deadline of every request that is read from now on.
func (rd *RequestReader) LimitDeadlines(latest time.Time) {
	rd.mu.Lock()
	rd.latestDeadline = latest
	rd.mu.Unlock()
}

// Read reads and checks one request. Release is to be called once it is answered. A request that can't be read has a
// rejection instead.
func (rd *RequestReader) Read(w http.ResponseWriter, r *http.Request) (*JobRequest, *Rejection) {
	if rd.limiter.OverLimit() {
		// A connection that the kernel has accepted counts as taken: it gets its answer, and the socket is given back.
		w.Header().Set("Connection", "close")
		return nil, TooManyConnections
	}
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", "POST")
		return nil, &Rejection{Status: http.StatusMethodNotAllowed, Message: "jobs arrive by POST"}
	}
	cfg := rd.live.Get()
	job := &JobRequest{ID: r.Header.Get("X-Request-Id"), cfg: cfg, method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header}
	if rejection := job.readTarget(r); rejection != nil {
		return nil, rejection
	}
	timeLeft, rejection := job.readTimeout(r.Header)
	if rejection != nil {
		return nil, rejection
	}
	job.Request.ClientRetry = r.Header.Get("X-Retried") == "1"
	job.readAttributes(r.Header.Get("X-Attrs"))
	if rejection := job.readBody(w, r); rejection != nil {
		return nil, rejection
	}
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.requestRead()
	}
	if rd.admissionGate != nil {
		// Asked last: reading may have taken longer than the policy's lease holds.
		var admits bool
		if job.Request.PolicyVersion, job.Request.AdmittedAt, admits = rd.admissionGate(); !admits {
			return nil, noPolicyInForce(cfg)
		}
	}
	job.Request.Deadline = time.Now().Add(timeLeft) // counted from the request's last byte
	return rd.reserveID(job)
}

// reserveID puts a request's id in use. The same id again while the first request has no answer would be a second copy of
// it at the workers.
func (rd *RequestReader) reserveID(job *JobRequest) (*JobRequest, *Rejection) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	if rd.inUse[job.ID] {
		return nil, &Rejection{Status: http.StatusConflict, Message: "X-Request-ID: in use"}
	}
	rd.inUse[job.ID] = true
	if !rd.latestDeadline.IsZero() && job.Request.Deadline.After(rd.latestDeadline) {
		job.Request.Deadline = rd.latestDeadline
	}
	return job, nil
}

// Release ends the use of a request's id.
func (rd *RequestReader) Release(job *JobRequest) {
	rd.mu.Lock()
	delete(rd.inUse, job.ID)
	rd.mu.Unlock()
}

// readTarget reads who sends what: id, class and tenant.
func (job *JobRequest) readTarget(r *http.Request) *Rejection {
	if job.ID == "" || len(job.ID) > maxRequestIDLength {
		return badRequest("X-Request-ID: missing or too long")
	}
	job.Request.Settings = &job.cfg.Dispatch
	class := r.Header.Get("X-Priority-Class")
	if job.Request.Class = slices.Index(job.cfg.Classes, class); job.Request.Class < 0 {
		return badRequest("X-Priority-Class: missing or unknown")
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/"); first != class || !strings.HasPrefix(r.RequestURI, "/") {
		return badRequest("the path does not begin with the class")
	}
	if len(job.cfg.Tenants) > 0 {
		if job.Request.Tenant = slices.Index(job.cfg.Tenants, r.Header.Get("X-Tenant-Id")); job.Request.Tenant < 0 {
			return badRequest("X-Tenant-Id: missing or unknown")
		}
	}
	return nil
}

// readTimeout returns how long the client waits: as it says, or the class's deadline.
func (job *JobRequest) readTimeout(h http.Header) (time.Duration, *Rejection) {
	text := h.Get("X-Timeout")
	if text == "" {
		return job.cfg.Dispatch.Classes[job.Request.Class].Deadline, nil
	}
	timeout, ok := parseSeconds(text)
	if !ok {
		return 0, badRequest("X-Timeout: not a number of seconds")
	}
	return timeout, nil
}

// parseSeconds reads a time as the protocol writes it, digits with at most one point: ParseFloat alone would accept NaN,
// Inf, hexadecimal numbers and exponents too.
func parseSeconds(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return time.Duration(v * float64(time.Second)), err == nil && v > 0 && v <= maxTimeoutSeconds
}

// readAttributes reads what the job needs of a worker. As on the wire, figures that can't be read are skipped.
func (job *JobRequest) readAttributes(attrs string) {
	job.Request.Slots = 1
	for part := range strings.SplitSeq(attrs, ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(part), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < maxAttribute) {
			continue
		}
		switch strings.ToLower(key) {
		case "slots", "width":
			job.Request.Slots = v
		case "memory":
			job.Request.Memory = v
		}
	}
}

// readBody reads the body and ends the time to read it. Where it can't be read the time stays in force, because net/http
// reads on before it sends the rejection; and the connection ends behind that.
func (job *JobRequest) readBody(w http.ResponseWriter, r *http.Request) *Rejection {
	var err error
	job.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		// A read deadline that passes later would look like a client that left.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return nil
	}
	w.Header().Set("Connection", "close")
	if large := new(http.MaxBytesError); errors.As(err, &large) {
		return bodyTooLarge
	}
	return badRequest("the body did not arrive")
}
