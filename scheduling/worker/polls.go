package worker

import (
	"time"

	"yardflow/scheduling/taskrun"
)

// Bounds of polls.
const (
	// longPollMs is how long the worker may delay its answer to a long poll until a run ends.
	longPollMs = 600
	// retryPause is the time before the next poll of a worker that is silent, or that has seen a higher token.
	retryPause = 250 * time.Millisecond
	// A short poll that fails within brokenConnectionWithin broke with its connection and is repeated at once, on a new
	// one, up to maxBrokenConnections times in a row. Then the worker counts as unreachable.
	brokenConnectionWithin = 60 * time.Millisecond
	maxBrokenConnections   = 2
	// endCommitWait is how long the next poll waits for the control machines to commit the ends that were listed.
	endCommitWait = 500 * time.Millisecond
)

// polls are the polls in flight: a long one that waits for the next end, and beside it a short one where an answer is
// needed at once.
type polls struct {
	sequence          uint64 // of the newest poll
	long              uint64 // sequence of the long poll in flight, or 0
	short             uint64 // sequence of the short poll in flight, or 0
	shortAt           time.Duration
	brokenConnections int           // short polls in a row whose connections broke at once
	notBefore         time.Duration // no poll is sent before then
}

// answered removes a poll from those in flight.
func (p *polls) answered(sequence uint64) {
	if p.long == sequence {
		p.long = 0
	}
	if p.short == sequence {
		p.short = 0
	}
}

// pollReasons is why an answer is needed at once.
type pollReasons struct {
	reconciliation bool // a command has no answer, or no list was given under this token yet
	freshness      bool // a start command waits for a fresh contact
}

// poll sends the polls that are due. Leases are renewed only right behind an answer, as start commands are sent.
func (o *Owner) poll(now time.Duration, reasons pollReasons) {
	idle := len(o.runs) == 0
	renew := !idle && o.lease.mayRenew && o.contact.established && o.fresh(now) && now-o.lease.renewedAt >= leaseRenewInterval
	if o.polls.short == 0 && (reasons.reconciliation || reasons.freshness || renew || o.contact.suspect ||
		o.owesAcknowledgement(now) || !o.contact.reachable && !idle) {
		o.polls.short, o.polls.shortAt = o.sendPoll(now, 0, renew), now
	}
	if o.polls.long == 0 && o.contact.reachable && !o.contact.suspect && !reasons.reconciliation && !idle {
		o.polls.long = o.sendPoll(now, longPollMs, false)
	}
}

// sendPoll adds a poll to the actions and returns its sequence.
func (o *Owner) sendPoll(now time.Duration, waitMs int64, renew bool) uint64 {
	o.polls.sequence++
	acknowledged := o.ends.advance()
	poll := Poll{Sequence: o.polls.sequence, FencingToken: o.fencingToken(), AcknowledgedEnd: acknowledged, WaitMs: waitMs}
	if renew {
		poll.LeaseUntilMs, o.lease.renewedAt = o.lease.grant(now), now
	}
	if o.ends.highest > acknowledged {
		poll.WaitMs = 0 // the worker would list again at once the ends that are not committed yet
	}
	o.actions.Polls = append(o.actions.Polls, poll)
	return o.polls.sequence
}

// HandlePollOutcome takes in the outcome of a poll and, where it was accepted, the worker's lists.
func (o *Owner) HandlePollOutcome(now time.Duration, poll Poll, outcome Outcome, answer PollAnswer) {
	o.polls.answered(poll.Sequence)
	o.recordAnswer(now, outcome, answer.ClockMs)
	switch outcome {
	case Accepted:
		o.ends.delivered = max(o.ends.delivered, poll.AcknowledgedEnd)
		o.reconcile(now, poll, &answer)
		if o.ends.highest > o.ends.advance() {
			o.polls.notBefore = now + endCommitWait
		}
	case OtherIncarnation:
		o.polls.notBefore = 0
	case Fenced:
		if poll.FencingToken == o.fencingToken() {
			o.raiseToken()
		}
		o.polls.notBefore = now + retryPause
	default:
		o.handlePollFailure(now, poll, outcome)
	}
	o.act(now)
}

func (o *Owner) handlePollFailure(now time.Duration, poll Poll, outcome Outcome) {
	if outcome == Unanswered && poll.LeaseUntilMs > 0 {
		o.lease.mayExtend(now, poll.FencingToken)
		o.raiseToken()
	}
	switch {
	case poll.WaitMs > 0:
		o.contact.suspect = true
	case outcome == Unanswered && now-o.polls.shortAt < brokenConnectionWithin && o.polls.brokenConnections < maxBrokenConnections:
		o.polls.brokenConnections++
	case now-o.contact.answeredAt > contactFreshness:
		o.contact.reachable = false
		o.polls.notBefore = now + retryPause
		o.recordFault(silentWorkerFault)
	default: // another answer has just come
		o.polls.notBefore = now + contactFreshness
	}
}

// reconcile compares what is placed with what the worker lists. The list proves something of a run only where the worker
// cannot have changed its mind since: it is under a higher token than the run's start command, or the run was at work
// before the poll was sent.
func (o *Owner) reconcile(now time.Duration, poll Poll, answer *PollAnswer) {
	if !o.contact.established {
		o.contact.established = true
		// A former owner may have granted a lease of the greatest length until now.
		o.lease.longestUntilMs = max(o.lease.longestUntilMs, answer.ClockMs+o.lease.maxMs)
	}
	o.lease.fenceLateCommands(poll.FencingToken)
	listed := map[string]bool{}
	o.collectEnds(answer.Ended, listed)
	o.matchRunning(now, answer.Running, listed)
	o.resolveUnlisted(poll, listed, len(answer.Ended) < maxEndsPerAnswer)
}

// matchRunning takes in the worker's list of running tasks, and adds the tasks to listed whose placed run is on it. Runs
// that are not placed any more are stopped; one that is newer than the placement is left to the placement that follows.
func (o *Owner) matchRunning(now time.Duration, statuses []RunStatus, listed map[string]bool) {
	for _, status := range statuses {
		r := o.runs[status.Task]
		if r == nil || r.Run != status.Run {
			if r == nil || r.Run > status.Run {
				o.actions.Stops = append(o.actions.Stops, StopCommand{status.Task, status.Run, o.fencingToken()})
			}
			continue
		}
		listed[status.Task] = true
		o.updateRunning(now, r, status)
	}
}

// resolveUnlisted decides what became of the runs that the worker has not listed, where the list proves it. A list that
// has all ends proves that a run which was at work has been lost.
func (o *Owner) resolveUnlisted(poll Poll, listed map[string]bool, hasAllEnds bool) {
	for _, task := range o.sortedTasks() {
		r := o.runs[task]
		if listed[task] {
			continue
		}
		overtaken := r.phase == uncertain && poll.FencingToken > r.fencingToken
		switch {
		case overtaken && r.outdated:
			o.conclude(r, taskrun.NotStarted, NeverDispatched)
		case overtaken:
			r.phase = pending // the command will never be carried out: it is safe to dispatch the run again
		case r.phase == running && poll.Sequence >= r.visibleFrom && hasAllEnds:
			o.conclude(r, taskrun.Lost, MissingFromAnswer)
		}
	}
}
