package httpfront

// This file reads a worker's response: a JSON object a line, the last of which is the job's end, with load reports.

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"

	"yardflow/internal/gateway/broker"
)

// maxLineBytes bounds a line of a response: a result of 64 KiB, escaped as JSON. A longer line ends the attempt as a cut
// connection.
const maxLineBytes = 256 << 10

// States of a job that workers send, as status lines or as events.
const (
	StateStarted  = "started"
	StateRunning  = "running"
	StateDone     = "done"     // final: with the result
	StateFailed   = "failed"   // final
	StateReturned = "returned" // final: the job never ran
	StateLost     = "lost"     // final: the worker doesn't know whether the job ran
)

// CodeOfState returns the outcome that a state ends an attempt with; final is false for progress, and for a state of a
// later version of the protocol.
func CodeOfState(state string) (code broker.Code, final bool) {
	switch state {
	case StateDone:
		return broker.OK, true
	case StateFailed:
		return broker.Failed, true
	case StateReturned:
		return broker.Rejected, true
	case StateLost:
		return broker.ConnectionLost, true
	}
	return 0, false
}

// statusLine is one line of a worker's response.
type statusLine struct {
	ID     string          `json:"id"`
	State  string          `json:"state"`
	Share  float64         `json:"share"`
	Result json.RawMessage `json:"result"`
	Load   json.RawMessage `json:"load"`
}

// AttemptFunc returns the attempt function of a client's request at this front.
func (l *WorkerConns) AttemptFunc(job *JobRequest) broker.AttemptFunc {
	return func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		x, o := l.StartAttempt(ctx, a, job, "")
		if x == nil {
			return o
		}
		return x.ReadLines(a, job, x.HeaderLoad(), nil)
	}
}

// ReadLines reads a worker's status lines to the final one and returns the attempt's outcome, with load or the latest
// load report after it. It ends the exchange. Each line that is not final goes to progress too, where that is not nil.
func (x *Exchange) ReadLines(a *broker.Attempt, job *JobRequest, load []float64, progress func(state string, line []byte)) broker.Outcome {
	for {
		text, err := readLine(x.Body)
		if err != nil {
			return x.Abort()
		}
		if len(text) == 0 {
			continue
		}
		var line statusLine
		if json.Unmarshal(text, &line) != nil || line.ID != job.ID {
			return x.abortUnreadable() // not this request's response: what the worker did is not known
		}
		if report := x.ParseLoad(line.Load); report != nil {
			load = report
		}
		code, final := CodeOfState(line.State)
		if !final {
			line.report(a)
			if progress != nil {
				progress(line.State, text)
			}
			continue
		}
		o := broker.Outcome{Code: code, Load: load}
		if code == broker.OK {
			var ok bool
			if o.Result, ok = resultBytes(line.Result); !ok {
				return x.abortUnreadable()
			}
		}
		x.DrainAndReuse()
		return o
	}
}

// abortUnreadable ends an exchange whose response makes no sense: the job may have run.
func (x *Exchange) abortUnreadable() broker.Outcome {
	x.Abort()
	return broker.Outcome{Code: broker.ConnectionLost}
}

// report notifies the module of a line that is not final.
func (l *statusLine) report(a *broker.Attempt) {
	switch l.State {
	case StateStarted:
		a.ReportStarted()
	case StateRunning:
		a.ReportProgress(l.Share)
	}
}

// resultBytes returns a result as the client is to get it: the characters of a string, anything else as it was written.
// It is false for a result that is missing or no JSON.
func resultBytes(raw json.RawMessage) ([]byte, bool) {
	if len(raw) == 0 {
		return nil, false
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

// readLine reads one line of at most maxLineBytes. A last line without its end belongs to a stream that was cut off.
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
