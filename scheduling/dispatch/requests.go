package dispatch

import (
	"math"
	"time"
)

// holdShare is the part of a request's slack (the time until its latestStart) for which it may be
// held for a faster worker or for known capacity. After it, the request is sent beyond what
// capacity is known, as the overcommit pacer allows; with more, too little
// is left for a second attempt.
const holdShare = 0.25

// request is one job from its arrival until it is answered and no attempt of it is outstanding.
type request struct {
	Request
	class                  *Class // never nil
	stats                  *classStats
	arrivedAt              time.Duration
	deadline               time.Duration // the client gives up
	latestStart            time.Duration // a start after this is expected to miss the latency target
	holdUntil              time.Duration // it may be held for capacity until then
	valueDensity           float64       // value per slot, or per slot-second: the order of the queue
	demoted, queued, ended bool          // ended: it has its final answer

	attemptCount int        // so far
	outstanding  []*attempt // by number
	mayHaveRun   priorRun
	rejectedBy   []*worker // since it was last sent beyond known capacity
}

// priorRun is the first attempt of a request that may have run. The zero value: none may have.
type priorRun struct {
	worker *worker
	sentAt time.Duration
}

func (d *dispatcher) Arrive(now time.Duration, q Request, out Actions) {
	d.beginEvent(now, out)
	if d.requests[q.ID] != nil {
		return
	}
	r := d.newRequest(q)
	d.requests[r.ID] = r
	d.expectLargeJobs(r)
	d.enqueue(r)
	d.decide(out)
	// The next look at the queue may come too late for a short-lived retry.
	if r.queued && (d.nearDeadline(r) || d.valueless(r)) {
		d.answerUnserved(r, out)
	}
}

// newRequest works out by when a request has to start, and its place in the queue.
func (d *dispatcher) newRequest(q Request) *request {
	q.Slots = max(q.Slots, 1)
	if q.ResolvedClass == nil {
		q.ResolvedClass = &d.Classes[min(max(q.Class, 0), len(d.Classes)-1)]
	}
	r := &request{
		Request: q, class: q.ResolvedClass, stats: d.speeds.classOf(q.ResolvedClass),
		arrivedAt: d.now, deadline: d.now + q.TimeLeft,
	}
	work := d.expectedWork(r)
	r.latestStart = d.now + min(max(d.slack(r, work), 0), q.TimeLeft)
	r.holdUntil = d.now + time.Duration(holdShare*float64(r.latestStart-d.now))
	r.valueDensity = d.valueDensity(r, work)
	if q.BestEffort { // behind all else, and never to where there is no capacity
		r.latestStart, r.holdUntil, r.valueDensity = r.deadline, r.deadline, 0
	}
	if q.EarlierWorker != nil {
		r.mayHaveRun = priorRun{&worker{Worker: *q.EarlierWorker}, d.now - q.EarlierRunAge}
	}
	return r
}

// slack is how long a request of so much work, in seconds, may wait and still be on time on an
// average worker of the fleet: a quarter of the fixed part of its target at the least.
func (d *dispatcher) slack(r *request, work float64) time.Duration {
	target := r.class.LatencyTarget.Seconds() + r.class.Stretch*work
	slack := max(target-work*math.Exp(d.speeds.logFleetSlowness), r.class.LatencyTarget.Seconds()/4)
	if r.ClientRetry {
		// The client's own retry belongs to its first request, whose time ran meanwhile.
		slack -= max(r.class.Deadline-r.TimeLeft, 0).Seconds()
	}
	return seconds(slack)
}

// valueDensity is what a request earns per slot, or per slot-second where value counts per request.
func (d *dispatcher) valueDensity(r *request, work float64) float64 {
	density := r.class.Value / r.Slots
	if !d.Values.PerWork {
		density /= work
	}
	if !d.withinQuota(r.Tenant) {
		density *= d.Values.OverQuotaShare
	}
	return density
}

func (d *dispatcher) StreamStarted(now time.Duration, id RequestID, _ int, out Actions) {
	d.beginEvent(now, out)
	if r := d.requests[id]; r != nil {
		r.deadline = math.MaxInt64 // the answer is the client's now; no deadline runs
	}
}

func (d *dispatcher) ClientDisconnected(now time.Duration, id RequestID, out Actions) {
	d.beginEvent(now, out)
	if r := d.requests[id]; r != nil {
		d.endRequest(r)
	}
}

// answerUnserved gives the final answer of a request that will not be served. Only one whose retry
// by the client is harmless is rejected; any other fails.
func (d *dispatcher) answerUnserved(r *request, out Actions) {
	retryHarmless := r.mayHaveRun.worker == nil || r.class.Semantics == Retryable ||
		r.class.Semantics == Deduplicated && r.class.DedupScope == ScopeAll
	if retryHarmless {
		out.Reject(r.ID, d.retryAfter())
	} else {
		out.Fail(r.ID)
	}
	d.endRequest(r)
}

// endRequest notes that a request has its final answer.
func (d *dispatcher) endRequest(r *request) {
	r.ended = true
	d.dequeue(r)
	d.releaseReservation(r)
	d.forgetIfDone(r)
}

// forgetIfDone drops a request that is answered and of which no attempt is outstanding.
func (d *dispatcher) forgetIfDone(r *request) {
	if r.ended && len(r.outstanding) == 0 {
		delete(d.requests, r.ID)
	}
}

// nearDeadline tells whether a request has no time left to be queued until the tick after the next.
func (d *dispatcher) nearDeadline(r *request) bool {
	return d.now+2*(tickInterval+d.MinEventGap) >= r.deadline
}

// valueless tells whether a request can no longer be on time and has no value late. It is given
// up, so its answer is due at once: held until its deadline it would only keep the client from
// asking again.
func (d *dispatcher) valueless(r *request) bool {
	return d.now >= r.latestStart && r.class.LateValueShare == 0
}
