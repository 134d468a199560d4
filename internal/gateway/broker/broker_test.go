package broker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/platform/invariant"
	"yardflow/scheduling/dispatch"
)

func testSettings() dispatch.Settings {
	return dispatch.Settings{MinEventGap: time.Millisecond, Fleet: dispatch.FleetSettings{Count: 1},
		Attempts: dispatch.AttemptSettings{Max: 4, MaxRetryAfter: 2 * time.Second},
		Classes: []dispatch.Class{
			{Name: "unsafe", LatencyTarget: 10 * time.Second, Deadline: 5 * time.Second, Value: 1, Semantics: dispatch.AtMostOnce, WorkerKind: -1},
			{Name: "safe", LatencyTarget: 10 * time.Second, Deadline: 5 * time.Second, Value: 1, WorkerKind: -1}}}
}

func newTestBroker(t *testing.T, contracts ...Contract) *Broker {
	t.Helper()
	b, err := New(testSettings(), 1, contracts, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func failOnAttempt(t *testing.T) AttemptFunc {
	return func(context.Context, *Attempt) Outcome {
		t.Error("an attempt that must not be made")
		return Outcome{Code: NotSent}
	}
}

// scriptedModule is a module that answers an arrival as the test says, and records the events that it gets.
type scriptedModule struct {
	dispatch.Dispatcher // nil: a call that is not scripted panics
	onArrive            func(dispatch.Request, dispatch.Actions)
	mu                  sync.Mutex
	disconnects         []string
	outcomes            []dispatch.Outcome
	onOutcome           func(dispatch.Outcome, dispatch.Actions)
}

func (s *scriptedModule) Arrive(_ time.Duration, r dispatch.Request, out dispatch.Actions) {
	s.onArrive(r, out)
}

func (s *scriptedModule) AttemptEnded(_ time.Duration, o dispatch.Outcome, out dispatch.Actions) {
	s.mu.Lock()
	s.outcomes = append(s.outcomes, o)
	s.mu.Unlock()
	if s.onOutcome != nil {
		s.onOutcome(o, out)
	}
}

func (s *scriptedModule) ClientDisconnected(time.Duration, dispatch.RequestID, dispatch.Actions) {
	s.mu.Lock()
	s.disconnects = append(s.disconnects, "gone")
	s.mu.Unlock()
}

func (s *scriptedModule) UpdateWorkers(time.Duration, dispatch.ListForm, []dispatch.Worker, dispatch.Actions) {
}

// newScriptedBroker makes a broker with a scripted module and one worker, "w".
func newScriptedBroker(t *testing.T, s *scriptedModule) *Broker {
	b := newTestBroker(t)
	ready := make(chan struct{})
	b.post(func(time.Duration, dispatch.Actions) { b.loop.module = s; close(ready) })
	<-ready
	b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "w", Addr: "addr"}})
	return b
}

// awaitModule blocks until the module has taken all events that are queued.
func awaitModule(b *Broker) {
	done := make(chan struct{})
	b.post(func(time.Duration, dispatch.Actions) { close(done) })
	<-done
}

// A module that stays silent costs no answer: the session rejects the request before its deadline, and notifies the module.
func TestServeAnswersByDeadlineWhenModuleIsSilent(t *testing.T) {
	s := &scriptedModule{onArrive: func(dispatch.Request, dispatch.Actions) {}}
	b := newScriptedBroker(t, s)
	deadline := time.Now().Add(300 * time.Millisecond)
	got := b.Serve(t.Context(), Request{Deadline: deadline}, failOnAttempt(t))
	if diff := cmp.Diff(Answer{Kind: AnswerRejected}, got); diff != "" {
		t.Error(diff)
	}
	awaitModule(b)
	if diff := cmp.Diff([]string{"gone"}, s.disconnects); diff != "" {
		t.Error(diff)
	}
	if n := b.Stats().Open; n != 0 {
		t.Error(n, "requests stay open")
	}
}

// A send that crosses the end of its request is reported as never sent: the module counts a worker's slots by outcomes.
func TestSendAfterRequestEndedIsReportedAsNotSent(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	s := &scriptedModule{onArrive: func(r dispatch.Request, out dispatch.Actions) {
		leave()
		time.Sleep(50 * time.Millisecond) // whether Serve sees the client leave first or not, the outcome is the same
		out.Send(r.ID, workerID("w"), 0)
	}}
	b := newScriptedBroker(t, s)
	got := b.Serve(ctx, Request{Deadline: time.Now().Add(time.Minute)}, func(ctx context.Context, _ *Attempt) Outcome {
		<-ctx.Done()
		return Outcome{Code: NotSent}
	})
	awaitModule(b)
	if got.Kind != AnswerClientGone || len(s.outcomes) != 1 || s.outcomes[0].Code != NotSent || !s.outcomes[0].Answered {
		t.Errorf("got %+v, the module got %+v", got, s.outcomes)
	}
}

// Rule 2 (no duplicate effect) holds even against the module: a request that may have run and must not run twice is never
// rejected, since a rejection tells the client to retry.
func TestRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	if invariant.Debug {
		t.Skip("a debug build stops here")
	}
	s := &scriptedModule{onArrive: func(r dispatch.Request, out dispatch.Actions) { out.Send(r.ID, workerID("w"), 0) },
		onOutcome: func(o dispatch.Outcome, out dispatch.Actions) { out.Reject(o.ID, time.Second) }}
	b := newScriptedBroker(t, s)
	before := invariant.Violations()
	for class, want := range []AnswerKind{AnswerFailed, AnswerRejected} {
		got := b.Serve(t.Context(), Request{Class: class, Deadline: time.Now().Add(time.Minute)},
			func(context.Context, *Attempt) Outcome { return Outcome{Code: ConnectionLost} })
		if got.Kind != want {
			t.Errorf("class %d: got %+v, want kind %d", class, got, want)
		}
	}
	if invariant.Violations()["refused what may have run"] != before["refused what may have run"]+1 {
		t.Error("not counted:", invariant.Violations())
	}
}

// A panic of the module fails the request that met it, not the others and not the process; that one still gets its answer
// by its deadline.
func TestModulePanicFailsOneRequestOnly(t *testing.T) {
	if invariant.Debug {
		t.Skip("a debug build stops here")
	}
	s := &scriptedModule{onArrive: func(r dispatch.Request, out dispatch.Actions) {
		if r.Class == 0 {
			panic("a fault")
		}
		out.Send(r.ID, workerID("w"), 0)
	}}
	b, before := newScriptedBroker(t, s), invariant.Violations()
	got := b.Serve(t.Context(), Request{Class: 0, Deadline: time.Now().Add(200 * time.Millisecond)}, failOnAttempt(t))
	next := b.Serve(t.Context(), Request{Class: 1, Deadline: time.Now().Add(time.Minute)},
		func(context.Context, *Attempt) Outcome { return Outcome{Code: OK} })
	if got.Kind != AnswerRejected || next.Kind != AnswerServed || invariant.Violations()["the module panics: a fault"] != before["the module panics: a fault"]+1 {
		t.Errorf("got %+v, then %+v; counted %v", got, next, invariant.Violations())
	}
}

// The module may cancel an attempt; the attempt ends with the outcome that its front reports.
func TestModuleCancelsAttempt(t *testing.T) {
	s := &scriptedModule{onArrive: func(r dispatch.Request, out dispatch.Actions) { out.Send(r.ID, workerID("w"), 0) },
		onOutcome: func(o dispatch.Outcome, out dispatch.Actions) { out.Fail(o.ID) }}
	b := newScriptedBroker(t, s)
	got := b.Serve(t.Context(), Request{Deadline: time.Now().Add(time.Minute)}, func(ctx context.Context, a *Attempt) Outcome {
		b.post(func(_ time.Duration, out dispatch.Actions) {
			out.Cancel(a.session.id, a.Number+1)
			out.Cancel(a.session.id, a.Number)
		})
		<-ctx.Done()
		return Outcome{Code: Cancelled}
	})
	if got.Kind != AnswerFailed || len(s.outcomes) != 1 || s.outcomes[0].Code != Cancelled {
		t.Errorf("got %+v, the module got %+v", got, s.outcomes)
	}
}

// A team over its rate, or over what it may have in flight, is rejected at once with a Retry-After; nothing of it reaches
// the module, and other teams are served.
func TestContractLimitsTeam(t *testing.T) {
	b := newTestBroker(t, Contract{Team: "a", RequestsPerSecond: 0.5, Burst: 2, MaxInFlight: 9}, Contract{Team: "b", RequestsPerSecond: 1000, Burst: 9, MaxInFlight: 1})
	b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "w", Addr: "addr"}})
	served := func(context.Context, *Attempt) Outcome { return Outcome{Code: OK, Result: []byte("r")} }
	serve := func(team string, do AttemptFunc) Answer {
		return b.Serve(t.Context(), Request{Class: 1, Team: team, Deadline: time.Now().Add(time.Minute)}, do)
	}
	for range 2 {
		if got := serve("a", served); got.Kind != AnswerServed {
			t.Fatalf("within the contract: %+v", got)
		}
	}
	if got := serve("a", failOnAttempt(t)); got.Kind != AnswerRejected || !got.OverBudget || got.RetryAfter <= 0 || got.RetryAfter > 2*time.Second {
		t.Errorf("over the rate: %+v", got)
	}
	var inner Answer
	outer := serve("b", func(context.Context, *Attempt) Outcome {
		inner = serve("b", failOnAttempt(t))
		return Outcome{Code: OK}
	})
	if outer.Kind != AnswerServed || inner.Kind != AnswerRejected || !inner.OverBudget || inner.RetryAfter <= 0 {
		t.Errorf("over what may be in flight: %+v in %+v", inner, outer)
	}
	if got := serve("b", served); got.Kind != AnswerServed {
		t.Errorf("after an answer the next is admitted: %+v", got)
	}
}

func TestTokenBucketRefills(t *testing.T) {
	b, now := newTokenBucket(Contract{RequestsPerSecond: 2, Burst: 2, MaxInFlight: 99}), time.Now()
	var got []bool
	for _, after := range []time.Duration{0, 0, 0, 400, 600, 600, 5000, 5000, 5000} {
		_, ok := b.take(now.Add(after * time.Millisecond))
		got = append(got, ok)
	}
	if diff := cmp.Diff([]bool{true, true, false, false, true, false, true, true, false}, got); diff != "" {
		t.Error(diff)
	}
}

// A worker's id is the same at every dispatcher, whatever address it is reached at and in whatever order workers are
// listed: the dispatchers share the workers by their ids.
func TestWorkerIDDependsOnNameOnly(t *testing.T) {
	// Pinned: dispatchers of two versions run side by side while one replaces the other.
	if got, want := workerID("s-5be2a07c"), dispatch.WorkerID(0xace623f1fdc27c8a); got != want {
		t.Errorf("got %x, want %x", got, want)
	}
	seen := map[string]dispatch.WorkerID{}
	for _, list := range [][]Worker{{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}}, {{ID: "b", Addr: "3"}, {ID: "a", Addr: "4"}}} {
		b := newTestBroker(t)
		b.UpdateWorkers(dispatch.ListFull, list)
		for id, w := range b.workers.byID {
			if old, ok := seen[w.name]; ok && old != id {
				t.Errorf("%s is %x here and %x there", w.name, id, old)
			}
			seen[w.name] = id
		}
	}
}

// Workers' start times are Unix time; the module's clock has the same base.
func TestClockIsUnixTime(t *testing.T) {
	b := newTestBroker(t)
	if off := b.clock.now() - time.Duration(time.Now().UnixNano()); off.Abs() > time.Minute {
		t.Errorf("the clock is %v off", off)
	}
}

// Whatever the outcomes, a request gets one answer and has one attempt outstanding at a time, and an unsafe one runs once.
func TestRequestGuaranteesUnderLoad(t *testing.T) {
	b := newTestBroker(t)
	b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "a", Addr: "1"}, {ID: "b", Addr: "2"}, {ID: "c", Addr: "3"}})
	codes := []Code{OK, OK, OK, Rejected, ConnectFailed, Failed, ConnectionLost}
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 1))
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			if i%7 == 0 {
				time.AfterFunc(time.Duration(rnd.IntN(20))*time.Millisecond, stop)
			}
			var out, ran atomic.Int32
			class := i % 2
			b.Serve(ctx, Request{Class: class, Slots: 1, Deadline: time.Now().Add(400 * time.Millisecond)}, func(ctx context.Context, a *Attempt) Outcome {
				if out.Add(1) != 1 {
					t.Error("two attempts at once")
				}
				defer out.Add(-1)
				a.ReportStarted()
				a.ReportProgress(0.5)
				select {
				case <-time.After(time.Duration(rnd.IntN(10)) * time.Millisecond):
				case <-ctx.Done():
					ran.Add(1)
					return Outcome{Code: TimedOut}
				}
				code := codes[rnd.IntN(len(codes))]
				if code != Rejected && code != ConnectFailed && ran.Add(1) > 1 && class == 0 {
					t.Error("an unsafe request ran twice")
				}
				return Outcome{Code: code}
			})
			if out.Load() != 0 {
				t.Error("an answer while an attempt is outstanding")
			}
		})
	}
	wg.Wait()
	awaitModule(b)
	if n := b.Stats().Open; n != 0 {
		t.Error(n, "requests stay open")
	}
}

// A worker that operators have banned gets no new attempt from that call on, whatever the list says; its jobs end. When
// the ban is lifted it counts as just started.
func TestBannedWorkerGetsNoNewAttempts(t *testing.T) {
	type update struct {
		Form  dispatch.ListForm
		State dispatch.WorkerState
		Young bool
	}
	var updates []update
	var lastStart time.Duration
	s := &scriptedModule{}
	b := newScriptedBroker(t, s)
	ready := make(chan struct{})
	b.post(func(time.Duration, dispatch.Actions) {
		b.loop.module = &listRecorder{Dispatcher: s, record: func(now time.Duration, form dispatch.ListForm, w dispatch.Worker) {
			updates, lastStart = append(updates, update{form, w.State, now-w.Launched < time.Minute}), w.Launched
		}}
		close(ready)
	})
	<-ready
	allowed := func() bool { return b.maySendTo(workerID("w"), "addr") }
	if got := b.SetBanned([]string{"w", "other"}); len(got) != 1 || got[0] != "addr" || allowed() {
		t.Error("banned", got, allowed())
	}
	b.UpdateWorkers(dispatch.ListFull, []Worker{{ID: "w", Addr: "addr"}, {ID: "other", Addr: "addr2"}})
	if allowed() || b.maySendTo(workerID("other"), "addr") || b.Stats().Ready != 0 {
		t.Error("a list has lifted a ban")
	}
	b.SetBanned(nil)
	if !allowed() || !b.KnowsWorker("w") || b.KnowsWorker("x") {
		t.Error("the ban was not lifted")
	}
	awaitModule(b)
	// A start that the list has named since the ban counts instead.
	b.SetBanned([]string{"w"})
	b.UpdateWorkers(dispatch.ListDelta, []Worker{{ID: "w", Addr: "addr", StartedAt: time.Now().Add(time.Hour)}})
	b.SetBanned(nil)
	awaitModule(b)
	if last := updates[len(updates)-1]; last.State != dispatch.Ready || lastStart < time.Duration(time.Now().Add(30*time.Minute).UnixNano()) {
		t.Errorf("after the ban it is %+v, started %v", last, lastStart)
	}
	updates = updates[:5]
	want := []update{{dispatch.ListOverride, dispatch.Draining, false}, {dispatch.ListFull, dispatch.Draining, false},
		{dispatch.ListFull, dispatch.Draining, false}, {dispatch.ListOverride, dispatch.Ready, true}, {dispatch.ListOverride, dispatch.Ready, true}}
	if diff := cmp.Diff(want, updates); diff != "" {
		t.Error(diff)
	}
}

// listRecorder records each entry of the lists that a module is handed.
type listRecorder struct {
	dispatch.Dispatcher
	record func(time.Duration, dispatch.ListForm, dispatch.Worker)
}

func (l *listRecorder) UpdateWorkers(now time.Duration, form dispatch.ListForm, list []dispatch.Worker, _ dispatch.Actions) {
	for _, w := range list {
		l.record(now, form, w)
	}
}

// An entry of a removed worker need have its id alone. Its cell stays known: taken for cell 0, a request that may have run
// there was retried at any worker of cell 0, which does not drop the duplicate.
func TestRemovedWorkerKeepsItsCell(t *testing.T) {
	var updates []dispatch.Worker
	s := &scriptedModule{}
	b := newScriptedBroker(t, s)
	b.post(func(time.Duration, dispatch.Actions) {
		b.loop.module = &listRecorder{Dispatcher: s, record: func(_ time.Duration, _ dispatch.ListForm, w dispatch.Worker) { updates = append(updates, w) }}
	})
	b.UpdateWorkers(dispatch.ListDelta, []Worker{{ID: "w", Addr: "addr", Zone: 1, Kind: 1, Cell: 7, StartedAt: time.Unix(5, 0)}})
	b.UpdateWorkers(dispatch.ListDelta, []Worker{{ID: "w", State: dispatch.Removed}, {ID: "never seen", State: dispatch.Removed}})
	if b.maySendTo(workerID("w"), "addr") {
		t.Error("a removed worker may be sent to")
	}
	awaitModule(b)
	want := updates[0]
	want.State = dispatch.Removed
	if diff := cmp.Diff(want, updates[1]); diff != "" {
		t.Error(diff)
	}
}
