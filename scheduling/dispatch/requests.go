package dispatch

import (
	"math"
	"time"
)

// holdShare is the part of a request's slack (the time until its latestStart) for which the request may be
// held for a faster worker or for known capacity. After that it may be sent without known capacity, at the
// rate of the overcommit pacer. With a larger part, too little time is left for a second attempt.
const holdShare = 0.25

// request is one job from its arrival until it is answered and no attempt of it is outstanding.
type request struct {
	Request
	class                  *Class // never nil
	stats                  *classStats
	arrivedAt              time.Duration
	deadline               time.Duration // time at which the client gives up
	latestStart            time.Duration // latest start with which the latency target is expected to be met
	holdUntil              time.Duration // the request may be held for capacity until this time
	valueDensity           float64       // value per slot, or per slot-second; orders the queue
	demoted, queued, ended bool          // ended: the request has its final answer

	attemptCount int        // attempts sent so far
	outstanding  []*attempt // ordered by number
	mayHaveRun   priorRun
	rejectedBy   []*worker // workers where an attempt did not run; cleared by sendOvercommitted
}

// priorRun is the first attempt of a request that may have run. The zero value means that there is none.
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
	// The next sweep of the queue may come too late for a request with little time left, such as a retry.
	if r.queued && (d.nearDeadline(r) || d.valueless(r)) {
		d.answerUnserved(r, out)
	}
}

// newRequest returns the state of a new request, with its latest start and its value density.
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
	if q.BestEffort { // queued behind all other requests and never sent without known capacity
		r.latestStart, r.holdUntil, r.valueDensity = r.deadline, r.deadline, 0
	}
	if q.EarlierWorker != nil {
		r.mayHaveRun = priorRun{&worker{Worker: *q.EarlierWorker}, d.now - q.EarlierRunAge}
	}
	return r
}

// slack is how long a request with the given work, in seconds, may wait and still be on time on an average
// worker of the fleet. It is at least a quarter of the fixed part of the latency target.
func (d *dispatcher) slack(r *request, work float64) time.Duration {
	target := r.class.LatencyTarget.Seconds() + r.class.Stretch*work
	slack := max(target-work*math.Exp(d.speeds.logFleetSlowness), r.class.LatencyTarget.Seconds()/4)
	if r.ClientRetry {
		// A client's retry continues its first request, so the time since that request is subtracted.
		slack -= max(r.class.Deadline-r.TimeLeft, 0).Seconds()
	}
	return seconds(slack)
}

// valueDensity counts r against its tenant's quota and returns the value of r per slot, or per slot-second if
// value counts per request. A request over quota has ValueSettings.OverQuotaShare of its value.
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
		r.deadline = math.MaxInt64 // the client is receiving the answer, so the deadline no longer applies
	}
}

func (d *dispatcher) ClientDisconnected(now time.Duration, id RequestID, out Actions) {
	d.beginEvent(now, out)
	if r := d.requests[id]; r != nil {
		d.endRequest(r)
	}
}

// answerUnserved gives the final answer to a request that will not be served. The request is rejected if a
// retry by the client is harmless, else failed.
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

// endRequest marks a request as finally answered, dequeues it and releases its reservation.
func (d *dispatcher) endRequest(r *request) {
	r.ended = true
	d.dequeue(r)
	d.releaseReservation(r)
	d.forgetIfDone(r)
}

// forgetIfDone deletes a request that has its final answer and no outstanding attempt.
func (d *dispatcher) forgetIfDone(r *request) {
	if r.ended && len(r.outstanding) == 0 {
		delete(d.requests, r.ID)
	}
}

// nearDeadline reports whether the deadline of a request comes too soon to keep it queued until the tick
// after the next.
func (d *dispatcher) nearDeadline(r *request) bool {
	return d.now+2*(tickInterval+d.MinEventGap) >= r.deadline
}

// valueless reports whether a request can no longer be on time and has no value when late. Such a request is
// answered at once: holding it until its deadline would only keep the client from retrying.
func (d *dispatcher) valueless(r *request) bool {
	return d.now >= r.latestStart && r.class.LateValueShare == 0
}
