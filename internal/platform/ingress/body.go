package ingress

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/buffer"
)

// unavailableStatus is the status of a request that was not taken, with the field that says when to try again.
const unavailableStatus = "503 Service Unavailable\r\nRetry-After: 1"

// BodyLimits are the limits of one request's body.
type BodyLimits struct {
	Bytes   int64
	Timeout time.Duration // from the end of the head to that of the body
}

// smallBodyBytes is the length up to which a body is claimed as it is read.
const smallBodyBytes = 16 << 10

// ErrBodyIncomplete says that a body ended before its announced end, or came too slowly, or is not well-formed.
const ErrBodyIncomplete = errors.ConstError("the body is incomplete")

// ReadBody reads the body of a request. The memory counts against the budget until the request is answered, or until Release.
// It returns a RefusedError with the cause BodyTooLarge or NoBytesLeft, or ErrBodyIncomplete.
func ReadBody(r *http.Request, limits BodyLimits) ([]byte, error) {
	if r.ContentLength > limits.Bytes {
		return nil, refuse(r, BodyTooLarge)
	}
	length := r.ContentLength
	if length < 0 {
		length = limits.Bytes + 1 // one more shows that the body is too large
	}
	body, err := readBody(r, int(length), limits)
	var refused *buffer.RefusedError
	switch {
	case errors.As(err, &refused):
		return nil, refuse(r, NoBytesLeft)
	case err != nil && !errors.Is(err, io.EOF), errors.Is(err, io.EOF) && r.ContentLength >= 0:
		return nil, errors.Trace(ErrBodyIncomplete)
	case int64(len(body)) > limits.Bytes:
		return nil, refuse(r, BodyTooLarge)
	}
	if c := connOf(r); c != nil {
		c.endBody()
	}
	return body, nil
}

// readBody reads length bytes of a body, or fewer where it ends before. A large body of announced length is claimed whole
// before a byte of it is read, so that of many large bodies the first ones get to their end.
func readBody(r *http.Request, length int, limits BodyLimits) ([]byte, error) {
	c := connOf(r)
	if c == nil {
		return buffer.Read(r.Body.Read, length, nil)
	}
	c.expectBody(limits)
	if r.ContentLength <= smallBodyBytes {
		return buffer.Read(r.Body.Read, length, requestQuota{c})
	}
	whileCopied := r.ContentLength / buffer.GrowthFactor
	if !c.gate.claim(c, r.ContentLength+whileCopied) {
		return nil, &buffer.RefusedError{Bytes: length}
	}
	body, err := buffer.Read(r.Body.Read, length, nil)
	c.gate.release(c, whileCopied)
	return body, err
}

// Claim asks for bytes that a request holds beside its body, until it is answered. It returns a RefusedError with the cause
// NoBytesLeft, or BodyTooLarge if the request would never fit.
func Claim(r *http.Request, bytes int64) error {
	c := connOf(r)
	switch {
	case c == nil || c.gate.claim(c, bytes):
		return nil
	case bytes > c.gate.budget.Limits(c.class()).Bytes:
		return refuse(r, BodyTooLarge)
	default:
		return refuse(r, NoBytesLeft)
	}
}

// Release gives bytes back that a request does not hold any more.
func Release(r *http.Request, bytes int64) {
	if c := connOf(r); c != nil {
		c.gate.release(c, bytes)
	}
}

// refuse records a refusal and returns its error.
func refuse(r *http.Request, cause Cause) error {
	c := connOf(r)
	if c == nil {
		return errors.Trace(&RefusedError{Cause: cause})
	}
	class := c.class()
	c.gate.refusals.record(class, cause, r.RemoteAddr)
	return errors.Trace(&RefusedError{Class: class, Cause: cause})
}

// AnswerBodyError answers a request whose body ReadBody or Claim has refused, and closes its connection: 413 if it is too
// large, 400 if it is incomplete, and otherwise 503, which promises that it was not taken and never runs.
func AnswerBodyError(w http.ResponseWriter, err error, what string) {
	w.Header().Set("Connection", "close")
	var refused *RefusedError
	switch {
	case !errors.As(err, &refused):
		http.Error(w, what+" can't be read", http.StatusBadRequest)
	case refused.Cause == BodyTooLarge:
		http.Error(w, what+" is too large", http.StatusRequestEntityTooLarge)
	default:
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many large requests at once; "+what+" was not taken", http.StatusServiceUnavailable)
	}
}

// requestQuota is the quota of one request.
type requestQuota struct{ conn *Conn }

// Claim asks the budget for bytes.
func (q requestQuota) Claim(bytes int) bool { return q.conn.gate.claim(q.conn, int64(bytes)) }

// Release gives bytes back to the budget.
func (q requestQuota) Release(bytes int) { q.conn.gate.release(q.conn, int64(bytes)) }
