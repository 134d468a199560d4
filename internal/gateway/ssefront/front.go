// Package ssefront is the front for clients that follow their job: a client posts a job, gets its progress as server-sent
// events, and then one final event. It stands on the same broker, decisions, server table and connections as httpfront.
//
// Invariants:
//   - a stream has exactly one final event, and it is the last;
//   - a worker's progress is never taken for a result, whatever the worker names it;
//   - a client that reads too slowly costs bounded memory and bounded time.
package ssefront

import (
	"encoding/json"
	"net/http"
	"slices"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/httpfront"
)

// Types of events that this front makes itself; a worker's event goes on under its own type.
const (
	eventResult    = "result"    // final: the worker's result
	eventError     = "error"     // final: rejected or failed
	eventRestarted = "restarted" // progress begins anew with another attempt
	eventProgress  = "progress"  // a worker's event whose type is one of the above
)

// Front answers clients' requests with event streams.
type Front struct {
	live    *config.InForce
	broker  *broker.Broker
	workers *httpfront.WorkerConns
	reader  *httpfront.RequestReader
}

// New returns a front. The reader is the one of the platform's front, so that an id is in use once over both.
func New(live *config.InForce, b *broker.Broker, workers *httpfront.WorkerConns, reader *httpfront.RequestReader) *Front {
	return &Front{live, b, workers, reader}
}

// errorEvent is the data of a final error.
type errorEvent struct {
	Status        int     `json:"status"` // as the platform's front would have answered
	Error         string  `json:"error"`
	RetryAfter    float64 `json:"retry_after,omitempty"` // seconds
	RetryHarmless bool    `json:"retry_harmless"`
}

// authorize returns the contract of the team that sent a request, or the rejection of a request outside it. Without a
// tenant of its own the request gets the contract's.
func (f *Front) authorize(r *http.Request) (*config.Contract, *httpfront.Rejection) {
	cfg := f.live.Get()
	team := r.Header.Get("X-Team")
	i := slices.IndexFunc(cfg.SSE.Contracts, func(c config.Contract) bool { return c.Team == team })
	if i < 0 {
		return nil, forbidden("X-Team: no contract")
	}
	contract := &cfg.SSE.Contracts[i]
	if class := r.Header.Get("X-Priority-Class"); slices.Contains(cfg.Classes, class) && !slices.Contains(contract.Classes, class) {
		return nil, forbidden("X-Priority-Class: not in the contract")
	}
	switch r.Header.Get("X-Tenant-Id") {
	case "":
		r.Header.Set("X-Tenant-Id", contract.Tenant)
	case contract.Tenant:
	default:
		return nil, forbidden("X-Tenant-Id: not in the contract")
	}
	return contract, nil
}

func forbidden(message string) *httpfront.Rejection {
	return &httpfront.Rejection{Status: http.StatusForbidden, Message: message}
}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	contract, rejection := f.authorize(r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	job, rejection := f.reader.Read(w, r)
	if rejection != nil {
		rejection.Write(w)
		return
	}
	defer f.reader.Release(job)
	job.Request.Team = contract.Team
	// A client too slow for its stream counts as one that has left: that ends ctx too, and with it the attempt.
	ctx, cancel := httpfront.ClientContext(r)
	defer cancel()
	stream := newEventStream(w, f.live.Get().SSE, cancel)
	answer := f.broker.Serve(ctx, job.Request, f.attemptFunc(job, stream))
	if answer.Kind == broker.AnswerClientGone {
		stream.abandon()
		return
	}
	rejection = httpfront.RejectionOf(answer)
	switch {
	case rejection == nil:
		stream.finish(Event{Type: eventResult, Data: string(answer.Result)})
	case !stream.started():
		rejection.Write(w) // no event has been sent: the plain status says it best
	default:
		text, _ := json.Marshal(errorEvent{ // no value of its types fails
			Status:        rejection.Status,
			Error:         rejection.Message,
			RetryAfter:    rejection.RetryAfterSeconds(),
			RetryHarmless: answer.Kind == broker.AnswerRejected,
		})
		stream.finish(Event{Type: eventError, Data: string(text)})
	}
}
