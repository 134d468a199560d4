package worker

import (
	"time"

	"yardflow/scheduling/taskrun"
)

// Bounds of dispatch commands.
const (
	// maxTimesFenced is how often one run's start may be overtaken by a token that is not this owner's own raise. Beyond
	// it, commands pause for retryPause: another owner is at work, and the control machines will say so.
	maxTimesFenced = 3
	// stopRetryInterval is after what time a stop is sent again to a run that is still listed.
	stopRetryInterval = 600 * time.Millisecond
)

// Weights, from 0 to 1, of faults that count against the worker where tasks are placed (placement.Scheduler.RecordFault).
const (
	unansweredStartFault = 0.2
	rejectedStartFault   = 0.4 // unhealthy, not reachable, or it refuses what is valid
	silentWorkerFault    = 0.6
	stuckRunFault        = 0.6
)

// recordFault counts a fault of the worker.
func (o *Owner) recordFault(weight float64) {
	o.actions.FaultWeights = append(o.actions.FaultWeights, weight)
}

// act does whatever can be done now. Every event ends with it.
func (o *Owner) act(now time.Duration) {
	if o.IncarnationEnded() || now < o.fencedUntil {
		return
	}
	switch {
	case o.leaseExpired(now):
		o.declareLost(LeaseExpired)
	case o.unlistedAndSilent(now):
		o.declareLost(UnlistedAndSilent)
	}
	reasons := pollReasons{reconciliation: !o.contact.established}
	for _, task := range o.sortedTasks() {
		o.advanceRun(now, o.runs[task], &reasons)
	}
	if now >= o.polls.notBefore {
		o.poll(now, reasons)
	}
}

// advanceRun starts or stops a run where that is due, and adds the reasons for which it needs an answer first.
func (o *Owner) advanceRun(now time.Duration, r *run, reasons *pollReasons) {
	if r.phase == running && o.mustMove(now, r) {
		r.Stopping = true
	}
	switch {
	case r.phase == uncertain:
		reasons.reconciliation = true
	case r.phase == pending && (r.Stopping || o.draining || !o.contact.reachable || o.contact.unlistedAt > 0):
		o.conclude(r, taskrun.NotStarted, NeverDispatched)
	case r.phase == pending && o.contact.established && o.fresh(now):
		o.start(now, r)
	case r.phase == pending:
		reasons.freshness = true
	case r.phase == running && r.Stopping && (!r.stopSent || now-r.stopSentAt >= stopRetryInterval):
		o.stop(now, r)
	}
}

// start dispatches a run. The command grants the lease as well.
func (o *Owner) start(now time.Duration, r *run) {
	r.phase, r.fencingToken = dispatched, o.fencingToken()
	o.lease.renewedAt = now
	o.actions.Starts = append(o.actions.Starts, StartCommand{Task: r.Task, Run: r.Run, Spec: r.Spec,
		LeaseUntilMs: o.lease.grant(now), FencingToken: r.fencingToken, Checkpoint: r.Checkpoint})
}

func (o *Owner) stop(now time.Duration, r *run) {
	r.stopSent, r.stopSentAt = true, now
	o.actions.Stops = append(o.actions.Stops, StopCommand{r.Task, r.Run, o.fencingToken()})
}

// HandleStartOutcome takes in the outcome of a start command, and the worker's clock where it answered, in ms, or 0.
func (o *Owner) HandleStartOutcome(now time.Duration, task string, number uint64, outcome Outcome, clockMs int64) {
	o.recordAnswer(now, outcome, clockMs)
	r := o.runs[task]
	if r != nil && r.Run == number && r.phase == dispatched {
		o.applyStartOutcome(now, r, outcome)
	} else if outcome == Unanswered { // the run is not placed any more, but the command may still start it
		o.lease.mayExtend(now, o.fencingToken())
		o.raiseToken()
	}
	o.act(now)
}

func (o *Owner) applyStartOutcome(now time.Duration, r *run, outcome Outcome) {
	switch outcome {
	case Accepted:
		o.markRunning(now, r)
	case Unanswered:
		r.phase = uncertain
		o.lease.mayExtend(now, r.fencingToken)
		o.raiseToken()
		o.recordFault(unansweredStartFault)
	case Fenced:
		o.handleFencedStart(now, r)
	case OutdatedRun, ArrivedLate:
		r.outdated = r.outdated || outcome == OutdatedRun
		r.phase = uncertain // the lists show whether the run has ended there
		o.raiseToken()
	case NoCapacity:
		o.conclude(r, taskrun.NotStarted, Rejected)
	case Unhealthy, Invalid:
		o.recordFault(rejectedStartFault)
		o.conclude(r, taskrun.NotStarted, Rejected)
	case Unreachable:
		o.recordFault(rejectedStartFault)
		o.conclude(r, taskrun.NotStarted, NeverSent)
	case OtherIncarnation:
		r.phase = uncertain // the owned incarnation has not taken the command; the next poll shows whether it has ended
		o.raiseToken()
	}
}

// handleFencedStart handles a start that a higher token overtook: either a raise of this owner's, or another owner's. In
// the second case commands pause, until the control machines have said who owns the worker.
func (o *Owner) handleFencedStart(now time.Duration, r *run) {
	r.phase = uncertain
	if r.timesFenced++; r.fencingToken != o.fencingToken() {
		return
	}
	if r.timesFenced > maxTimesFenced {
		o.fencedUntil = now + retryPause
	}
	o.raiseToken()
}

// HandleStopOutcome takes in the outcome of a stop command. Whether the run has stopped is shown by the worker's lists
// alone.
func (o *Owner) HandleStopOutcome(now time.Duration, outcome Outcome, clockMs int64) {
	o.recordAnswer(now, outcome, clockMs)
	o.act(now)
}
