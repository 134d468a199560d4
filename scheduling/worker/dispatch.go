package worker

import (
	"time"

	"yardflow/scheduling/taskrun"
)

// Limits for dispatch commands.
const (
	// maxTimesFenced is how many times the start of one run may be refused because of a higher token. Beyond it, unless that
	// token is this owner's own, commands pause for retryPause: another owner is active, and the control machines will
	// announce it.
	maxTimesFenced = 3
	// stopRetryInterval is the time after which a stop is sent again if the run is still listed as running.
	stopRetryInterval = 600 * time.Millisecond
)

// Weights, from 0 to 1, of faults that count against the worker in the placement of tasks (placement.Scheduler.RecordFault).
const (
	unansweredStartFault = 0.2
	rejectedStartFault   = 0.4 // the worker is unhealthy or unreachable, or refuses a valid command
	silentWorkerFault    = 0.6
	stuckRunFault        = 0.6
)

// recordFault adds a fault of the worker to the actions.
func (o *Owner) recordFault(weight float64) {
	o.actions.FaultWeights = append(o.actions.FaultWeights, weight)
}

// recordRunFault adds a fault of a run to the actions, which may be the job's own.
func (o *Owner) recordRunFault(r *run, weight float64) {
	o.actions.RunFaults = append(o.actions.RunFaults, RunFault{r.Task, weight})
}

// collectActions adds all actions that the present state allows. Every event handler ends with it.
func (o *Owner) collectActions(now time.Duration) {
	if o.IncarnationEnded() || now < o.pausedUntil {
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

// advanceRun starts or stops a run if necessary. If that first needs an answer of the worker, it adds the reason.
func (o *Owner) advanceRun(now time.Duration, r *run, reasons *pollReasons) {
	if r.phase == running && o.mustRelocate(now, r) {
		r.Stopping = true
	}
	switch {
	case r.phase == uncertain:
		reasons.reconciliation = true
	case r.phase == pending && (r.Stopping || o.draining || !o.contact.reachable || o.contact.unlistedAt > 0):
		o.conclude(r, taskrun.NotStarted, NeverDispatched)
	case r.phase == pending && o.contact.established && o.hasFreshContact(now):
		o.start(now, r)
	case r.phase == pending:
		reasons.freshness = true
	case r.phase == running && r.Stopping && (!r.stopSent || now-r.stopSentAt >= stopRetryInterval):
		o.stop(now, r)
	}
}

// start dispatches a run. The start command also grants the lease.
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

// HandleStartOutcome handles the outcome of a start command. ClockMs is the worker's clock if the worker answered, or 0.
func (o *Owner) HandleStartOutcome(now time.Duration, task string, number uint64, outcome Outcome, clockMs int64) {
	o.recordAnswer(now, outcome, clockMs)
	r := o.runs[task]
	if r != nil && r.Run == number && r.phase == dispatched {
		o.applyStartOutcome(now, r, outcome)
	} else if outcome == Unanswered { // the outcome no longer matters to the run, but the command may still take effect
		o.lease.recordUncertainGrant(now, o.fencingToken())
		o.raiseToken()
	}
	o.collectActions(now)
}

func (o *Owner) applyStartOutcome(now time.Duration, r *run, outcome Outcome) {
	switch outcome {
	case Accepted:
		o.markRunning(now, r)
	case Unanswered:
		r.phase = uncertain
		o.lease.recordUncertainGrant(now, r.fencingToken)
		o.raiseToken()
		o.recordFault(unansweredStartFault)
	case Fenced:
		o.handleFencedStart(now, r)
	case OutdatedRun, ArrivedLate:
		r.outdated = r.outdated || outcome == OutdatedRun
		r.phase = uncertain // the worker's lists show whether the run has ended there
		o.raiseToken()
	case NoCapacity:
		o.conclude(r, taskrun.NotStarted, Rejected)
	case Unhealthy:
		o.recordFault(rejectedStartFault)
		o.conclude(r, taskrun.NotStarted, Rejected)
	case Invalid:
		o.recordRunFault(r, rejectedStartFault)
		o.conclude(r, taskrun.NotStarted, Rejected)
	case Unreachable:
		o.recordFault(rejectedStartFault)
		o.conclude(r, taskrun.NotStarted, NeverSent)
	case OtherIncarnation:
		r.phase = uncertain // the owned incarnation did not get the command; the next poll shows whether it has ended
		o.raiseToken()
	}
}

// handleFencedStart handles a start that the worker refused because of a higher token. That token is either a later one of
// this owner or one of another owner. In the second case, commands pause after maxTimesFenced refusals, until the control
// machines have announced who owns the worker.
func (o *Owner) handleFencedStart(now time.Duration, r *run) {
	r.phase = uncertain
	if r.timesFenced++; r.fencingToken != o.fencingToken() {
		return
	}
	if r.timesFenced > maxTimesFenced {
		o.pausedUntil = now + retryPause
	}
	o.raiseToken()
}

// HandleStopOutcome handles the outcome of a stop command. The outcome does not show whether the run has stopped; only the
// worker's lists do.
func (o *Owner) HandleStopOutcome(now time.Duration, outcome Outcome, clockMs int64) {
	o.recordAnswer(now, outcome, clockMs)
	o.collectActions(now)
}
