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

// Bounds of calls to workers.
const (
	connectTimeout = 300 * time.Millisecond
	commandTimeout = 500 * time.Millisecond
	// pollMargin is the time-out of a poll beyond the time for which the worker may delay its answer.
	pollMargin     = 350 * time.Millisecond
	maxAnswerBytes = 4 << 20 // a longer one does not parse, and counts as none

	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second
)

// The protocol's calls to a worker.
const (
	pollPath  = "/-/hold"
	startPath = "/-/run-start"
	stopPath  = "/-/run-stop"
	// incarnationHeader names the worker that a call is meant for; another one at the address refuses it.
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

// answerBody is the answer to any of them. The lists' entries are arrays.
type answerBody struct {
	ClockMs int64               `json:"ClockMs"`
	Reason  string              `json:"Reason"`
	Running [][]json.RawMessage `json:"Running"`
	Ended   [][]json.RawMessage `json:"Ended"`
}

// call makes one call to the worker. Whatever leaves open whether the call was carried out counts as Unanswered.
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
	request.GetBody = nil // so that the transport itself never sends it twice
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(incarnationHeader, w.id)
	response, err := w.client.Do(request)
	if err != nil {
		w.transport.CloseIdleConnections() // what broke this connection may have broken others
		if isDialError(err) {
			return worker.Unreachable, body
		}
		return worker.Unanswered, body
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return worker.Unanswered, body
	}
	if len(text) > 0 && json.Unmarshal(text, &body) != nil && response.StatusCode == http.StatusOK {
		return worker.Unanswered, answerBody{}
	}
	return outcomeOfResponse(response.StatusCode, body.Reason), body
}

// isDialError reports whether there was no connection, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// outcomeOfResponse interprets a worker's status and reason, as the protocol defines them.
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

// decodeRunning decodes the list of running tasks. An entry that can't be decoded is skipped, here and below.
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

// decodeEnded decodes the list of ended runs.
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

// decodeRow decodes the first elements of an array. Elements beyond the targets are left to later versions.
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
