package broker

// This file keeps to the limits that the whole fleet shares: shares of concurrency and rate for requests, of concurrency
// at each worker, and of what warming workers bear.

import (
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/quota"
	"yardflow/scheduling/dispatch"
)

// fleetLimits are this process's shares of the fleet's limits.
type fleetLimits struct {
	limiter *quota.Limiter       // nil: the fleet has no limits
	now     func() time.Duration // the limiter's clock

	// What the module was notified of last, so that it hears of changes alone.
	perWorker    atomic.Int64 // as Dispatcher.SetWorkerLimits has it: 0 is no limit, -1 a limit of 0
	warmingShare atomic.Int64 // one more than the share of a warming worker in quota.Unit; 0: the fleet hands out none
}

// SetLimiter puts all requests under the fleet's limits that limiter keeps, by its clock. Before any request.
func (b *Broker) SetLimiter(limiter *quota.Limiter, now func() time.Duration) {
	b.limits.limiter, b.limits.now = limiter, now
}

// admission is what a request was let in under. It is released once the request has its final answer.
type admission struct {
	bucket     *tokenBucket  // nil: its team has no contract
	ticket     *quota.Ticket // nil: the fleet has no limits
	at         time.Time     // when the fleet's limits let it in, where tracing is on; otherwise zero
	workerTime time.Duration // that attempts which may have run took
	retryTaken bool          // a retry was taken from the retry budget, and its attempt has not begun
}

// admit lets a request in under its team's contract and the fleet's limits; ok is false where the answer is a rejection.
func (b *Broker) admit(q *Request) (admitted *admission, rejection Answer, ok bool) {
	admitted = &admission{}
	if bucket := (*b.contracts.Load())[q.Team]; bucket != nil {
		if retryAfter, ok := bucket.take(time.Now()); !ok {
			return nil, Answer{Kind: AnswerRejected, RetryAfter: retryAfter, OverBudget: true}, false
		}
		admitted.bucket = bucket
	}
	if b.limits.limiter == nil {
		return admitted, Answer{}, true
	}
	if b.Tracing() {
		admitted.at = time.Now()
	}
	ticket, exceeded, retryAfter := b.limits.limiter.Admit(b.limits.now(), limitScope(q), q.Slots)
	if exceeded != "" {
		if b.Tracing() {
			b.Tracef("over limit=%s wait=%v", exceeded, retryAfter)
		}
		admitted.releaseContract()
		return nil, Answer{Kind: AnswerRejected, RetryAfter: retryAfter, OverBudget: true}, false
	}
	admitted.ticket = &ticket
	return admitted, Answer{}, true
}

// limitScope says which of the fleet's limits a request counts under.
func limitScope(q *Request) quota.Scope {
	scope := quota.Scope{Team: q.Team, Class: q.Settings.Classes[q.Class].Name}
	if q.Tenant >= 0 && q.Tenant < len(q.Settings.Tenants) {
		scope.Tenant = q.Settings.Tenants[q.Tenant].Name
	}
	return scope
}

// release gives back what the request was let in under.
func (a *admission) release(limiter *quota.Limiter) {
	if a.ticket != nil {
		if a.retryTaken {
			limiter.ReturnRetry(a.ticket)
		}
		limiter.Done(a.ticket, a.workerTime)
	}
	a.releaseContract()
}

func (a *admission) releaseContract() {
	if a.bucket != nil {
		a.bucket.release()
	}
}

// startAttempt counts an attempt at its worker and reports whether the limit at each worker allows it. It is asked at the
// moment of sending, because the module hears of a share that has ended a little later.
func (b *Broker) startAttempt(w *workerState) bool {
	b.workers.addInFlight(w, 1)
	return b.withinWorkerLimit(w)
}

func (b *Broker) endAttempt(w *workerState) { b.workers.addInFlight(w, -1) }

// withinWorkerLimit reports whether the limit at each worker now allows the attempts that are counted at w; nil has none.
func (b *Broker) withinWorkerLimit(w *workerState) bool {
	if w == nil {
		return true
	}
	limit, limited := b.RefreshWorkerLimits()
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	return !limited || w.inFlight <= limit
}

// BusiestWorkerInFlight returns how many attempts are outstanding at the worker that has the most. They are counted only
// under the fleet's limits.
func (b *Broker) BusiestWorkerInFlight() (most int) {
	b.workers.mu.Lock()
	defer b.workers.mu.Unlock()
	for _, w := range b.workers.byID {
		most = max(most, w.inFlight)
	}
	return most
}

// RefreshWorkerLimits notifies the module where the limits at each worker or at warming workers have changed. It returns
// how many attempts may be outstanding at a worker; limited is false where any number may.
func (b *Broker) RefreshWorkerLimits() (limit int, limited bool) {
	limit, limited = b.limits.limiter.PerWorkerLimit(b.limits.now())
	perWorker := int64(limit)
	if !limited {
		perWorker = 0
	} else if limit == 0 {
		perWorker = -1
	}
	warmingShare, shared := b.limits.limiter.WarmingShare(b.limits.now())
	if !shared {
		warmingShare = -1
	}
	formerShare := b.limits.warmingShare.Swap(warmingShare + 1)
	formerLimit := b.limits.perWorker.Swap(perWorker)
	if formerLimit != perWorker || formerShare != warmingShare+1 {
		b.post(func(now time.Duration, out dispatch.Actions) {
			b.loop.module.SetWorkerLimits(now, int(b.limits.perWorker.Load()), float64(b.limits.warmingShare.Load()-1)/quota.Unit, out)
		})
	}
	return limit, limited
}
