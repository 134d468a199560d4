package dispatcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"yardflow/internal/control/statemachine"
	"yardflow/scheduling/job"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/taskrun"
	"yardflow/scheduling/worker"
)

// ownedWorker is a worker that this dispatcher owns: the state machine of the ownership, and the connections to the worker.
// It belongs to the event loop. Each call to the worker runs in its own goroutine, which ends at the call's timeout at the
// latest.
type ownedWorker struct {
	dispatcher *Dispatcher
	id         string
	service    string
	url        string
	owner      *worker.Owner
	client     *http.Client
	transport  *http.Transport
	closed     bool // no longer owned under this token: later outcomes are dropped
}

func newOwnedWorker(d *Dispatcher, state *statemachine.Worker) *ownedWorker {
	transport := &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return d.network.Dial(address, connectTimeout)
		},
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &ownedWorker{dispatcher: d, id: state.ID, service: state.Service, url: "http://" + state.Address,
		owner:  worker.NewOwner(d.now(), state.ID, state.Token, d.settings.Bounds.HoldMaxMs),
		client: &http.Client{Transport: transport}, transport: transport}
}

// close ends the ownership. Calls in flight continue, and their outcomes are dropped.
func (w *ownedWorker) close() {
	w.closed = true
	w.transport.CloseIdleConnections()
}

// flush carries out the actions that the owner has collected.
func (w *ownedWorker) flush(now time.Duration) {
	d := w.dispatcher
	actions := w.owner.TakeActions()
	for _, poll := range actions.Polls {
		go w.poll(poll)
	}
	for _, start := range actions.Starts {
		go w.start(start)
	}
	for _, stop := range actions.Stops {
		go w.stop(stop)
	}
	for _, report := range actions.Reports {
		w.reportEnd(report)
	}
	for i := range actions.Checkpoints {
		d.uplink.submit(&statemachine.Command{Checkpoint: &actions.Checkpoints[i]}, func(statemachine.Result) {})
	}
	for _, id := range actions.StartedJobs {
		d.startedJobs.ids[id] = true
	}
	if actions.IncarnationEnded {
		w.reportIncarnationEnded()
	}
	for _, weight := range actions.FaultWeights {
		d.scheduler(w.service).RecordFault(now, w.id, weight)
	}
	for _, fault := range actions.RunFaults {
		w.recordRunFault(now, fault)
	}
}

func (w *ownedWorker) recordRunFault(now time.Duration, fault worker.RunFault) {
	if id, key, ok := job.ParseTaskName(fault.Task); ok {
		w.dispatcher.scheduler(w.service).RecordRunFault(now, w.id,
			placement.RunFault{RunRef: placement.RunRef{Job: id, Step: key.Step}, Weight: fault.Weight})
	}
}

func (w *ownedWorker) reportIncarnationEnded() {
	w.dispatcher.logger.Info().Str("worker", w.id).Uint64("token", w.owner.Token()).
		Msg("another incarnation answers at the worker's address")
	ended := &statemachine.WorkerEnded{Worker: w.id, Token: w.owner.Token()}
	w.dispatcher.uplink.submit(&statemachine.Command{WorkerEnded: ended}, func(statemachine.Result) {})
}

// reportEnd reports the end of a run to the control machines. The end is acknowledged to the worker, which then forgets it,
// only after the report is committed.
func (w *ownedWorker) reportEnd(report worker.EndReport) {
	d, ended := w.dispatcher, report.Ended
	if ended.Reason == taskrun.Lost {
		d.logger.Info().Str("worker", w.id).Str("task", ended.Task.Name(ended.Job)).Uint64("run", ended.Run).
			Uint64("token", ended.Token).Stringer("evidence", report.Evidence).Msg("run declared lost")
	}
	d.logger.Debug().Str("worker", w.id).Str("task", ended.Task.Name(ended.Job)).Uint64("run", ended.Run).
		Stringer("how", ended.Reason).Msg("end told")
	if ended.Reason.ReportedByWorker() {
		delete(d.startedJobs.ids, ended.Job) // the end itself shows that the job has started
	}
	d.uplink.submit(&statemachine.Command{RunEnded: &ended}, func(result statemachine.Result) {
		if result.Code == statemachine.OK && report.Number > 0 && !w.closed {
			w.owner.AcknowledgeEnd(d.now(), report.Number)
		}
	})
}

// poll sends a poll to the worker and posts its outcome to the owner.
func (w *ownedWorker) poll(poll worker.Poll) {
	timeout := time.Duration(poll.WaitMs)*time.Millisecond + pollMargin
	outcome, body := w.call(pollPath, pollBody{poll.LeaseUntilMs, poll.FencingToken, poll.AcknowledgedEnd,
		poll.WaitMs}, timeout)
	answer := worker.PollAnswer{ClockMs: body.ClockMs}
	if outcome == worker.Accepted {
		answer.Running = decodeRunning(body.Running)
		answer.Ended = decodeEnded(body.Ended)
	}
	w.postOutcome(func(now time.Duration) { w.owner.HandlePollOutcome(now, poll, outcome, answer) })
}

// start sends a start command to the worker and posts its outcome to the owner.
func (w *ownedWorker) start(start worker.StartCommand) {
	sentAt := w.dispatcher.now()
	outcome, body := w.call(startPath, startBody{start.Task, start.Run, start.Spec, start.LeaseUntilMs,
		start.FencingToken, start.Checkpoint}, commandTimeout)
	w.dispatcher.logger.Debug().Str("task", start.Task).Uint64("run", start.Run).Str("worker", w.id).
		Stringer("answer", outcome).Dur("took", w.dispatcher.now()-sentAt).Msg("order")
	w.postOutcome(func(now time.Duration) { w.owner.HandleStartOutcome(now, start.Task, start.Run, outcome, body.ClockMs) })
}

// stop sends a stop command to the worker and posts its outcome to the owner.
func (w *ownedWorker) stop(stop worker.StopCommand) {
	outcome, body := w.call(stopPath, stopBody{stop.Task, stop.Run, stop.FencingToken}, commandTimeout)
	w.postOutcome(func(now time.Duration) { w.owner.HandleStopOutcome(now, outcome, body.ClockMs) })
}

// postOutcome posts the function that handles an outcome to the event loop, where it is dropped if the worker is no longer
// owned.
func (w *ownedWorker) postOutcome(handleOutcome func(now time.Duration)) {
	w.dispatcher.post(func() {
		if !w.closed {
			handleOutcome(w.dispatcher.now())
		}
	})
}
