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
func (sim *simulation) checkActions() {
	for _, a := range sim.out.actions {
		fmt.Fprintf(&sim.trace, "%v %v\n", sim.now, a)
		r := sim.requests[a.id]
		switch a.kind {
		case "send":
			sim.checkSend(a, r)
			r.attempts = append(r.attempts, &simulatedAttempt{worker: a.worker, sent: sim.now, outstanding: true, mayHaveRun: true})
		case "reject", "fail":
			if r.answered {
				sim.t.Fatalf("second answer for request %d", a.id)
			}
			if sim.now > r.deadline+sim.s.Attempts.AnswerSlack {
				sim.t.Fatalf("answer for request %d came %v after its deadline", a.id, sim.now-r.deadline)
			}
			if c := sim.s.Classes[r.request.Class]; a.kind == "reject" && c.Semantics != Retryable {
				for _, at := range r.attempts {
					if at.mayHaveRun && (c.Semantics != Deduplicated || c.DedupScope != ScopeAll) {
						sim.t.Fatalf("rejected request %d, which may have run", a.id)
					}
				}
			}
			r.answered = true
		}
	}
	sim.out.actions = nil
}

// checkSend checks that a send of r is allowed.
func (sim *simulation) checkSend(a action, r *simulatedRequest) {
	c := sim.s.Classes[r.request.Class]
	if r.answered || len(r.attempts) >= sim.s.Attempts.Max {
		sim.t.Fatalf("request %d was sent after its answer or beyond its maximum of attempts", a.id)
	}
	if at, bad := sim.drainedSince[a.worker]; bad && sim.now > at+sim.s.Workers.DrainGrace {
		sim.t.Fatalf("sent to worker %d, which is drained or removed since %v", a.worker, at)
	}
	var first *simulatedAttempt
	for _, at := range r.attempts {
		if at.outstanding && !sim.s.Attempts.Hedging {
			sim.t.Fatalf("two attempts of request %d outstanding without hedging", a.id)
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
		sim.t.Fatalf("AtMostOnce request %d, which may have run, sent again", a.id)
	case Deduplicated:
		for _, at := range r.attempts {
			if at.mayHaveRun && sim.state[at.worker].Cell != sim.state[a.worker].Cell {
				sim.t.Fatalf("Deduplicated request %d, which may have run, sent to another cell", a.id)
			}
		}
		if sim.now > first.sent+c.DedupWindow {
			sim.t.Fatalf("Deduplicated request %d sent again after its DedupWindow", a.id)
		}
	}
}

// newSimulation returns a simulation with eight workers that are in the dispatcher's first list.
func newSimulation(t *testing.T, s Settings, seed uint64) *simulation {
	sim := &simulation{t: t, s: s, rnd: rand.New(rand.NewPCG(seed, 1)), requests: map[RequestID]*simulatedRequest{},
		state: map[WorkerID]Worker{}, drainedSince: map[WorkerID]time.Duration{}}
	sim.d = mustNew(t, s, seed)
	for i := range 8 {
		x := Worker{ID: WorkerID(100 + i), Kind: i % 2, Cell: i / 3, Zone: i % 3, Weight: float64(1 + i%2)}
		sim.list = append(sim.list, x)
		sim.state[x.ID] = x
	}
	sim.d.UpdateWorkers(0, ListCached, sim.list, &sim.out)
	sim.checkActions()
	return sim
}

// runSimulation runs 20 s of random events and returns the trace of the dispatcher's actions.
func runSimulation(t *testing.T, s Settings, seed uint64) string {
	sim := newSimulation(t, s, seed)
	tick := time.Duration(0)
	for sim.now < 20*time.Second {
		sim.now += time.Duration(sim.rnd.IntN(8)+1) * ms
		if sim.now >= tick {
			tick = sim.now + tickInterval
			sim.d.Timer(sim.now, 0, &sim.out)
			sim.checkActions()
		}
		switch p := sim.rnd.Float64(); {
		case p < 0.3 && sim.now < 14*time.Second:
			sim.addRequest()
		case p < 0.31:
			sim.changeWorker()
		case p < 0.6 && len(sim.order) > 0:
			sim.endOrNotify(sim.order[len(sim.order)-1-sim.rnd.IntN(min(len(sim.order), 30))])
		}
		sim.checkActions()
		sim.timeOutAttempts()
	}
	for _, id := range sim.order {
		if !sim.requests[id].answered {
			t.Fatalf("request %d has no answer", id)
		}
	}
	return sim.trace.String()
}

// addRequest passes a random request to the dispatcher.
func (sim *simulation) addRequest() {
	r := Request{ID: RequestID(len(sim.order) + 1), Class: sim.rnd.IntN(len(sim.s.Classes)), Slots: float64(sim.rnd.IntN(2) + 1),
		TimeLeft: time.Duration(sim.rnd.IntN(4000)+1) * ms}
	sim.order = append(sim.order, r.ID)
	sim.requests[r.ID] = &simulatedRequest{request: r, deadline: sim.now + r.TimeLeft}
	sim.d.Arrive(sim.now, r, &sim.out)
}

// changeWorker gives a random worker a random state; a worker that becomes Ready may have restarted.
func (sim *simulation) changeWorker() {
	x := sim.list[sim.rnd.IntN(len(sim.list))]
	x.State = WorkerState(sim.rnd.IntN(3))
	if x.State == Ready {
		delete(sim.drainedSince, x.ID)
		if sim.rnd.IntN(2) == 0 {
			x.Launched = sim.now
		}
	} else if _, drained := sim.drainedSince[x.ID]; !drained {
		sim.drainedSince[x.ID] = sim.now
	}
	sim.state[x.ID] = x
	sim.d.UpdateWorkers(sim.now, ListDelta, []Worker{x}, &sim.out)
}

// timeOutAttempts ends attempts at their requests' deadlines and checks that each request has an answer by
// then.
func (sim *simulation) timeOutAttempts() {
	for _, id := range sim.order {
		r := sim.requests[id]
		for n, at := range r.attempts {
			if at.outstanding && sim.now >= r.deadline {
				at.outstanding = false
				sim.d.AttemptEnded(sim.now, Outcome{ID: id, Attempt: n, Worker: at.worker, Code: TimedOut, Answered: r.answered}, &sim.out)
				sim.checkActions()
			}
		}
		if !r.answered && sim.now > r.deadline+sim.s.Attempts.AnswerSlack {
			sim.t.Fatalf("request %d has no answer after its deadline", id)
		}
	}
}

// endOrNotify ends the outstanding attempts of a request with random outcomes or sends notifications of them.
func (sim *simulation) endOrNotify(id RequestID) {
	r := sim.requests[id]
	for n, at := range r.attempts {
		if !at.outstanding {
			continue
		}
		switch p := sim.rnd.Float64(); {
		case p < 0.3:
			sim.d.Notify(sim.now, Notification{ID: id, Attempt: n, Worker: at.worker, Kind: NotificationKind(sim.rnd.IntN(3)), FractionDone: sim.rnd.Float64()}, &sim.out)
			continue
		case p < 0.7:
			at.outstanding = false
			o := Outcome{ID: id, Attempt: n, Worker: at.worker, Code: OK, Answered: true}
			r.answered = true
			sim.d.AttemptEnded(sim.now, o, &sim.out)
		default:
			at.outstanding = false
			code := []Code{Rejected, Failed, ConnectionLost, ConnectFailed, Unknown, TimedOut}[sim.rnd.IntN(6)]
			at.mayHaveRun = code != Rejected && code != ConnectFailed
			sim.d.AttemptEnded(sim.now, Outcome{ID: id, Attempt: n, Worker: at.worker, Code: code, Answered: r.answered}, &sim.out)
		}
		sim.checkActions()
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
