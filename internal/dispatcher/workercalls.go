package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"yardflow/scheduling/taskrun"
	"yardflow/scheduling/worker"
)

// Timeouts and limits of calls to workers.
const (
	connectTimeout = 300 * time.Millisecond
	commandTimeout = 500 * time.Millisecond
	// pollMargin is added to the time for which the worker may delay its answer to get the timeout of a poll.
	pollMargin     = 350 * time.Millisecond
	maxAnswerBytes = 4 << 20 // a longer answer is cut, fails to parse, and counts as no answer

	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
)

// Paths and header of the worker protocol.
const (
	pollPath  = "/-/hold"
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
	// incarnationHeader has the ID of the worker that the call is meant for. Another worker at the same address rejects it.
	incarnationHeader = "Yardflow-Expect-Instance"
)

type pollBody struct {
	LeaseUntilMs    int64  `json:"UntilMs,omitempty"`
	FencingToken    uint64 `json:"FenceToken"`
	AcknowledgedEnd uint64 `json:"LastSeen"`
	WaitMs          int64  `json:"WaitMs,omitempty"`
}

type startBody struct {
	Task         string `json:"Task"`
	Run          uint64 `json:"Command"`
	Spec         string `json:"Spec"`
	LeaseUntilMs int64  `json:"UntilMs"`
	FencingToken uint64 `json:"FenceToken"`
	Checkpoint   string `json:"Checkpointed,omitempty"`
}

type stopBody struct {
	Task         string `json:"Task"`
	Run          uint64 `json:"Command"`
	FencingToken uint64 `json:"FenceToken"`
}

// answerBody is the body of the answer to each of these calls. The entries of its lists are JSON arrays.
type answerBody struct {
	ClockMs int64               `json:"ClockMs"`
	Reason  string              `json:"Reason"`
	Running [][]json.RawMessage `json:"Running"`
	Ended   [][]json.RawMessage `json:"Ended"`
}

// call makes one call to the worker. If it is not known whether the worker carried out the call, the outcome is Unanswered.
func (w *ownedWorker) call(path string, message any, timeout time.Duration) (worker.Outcome, answerBody) {
	body := answerBody{}
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the types above can always be encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+path, bytes.NewReader(data))
	if err != nil {
		return worker.Invalid, body
	}
	request.GetBody = nil // so that the transport never retries the request
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(incarnationHeader, w.id)
	response, err := w.client.Do(request)
	if err != nil {
		w.transport.CloseIdleConnections() // the same failure may have broken other connections
		if isDialError(err) {
			return worker.Unreachable, body
		}
		return worker.Unanswered, body
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return worker.Unanswered, body
	}
	if len(responseBody) > 0 && json.Unmarshal(responseBody, &body) != nil && response.StatusCode == http.StatusOK {
		return worker.Unanswered, answerBody{}
	}
	return outcomeOfResponse(response.StatusCode, body.Reason), body
}

// isDialError reports whether the connection could not be established, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// outcomeOfResponse maps the status and the reason of a worker's answer to an outcome, as the protocol defines them.
func outcomeOfResponse(status int, reason string) worker.Outcome {
	switch status {
	case http.StatusOK:
		return worker.Accepted
	case http.StatusConflict:
		switch reason {
		case "fence":
			return worker.Fenced
		case "old":
			return worker.OutdatedRun
		case "late":
			return worker.ArrivedLate
		case "room":
			return worker.NoCapacity
		}
		return worker.Invalid
	case http.StatusMisdirectedRequest:
		return worker.OtherIncarnation
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return worker.Unhealthy
	case http.StatusBadRequest:
		return worker.Invalid
	}
	return worker.Unanswered
}

// decodeRunning decodes the list of running tasks. It skips entries that can't be decoded.
func decodeRunning(rows [][]json.RawMessage) []worker.RunStatus {
	statuses := make([]worker.RunStatus, 0, len(rows))
	for _, row := range rows {
		status := worker.RunStatus{}
		if decodeRow(row, &status.Task, &status.Run, &status.Checkpoint, &status.Percent) {
			statuses = append(statuses, status)
		}
	}
	return statuses
}

// decodeEnded decodes the list of ended runs. It skips entries that can't be decoded.
func decodeEnded(rows [][]json.RawMessage) []worker.EndedRun {
	ends := make([]worker.EndedRun, 0, len(rows))
	for _, row := range rows {
		end, reason := worker.EndedRun{}, ""
		if decodeRow(row, &end.Number, &end.Task, &end.Run, &reason, &end.Checkpoint) {
			end.Reason = taskrun.ParseEndReason(reason)
			ends = append(ends, end)
		}
	}
	return ends
}

// decodeRow decodes the first elements of an array into the targets. It ignores further elements, which later versions of
// the protocol may add.
func decodeRow(row []json.RawMessage, targets ...any) bool {
	if len(row) < len(targets) {
		return false
	}
	for i, target := range targets {
		if json.Unmarshal(row[i], target) != nil {
			return false
		}
	}
	return true
}
