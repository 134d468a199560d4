package httpfront

// This file turns final answers that are no result into HTTP. The status codes and texts are the protocol's.

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
)

// responseWriteTimeout bounds the write of an answer: a client that does not read must not keep its socket for good.
const responseWriteTimeout = 10 * time.Second

// maxPolicyRetryAfter bounds the Retry-After of a rejection for want of a policy, which mostly comes back within that.
const maxPolicyRetryAfter = 500 * time.Millisecond

// Rejection is an answer without a result: a rejection, a failure or an error in the request. Only 429 and 503 tell the
// client that a retry is harmless.
type Rejection struct {
	Status     int
	Message    string
	RetryAfter time.Duration // advice; 0: none
}

// Write sends the rejection.
func (r *Rejection) Write(w http.ResponseWriter) {
	setWriteDeadline(w)
	h := w.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfterSeconds(), 'f', -1, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.Message)+1))
	w.WriteHeader(r.Status)
	io.WriteString(w, r.Message+"\n")
}

// RetryAfterSeconds is the advice as clients get it, in seconds: rounded up to the millisecond, so that it is never too soon.
func (r *Rejection) RetryAfterSeconds() float64 {
	return math.Ceil(r.RetryAfter.Seconds()*1000) / 1000
}

// setWriteDeadline bounds the write of one answer. Each answer on a connection sets it anew.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
}

// TooManyConnections is the rejection on a connection past the sockets that clients may hold.
var TooManyConnections = &Rejection{http.StatusServiceUnavailable, "too many connections", time.Second}

var bodyTooLarge = &Rejection{Status: http.StatusRequestEntityTooLarge, Message: "the body is over 64 KiB"}

func badRequest(message string) *Rejection {
	return &Rejection{Status: http.StatusBadRequest, Message: message}
}

func unavailable(message string) *Rejection {
	return &Rejection{Status: http.StatusServiceUnavailable, Message: message}
}

// noPolicyInForce is the rejection where there is no policy to serve under. The request has not run.
func noPolicyInForce(cfg *config.Config) *Rejection {
	return &Rejection{http.StatusServiceUnavailable, "no policy is in force here", min(cfg.Dispatch.Attempts.MaxRetryAfter, maxPolicyRetryAfter)}
}

// RejectionOf returns the rejection of a final answer; nil for one with a result, and where the client has gone.
func RejectionOf(a broker.Answer) *Rejection {
	switch {
	case a.Kind == broker.AnswerRejected && a.OverBudget:
		return &Rejection{http.StatusTooManyRequests, "over the contract's budget", a.RetryAfter}
	case a.Kind == broker.AnswerRejected:
		return &Rejection{http.StatusServiceUnavailable, "refused, try again", a.RetryAfter}
	case a.Kind == broker.AnswerFailed && a.BadRequest:
		return badRequest("loan workers can't use this request")
	case a.Kind == broker.AnswerFailed && a.DeadlineMissed:
		return &Rejection{Status: http.StatusGatewayTimeout, Message: "no answer in time; it may have run"}
	case a.Kind == broker.AnswerFailed:
		return &Rejection{Status: http.StatusBadGateway, Message: "failed; it may have run"}
	}
	return nil
}
