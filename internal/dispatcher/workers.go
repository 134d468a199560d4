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

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/taskrun"
	"yardflow/scheduling/worker"
)

// Bounds of calls to workers.
const (
	connectWithin = 300 * time.Millisecond
	orderWithin   = 500 * time.Millisecond
	holdMargin    = 350 * time.Millisecond // beyond the time for which the worker may wait
	maxLists      = 4 << 20
	idleConns     = 4
)

// ownedWorker is a worker that this dispatcher owns, with its connections.
type ownedWorker struct {
	dispatcher *Dispatcher
	id         string
	service    string
	url        string
	agent      *worker.Owner
	client     *http.Client
	transport  *http.Transport
	closed     bool
	reportedAt time.Duration
}

func newOwnedWorker(d *Dispatcher, told *statemachine.Worker) *ownedWorker {
	transport := &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return d.network.Dial(address, connectWithin)
		},
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &ownedWorker{dispatcher: d, id: told.ID, service: told.Service, url: "http://" + told.Address,
		agent:  worker.NewOwner(d.now(), told.ID, told.Token, d.settings.Bounds.HoldMaxMs),
		client: &http.Client{Transport: transport}, transport: transport}
}

func (w *ownedWorker) close() {
	w.closed = true
	w.transport.CloseIdleConnections()
}

// flush makes the calls that the agent wants.
func (w *ownedWorker) flush(now time.Duration) {
	calls := w.agent.TakeActions()
	for _, hold := range calls.Polls {
		go w.hold(hold)
	}
	for _, start := range calls.Starts {
		go w.start(start)
	}
	for _, stop := range calls.Stops {
		go w.stop(stop)
	}
	for _, report := range calls.Reports {
		w.report(report)
	}
	for i := range calls.Checkpoints {
		w.dispatcher.uplink.submit(&statemachine.Command{Checkpoint: &calls.Checkpoints[i]}, func(statemachine.Result) {})
	}
	for _, id := range calls.StartedJobs {
		w.dispatcher.begun[id] = true
	}
	if calls.IncarnationEnded {
		w.dispatcher.logger.Info().Str("worker", w.id).Uint64("token", w.agent.Token()).Msg("another life answers at the worker's address")
		over := &statemachine.WorkerEnded{Worker: w.id, Token: w.agent.Token()}
		w.dispatcher.uplink.submit(&statemachine.Command{WorkerEnded: over}, func(statemachine.Result) {})
	}
	for _, weight := range calls.FaultWeights {
		w.dispatcher.placer(w.service).RecordFault(now, w.id, weight)
	}
}

func (w *ownedWorker) report(report worker.EndReport) {
	ended := report.Ended
	if ended.Reason == taskrun.Lost {
		w.dispatcher.logger.Info().Str("worker", w.id).Str("task", ended.Task.Name(ended.Job)).Uint64("run", ended.Run).
			Uint64("token", ended.Token).Stringer("evidence", report.Evidence).Msg("run given up")
	}
	w.dispatcher.logger.Debug().Str("worker", w.id).Str("task", ended.Task.Name(ended.Job)).Uint64("run", ended.Run).
		Stringer("how", ended.Reason).Msg("end told")
	if ended.Reason < taskrun.NotStarted {
		delete(w.dispatcher.begun, ended.Job) // the end tells that it has begun
	}
	w.dispatcher.uplink.submit(&statemachine.Command{RunEnded: &ended}, func(result statemachine.Result) {
		if result.Code == statemachine.OK && report.Number > 0 && !w.closed {
			w.agent.AcknowledgeEnd(w.dispatcher.now(), report.Number)
		}
	})
}

// The bodies on the wire.
type holdBody struct {
	UntilMs    int64 `json:",omitempty"`
	FenceToken uint64
	LastSeen   uint64
	WaitMs     int64 `json:",omitempty"`
}

type startBody struct {
	Task         string
	Command      uint64
	Spec         string
	UntilMs      int64
	FenceToken   uint64
	Checkpointed string `json:",omitempty"`
}

type stopBody struct {
	Task       string
	Command    uint64
	FenceToken uint64
}

type answerBody struct {
	ClockMs int64
	Reason  string
	Running [][]json.RawMessage
	Ended   [][]json.RawMessage
}

func (w *ownedWorker) hold(hold worker.Poll) {
	within := time.Duration(hold.WaitMs)*time.Millisecond + holdMargin
	answer, body := w.call("/-/hold", holdBody{hold.LeaseUntilMs, hold.FencingToken, hold.AcknowledgedEnd, hold.WaitMs}, within)
	lists := worker.PollAnswer{ClockMs: body.ClockMs}
	if answer == worker.Accepted {
		lists.Running = readRunning(body.Running)
		lists.Ended = readEnded(body.Ended)
	}
	w.dispatcher.do(func() {
		if !w.closed {
			w.agent.HandlePollOutcome(w.dispatcher.now(), hold, answer, lists)
		}
	})
}

func (w *ownedWorker) start(start worker.StartCommand) {
	sentAt := w.dispatcher.now()
	answer, body := w.call("/-/run-start", startBody{start.Task, start.Run, start.Spec, start.LeaseUntilMs,
		start.FencingToken, start.Checkpoint}, orderWithin)
	w.dispatcher.logger.Debug().Str("task", start.Task).Uint64("run", start.Run).Str("worker", w.id).
		Stringer("answer", answer).Dur("took", w.dispatcher.now()-sentAt).Msg("order")
	w.dispatcher.do(func() {
		if !w.closed {
			w.agent.HandleStartOutcome(w.dispatcher.now(), start.Task, start.Run, answer, body.ClockMs)
		}
	})
}

func (w *ownedWorker) stop(stop worker.StopCommand) {
	answer, body := w.call("/-/run-stop", stopBody{stop.Task, stop.Run, stop.FencingToken}, orderWithin)
	w.dispatcher.do(func() {
		if !w.closed {
			w.agent.HandleStopOutcome(w.dispatcher.now(), answer, body.ClockMs)
		}
	})
}

// call makes one call to the worker. An answer that can't be told counts as Unanswered.
func (w *ownedWorker) call(path string, message any, within time.Duration) (worker.Outcome, answerBody) {
	body := answerBody{}
	data, err := json.Marshal(message)
	if err != nil {
		panic(err) // the types above can always be written
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+path, bytes.NewReader(data))
	if err != nil {
		return worker.Invalid, body
	}
	request.GetBody = nil // never sent twice by the transport itself
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Yardflow-Expect-Instance", w.id)
	response, err := w.client.Do(request)
	if err != nil {
		w.transport.CloseIdleConnections() // what killed this connection may have killed others
		if neverSent(err) {
			return worker.Unreachable, body
		}
		return worker.Unanswered, body
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxLists))
	if err != nil {
		return worker.Unanswered, body
	}
	if len(text) > 0 && json.Unmarshal(text, &body) != nil && response.StatusCode == http.StatusOK {
		return worker.Unanswered, answerBody{}
	}
	return classify(response.StatusCode, body.Reason), body
}

func neverSent(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func classify(status int, reason string) worker.Outcome {
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

func readRunning(rows [][]json.RawMessage) []worker.RunStatus {
	list := make([]worker.RunStatus, 0, len(rows))
	for _, row := range rows {
		entry := worker.RunStatus{}
		if len(row) >= 4 && decodeAll(row, &entry.Task, &entry.Run, &entry.Checkpoint, &entry.Percent) {
			list = append(list, entry)
		}
	}
	return list
}

func readEnded(rows [][]json.RawMessage) []worker.EndedRun {
	list := make([]worker.EndedRun, 0, len(rows))
	for _, row := range rows {
		entry, how := worker.EndedRun{}, ""
		if len(row) >= 5 && decodeAll(row, &entry.Number, &entry.Task, &entry.Run, &how, &entry.Checkpoint) {
			entry.Reason = taskrun.ParseEndReason(how)
			list = append(list, entry)
		}
	}
	return list
}

func decodeAll(row []json.RawMessage, targets ...any) bool {
	for i, target := range targets {
		if json.Unmarshal(row[i], target) != nil {
			return false
		}
	}
	return true
}
