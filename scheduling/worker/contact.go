package worker

import "time"

// Parameters for judging whether the worker is alive and reachable.
const (
	// contactFreshness is how long after an answer the worker counts as reachable for commands. Starts and lease renewals
	// are sent only within this time, so that few of them are lost in a partition and need reconciliation.
	contactFreshness = 15 * time.Millisecond
	// minOtherIncarnations is the number of consecutive answers from another incarnation at the worker's address that
	// prove that the owned incarnation has ended. A single answer proves nothing.
	minOtherIncarnations = 2
	// minUnlistedSilence is how long a worker that is missing from the platform's list must have been silent before its runs
	// may be declared lost.
	minUnlistedSilence = time.Second
)

// contact tracks whether the worker is alive and reachable.
type contact struct {
	createdAt         time.Duration // when the owner was created
	established       bool          // the worker has answered a poll under this owner's token
	reachable         bool          // the newest short poll was answered
	suspect           bool          // signs of trouble since the newest answer: a short poll must check the worker
	answeredAt        time.Duration // time of the newest answer
	otherIncarnations int           // consecutive answers from another incarnation
	unlistedAt        time.Duration // since when the worker is missing from the platform's list; 0: it is listed
}

// IncarnationEnded reports whether the owned incarnation of the worker is proven to have ended.
func (o *Owner) IncarnationEnded() bool { return o.contact.otherIncarnations >= minOtherIncarnations }

// SetListed records whether the platform's list contains the worker.
func (o *Owner) SetListed(now time.Duration, listed bool) {
	switch {
	case listed:
		o.contact.unlistedAt = 0
	case o.contact.unlistedAt == 0:
		o.contact.unlistedAt, o.contact.suspect = max(now, 1), true
	}
	o.collectActions(now)
}

// hasFreshContact reports whether the worker has answered recently enough that a command is expected to reach it.
func (o *Owner) hasFreshContact(now time.Duration) bool {
	return o.lease.clockKnown && now-o.contact.answeredAt <= contactFreshness
}

// recordAnswer updates the contact after a call that the worker or another incarnation answered, and the worker's clock if
// the worker itself answered. After a call without an answer it changes nothing.
func (o *Owner) recordAnswer(now time.Duration, outcome Outcome, clockMs int64) {
	switch outcome {
	case Unanswered, Unreachable:
		return
	case OtherIncarnation:
		o.recordOtherIncarnation()
		return
	}
	o.contact.otherIncarnations = 0
	o.contact.answeredAt, o.contact.reachable, o.contact.suspect, o.polls.brokenConnections = now, true, false, 0
	if clockMs > 0 {
		o.lease.recordClock(now, clockMs)
	}
}

func (o *Owner) recordOtherIncarnation() {
	o.contact.otherIncarnations++
	o.contact.suspect = true
	if o.contact.otherIncarnations == minOtherIncarnations {
		o.actions.IncarnationEnded = true
	}
}
