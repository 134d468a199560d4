package ssefront

// This file carries one attempt: it reads a worker's events and hands on all but the final one as progress.

import (
	"context"
	"encoding/json"
	"mime"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/httpfront"
)

const (
	mediaTypeEvents = "text/event-stream"
	// acceptedMediaTypes asks workers for events, and takes status lines from one that knows none.
	acceptedMediaTypes = mediaTypeEvents + ", application/json;q=0.5"
	// eventLoad is the type of a worker's load report, which goes on to nobody.
	eventLoad = "load"
)

// attemptFunc returns the attempt function of a request.
func (f *Front) attemptFunc(job *httpfront.JobRequest, stream *eventStream) broker.AttemptFunc {
	return func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		x, o := f.workers.StartAttempt(ctx, a, job, acceptedMediaTypes)
		if x == nil {
			return o
		}
		load := x.HeaderLoad()
		if mediaType, _, _ := mime.ParseMediaType(x.Header.Get("Content-Type")); mediaType != mediaTypeEvents {
			return x.ReadLines(a, job, load, func(state string, line []byte) {
				stream.progress(a.Number, Event{Type: state, Data: string(line)})
			})
		}
		return f.readEvents(x, a, load, stream)
	}
}

// readEvents reads a worker's events to the final one and returns the attempt's outcome, with load or the latest load
// report after it. It ends the exchange.
func (f *Front) readEvents(x *httpfront.Exchange, a *broker.Attempt, load []float64, stream *eventStream) broker.Outcome {
	events := NewScanner(x.Body, f.live.Get().SSE.MaxEventBytes)
	for {
		e, err := events.Next()
		if err != nil {
			return x.Abort() // cut before its final event: a lost connection, or the attempt's time is up
		}
		if e.Type == eventLoad {
			if report := x.ParseLoad([]byte(e.Data)); report != nil {
				load = report
			}
			continue
		}
		code, final := httpfront.CodeOfState(e.Type)
		if !final {
			reportProgress(a, e)
			stream.progress(a.Number, e)
			continue
		}
		x.DrainAndReuse()
		o := broker.Outcome{Code: code, Load: load}
		if code == broker.OK {
			o.Result = []byte(e.Data)
		}
		return o
	}
}

// reportProgress notifies the broker of what an event says of the job.
func reportProgress(a *broker.Attempt, e Event) {
	switch e.Type {
	case httpfront.StateStarted:
		a.ReportStarted()
	case eventProgress, httpfront.StateRunning:
		var progress struct {
			Share float64 `json:"share"` // done, from 0 to 1
		}
		if json.Unmarshal([]byte(e.Data), &progress) == nil {
			a.ReportProgress(progress.Share)
		}
	}
}
