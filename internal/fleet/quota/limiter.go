package quota

import (
	"slices"
	"sync"
	"time"
)

// When a rejected request should be retried.
const (
	// concurrencyRetryAfter is for limits of concurrency, of which nobody knows when one is given back: 100 ms, a
	// fraction of a typical run.
	concurrencyRetryAfter = 100 * time.Millisecond
	// noShareRetryAfter is for rates without any share: 1 s, by when another may have been handed out.
	noShareRetryAfter = time.Second
	// maxRetryAfter bounds it for slow rates: 10 s, since shares may grow meanwhile.
	maxRetryAfter = 10 * time.Second
)

// The estimate of a job's work, until it has ended.
const (
	// initialRunEstimate is how long a class's jobs are taken to run before any has ended: 0.2 s, in microseconds.
	initialRunEstimate = Unit / 5
	// runEstimateWeight is the weight of one job in the running mean of its class: 1/16.
	runEstimateWeight = 16
)

// minRequestSpan is the shortest time over which demand is averaged: 50 ms. Over less, one request would look like a
// high rate.
const minRequestSpan = 50 * time.Millisecond

// Scope is what a request counts as: limits that name a team, tenant or class count those of that alone.
type Scope struct{ Team, Tenant, Class string }

// Limiter is a dispatcher's half: it admits requests by the shares that the dispatcher holds, and notes what it could
// use beyond them. Its methods are safe for concurrent use, never wait for the coordinators, and take the time by the
// caller's monotonic clock.
type Limiter struct {
	mu           sync.Mutex
	meters       []*meter           // in the order of the limits
	byScope      map[Scope][]*meter // those that count requests of a scope, as they were looked up
	sharesExpiry time.Duration      // the end of the lease that the shares hang on
	requestedAt  time.Duration      // the last call of Requests
	exhausted    bool               // something was rejected since then
	meanRun      map[string]int64   // by class, in microseconds
}

// NewLimiter returns a limiter without limits: it admits everything.
func NewLimiter() *Limiter {
	return &Limiter{byScope: map[Scope][]*meter{}, meanRun: map[string]int64{}}
}

// SetLimits replaces all limits. One that stays, by name and kind, keeps its share, what is open under it and what is
// saved up. A new one begins with nothing saved up, and without a share until the next SetShares, or with its static
// share once the present shares have expired.
func (l *Limiter) SetLimits(now time.Duration, limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make([]*meter, 0, len(limits))
	for _, limit := range limits {
		m := &meter{bucket: tokenBucket{filledAt: now}}
		if i := slices.IndexFunc(l.meters, func(m *meter) bool { return m.Name == limit.Name && m.Kind == limit.Kind }); i >= 0 {
			m = l.meters[i]
			m.refill(now, l.sharesExpiry)
		}
		m.Limit = limit
		m.clamp(now, l.sharesExpiry)
		next = append(next, m)
	}
	l.meters, l.byScope = next, map[Scope][]*meter{}
}

// SetShares takes in shares that may be used until their lease expires. Limits that are not among them have their static
// share.
func (l *Limiter) SetShares(now, expiry time.Duration, shares []Share) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.meters {
		m.refill(now, l.sharesExpiry)
		m.share = m.StaticPerHolder()
	}
	for _, share := range shares {
		if i := slices.IndexFunc(l.meters, func(m *meter) bool { return m.Name == share.Limit }); i >= 0 {
			l.meters[i].share = share.Amount
		}
	}
	l.sharesExpiry = expiry
	for _, m := range l.meters {
		m.clamp(now, expiry)
	}
}

// metersOf returns the meters that count requests of a scope. The caller holds mu.
func (l *Limiter) metersOf(scope Scope) []*meter {
	meters, ok := l.byScope[scope]
	if ok {
		return meters
	}
	covers := func(limited, value string) bool { return limited == "" || limited == value }
	for _, m := range l.meters {
		if m.Kind != PerWorkerConcurrency && covers(m.Team, scope.Team) && covers(m.Tenant, scope.Tenant) && covers(m.Class, scope.Class) {
			meters = append(meters, m)
		}
	}
	l.byScope[scope] = meters
	return meters
}

// Admit takes what a request needs of all limits that count it, or nothing; then it names the limit that is exhausted
// and after what time to retry. The request's work is estimated as its slots times the mean run of its class; Done
// corrects it.
func (l *Limiter) Admit(now time.Duration, scope Scope, slots float64) (t Ticket, exhausted string, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	meters := l.metersOf(scope)
	if len(meters) == 0 {
		return t, "", 0
	}
	t.class, t.slots = scope.Class, max(slots, 1)
	t.work = l.estimateWork(scope.Class, t.slots)
	for _, m := range meters { // all of them, also behind an exhausted one: each counts the demand
		if wait, ok := m.check(now, l.sharesExpiry, t.work); !ok && (exhausted == "" || m.Kind == Concurrency) {
			exhausted, retryAfter = m.Name, wait
		}
	}
	if exhausted != "" {
		l.exhausted = true
		return Ticket{}, exhausted, retryAfter
	}
	for _, m := range meters {
		m.take(now, l.sharesExpiry, t.work)
		t.add(m)
	}
	return t, "", 0
}

// estimateWork is the work to expect of a job, in millionths of a slot-second.
func (l *Limiter) estimateWork(class string, slots float64) int64 {
	run, ok := l.meanRun[class]
	if !ok {
		run = initialRunEstimate
	}
	return int64(float64(run) * slots)
}

// refillTime is how long a rate takes to bring some tokens.
func refillTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		return noShareRetryAfter
	}
	return min(time.Duration(float64(tokens)/float64(rate)*float64(time.Second)), maxRetryAfter)
}

// Done gives back what an admitted request held, and corrects its work by how long it ran; 0: it did not run. Further
// calls with the same ticket do nothing.
func (l *Limiter) Done(t *Ticket, ran time.Duration) {
	if t.count == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	work := int64(float64(max(ran, 0).Microseconds()) * t.slots)
	if ran > 0 {
		mean, ok := l.meanRun[t.class]
		if !ok {
			mean = ran.Microseconds()
		}
		l.meanRun[t.class] = mean + (ran.Microseconds()-mean)/runEstimateWeight
	}
	t.each(func(m *meter) {
		switch m.Kind {
		case Concurrency:
			m.inUse -= Unit
		case WorkRate:
			m.bucket.tokens += t.work - work
		}
	})
	t.count, t.more = 0, nil
}

// Exhausted reports whether something was rejected since the last call of Requests, so that it is of use to ask for more
// soon.
func (l *Limiter) Exhausted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.exhausted
}

// Requests says what could be used of each limit, by the demand since its last call.
func (l *Limiter) Requests(now time.Duration) (requests []Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	span := max(now-l.requestedAt, minRequestSpan)
	l.requestedAt, l.exhausted = now, false
	for _, m := range l.meters {
		if r := m.request(now, l.sharesExpiry, span); r.Demand > 0 || r.InUse > 0 {
			requests = append(requests, r)
		}
	}
	return requests
}

// PerWorkerLimit is how many jobs this dispatcher may have open at any one worker; limited is false where no limit says
// so.
func (l *Limiter) PerWorkerLimit(now time.Duration) (jobs int, limited bool) {
	share, limited := l.smallestShare(now, PerWorkerConcurrency)
	return int(share / Unit), limited
}

// WarmingShare is the part of what any one warming worker bears that this dispatcher may send it now, in millionths;
// limited is false where the fleet does not divide it.
func (l *Limiter) WarmingShare(now time.Duration) (share int64, limited bool) {
	return l.smallestShare(now, WarmingShare)
}

// smallestShare is the least that the limits of a kind allow.
func (l *Limiter) smallestShare(now time.Duration, kind Kind) (share int64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.meters {
		if m.Kind != kind {
			continue
		}
		if usable := m.usable(now, l.sharesExpiry); !limited || usable < share {
			share, limited = usable, true
		}
	}
	return share, limited
}

// ObserveBusiestWorker notes how many jobs this dispatcher has open at the worker with the most.
func (l *Limiter) ObserveBusiestWorker(jobs int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.meters {
		if m.Kind == PerWorkerConcurrency {
			m.inUse = jobs * Unit
			m.peakDemand = max(m.peakDemand, m.inUse+Unit)
		}
	}
}
