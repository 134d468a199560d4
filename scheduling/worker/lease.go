package worker

import "time"

// Parameters of leases. A worker stops all its runs once its lease has expired, so an expired lease proves that a silent
// worker executes nothing.
const (
	// leaseMs is the duration of a lease from its grant: longer than a takeover by another owner takes, and short enough
	// that runs at lost workers are soon placed again.
	leaseMs            = 3200
	leaseRenewInterval = 600 * time.Millisecond
	// minClockRate is the lowest assumed rate of a worker's clock relative to this machine's clock. With a slower clock a
	// lease would outlast its computed end.
	minClockRate = 0.98
	// leaseExpiryMargin is added to the computed end of a lease.
	leaseExpiryMargin = 150 * time.Millisecond
	// maxCommandDelay is how long after its timeout a command may still be carried out: it may be queued in a connection
	// or at a frozen worker.
	maxCommandDelay = 12500 * time.Millisecond
	// previousOwnerTimeout is the time after which commands of a previous owner have no effect any more, if the worker
	// has never answered this owner. A dispatcher without contact to the control machines renews leases for 20 s, its
	// last command may be carried out maxCommandDelay later, and that command grants a lease of at most 6 s by the
	// deployment settings.
	previousOwnerTimeout = 40 * time.Second
)

// lease is an owner's view of the worker's lease. The end of a lease is a time on the worker's clock.
type lease struct {
	grantMs int64 // duration of the leases that this owner grants
	maxMs   int64 // longest duration that any owner may have granted

	clockKnown bool
	clockMs    int64         // the worker's clock at clockAt
	clockAt    time.Duration // when clockMs was read, on this machine's clock

	renewedAt   time.Duration
	mayRenew    bool
	latestEndMs int64 // the latest lease end that any command has granted, on the worker's clock

	// An unanswered command may be carried out late and extend the lease. Such an extended lease ends by lateUntil. The
	// newest unanswered command carried lateToken.
	lateUntil time.Duration
	lateToken uint64
}

// recordClock records the worker's clock from an answer.
func (l *lease) recordClock(now time.Duration, clockMs int64) {
	l.clockMs, l.clockAt, l.clockKnown = clockMs, now, true
}

// grant returns the end of the lease that a command sent now grants, in milliseconds of the worker's clock.
func (l *lease) grant(now time.Duration) int64 {
	until := l.clockMs + (now - l.clockAt).Milliseconds() + l.grantMs
	l.latestEndMs = max(l.latestEndMs, until)
	return until
}

// recordUncertainGrant records that an unanswered command may be carried out late and grant its lease from then on.
func (l *lease) recordUncertainGrant(now time.Duration, fencingToken uint64) {
	granted := time.Duration(float64(l.grantMs)/minClockRate) * time.Millisecond
	l.lateUntil = max(l.lateUntil, now+maxCommandDelay+granted)
	l.lateToken = max(l.lateToken, fencingToken)
}

// fenceLateCommands records that the worker has answered under a token: commands with lower tokens have no effect any more.
func (l *lease) fenceLateCommands(fencingToken uint64) {
	if fencingToken > l.lateToken {
		l.lateUntil = 0
	}
}

// grantsExpired reports whether all leases granted by commands that were carried out immediately have expired. Commands
// carried out late may have granted longer leases. The time counts from the newest answer. If the worker has not answered
// yet, it counts from the owner's creation, since a previous owner may have granted the longest lease just before.
func (o *Owner) grantsExpired(now time.Duration) bool {
	from, remaining := o.lease.clockAt, max(o.lease.latestEndMs-o.lease.clockMs, 0)
	if !o.contact.established {
		from, remaining = o.contact.createdAt, o.lease.maxMs
	}
	return now > from+time.Duration(float64(remaining)/minClockRate)*time.Millisecond+leaseExpiryMargin
}

// leaseExpired reports whether the worker is silent and every lease that it may hold has expired, which proves that it no
// longer executes any run.
func (o *Owner) leaseExpired(now time.Duration) bool {
	if o.contact.reachable {
		return false
	}
	if !o.contact.established {
		return now-o.contact.createdAt > previousOwnerTimeout
	}
	return o.grantsExpired(now) && now > o.lease.lateUntil
}

// unlistedAndSilent reports whether the worker is missing from the platform's list, has not answered since then, and its
// leases have expired. Absence from the list alone proves nothing: a worker that answers keeps executing its runs, and a
// partitioned worker does so until its lease expires. But it shows that the worker carries out no late commands any more.
func (o *Owner) unlistedAndSilent(now time.Duration) bool {
	c := &o.contact
	silent := !c.reachable && c.answeredAt < c.unlistedAt && now-c.unlistedAt >= minUnlistedSilence
	return c.unlistedAt > 0 && silent && o.grantsExpired(now)
}
