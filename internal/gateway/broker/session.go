package broker

// This file takes one request from its arrival through its attempts to its one final answer. A session never has two
// attempts outstanding at once.

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

const (
	// DeadlineMargin is how long before a request's deadline its last attempt is ended, so that the answer still gets
	// through a busy machine and the network: clients count from when they sent the request, a little before it was read
	// here. With less, answers come past the deadline; with more, attempts are cut that would have ended in time.
	DeadlineMargin = 15 * time.Millisecond
	// moduleGrace is how much of that margin the module may use to decide the final answer. Beyond it the session answers
	// by itself, with the rest of the margin left.
	moduleGrace = 10 * time.Millisecond
)

// decision is what the module has decided next on one request: an attempt, or the final answer.
type decision struct {
	send        bool
	worker      dispatch.WorkerID
	timeout     time.Duration // of the attempt; 0: the request's
	maxAttempts int           // of the request, by the settings under which this was decided
	answer      Answer
}

// session is the broker's side of one open request. Serve makes it, and it ends when Serve returns. Fields without a note
// belong to the goroutine of Serve.
type session struct {
	b         *Broker
	id        dispatch.RequestID
	settings  *dispatch.Settings
	class     *dispatch.Class
	admission *admission
	waiting   *atomic.Int64 // the count of those of its kind that have no attempt outstanding
	attempts  int           // begun
	mayRun    bool          // an attempt may have run
	firstRun  time.Time     // when the earliest attempt that may have run began; zero: none may have
	decisions chan decision // filled by the module's goroutine
	ended     atomic.Bool   // the final answer stands, and no decision is taken any more

	mu          sync.Mutex
	cancel      func() // ends the attempt that is outstanding; nil: none has begun
	outstanding int    // its number
}

// Serve takes a request through its attempts to its one final answer and returns that as soon as it is known. ctx ends
// when the client no longer waits. Serve returns only when no attempt is outstanding.
func (b *Broker) Serve(ctx context.Context, q Request, attempt AttemptFunc) Answer {
	if q.Settings == nil {
		q.Settings = b.settings.Load()
	}
	if q.Class < 0 || q.Class >= len(q.Settings.Classes) {
		return Answer{Kind: AnswerFailed}
	}
	admitted, rejection, ok := b.admit(&q)
	if !ok {
		return rejection
	}
	defer admitted.release(b.limits.limiter)
	s := b.startSession(q, admitted)
	defer s.end()
	if b.Tracing() {
		b.Tracef("arrive %d class=%d left=%.3f retry=%t policy=%d at=%d in=%d", s.id, q.Class, time.Until(q.Deadline).Seconds(), q.ClientRetry, q.PolicyVersion, max(q.AdmittedAt.UnixNano(), 0), max(admitted.at.UnixNano(), 0))
	}
	ctx, stop := b.withDeadline(ctx, q.Deadline)
	defer stop()
	return s.serve(ctx, attempt)
}

// withDeadline returns a context that ends DeadlineMargin before the deadline, or once the broker's requests expire. Its
// cause is context.DeadlineExceeded in both cases, which tells them from a client that left.
func (b *Broker) withDeadline(ctx context.Context, deadline time.Time) (context.Context, func()) {
	ctx, stop := context.WithDeadline(ctx, deadline.Add(-DeadlineMargin))
	ctx, expire := context.WithCancelCause(ctx)
	detach := context.AfterFunc(b.expired, func() { expire(context.DeadlineExceeded) })
	return ctx, func() {
		detach()
		stop()
	}
}

// clientGone reports whether ctx ended because the client left, rather than by its deadline.
func clientGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// startSession makes a session and hands its request to the module.
func (b *Broker) startSession(q Request, admitted *admission) *session {
	s := &session{b: b, id: dispatch.RequestID(b.lastID.Add(1)), settings: q.Settings, class: &q.Settings.Classes[q.Class], admission: admitted,
		waiting: &b.counts.waitingRequests, decisions: make(chan decision, 2)}
	if q.EarlierWorker != nil {
		s.firstRun = time.Now().Add(-q.EarlierRunAge)
	}
	b.counts.open.Add(1)
	if q.WorkflowStep {
		s.waiting = &b.counts.waitingSteps
		b.counts.steps.Add(1)
	}
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.loop.sessions[s.id] = s
		b.loop.module.Arrive(now, dispatch.Request{
			ID:            s.id,
			Class:         q.Class,
			ResolvedClass: s.class,
			Tenant:        b.loop.tenantIndex(q),
			TimeLeft:      time.Until(q.Deadline),
			Slots:         q.Slots,
			Memory:        q.Memory,
			ClientRetry:   q.ClientRetry,
			BestEffort:    q.BestEffort,
			Pools:         q.Pools,
			EarlierWorker: q.EarlierWorker,
			EarlierRunAge: q.EarlierRunAge,
		}, out)
	})
	return s
}

// tenantIndex finds a request's tenant, by name, in the settings that the module has now: a reload may have come between.
func (l *moduleLoop) tenantIndex(q Request) int {
	if q.Settings == l.settings || q.Tenant < 0 || q.Tenant >= len(q.Settings.Tenants) {
		return q.Tenant
	}
	name := q.Settings.Tenants[q.Tenant].Name
	return slices.IndexFunc(l.settings.Tenants, func(t dispatch.Tenant) bool { return t.Name == name })
}

// serve carries out the module's decisions until the final answer.
func (s *session) serve(ctx context.Context, attempt AttemptFunc) Answer {
	timedOut := false // the last attempt did
	for {
		d := s.awaitDecision(ctx)
		if !d.send {
			d.answer.DeadlineMissed = d.answer.DeadlineMissed || timedOut
			if s.b.Tracing() {
				s.b.Tracef("answer %d verdict=%d", s.id, d.answer.Kind)
			}
			return s.checkRejection(d.answer)
		}
		a, o := s.attempt(ctx, d, attempt)
		if answer, final := s.conclude(ctx, a, o); final {
			return answer
		}
		timedOut = o.Code == TimedOut
	}
}

// awaitDecision blocks until the module has decided. Where it stays silent past the deadline the session answers itself.
func (s *session) awaitDecision(ctx context.Context) decision {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	select {
	case d := <-s.decisions:
		return d
	case <-ctx.Done():
	}
	if clientGone(ctx) {
		return decision{answer: Answer{Kind: AnswerClientGone}}
	}
	select {
	case d := <-s.decisions:
		return d
	case <-time.After(moduleGrace):
	case <-s.b.done:
	}
	if s.mayRun && !s.mayRunTwice() {
		return decision{answer: Answer{Kind: AnswerFailed, DeadlineMissed: true}}
	}
	return decision{answer: Answer{Kind: AnswerRejected}}
}

// attempt makes the attempt that the module has decided on, and reports its outcome to all but the module.
func (s *session) attempt(ctx context.Context, d decision, do AttemptFunc) (*Attempt, Outcome) {
	b := s.b
	a, w, incarnation := s.newAttempt(d.worker)
	s.admission.retryTaken = false
	if b.Tracing() {
		b.Tracef("send %d n=%d to=%s", s.id, a.Number, a.Worker)
	}
	var o Outcome
	if b.limits.limiter == nil || w == nil {
		o = s.runAttempt(ctx, a, d, do)
	} else {
		o = s.runCountedAttempt(ctx, a, w, d, do)
	}
	if b.Tracing() {
		b.Tracef("end %d n=%d to=%s code=%d load=%v", s.id, a.Number, a.Worker, o.Code, o.Load)
	}
	if b.observeOutcome != nil {
		b.observeOutcome(a.Worker, o.Code)
	}
	if b.outlierReporter != nil && incarnation.Worker != "" {
		b.reportOutcome(incarnation, o.Code)
	}
	return a, o
}

// newAttempt makes an attempt at a worker; w is nil where that is not known. A worker on probation uses its trial up.
func (s *session) newAttempt(worker dispatch.WorkerID) (a *Attempt, w *workerState, incarnation outlier.Incarnation) {
	a = &Attempt{Number: s.attempts, session: s, workerID: worker}
	s.b.workers.mu.Lock()
	defer s.b.workers.mu.Unlock()
	w = s.b.workers.byID[worker]
	if w == nil {
		return a, nil, incarnation
	}
	a.Worker, a.Addr = w.name, w.addr
	a.Zone, a.Kind, a.Cell = w.listed.Zone, w.listed.Kind, w.listed.Cell
	incarnation = w.incarnation()
	s.b.startTrial(w)
	return a, w, incarnation
}

// runCountedAttempt makes an attempt under the fleet's limit at each worker.
func (s *session) runCountedAttempt(ctx context.Context, a *Attempt, w *workerState, d decision, do AttemptFunc) (o Outcome) {
	began := time.Now()
	a.counted = w
	if s.b.startAttempt(w) {
		o = s.runAttempt(ctx, a, d, do)
	} else {
		s.attempts++
		o.Code = NotSent
	}
	s.b.endAttempt(w)
	if o.MayHaveRun() {
		s.admission.workerTime += time.Since(began)
	}
	return o
}

// runAttempt makes one attempt under its own time-out; the module may cancel it.
func (s *session) runAttempt(ctx context.Context, a *Attempt, d decision, do AttemptFunc) Outcome {
	s.attempts++
	ok := invariant.Check(s.attempts <= d.maxAttempts, "more attempts than allowed")
	ok = ok && s.attempts <= s.b.settings.Load().Attempts.Max // a reload since may allow fewer
	ok = invariant.Check(!s.mayRun || s.class.Semantics != dispatch.AtMostOnce, "a fragile request that may have run is sent again") && ok
	if !ok || a.Addr == "" || ctx.Err() != nil {
		return Outcome{Code: NotSent}
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	if d.timeout > 0 {
		ctx, stop = context.WithTimeout(ctx, d.timeout)
		defer stop()
	}
	s.mu.Lock()
	s.cancel, s.outstanding = stop, a.Number
	s.mu.Unlock()
	began := time.Now()
	o := do(ctx, a)
	if o.MayHaveRun() && s.firstRun.IsZero() {
		s.firstRun = began
	}
	s.mayRun = s.mayRun || o.MayHaveRun()
	return o
}

// conclude reports an attempt's outcome to the module. final is false where the module is to decide what follows.
func (s *session) conclude(ctx context.Context, a *Attempt, o Outcome) (answer Answer, final bool) {
	switch o.Code {
	case OK:
		s.report(a, o, true, false)
		return s.checkRejection(Answer{Kind: AnswerServed, Result: o.Result}), true
	case BadRequest:
		// Reported as a failure, a few clients' bad requests would make healthy workers look unhealthy to all others.
		o.Code = Cancelled
		s.report(a, o, true, false)
		return Answer{Kind: AnswerFailed, BadRequest: true}, true
	}
	gone, finalAttempt := clientGone(ctx), false
	if limits := &s.b.limits; limits.limiter != nil && !gone && o.Code != NotSent {
		s.admission.retryTaken = limits.limiter.TakeRetry(limits.now(), s.admission.ticket)
		finalAttempt = !s.admission.retryTaken
	}
	s.report(a, o, gone, finalAttempt)
	return Answer{Kind: AnswerClientGone}, gone
}

// report notifies the module how an attempt ended; answered says that the request has its final answer by that, and
// finalAttempt that the fleet's retry budget allows no other.
func (s *session) report(a *Attempt, o Outcome, answered, finalAttempt bool) {
	outcome := dispatch.Outcome{ID: s.id, Attempt: a.Number, Worker: a.workerID, Code: o.Code, Answered: answered, FinalAttempt: finalAttempt, Load: o.Load}
	s.b.post(func(now time.Duration, out dispatch.Actions) {
		if answered {
			s.ended.Store(true)
		}
		if !slices.Equal(s.settings.Workers.LoadFields, s.b.loop.settings.Workers.LoadFields) {
			outcome.Load = nil // its columns are those of former settings
		}
		s.b.loop.module.AttemptEnded(now, outcome, out)
	})
}

// end ends the session at the module, after all that the module was notified of before. A send that crossed the end is
// reported as never sent, because the module counts a worker's slots by outcomes.
func (s *session) end() {
	s.b.post(func(now time.Duration, out dispatch.Actions) {
		if s.ended.CompareAndSwap(false, true) {
			s.b.loop.module.ClientDisconnected(now, s.id, out)
		}
		for n := s.attempts; len(s.decisions) > 0; {
			if d := <-s.decisions; d.send {
				s.b.loop.module.AttemptEnded(now, dispatch.Outcome{ID: s.id, Attempt: n, Worker: d.worker,
					Code: NotSent, Answered: true}, out)
				n++
			}
		}
		delete(s.b.loop.sessions, s.id)
		s.b.counts.open.Add(-1)
		if s.waiting == &s.b.counts.waitingSteps {
			s.b.counts.steps.Add(-1)
		}
	})
}

// cancelAttempt ends an attempt if it is the outstanding one. The goroutine of the module calls it. Where the retry budget
// allows no other attempt the request is left where it is: cancelled it could go nowhere.
func (s *session) cancelAttempt(attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel == nil || s.outstanding != attempt {
		return
	}
	if limits := &s.b.limits; limits.limiter != nil && !limits.limiter.CanRetry(limits.now(), s.admission.ticket) {
		return
	}
	s.cancel()
}

// inDedupWindow reports whether a retry that is sent now comes to its worker inside the window in which workers drop
// duplicates of what may have run; what never ran has none.
func (s *session) inDedupWindow() bool {
	return s.class.Semantics != dispatch.Deduplicated || s.firstRun.IsZero() || time.Now().Add(DeadlineMargin).Before(s.firstRun.Add(s.class.DedupWindow))
}

// mayRunTwice reports whether the class allows that its client retries a request which may have run.
func (s *session) mayRunTwice() bool {
	c := s.class
	return c.Semantics == dispatch.Retryable || c.Semantics == dispatch.Deduplicated && c.DedupScope == dispatch.ScopeAll
}

// checkRejection keeps the rule on rejections whatever was decided: a client is never told that a retry is harmless when
// the request may have run and may not run twice.
func (s *session) checkRejection(a Answer) Answer {
	if a.Kind == AnswerRejected && !invariant.Check(!s.mayRun || s.mayRunTwice(), "refused what may have run") {
		return Answer{Kind: AnswerFailed}
	}
	return a
}
