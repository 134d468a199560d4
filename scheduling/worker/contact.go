package worker

import "time"

// Bounds of what answers of the worker show.
const (
	// contactFreshness is how long an answer shows that a command will arrive. Starts and renewals are sent only within
	// it, so that few of them are lost in a partition and need reconciliation.
	contactFreshness = 15 * time.Millisecond
	// incarnationProof is how many answers in a row from another incarnation at the address prove that the owned one has
	// ended. One alone proves nothing.
	incarnationProof = 2
	// unlistedSilence is how long a worker that the platform's list lacks must have been silent before that counts.
	unlistedSilence = time.Second
)

// contact is what is known of whether the worker is there.
type contact struct {
	createdAt         time.Duration // when the owner was created
	established       bool          // the worker has given a list under this owner's token
	reachable         bool          // the newest short poll was answered
	suspect           bool          // something speaks against it, since the newest answer: a short poll is due
	answeredAt        time.Duration
	otherIncarnations int           // answers in a row that came from another incarnation
	unlistedAt        time.Duration // since when the platform's list lacks the worker; 0: it is listed
}

// IncarnationEnded reports whether it is proven that the owned incarnation of the worker has ended.
func (o *Owner) IncarnationEnded() bool { return o.contact.otherIncarnations >= incarnationProof }

// SetListed records whether the platform's list has the worker.
func (o *Owner) SetListed(now time.Duration, listed bool) {
	switch {
	case listed:
		o.contact.unlistedAt = 0
	case o.contact.unlistedAt == 0:
		o.contact.unlistedAt, o.contact.suspect = max(now, 1), true
	}
	o.act(now)
}

// fresh reports whether the worker has answered so lately that a command will reach it.
func (o *Owner) fresh(now time.Duration) bool {
	return o.lease.clockKnown && now-o.contact.answeredAt <= contactFreshness
}

// recordAnswer takes in what any answer shows: that the worker is there, and its clock.
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
		o.lease.readClock(now, clockMs)
	}
}

func (o *Owner) recordOtherIncarnation() {
	o.contact.otherIncarnations++
	o.contact.suspect = true
	if o.contact.otherIncarnations == incarnationProof {
		o.actions.IncarnationEnded = true
	}
}
