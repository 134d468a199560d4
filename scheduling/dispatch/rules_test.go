package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// simulation drives a dispatcher through random events and checks its actions
// against the package's invariants. It keeps its own record of every attempt.
type simulation struct {
	t            *testing.T
	s            Settings
	rnd          *rand.Rand
	now          time.Duration
	d            Dispatcher
	out          recorder
	requests     map[RequestID]*simulatedRequest
	order        []RequestID
	list         []Worker                   // the initial worker list
	state        map[WorkerID]Worker        // latest list entries
	drainedSince map[WorkerID]time.Duration // when a worker left the state Ready
	trace        strings.Builder
}

type simulatedRequest struct {
	request  Request
	deadline time.Duration
	answered bool
	attempts []*simulatedAttempt
}

type simulatedAttempt struct {
	worker      WorkerID
	sent        time.Duration
	outstanding bool
	mayHaveRun  bool
}

// checkActions checks the dispatcher's actions since the last call and adds them to the record.
func (w *simulation) checkActions() {
	for _, a := range w.out.actions {
		fmt.Fprintf(&w.trace, "%v %v\n", w.now, a)
		r := w.requests[a.id]
		switch a.what {
		case "send":
			w.checkSend(a, r)
			r.attempts = append(r.attempts, &simulatedAttempt{worker: a.worker, sent: w.now, outstanding: true, mayHaveRun: true})
		case "reject", "fail":
			if r.answered {
				w.t.Fatalf("second answer for request %d", a.id)
			}
			if w.now > r.deadline+w.s.Attempts.AnswerSlack {
				w.t.Fatalf("answer for request %d came %v after its deadline", a.id, w.now-r.deadline)
			}
			if c := w.s.Classes[r.request.Class]; a.what == "reject" && c.Semantics != Retryable {
				for _, at := range r.attempts {
					if at.mayHaveRun && (c.Semantics != Deduplicated || c.DedupScope != ScopeAll) {
						w.t.Fatalf("rejected request %d, which may have run", a.id)
					}
				}
			}
			r.answered = true
		}
	}
	w.out.actions = nil
}

// checkSend checks that a send of r is allowed.
func (w *simulation) checkSend(a action, r *simulatedRequest) {
	c := w.s.Classes[r.request.Class]
	if r.answered || len(r.attempts) >= w.s.Attempts.Max {
		w.t.Fatalf("request %d was sent after its answer or beyond its maximum of attempts", a.id)
	}
	if at, bad := w.drainedSince[a.worker]; bad && w.now > at+w.s.Workers.DrainGrace {
		w.t.Fatalf("sent to worker %d, which is drained or removed since %v", a.worker, at)
	}
	var first *simulatedAttempt
	for _, at := range r.attempts {
		if at.outstanding && !w.s.Attempts.Hedging {
			w.t.Fatalf("two attempts of request %d outstanding without hedging", a.id)
		}
		if at.mayHaveRun && first == nil {
			first = at
		}
	}
	if first == nil {
		return
	}
	switch c.Semantics {
	case AtMostOnce:
		w.t.Fatalf("AtMostOnce request %d, which may have run, sent again", a.id)
	case Deduplicated:
		for _, at := range r.attempts {
			if at.mayHaveRun && w.state[at.worker].Cell != w.state[a.worker].Cell {
				w.t.Fatalf("Deduplicated request %d, which may have run, sent to another cell", a.id)
			}
		}
		if w.now > first.sent+c.DedupWindow {
			w.t.Fatalf("Deduplicated request %d sent again after its DedupWindow", a.id)
		}
	}
}

// newSimulation returns a simulation with eight workers that are in the dispatcher's first list.
func newSimulation(t *testing.T, s Settings, seed uint64) *simulation {
	w := &simulation{t: t, s: s, rnd: rand.New(rand.NewPCG(seed, 1)), requests: map[RequestID]*simulatedRequest{},
		state: map[WorkerID]Worker{}, drainedSince: map[WorkerID]time.Duration{}}
	w.d = mustNew(t, s, seed)
	for i := range 8 {
		x := Worker{ID: WorkerID(100 + i), Kind: i % 2, Cell: i / 3, Zone: i % 3, Weight: float64(1 + i%2)}
		w.list = append(w.list, x)
		w.state[x.ID] = x
	}
	w.d.UpdateWorkers(0, ListCached, w.list, &w.out)
	w.checkActions()
	return w
}

// runSimulation runs 20 s of random events and returns the trace of the dispatcher's actions.
func runSimulation(t *testing.T, s Settings, seed uint64) string {
	w := newSimulation(t, s, seed)
	tick := time.Duration(0)
	for w.now < 20*time.Second {
		w.now += time.Duration(w.rnd.IntN(8)+1) * ms
		if w.now >= tick {
			tick = w.now + tickInterval
			w.d.Timer(w.now, 0, &w.out)
			w.checkActions()
		}
		switch p := w.rnd.Float64(); {
		case p < 0.3 && w.now < 14*time.Second:
			w.addRequest()
		case p < 0.31:
			w.changeWorker()
		case p < 0.6 && len(w.order) > 0:
			w.endOrNotify(w.order[len(w.order)-1-w.rnd.IntN(min(len(w.order), 30))])
		}
		w.checkActions()
		w.timeOutAttempts()
	}
	for _, id := range w.order {
		if !w.requests[id].answered {
			t.Fatalf("request %d has no answer", id)
		}
	}
	return w.trace.String()
}

// addRequest passes a random request to the dispatcher.
func (w *simulation) addRequest() {
	r := Request{ID: RequestID(len(w.order) + 1), Class: w.rnd.IntN(len(w.s.Classes)), Slots: float64(w.rnd.IntN(2) + 1),
		TimeLeft: time.Duration(w.rnd.IntN(4000)+1) * ms}
	w.order = append(w.order, r.ID)
	w.requests[r.ID] = &simulatedRequest{request: r, deadline: w.now + r.TimeLeft}
	w.d.Arrive(w.now, r, &w.out)
}

// changeWorker gives a random worker a random state; a worker that becomes Ready may have restarted.
func (w *simulation) changeWorker() {
	x := w.list[w.rnd.IntN(len(w.list))]
	x.State = WorkerState(w.rnd.IntN(3))
	if x.State == Ready {
		delete(w.drainedSince, x.ID)
		if w.rnd.IntN(2) == 0 {
			x.Launched = w.now
		}
	} else if _, drained := w.drainedSince[x.ID]; !drained {
		w.drainedSince[x.ID] = w.now
	}
	w.state[x.ID] = x
	w.d.UpdateWorkers(w.now, ListDelta, []Worker{x}, &w.out)
}

// timeOutAttempts ends attempts at their requests' deadlines and checks that each request has an answer by
// then.
func (w *simulation) timeOutAttempts() {
	for _, id := range w.order {
		r := w.requests[id]
		for n, at := range r.attempts {
			if at.outstanding && w.now >= r.deadline {
				at.outstanding = false
				w.d.AttemptEnded(w.now, Outcome{ID: id, Attempt: n, Worker: at.worker, Code: TimedOut, Answered: r.answered}, &w.out)
				w.checkActions()
			}
		}
		if !r.answered && w.now > r.deadline+w.s.Attempts.AnswerSlack {
			w.t.Fatalf("request %d has no answer after its deadline", id)
		}
	}
}

// endOrNotify ends the outstanding attempts of a request with random outcomes or sends notifications of them.
func (w *simulation) endOrNotify(id RequestID) {
	r := w.requests[id]
	for n, at := range r.attempts {
		if !at.outstanding {
			continue
		}
		switch p := w.rnd.Float64(); {
		case p < 0.3:
			w.d.Notify(w.now, Notification{ID: id, Attempt: n, Worker: at.worker, Kind: NotificationKind(w.rnd.IntN(3)), FractionDone: w.rnd.Float64()}, &w.out)
			continue
		case p < 0.7:
			at.outstanding = false
			o := Outcome{ID: id, Attempt: n, Worker: at.worker, Code: OK, Answered: true}
			r.answered = true
			w.d.AttemptEnded(w.now, o, &w.out)
		default:
			at.outstanding = false
			code := []Code{Rejected, Failed, ConnectionLost, ConnectFailed, Unknown, TimedOut}[w.rnd.IntN(6)]
			at.mayHaveRun = code != Rejected && code != ConnectFailed
			w.d.AttemptEnded(w.now, Outcome{ID: id, Attempt: n, Worker: at.worker, Code: code, Answered: r.answered}, &w.out)
		}
		w.checkActions()
	}
}

// Under random events, the dispatcher keeps the package's invariants, and the same events give the same
// actions.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		s := testSettings()
		s.Attempts.Hedging = seed%2 == 0
		s.Workers.StartNotifications = seed%3 != 0
		if seed%4 == 0 {
			s.Workers.LoadFields = []LoadField{LoadWaiting, LoadFreeSlots}
		}
		if first, second := runSimulation(t, s, seed), runSimulation(t, s, seed); first != second {
			t.Fatalf("seed %d: the same events gave different actions", seed)
		}
	}
}
