package worker

import "time"

// Bounds of leases. A worker stops what it runs once its lease has expired, so an expired lease proves that nothing is at
// work at a silent worker.
const (
	// leaseMs is how long a lease lasts from its grant: longer than a takeover by another owner takes, and short enough
	// that runs at lost workers are soon placed anew.
	leaseMs            = 3200
	leaseRenewInterval = 600 * time.Millisecond
	// minClockRate is the least rate at which a worker's clock runs, against this machine's; a slower one outlasts the
	// bounds below.
	minClockRate = 0.98
	// leaseExpiryMargin is added to the computed end of a lease.
	leaseExpiryMargin = 150 * time.Millisecond
	// maxCommandDelay is how long after its time-out a command may still be carried out: it may wait in a connection or
	// at a frozen worker.
	maxCommandDelay = 12500 * time.Millisecond
	// formerOwnerBound is after what time nothing that a former owner has sent has an effect any more, where the worker
	// has never answered this one: a dispatcher without control machines renews leases for 20 s, its last command may be
	// carried out maxCommandDelay later, and grants a lease of 6 s at most by the deploy files.
	formerOwnerBound = 40 * time.Second
)

// lease is what an owner knows of the worker's lease, whose end is a time of the worker's clock.
type lease struct {
	grantMs int64 // how long this owner grants it
	maxMs   int64 // how long any owner may have granted it

	clockKnown bool
	clockMs    int64         // the worker's clock, as it was at clockAt
	clockAt    time.Duration // on this machine's clock

	renewedAt      time.Duration
	mayRenew       bool
	longestUntilMs int64 // the latest end that any command has granted, on the worker's clock

	// Until lateUntil, a command without an answer may still be carried out and extend the lease from then on. The newest
	// such command carried lateToken.
	lateUntil time.Duration
	lateToken uint64
}

// readClock takes in the worker's clock as an answer gave it.
func (l *lease) readClock(now time.Duration, clockMs int64) {
	l.clockMs, l.clockAt, l.clockKnown = clockMs, now, true
}

// grant returns until when a command that is sent now grants the lease, in milliseconds of the worker's clock.
func (l *lease) grant(now time.Duration) int64 {
	until := l.clockMs + (now - l.clockAt).Milliseconds() + l.grantMs
	l.longestUntilMs = max(l.longestUntilMs, until)
	return until
}

// mayExtend records that a command without an answer may be carried out later and grant its lease from then on.
func (l *lease) mayExtend(now time.Duration, fencingToken uint64) {
	granted := time.Duration(float64(l.grantMs)/minClockRate) * time.Millisecond
	l.lateUntil = max(l.lateUntil, now+maxCommandDelay+granted)
	l.lateToken = max(l.lateToken, fencingToken)
}

// fenceLateCommands records that the worker has answered under a token: commands under lower ones have no effect any more.
func (l *lease) fenceLateCommands(fencingToken uint64) {
	if fencingToken > l.lateToken {
		l.lateUntil = 0
	}
}

// grantsExpired reports whether every lease has expired that was granted by a command carried out at once. Commands
// carried out late may have granted longer ones. It counts from the newest answer, or from the owner's creation where the
// worker has not answered yet: until then a former owner may have granted the longest lease.
func (o *Owner) grantsExpired(now time.Duration) bool {
	from, left := o.lease.clockAt, max(o.lease.longestUntilMs-o.lease.clockMs, 0)
	if !o.contact.established {
		from, left = o.contact.createdAt, o.lease.maxMs
	}
	return now > from+time.Duration(float64(left)/minClockRate)*time.Millisecond+leaseExpiryMargin
}

// leaseExpired reports whether it is proven that nothing is at work at a silent worker any more.
func (o *Owner) leaseExpired(now time.Duration) bool {
	if o.contact.reachable {
		return false
	}
	if !o.contact.established {
		return now-o.contact.createdAt > formerOwnerBound
	}
	return o.grantsExpired(now) && now > o.lease.lateUntil
}

// unlistedAndSilent reports whether a worker that the platform's list lacks has given no sign since, and its leases have
// expired. The list alone is no proof: a worker that answers goes on, and one behind a partition runs on until its lease
// expires. What the list adds is that no late command is carried out there any more.
func (o *Owner) unlistedAndSilent(now time.Duration) bool {
	c := &o.contact
	silent := !c.reachable && c.answeredAt < c.unlistedAt && now-c.unlistedAt >= unlistedSilence
	return c.unlistedAt > 0 && silent && o.grantsExpired(now)
}
