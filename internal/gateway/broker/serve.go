package broker

// This file owns one request from its arrival to its one final answer. It must never have two of its
// attempts out at once.

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

// decision is what the module decided next on one request.
type decision struct {
	send        bool
	worker      dispatch.WorkerID
	timeout     time.Duration
	maxAttempts int // attempts allowed when this was decided
	answer      Answer
}

// session is the broker's side of one open request.
type session struct {
	b        *Broker
	id       dispatch.RequestID
	settings *dispatch.Settings
	class    *dispatch.Class
	next     chan decision
	ticket   *quota.Ticket // of the limits of the fleet
	attempts int
	kind     *atomic.Int64 // those of its kind that are at no worker
	mayRun   bool
	mayRunAt time.Time   // when the earliest attempt that may have run began; zero: none
	ended    atomic.Bool // the final answer is worded; nothing more is decided

	mu   sync.Mutex
	stop func() // ends the attempt that is out
	out  int    // its number
}

// Serve takes a request through its attempts to its one final answer, which is
// returned the moment it is known. ctx ends when nobody waits any longer. Serve
// returns only when no attempt is out.
func (b *Broker) Serve(ctx context.Context, q Request, do AttemptFunc) Answer {
	if q.Settings == nil {
		q.Settings = b.settings.Load()
	}
	if q.Class < 0 || q.Class >= len(q.Settings.Classes) {
		return Answer{Kind: AnswerFailed}
	}
	if bu := (*b.buckets.Load())[q.Team]; bu != nil {
		wait, ok := bu.take(time.Now())
		if !ok {
			return Answer{Kind: AnswerRejected, RetryAfter: wait, OverBudget: true}
		}
		defer bu.release()
	}
	var ticket *quota.Ticket // nil: no limits of the fleet
	var ran time.Duration    // that its attempts took at workers
	var in time.Time         // when it was let in, under the fleet's limits
	tried := false           // a further try is taken, and not made yet
	if b.limiter != nil {
		if b.Tracing() {
			in = time.Now()
		}
		t, short, wait := b.admit(&q)
		if short != "" {
			if b.Tracing() {
				b.Tracef("over limit=%s wait=%v", short, wait)
			}
			return Answer{Kind: AnswerRejected, RetryAfter: wait, OverBudget: true}
		}
		ticket = &t
		defer func() {
			if tried {
				b.limiter.ReturnRetry(ticket)
			}
			b.limiter.Done(ticket, ran)
		}()
	}
	s := b.arrive(q, ticket)
	defer s.leave()
	if b.Tracing() {
		b.Tracef("arrive %d class=%d left=%.3f retry=%t policy=%d at=%d in=%d", s.id, q.Class, time.Until(q.Deadline).Seconds(), q.ClientRetry, q.PolicyVersion, max(q.AdmittedAt.UnixNano(), 0), max(in.UnixNano(), 0))
	}
	ctx, stop := context.WithDeadline(ctx, q.Deadline.Add(-DeadlineMargin))
	defer stop()
	ctx, cut := context.WithCancelCause(ctx)
	defer context.AfterFunc(b.over, func() { cut(context.DeadlineExceeded) })()
	late := false
	for {
		d := s.pick(ctx)
		if !d.send {
			d.answer.DeadlineMissed = d.answer.DeadlineMissed || late
			if b.Tracing() {
				b.Tracef("answer %d verdict=%d", s.id, d.answer.Kind)
			}
			return s.check(d.answer)
		}
		a := &Attempt{Number: s.attempts, s: s, id: d.worker}
		b.mu.Lock()
		p := b.workersByID[d.worker]
		var of outlier.Incarnation
		if p != nil {
			a.Worker, a.Addr, of = p.name, p.addr, p.of()
			a.Zone, a.Kind, a.Cell = p.told.Zone, p.told.Kind, p.told.Cell
			b.onTrial(p)
		}
		b.mu.Unlock()
		tried = false
		if b.Tracing() {
			b.Tracef("send %d n=%d to=%s", s.id, a.Number, a.Worker)
		}
		var o Outcome
		if b.limiter == nil || p == nil {
			o = s.try(ctx, a, d, do)
		} else {
			began := time.Now()
			a.place = p
			if b.enter(p) {
				o = s.try(ctx, a, d, do)
			} else {
				s.attempts++
				o.Code = NotSent
			}
			if b.exit(p); o.MayHaveRun() {
				ran += time.Since(began)
			}
		}
		if b.Tracing() {
			b.Tracef("end %d n=%d to=%s code=%d load=%v", s.id, a.Number, a.Worker, o.Code, o.Load)
		}
		if b.observe != nil {
			b.observe(a.Worker, o.Code)
		}
		if b.outlierReporter != nil && of.Worker != "" {
			b.testify(of, o.Code)
		}
		if o.Code == OK {
			s.report(a, o, true, false)
			return s.check(Answer{Kind: AnswerServed, Result: o.Result})
		}
		if o.Code == BadRequest {
			// Told as a failure, a few clients' unusable requests would make sound
			// workers look sick to all others.
			o.Code = Cancelled
			s.report(a, o, true, false)
			return Answer{Kind: AnswerFailed, BadRequest: true}
		}
		gone := left(ctx)
		late = o.Code == TimedOut
		last := false
		if b.limiter != nil && !gone && o.Code != NotSent {
			tried = b.limiter.TakeRetry(b.limiterClock(), ticket)
			last = !tried
		}
		s.report(a, o, gone, last)
		if gone {
			return Answer{Kind: AnswerClientGone}
		}
	}
}

// ExpireAll makes the time of all requests up, those to come included: each gets its
// final answer now.
func (b *Broker) ExpireAll() { b.end() }

// left tells whether the one who asked has gone, rather than the time being up.
func left(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

func (b *Broker) arrive(q Request, t *quota.Ticket) *session {
	s := &session{b: b, ticket: t, settings: q.Settings, class: &q.Settings.Classes[q.Class], next: make(chan decision, 2)}
	if q.EarlierWorker != nil {
		s.mayRunAt = time.Now().Add(-q.EarlierRunAge)
	}
	b.mu.Lock()
	b.lastID++
	s.id = b.lastID
	b.mu.Unlock()
	b.count.Add(1)
	if s.kind = &b.idle[0]; q.WorkflowStep {
		s.kind = &b.idle[1]
		b.steps.Add(1)
	}
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.open[s.id] = s
		tenant := q.Tenant
		if q.Settings != b.moduleSettings && tenant >= 0 && tenant < len(q.Settings.Tenants) {
			name := q.Settings.Tenants[tenant].Name
			tenant = slices.IndexFunc(b.moduleSettings.Tenants, func(t dispatch.Tenant) bool { return t.Name == name })
		}
		b.module.Arrive(now, dispatch.Request{ID: s.id, Class: q.Class, ResolvedClass: s.class, Tenant: tenant,
			TimeLeft: time.Until(q.Deadline), Slots: q.Slots, Memory: q.Memory, ClientRetry: q.ClientRetry, BestEffort: q.BestEffort, Pools: q.Pools, EarlierWorker: q.EarlierWorker, EarlierRunAge: q.EarlierRunAge}, out)
	})
	return s
}

// leave ends the session at the module, in turn behind all it was told before.
// A send that crossed the end is reported as never made: the module counts a
// worker's slots by it.
func (s *session) leave() {
	s.b.post(func(now time.Duration, out dispatch.Actions) {
		if s.ended.CompareAndSwap(false, true) {
			s.b.module.ClientDisconnected(now, s.id, out)
		}
		for n := s.attempts; len(s.next) > 0; {
			if d := <-s.next; d.send {
				s.b.module.AttemptEnded(now, dispatch.Outcome{ID: s.id, Attempt: n, Worker: d.worker,
					Code: NotSent, Answered: true}, out)
				n++
			}
		}
		delete(s.b.open, s.id)
		s.b.count.Add(-1)
		if s.kind == &s.b.idle[1] {
			s.b.steps.Add(-1)
		}
	})
}

// pick blocks until the module has decided. It has one answer of its own, for
// a module that stays silent past the deadline.
func (s *session) pick(ctx context.Context) decision {
	s.kind.Add(1)
	defer s.kind.Add(-1)
	select {
	case d := <-s.next:
		return d
	case <-ctx.Done():
	}
	if left(ctx) {
		return decision{answer: Answer{Kind: AnswerClientGone}}
	}
	select {
	case d := <-s.next:
		return d
	case <-time.After(moduleGrace):
	case <-s.b.done:
	}
	if s.mayRun && !s.refusable() {
		return decision{answer: Answer{Kind: AnswerFailed, DeadlineMissed: true}}
	}
	return decision{answer: Answer{Kind: AnswerRejected}}
}

// try runs one attempt under its own time-out and the module's right to call it off.
func (s *session) try(ctx context.Context, a *Attempt, d decision, do AttemptFunc) Outcome {
	s.attempts++
	ok := invariant.Check(s.attempts <= d.maxAttempts, "more attempts than allowed")
	ok = ok && s.attempts <= s.b.settings.Load().MaxAttempts // fewer since then
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
	s.stop, s.out = stop, a.Number
	s.mu.Unlock()
	began := time.Now()
	o := do(ctx, a)
	if o.MayHaveRun() && s.mayRunAt.IsZero() {
		s.mayRunAt = began
	}
	s.mayRun = s.mayRun || o.MayHaveRun()
	return o
}

// inWindow tells whether a repeat that is sent now still comes to its worker inside the time in
// which repeats are dropped there; of what never ran there is none.
func (s *session) inWindow() bool {
	return s.class.Semantics != dispatch.Deduplicated || s.mayRunAt.IsZero() || time.Now().Add(DeadlineMargin).Before(s.mayRunAt.Add(s.class.DedupWindow))
}

// MayHaveRun tells whether an attempt may have run.
func (o *Outcome) MayHaveRun() bool {
	return o.Code != Rejected && o.Code != ConnectFailed && o.Code != NotSent
}

// report tells the module how an attempt ended.
func (s *session) report(a *Attempt, o Outcome, ended, last bool) {
	m := dispatch.Outcome{ID: s.id, Attempt: a.Number, Worker: a.id, Code: o.Code, Answered: ended, FinalAttempt: last, Load: o.Load}
	s.b.post(func(now time.Duration, out dispatch.Actions) {
		if ended {
			s.ended.Store(true)
		}
		if !slices.Equal(s.settings.LoadFields, s.b.moduleSettings.LoadFields) {
			m.Load = nil // its columns were others
		}
		s.b.module.AttemptEnded(now, m, out)
	})
}

// refusable tells whether a request that may have run may be refused.
func (s *session) refusable() bool {
	c := s.class
	return c.Semantics == dispatch.Retryable || c.Semantics == dispatch.Deduplicated && c.DedupScope == dispatch.ScopeAll
}

// check keeps the rule on refusals whatever was decided: never tell a client
// that a retry is harmless when the request may have run and is not repeatable.
func (s *session) check(a Answer) Answer {
	if a.Kind == AnswerRejected && !invariant.Check(!s.mayRun || s.refusable(), "refused what may have run") {
		return Answer{Kind: AnswerFailed}
	}
	return a
}
