package emulator

import (
	"net/http"
	"sync"
	"time"
)

// ConfigCall is one call of an operator: a change, or a read.
type ConfigCall struct {
	Put           bool
	Version, Base int64
	Body          string
	Status        int    // 0: no answer
	Read          string // what a read was answered
	From, To      time.Duration
}

// Clear reports whether the call had an answer that says what came of it.
func (c *ConfigCall) Clear() bool {
	switch c.Status {
	case http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest, http.StatusNotFound:
		return true
	}
	return false
}

// ConfigHistory records the operators' calls.
type ConfigHistory struct {
	mu    sync.Mutex
	began time.Time
	calls []ConfigCall
}

// begin enters a call; the returned function enters its answer.
func (h *ConfigHistory) begin(call ConfigCall) func(status int, read string) {
	call.From = time.Since(h.began)
	return func(status int, read string) {
		call.Status, call.Read, call.To = status, read, time.Since(h.began)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.calls = append(h.calls, call)
	}
}

// Calls returns all calls so far.
func (h *ConfigHistory) Calls() []ConfigCall {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]ConfigCall(nil), h.calls...)
}
