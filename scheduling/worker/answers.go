package worker

import (
	"time"

	"yardflow/scheduling/job"
	"yardflow/scheduling/taskrun"
)

// HandleStartOutcome enters how an order to start came out.
func (a *Owner) HandleStartOutcome(now time.Duration, task string, command uint64, answer Outcome, clockMs int64) {
	a.heard(now, answer, clockMs)
	r := a.runs[task]
	if r == nil || r.Run != command || r.phase != ordered {
		if answer == Unanswered {
			a.mayLengthen(now, a.fence())
			a.bumps++
		}
		a.act(now)
		return
	}
	switch answer {
	case Accepted:
		a.begin(now, r)
	case Unanswered:
		r.phase = owed
		a.mayLengthen(now, r.fence)
		a.bumps++
		a.out.FaultWeights = append(a.out.FaultWeights, 0.2)
	case Fenced:
		a.fenced(now, r)
	case OutdatedRun, ArrivedLate:
		r.outdated = r.outdated || answer == OutdatedRun
		r.phase = owed // the lists tell whether it ended here
		a.bumps++
	case NoCapacity:
		a.release(r, taskrun.NotStarted, Rejected)
	case Unhealthy, Invalid:
		a.out.FaultWeights = append(a.out.FaultWeights, 0.4)
		a.release(r, taskrun.NotStarted, Rejected)
	case Unreachable:
		a.out.FaultWeights = append(a.out.FaultWeights, 0.4)
		a.release(r, taskrun.NotStarted, NeverSent)
	case OtherIncarnation:
		r.phase = owed // this life has not taken the order; whether it is over the next look shows
		a.bumps++
	}
	a.act(now)
}

// begin enters that a run is at work.
func (a *Owner) begin(now time.Duration, r *run) {
	r.phase, r.knownFrom, r.movedAt, r.startedAt = running, a.sequence+1, now, now
	if id, _, ok := job.ParseTaskName(r.Task); ok && r.FirstOfJob {
		a.out.StartedJobs = append(a.out.StartedJobs, id)
	}
}

// fenced handles an order that a higher token overtook: either an own settlement, or another owner. In the
// second case orders pause, until the control machines have told who owns the worker.
func (a *Owner) fenced(now time.Duration, r *run) {
	r.phase = owed
	if r.fences++; r.fence != a.fence() {
		return
	}
	if r.fences > fencesBeforePause {
		a.fencedUntil = now + retryPause
	}
	a.bumps++
}

// HandleStopOutcome enters how an order to stop came out.
func (a *Owner) HandleStopOutcome(now time.Duration, task string, command uint64, answer Outcome, clockMs int64) {
	a.heard(now, answer, clockMs)
	a.act(now)
}

// heard takes in what every answer shows: that the worker is there, and its clock.
func (a *Owner) heard(now time.Duration, answer Outcome, clockMs int64) {
	switch answer {
	case Unanswered, Unreachable:
		return
	case OtherIncarnation:
		a.metOtherLife()
		return
	}
	a.otherLives = 0
	a.answeredAt, a.reachable, a.suspect, a.quickFailures = now, true, false, 0
	if clockMs > 0 {
		a.clockMs, a.clockAt, a.hasClock = clockMs, now, true
	}
}

// metOtherLife enters an answer of another life at the address. A second one in a row proves that this life is over.
func (a *Owner) metOtherLife() {
	a.otherLives++
	a.suspect = true
	if a.otherLives == otherLivesProve {
		a.out.IncarnationEnded = true
	}
}

// HandlePollOutcome enters how a hold came out.
func (a *Owner) HandlePollOutcome(now time.Duration, hold Poll, answer Outcome, lists PollAnswer) {
	if a.long == hold.Sequence {
		a.long = 0
	}
	if a.short == hold.Sequence {
		a.short = 0
	}
	a.heard(now, answer, lists.ClockMs)
	switch answer {
	case Accepted:
		a.told = max(a.told, hold.AcknowledgedEnd)
		a.settle(now, hold, &lists)
		if a.highest > a.noted() {
			a.holdAt = now + notedWithin
		}
	case OtherIncarnation:
		a.holdAt = 0
	case Fenced:
		if hold.FencingToken == a.fence() {
			a.bumps++
		}
		a.holdAt = now + retryPause
	default:
		a.holdFailed(now, hold, answer)
	}
	a.act(now)
}

func (a *Owner) holdFailed(now time.Duration, hold Poll, answer Outcome) {
	if answer == Unanswered && hold.LeaseUntilMs > 0 {
		a.mayLengthen(now, hold.FencingToken)
		a.bumps++
	}
	switch {
	case hold.WaitMs > 0:
		a.suspect = true // a short look shows whether the worker is there
	case answer == Unanswered && now-a.shortAt < quickFailure && a.quickFailures < 2:
		a.quickFailures++ // the connection broke; a new one shows more
	case now-a.answeredAt > freshFor:
		a.reachable = false
		a.holdAt = now + retryPause
		a.out.FaultWeights = append(a.out.FaultWeights, 0.6)
	default:
		a.holdAt = now + freshFor
	}
}

// settle takes in a worker's lists.
func (a *Owner) settle(now time.Duration, hold Poll, lists *PollAnswer) {
	if !a.contacted {
		a.contacted = true
		a.untilMax = max(a.untilMax, lists.ClockMs+a.mostMs) // a former owner may have given so much
	}
	if hold.FencingToken > a.lateFence {
		a.lateUntil = 0 // what was ordered under lower tokens does nothing any more
	}
	seen := map[string]bool{}
	for _, end := range lists.Ended {
		a.ended(end)
		if r := a.runs[end.Task]; r != nil && r.Run == end.Run {
			seen[end.Task] = true
		}
	}
	for _, listed := range lists.Running {
		r := a.runs[listed.Task]
		if r == nil || r.Run != listed.Run {
			if r == nil || r.Run > listed.Run {
				a.out.Stops = append(a.out.Stops, StopCommand{listed.Task, listed.Run, a.fence()})
			}
			continue
		}
		seen[listed.Task] = true
		a.atWork(now, r, listed)
	}
	for _, task := range a.tasks() {
		r := a.runs[task]
		if seen[task] {
			continue
		}
		switch {
		case r.phase == owed && hold.FencingToken > r.fence && r.outdated:
			a.release(r, taskrun.NotStarted, NeverDispatched)
		case r.phase == owed && hold.FencingToken > r.fence:
			r.phase = wanted
		case r.phase == running && hold.Sequence >= r.knownFrom && len(lists.Ended) < endsAtOnce:
			a.release(r, taskrun.Lost, MissingFromAnswer)
		}
	}
}

// ended takes in one end that the worker tells, once.
func (a *Owner) ended(end EndedRun) {
	if end.Number <= a.lastSeen {
		return
	}
	a.highest = max(a.highest, end.Number)
	if _, told := a.reported[end.Number]; told {
		return
	}
	if len(a.reported) == 0 && a.lastSeen == 0 {
		a.lastSeen = end.Number - 1 // what came before was noted by a former owner
	}
	a.reported[end.Number] = false
	if r := a.runs[end.Task]; r != nil && r.Run == end.Run {
		r.phase = over
	}
	a.report(end.Number, end.Task, end.Run, end.Reason, end.Checkpoint, ReportedByWorker)
}

// atWork takes in that a run is at work, and how far it is.
func (a *Owner) atWork(now time.Duration, r *run, listed RunStatus) {
	if r.phase == over {
		return
	}
	if r.phase != running {
		a.begin(now, r)
	}
	if listed.Percent != r.percent {
		r.percent, r.movedAt = listed.Percent, now
	}
	if r.RecordCheckpoints && listed.Checkpoint != "" && listed.Checkpoint != r.saved {
		r.saved = listed.Checkpoint
		if id, key, ok := job.ParseTaskName(r.Task); ok {
			a.checkpoints++
			a.out.Checkpoints = append(a.out.Checkpoints, taskrun.Checkpoint{Worker: a.id, Job: id, Task: key,
				Run: r.Run, Data: listed.Checkpoint, Token: a.token, Sequence: a.checkpoints})
		}
	}
	stuck := max(stuckAfter, time.Duration(stuckFactor*float64(r.EstimateMs))*time.Millisecond/4)
	if !r.Stopping && !r.UntilStopped && now-r.movedAt > stuck {
		r.Stopping = true
		a.out.FaultWeights = append(a.out.FaultWeights, 0.6)
	}
}
