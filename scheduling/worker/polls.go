package worker

import (
	"time"

	"yardflow/scheduling/taskrun"
)

// Parameters of polls.
const (
	// longPollMs is how long the worker may delay its answer to a long poll until a run ends.
	longPollMs = 600
	// retryPause is the delay before the next poll if the worker is silent or has seen a higher token.
	retryPause = 250 * time.Millisecond
	// A short poll that fails within brokenConnectionWindow is taken to have failed because its connection broke. It is
	// repeated immediately on a new connection, up to maxBrokenConnections times in a row; then the worker counts as
	// unreachable.
	brokenConnectionWindow = 60 * time.Millisecond
	maxBrokenConnections   = 2
	// endCommitWait is the maximum delay of the next poll while the control machines commit the listed ends.
	endCommitWait = 500 * time.Millisecond
)

// polls tracks the polls in flight: a long poll, which the worker answers at the next end of a run, and in addition a short
// poll if an answer is needed immediately.
type polls struct {
	sequence          uint64        // sequence of the newest poll
	long              uint64        // sequence of the long poll in flight, or 0
	short             uint64        // sequence of the short poll in flight, or 0
	shortAt           time.Duration // when the newest short poll was sent
	brokenConnections int           // consecutive short polls whose connections broke immediately
	notBefore         time.Duration // no poll is sent before this time
}

// removeInFlight removes a poll from the polls in flight.
func (p *polls) removeInFlight(sequence uint64) {
	if p.long == sequence {
		p.long = 0
	}
	if p.short == sequence {
		p.short = 0
	}
}

// pollReasons are the reasons for which an answer is needed immediately.
type pollReasons struct {
	reconciliation bool // a command is unanswered, or the worker has not answered a poll under this token yet
	freshness      bool // a start command waits for hasFreshContact
}

// poll sends the necessary polls. Like start commands, lease renewals are sent only shortly after an answer.
func (o *Owner) poll(now time.Duration, reasons pollReasons) {
	idle := len(o.runs) == 0
	renew := !idle && o.lease.mayRenew && o.contact.established && o.hasFreshContact(now) &&
		now-o.lease.renewedAt >= leaseRenewInterval
	if o.polls.short == 0 && (reasons.reconciliation || reasons.freshness || renew || o.contact.suspect ||
		o.needsAcknowledgement(now) || !o.contact.reachable && !idle) {
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
		poll.WaitMs = 0 // the worker would immediately list the uncommitted ends again
	}
	o.actions.Polls = append(o.actions.Polls, poll)
	return o.polls.sequence
}

// HandlePollOutcome handles the outcome of a poll and, if it was accepted, the worker's lists.
func (o *Owner) HandlePollOutcome(now time.Duration, poll Poll, outcome Outcome, answer PollAnswer) {
	o.polls.removeInFlight(poll.Sequence)
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
	o.collectActions(now)
}

func (o *Owner) handlePollFailure(now time.Duration, poll Poll, outcome Outcome) {
	if outcome == Unanswered && poll.LeaseUntilMs > 0 {
		o.lease.recordUncertainGrant(now, poll.FencingToken)
		o.raiseToken()
	}
	switch {
	case poll.WaitMs > 0:
		o.contact.suspect = true
	case outcome == Unanswered && now-o.polls.shortAt < brokenConnectionWindow &&
		o.polls.brokenConnections < maxBrokenConnections:
		o.polls.brokenConnections++
	case now-o.contact.answeredAt > contactFreshness:
		o.contact.reachable = false
		o.polls.notBefore = now + retryPause
		o.recordFault(silentWorkerFault)
	default: // the worker has just answered another call
		o.polls.notBefore = now + contactFreshness
	}
}

// reconcile compares the placed runs with the worker's lists. A list shows that a run does not execute only if the worker
// cannot have started the run after it wrote the list: either the poll had a higher token than the run's start command, or
// the run was known to be running before the poll was sent.
func (o *Owner) reconcile(now time.Duration, poll Poll, answer *PollAnswer) {
	if !o.contact.established {
		o.contact.established = true
		// A previous owner may have granted a lease of the maximum duration just before this answer.
		o.lease.latestEndMs = max(o.lease.latestEndMs, answer.ClockMs+o.lease.maxMs)
	}
	o.lease.fenceLateCommands(poll.FencingToken)
	listed := map[string]bool{}
	o.collectEnds(answer.Ended, listed)
	o.matchRunning(now, answer.Running, listed)
	o.resolveUnlisted(poll, listed, len(answer.Ended) < maxEndsPerAnswer)
}

// matchRunning processes the worker's list of running tasks, and adds each task whose placed run is on the list to
// listed. It stops runs that are no longer placed. It leaves a run that is newer than the placement alone, because the
// placement of that run will follow.
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

// resolveUnlisted decides the state of the runs that are missing from the worker's lists, as far as the lists prove it. If a
// run that was running is missing and the list of ends is complete, the run is lost.
func (o *Owner) resolveUnlisted(poll Poll, listed map[string]bool, hasAllEnds bool) {
	for _, task := range o.sortedTasks() {
		r := o.runs[task]
		if listed[task] {
			continue
		}
		startFenced := r.phase == uncertain && poll.FencingToken > r.fencingToken
		switch {
		case startFenced && r.outdated:
			o.conclude(r, taskrun.NotStarted, NeverDispatched)
		case startFenced:
			r.phase = pending // the command will never be carried out, so it is safe to dispatch the run again
		case r.phase == running && poll.Sequence >= r.visibleFrom && hasAllEnds:
			o.conclude(r, taskrun.Lost, MissingFromAnswer)
		}
	}
}
