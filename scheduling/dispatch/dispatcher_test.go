package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/coordination/gossip"
	fleet "yardflow/internal/fleet/coldstart/speeds"
)

const ms = time.Millisecond

// action is one recorded call of the Actions sink.
type action struct {
	what    string
	id      RequestID
	w       WorkerID
	attempt int
	tag     uint64
	in      time.Duration
}

// recorder is an Actions sink that remembers.
type recorder struct{ acts []action }

func (r *recorder) Send(id RequestID, w WorkerID, within time.Duration) {
	r.acts = append(r.acts, action{what: "send", id: id, w: w, in: within})
}
func (r *recorder) Reject(id RequestID, d time.Duration) {
	r.acts = append(r.acts, action{what: "refuse", id: id, in: d})
}
func (r *recorder) Fail(id RequestID) { r.acts = append(r.acts, action{what: "fail", id: id}) }
func (r *recorder) Cancel(id RequestID, n int) {
	r.acts = append(r.acts, action{what: "cancel", id: id, attempt: n})
}
func (r *recorder) Wake(in time.Duration, tag uint64) {
	r.acts = append(r.acts, action{what: "wake", in: in, tag: tag})
}
func (r *recorder) Subscribe()           { r.acts = append(r.acts, action{what: "subscribe"}) }
func (r *recorder) Probe(w WorkerID)     { r.acts = append(r.acts, action{what: "probe", w: w}) }
func (r *recorder) Broadcast(msg []byte) { r.acts = append(r.acts, action{what: "tell"}) }
func (r *recorder) Log(line string)      { r.acts = append(r.acts, action{what: "log " + line}) }

// take returns what was recorded, wakes and logs left out, and empties it.
func (r *recorder) take() []action {
	var got []action
	for _, a := range r.acts {
		if a.what != "wake" && a.what != "tell" && !strings.HasPrefix(a.what, "log") {
			got = append(got, a)
		}
	}
	r.acts = nil
	return got
}

func testSettings() Settings {
	return Settings{
		DispatcherIndex: 0, DispatcherCount: 1, MinEventGap: 5 * ms, StartNotifications: true, ProgressInterval: time.Second,
		MaxAttempts: 4, Hedging: true, Cancellation: true, AnswerSlack: 20 * ms,
		DrainGrace: 250 * ms, SlowStartShare: 0.3, SlowStartTime: 10 * time.Second, CrashLoadFactor: 3, CrashLoadTime: time.Second,
		ListRefreshInterval: 10 * time.Second,
		Classes: []Class{
			{Name: "safe", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 1, LateValueShare: 0.2, WorkerKind: -1},
			{Name: "keyed", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 2, LateValueShare: 0.2,
				Semantics: Deduplicated, DedupScope: ScopeCell, DedupWindow: 3 * time.Second, WorkerKind: -1},
			{Name: "unsafe", LatencyTarget: 200 * ms, Stretch: 2, Deadline: 5 * time.Second, Value: 5, LateValueShare: 0.2,
				Semantics: AtMostOnce, WorkerKind: -1},
		},
	}
}

func mustNew(t *testing.T, s Settings, seed uint64) Dispatcher {
	t.Helper()
	d, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func TestNewRejectsImpossibleSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":        func(s *Settings) { s.Classes = nil },
		"number too high":   func(s *Settings) { s.DispatcherIndex = 1 },
		"no attempts":       func(s *Settings) { s.MaxAttempts = 0 },
		"class no deadline": func(s *Settings) { s.Classes[0].Deadline = 0 },
		"negative grace":    func(s *Settings) { s.DrainGrace = -1 },
		"cold share over 1": func(s *Settings) { s.SlowStartShare = 1.5 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// A refusal requeues the job and the next attempt goes to another worker.
func TestRefusalRequeues(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, TimeLeft: 5 * time.Second}, out)
	first := out.take()
	if len(first) != 1 || first[0].what != "send" {
		t.Fatalf("got %v, want one send", first)
	}
	d.AttemptEnded(2*ms, Outcome{ID: 7, Worker: first[0].w, Code: Rejected}, out)
	now := 2 * ms
	for range 100 {
		if got := out.take(); len(got) > 0 {
			if got[0].what != "send" || got[0].w == first[0].w {
				t.Fatalf("after a refusal got %v", got)
			}
			return
		}
		now += 25 * ms
		d.Timer(now, 0, out)
	}
	t.Fatal("never sent again")
}

// A request whose client waits only briefly is answered at once when nothing
// can take it: the next look at the held queue would come too late.
func TestShortLivedRequestIsAnsweredAtOnce(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, nil, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, TimeLeft: 20 * ms}, out)
	if got := out.take(); len(got) != 1 || got[0].what != "refuse" {
		t.Fatalf("got %v, want a refusal", got)
	}
}

// With many dispatchers the slot limits of one add up to its share of the
// fleet, not to a slot everywhere.
func TestHomesShareTheFleet(t *testing.T) {
	const n = 40
	var list []Worker
	for i := range n {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	owners := map[WorkerID]float64{}
	for me := range n {
		s := testSettings()
		s.DispatcherIndex, s.DispatcherCount = me, n
		d := newDispatcher(s, uint64(me))
		d.UpdateWorkers(0, ListCached, list, &recorder{})
		own := 0.0
		for _, w := range d.rank {
			own += w.home
			owners[w.ID] += w.home
		}
		if math.Abs(own-1) > 1e-9 {
			t.Fatalf("dispatcher %d owns %v workers of %d for %d dispatchers", me, own, n, n)
		}
	}
	for id, sum := range owners {
		if math.Abs(sum-1) > 1e-6 {
			t.Errorf("worker %d is owned %v times", id, sum)
		}
	}
}

// Nothing new goes to a worker told to drain, and it is used again when ready.
func TestDrainIsKept(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	d.UpdateWorkers(ms, ListDelta, []Worker{{ID: 1, State: Draining}}, out)
	out.take()
	d.Arrive(2*ms, Request{ID: 1, TimeLeft: time.Second}, out)
	for now := 25 * ms; now < 900*ms; now += 25 * ms {
		d.Timer(now, 0, out)
	}
	if got := out.take(); len(got) != 0 {
		t.Fatalf("acted on a drained fleet: %v", got)
	}
	d.UpdateWorkers(901*ms, ListDelta, []Worker{{ID: 1, Weight: 1}}, out)
	for now := 925 * ms; now < 1100*ms; now += 25 * ms {
		d.Timer(now, 0, out)
	}
	if got := out.take(); len(got) != 1 || (got[0].what != "send" && got[0].what != "refuse") {
		t.Fatalf("got %v, want the job sent or refused", got)
	}
}

// A lost subscription is asked for again, with growing pauses under ListRefreshInterval.
func TestListServiceRecovery(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	d, out := mustNew(t, s, 3), &recorder{}
	d.UpdateWorkers(0, ListCached, nil, out)
	if got := out.take(); len(got) != 1 || got[0].what != "subscribe" {
		t.Fatalf("got %v, want a subscription at once", got)
	}
	now := time.Duration(0)
	for range 10 {
		failed := now
		d.UpdateWorkers(now, ListFailed, nil, out)
		for len(out.take()) == 0 {
			now += 25 * ms
			d.Timer(now, 0, out)
			if now-failed > s.ListRefreshInterval {
				t.Fatal("did not ask within AskWithin")
			}
		}
	}
}

// world drives a dispatcher through random events and checks the rules
// independently of the module: it keeps its own record of every attempt.
type world struct {
	t     *testing.T
	s     Settings
	rnd   *rand.Rand
	now   time.Duration
	d     Dispatcher
	out   recorder
	reqs  map[RequestID]*wreq
	order []RequestID
	state map[WorkerID]Worker
	told  map[WorkerID]time.Duration // since when a worker is not to be sent to
	trace strings.Builder
}

type wreq struct {
	r        Request
	deadline time.Duration
	answered bool
	atts     []*watt
}

type watt struct {
	w    WorkerID
	sent time.Duration
	out  bool
	may  bool
}

func (w *world) apply() {
	for _, a := range w.out.acts {
		fmt.Fprintf(&w.trace, "%v %v\n", w.now, a)
		r := w.reqs[a.id]
		switch a.what {
		case "send":
			w.checkSend(a, r)
			r.atts = append(r.atts, &watt{w: a.w, sent: w.now, out: true, may: true})
		case "refuse", "fail":
			if r.answered {
				w.t.Fatalf("second answer for %d", a.id)
			}
			if w.now > r.deadline+w.s.AnswerSlack {
				w.t.Fatalf("answer for %d came %v late", a.id, w.now-r.deadline)
			}
			if c := w.s.Classes[r.r.Class]; a.what == "refuse" && c.Semantics != Retryable {
				for _, at := range r.atts {
					if at.may && !(c.Semantics == Deduplicated && c.DedupScope == ScopeAll) {
						w.t.Fatalf("refused %d, which may have run", a.id)
					}
				}
			}
			r.answered = true
		}
	}
	w.out.acts = nil
}

func (w *world) checkSend(a action, r *wreq) {
	c := w.s.Classes[r.r.Class]
	if r.answered || len(r.atts) >= w.s.MaxAttempts {
		w.t.Fatalf("attempt after the end of %d", a.id)
	}
	if at, bad := w.told[a.w]; bad && w.now > at+w.s.DrainGrace {
		w.t.Fatalf("sent to worker %d, drained or gone since %v", a.w, at)
	}
	var first *watt
	for _, at := range r.atts {
		if at.out && !w.s.Hedging {
			w.t.Fatalf("two attempts of %d at once", a.id)
		}
		if at.may && first == nil {
			first = at
		}
	}
	if first == nil {
		return
	}
	switch c.Semantics {
	case AtMostOnce:
		w.t.Fatalf("unsafe %d sent again", a.id)
	case Deduplicated:
		for _, at := range r.atts {
			if at.may && w.state[at.w].Cell != w.state[a.w].Cell {
				w.t.Fatalf("keyed %d left its cell", a.id)
			}
		}
		if w.now > first.sent+c.DedupWindow {
			w.t.Fatalf("keyed %d sent after its window", a.id)
		}
	}
}

// run plays a random day and returns its actions as text.
func runWorld(t *testing.T, s Settings, seed uint64) string {
	w := &world{t: t, s: s, rnd: rand.New(rand.NewPCG(seed, 1)), reqs: map[RequestID]*wreq{},
		state: map[WorkerID]Worker{}, told: map[WorkerID]time.Duration{}}
	w.d = mustNew(t, s, seed)
	var list []Worker
	for i := range 8 {
		x := Worker{ID: WorkerID(100 + i), Kind: i % 2, Cell: i / 3, Zone: i % 3, Weight: float64(1 + i%2)}
		list = append(list, x)
		w.state[x.ID] = x
	}
	w.d.UpdateWorkers(0, ListCached, list, &w.out)
	w.apply()
	tick := time.Duration(0)
	for w.now < 20*time.Second {
		w.now += time.Duration(w.rnd.IntN(8)+1) * ms
		if w.now >= tick {
			tick = w.now + tickEvery
			w.d.Timer(w.now, 0, &w.out)
			w.apply()
		}
		switch p := w.rnd.Float64(); {
		case p < 0.3 && w.now < 14*time.Second:
			r := Request{ID: RequestID(len(w.order) + 1), Class: w.rnd.IntN(len(s.Classes)), Slots: float64(w.rnd.IntN(2) + 1),
				TimeLeft: time.Duration(w.rnd.IntN(4000)+1) * ms}
			w.order = append(w.order, r.ID)
			w.reqs[r.ID] = &wreq{r: r, deadline: w.now + r.TimeLeft}
			w.d.Arrive(w.now, r, &w.out)
		case p < 0.31:
			x := list[w.rnd.IntN(len(list))]
			x.State = WorkerState(w.rnd.IntN(3))
			if x.State == Ready {
				delete(w.told, x.ID)
				if w.rnd.IntN(2) == 0 {
					x.Launched = w.now
				}
			} else if _, told := w.told[x.ID]; !told {
				w.told[x.ID] = w.now
			}
			w.state[x.ID] = x
			w.d.UpdateWorkers(w.now, ListDelta, []Worker{x}, &w.out)
		case p < 0.6 && len(w.order) > 0:
			w.event(w.order[len(w.order)-1-w.rnd.IntN(min(len(w.order), 30))])
		}
		w.apply()
		for _, id := range w.order { // time-outs cut to the client's deadline
			r := w.reqs[id]
			for n, at := range r.atts {
				if at.out && w.now >= r.deadline {
					at.out = false
					w.d.AttemptEnded(w.now, Outcome{ID: id, Attempt: n, Worker: at.w, Code: TimedOut, Answered: r.answered}, &w.out)
					w.apply()
				}
			}
			if !r.answered && w.now > r.deadline+s.AnswerSlack {
				t.Fatalf("request %d was lost", id)
			}
		}
	}
	for _, id := range w.order {
		if !w.reqs[id].answered {
			t.Fatalf("request %d has no answer", id)
		}
	}
	return w.trace.String()
}

func (w *world) event(id RequestID) {
	r := w.reqs[id]
	for n, at := range r.atts {
		if !at.out {
			continue
		}
		switch p := w.rnd.Float64(); {
		case p < 0.3:
			w.d.Notify(w.now, Notification{ID: id, Attempt: n, Worker: at.w, Kind: NotificationKind(w.rnd.IntN(3)), FractionDone: w.rnd.Float64()}, &w.out)
			continue
		case p < 0.7:
			at.out = false
			o := Outcome{ID: id, Attempt: n, Worker: at.w, Code: OK, Answered: true}
			r.answered = true
			w.d.AttemptEnded(w.now, o, &w.out)
		default:
			at.out = false
			code := []Code{Rejected, Failed, ConnectionLost, ConnectFailed, Unknown, TimedOut}[w.rnd.IntN(6)]
			at.may = code != Rejected && code != ConnectFailed
			w.d.AttemptEnded(w.now, Outcome{ID: id, Attempt: n, Worker: at.w, Code: code, Answered: r.answered}, &w.out)
		}
		w.apply()
	}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(40) {
		s := testSettings()
		s.Hedging = seed%2 == 0
		s.StartNotifications = seed%3 != 0
		if seed%4 == 0 {
			s.LoadFields = []LoadField{LoadWaiting, LoadFreeSlots}
		}
		if got, again := runWorld(t, s, seed), runWorld(t, s, seed); got != again {
			t.Fatalf("seed %d: same events, other actions", seed)
		}
	}
}

// The owner of a cold worker may use its whole part of the budget, others none:
// an even split among all dispatchers left new workers idle through their ramp.
func TestColdWorkerIsUsedByItsOwner(t *testing.T) {
	const n = 20
	users := 0
	for me := range n {
		s := testSettings()
		s.DispatcherIndex, s.DispatcherCount = me, n
		d, out := newDispatcher(s, uint64(me)), &recorder{}
		var list []Worker
		for i := range n {
			list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
		}
		list[0].Launched = time.Hour
		d.UpdateWorkers(time.Hour, ListCached, list, out)
		cold, sent := d.workers[1], 0
		for now := time.Hour; now < time.Hour+5*time.Second; now += 25 * ms {
			d.now = now
			if r := (&request{Request: Request{Slots: 1, WorkHint: 100 * ms}}); d.mayStart(cold, r) {
				d.spend(cold, r)
				sent++
			}
		}
		if sent > 0 {
			users++
		}
		if cold.home == 0 && sent > 0 {
			t.Errorf("dispatcher %d owns nothing of the cold worker and sent %d jobs", me, sent)
		}
		if cold.home == 1 && sent < 15 {
			t.Errorf("the owner sent %d jobs in 5 s", sent)
		}
	}
	if users == 0 {
		t.Error("nobody used the cold worker")
	}
}

// A worker that comes back cold, as one called back by hand does, is of use to each of few
// dispatchers, also to those whose own share of the workers it is not in: its home may have
// taken it out, or be down. It was left unused through its ramp, and nothing else was there.
func TestWorkerPutBackIsUsedByAll(t *testing.T) {
	const workers = 6
	for _, talk := range []bool{false, true} {
		for n := 1; n <= 3; n++ {
			for me := range n {
				for back := range workers {
					s := testSettings()
					s.DispatcherIndex, s.DispatcherCount, s.Peers, s.Classes[0].WorkerKind = me, n, talk, 1
					d, out := mustNew(t, s, uint64(me)), &recorder{}
					var list []Worker
					for i := range workers {
						list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
					}
					list[back].Kind = 1 // the jobs' own: no other can run them
					d.UpdateWorkers(0, ListCached, list, out)
					list[back].Launched = time.Minute
					d.UpdateWorkers(time.Minute, ListOverride, list[back:back+1], out)
					out.take()
					sent := 0
					for now, id := time.Minute, RequestID(1); now < time.Minute+3*time.Second; now += 25 * ms {
						if id++; id%8 == 0 {
							d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, WorkHint: 100 * ms, Slots: 1}, out)
						}
						d.Timer(now, 0, out)
						for _, a := range out.take() {
							if a.what == "send" {
								sent++
								d.AttemptEnded(now, Outcome{ID: a.id, Worker: a.w, Code: OK, Answered: true}, out)
							}
						}
					}
					if sent == 0 {
						t.Errorf("dispatcher %d of %d, talk %v: worker %d was sent nothing in 3 s", me, n, talk, back+1)
					}
				}
			}
		}
	}
}

// New settings under which dispatchers talk no more, or are too many to: what they said last does
// not fill their workers for good.
func TestWhatWasSaidEndsWithTheTalk(t *testing.T) {
	for name, change := range map[string]func(*Settings){"not allowed": func(s *Settings) { s.Peers = false },
		"too many": func(s *Settings) { s.DispatcherCount = 1000 }} {
		s := testSettings()
		s.Peers, s.DispatcherCount = true, 2
		d, out := newDispatcher(s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		other := gossip.New(1, 2, 9)
		d.PeerMessage(ms, 1, other.NextMessage(ms, []gossip.Usage{{WorkerHash: d.workers[1].subject, Slots: 1}}), out)
		if d.workers[1].others != 1 {
			t.Fatalf("%s: %v slots were told of", name, d.workers[1].others)
		}
		change(&s)
		if d.Reconfigure(2*ms, s, out); d.workers[1].others != 0 {
			t.Errorf("%s: %v slots count as taken", name, d.workers[1].others)
		}
	}
}

// The first report that tells of far more free slots than were known counts at once where
// all is known: a day's first seconds went with half of the slots unused.
func TestSlotsAreSeenAtOnce(t *testing.T) {
	s := testSettings()
	s.LoadFields = []LoadField{LoadFreeSlots}
	d, out := newDispatcher(s, 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	for _, c := range [][2]float64{{1.98, 2}, {2.4, 2}, {3.1, 3}, {0.2, 3}} {
		if d.AttemptEnded(ms, Outcome{ID: 1, Worker: 1, Load: []float64{c[0]}}, out); d.kinds[0].slots != c[1] {
			t.Errorf("after a report of %v free slots the kind counts as %v, want %v", c[0], d.kinds[0].slots, c[1])
		}
	}
}

// A kind's slots must be learned from reports on a large fleet too: sightings
// that fade once a worker instead of once a kind never add up.
func TestKindSlotsAreLearnedOnALargeFleet(t *testing.T) {
	s := testSettings()
	s.LoadFields = []LoadField{LoadFreeSlots}
	d, out := newDispatcher(s, 1), &recorder{}
	var list []Worker
	for i := range 200 {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	d.UpdateWorkers(0, ListCached, list, out)
	for now := time.Duration(0); now < 10*time.Second; now += 250 * ms {
		d.AttemptEnded(now, Outcome{ID: 1, Worker: 1, Load: []float64{3}}, out)
		d.Timer(now, 0, out)
	}
	if got := d.kinds[0].slots; got != 3 {
		t.Errorf("after 40 reports of 3 free slots the kind counts as %v", got)
	}
}

// The slow-start budget holds for all dispatchers together, one or many.
func TestSlowStartBudget(t *testing.T) {
	const life = 5 * time.Second // of the worker, the first time
	for _, n := range []int{1, 2, 4, 5, 20, 30, 250, 300} {
		var sent []time.Duration
		for me := range n {
			s := testSettings()
			s.DispatcherIndex, s.DispatcherCount = me, n
			d, out := mustNew(t, s, uint64(me)), &recorder{}
			start := time.Hour
			d.UpdateWorkers(start, ListCached, []Worker{{ID: 1, Weight: 1, Launched: start}}, out)
			id, running := RequestID(0), map[time.Duration]action{}
			for now := start; now < start+life+8*time.Second; now += 25 * ms {
				if now == start+life { // it comes cold a second time
					d.UpdateWorkers(now, ListDelta, []Worker{{ID: 1, Weight: 1, Launched: now}}, out)
				}
				id++
				if a, ok := running[now]; ok {
					d.AttemptEnded(now, Outcome{ID: a.id, Worker: a.w, Code: OK, Answered: true}, out)
				}
				d.Arrive(now, Request{ID: id, TimeLeft: 2 * time.Second, WorkHint: 100 * ms}, out)
				d.Timer(now, 0, out)
				for _, a := range out.take() {
					if a.what == "send" {
						sent = append(sent, now-start)
						d.Notify(now, Notification{ID: a.id, Worker: a.w, Kind: NotificationStarted}, out)
						running[now+100*ms] = a
					}
				}
				out.take()
			}
		}
		s := testSettings()
		for from := time.Duration(0); from < life+7*time.Second; from += 100 * ms {
			work := 0.0
			for _, at := range sent {
				if at >= from && at < from+s.CrashLoadTime {
					work += 0.1
				}
			}
			age := from
			if from+s.CrashLoadTime > life { // what was sent to its last life counts for nothing there
				age = max(from-life, 0)
			}
			share := s.SlowStartShare + (1-s.SlowStartShare)*age.Seconds()/s.SlowStartTime.Seconds()
			if limit := s.CrashLoadFactor * share * s.CrashLoadTime.Seconds(); work > limit {
				t.Fatalf("%d dispatchers sent %.2f slot-seconds from %v, the worker bears %.2f", n, work, from, limit)
			}
		}
		if len(sent) == 0 {
			t.Fatalf("%d dispatchers sent nothing in 8 s", n)
		}
	}
}

// Two actor-critic steps worked out by hand.
func TestActorCriticStep(t *testing.T) {
	d := newDispatcher(testSettings(), 1)
	out := &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}}, out)
	d.open = false
	w := d.rank[1]
	w.theta, w.visits = 3, 10
	d.meanStep, d.eta = 0.1, 2
	d.phi, d.stepJobs, d.stepAt, d.open = []feature{{nil, 0.1}}, 4, d.now, true
	d.actor, d.gradient = w, sharpness*0.25 // waited at probability 1/4
	d.omega0 = 10
	d.now += 100 * ms
	d.step()
	// c = 4*0.1/0.1, phi' = 0: delta = 4 - 2 + 0 - 1 = 1.
	if want := 2 + averageStep*2; math.Abs(d.eta-want) > 1e-9 {
		t.Errorf("eta %v, want %v", d.eta, want)
	}
	if want := 10 + criticStep/(0.01+1.0/9)*0.1; math.Abs(d.omega0-want) > 1e-9 {
		t.Errorf("omega %v, want %v", d.omega0, want)
	}
	if want := 3 - actorStep/(1+d.eta)*sharpness*0.25; math.Abs(w.theta-want) > 1e-9 {
		t.Errorf("theta %v, want %v", w.theta, want)
	}
}

// The deploy file names the files that hold the decisions, and each of their lines can be read without scrolling. The
// operators have withdrawn the limit on the module's length that stood here.
func TestPolicyKeyNamesDecisionFiles(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Policy) == 0 {
		t.Fatal("the deploy file names no file of decisions")
	}
	for _, file := range deploy.Policy {
		source, err := os.ReadFile("../../" + file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(source), "\n") {
			if len(strings.ReplaceAll(line, "\t", "    ")) > 110 {
				t.Errorf("%s:%d is longer than 110 characters", file, i+1)
			}
		}
	}
}

// Pricing a new list must rank every worker, not every other one.
func TestRankIsSortedAfterAList(t *testing.T) {
	d, out := newDispatcher(testSettings(), 5), &recorder{}
	var list []Worker
	for i := range 50 {
		list = append(list, Worker{ID: WorkerID(i + 1), Zone: i % 3, Kind: i % 2, Weight: float64(1 + i%3)})
	}
	d.UpdateWorkers(0, ListCached, list, out)
	for i, w := range d.rank {
		if w.time <= 0 || w.pos != i || i > 0 && d.rank[i-1].time > w.time {
			t.Fatalf("place %d holds a worker of time %v, place %d", i, w.time, w.pos)
		}
	}
}

// Under overload forced sends thin out, and come back once they succeed.
func TestForcedSendsArePaced(t *testing.T) {
	d := newDispatcher(testSettings(), 5)
	waste := func() { d.pace(&attempt{forced: true}, true) }
	for range 200 {
		waste()
	}
	top := d.forceGap
	if waste(); d.forceGap != top || top < 0.2 {
		t.Fatalf("pause %v s after 200 wasted attempts, %v after one more", top, d.forceGap)
	}
	for range 20 {
		d.pace(&attempt{forced: true}, false)
	}
	if d.forceGap > 0.001 {
		t.Errorf("pause still %v s after 20 that found room", d.forceGap)
	}
	d.pace(&attempt{}, true)
	if d.forceGap > 0.001 {
		t.Error("an attempt with counted room changed the pause")
	}
}

// Waiting at the workers must not come to pass for the ordinary start delay.
func TestStartDelayIsALowQuantile(t *testing.T) {
	d, out := newDispatcher(testSettings(), 5), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	now := time.Duration(0)
	for id := RequestID(1); id < 400; id++ {
		d.Arrive(now, Request{ID: id, TimeLeft: time.Second}, out)
		delay := ms
		if id%2 == 0 {
			delay = 25 * ms // waited
		}
		for _, a := range out.take() {
			if a.what == "send" {
				d.Notify(now+delay, Notification{ID: a.id, Worker: a.w, Kind: NotificationStarted}, out)
				d.AttemptEnded(now+100*ms, Outcome{ID: a.id, Worker: a.w, Code: OK, Answered: true}, out)
			}
		}
		now += 200 * ms
	}
	if d.startDelay[0] > 0.005 {
		t.Errorf("ordinary start delay %v s, want near the 1 ms of jobs that did not wait", d.startDelay[0])
	}
}

// A held request that can no longer be in time and earns nothing late is given
// up, and told so at once with advice: not kept back to near its deadline, where
// its client could no longer ask again.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	for _, c := range []struct {
		name      string
		late      float64 // share of the worth earned late
		retry     bool
		left      time.Duration
		from, end time.Duration // when the answer is due
	}{
		{"first try", 0, false, 5 * time.Second, 100 * ms, 1200 * ms},
		{"own retry whose time ran at the first try", 0, true, 3 * time.Second, 0, 1},
		{"late answers earn: kept while they can", 0.2, false, 5 * time.Second, 4800 * ms, 5000 * ms},
	} {
		s := testSettings()
		s.MaxRetryAfter = 2 * time.Second
		s.Classes[2].LateValueShare = c.late
		d, out := mustNew(t, s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, nil, out) // no worker: nothing can be sent
		out.take()
		d.Arrive(ms, Request{ID: 7, Class: 2, TimeLeft: c.left, ClientRetry: c.retry}, out)
		var got []action
		now := time.Duration(0)
		for got = out.take(); len(got) == 0 && now < 6*time.Second; got = out.take() {
			now += 25 * ms
			d.Timer(now, 0, out)
		}
		if len(got) != 1 || got[0].what != "refuse" || now < c.from || now > c.end || got[0].in <= 0 || got[0].in > s.MaxRetryAfter {
			t.Errorf("%s: at %v got %+v, want one refusal with advice in %v to %v", c.name, now, got, c.from, c.end)
		}
	}
}

// One turned away when its time has passed is answered in the same breath.
func TestGivenUpAtAnOutcomeIsAnsweredAtOnce(t *testing.T) {
	s := testSettings()
	s.Classes[2].LateValueShare = 0
	d, out := mustNew(t, s, 1), &recorder{}
	d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
	out.take()
	d.Arrive(ms, Request{ID: 7, Class: 2, TimeLeft: 5 * time.Second}, out)
	if got := out.take(); len(got) != 1 || got[0].what != "send" {
		t.Fatalf("got %v, want one send", got)
	}
	d.AttemptEnded(3*time.Second, Outcome{ID: 7, Worker: 1, Code: Rejected}, out)
	if got := out.take(); len(got) != 1 || got[0].what != "refuse" {
		t.Errorf("got %v, want one refusal", got)
	}
}

// A job whose connection has gone silent, while its worker goes on with jobs sent
// after it, is the connection's loss: the worker keeps its rank, its room and its
// jobs, and a job that may be repeated is taken back and sent again.
func TestOneSilentConnectionBlamesNoWorker(t *testing.T) {
	for class, again := range map[int]bool{1: true, 2: false} {
		s := testSettings()
		s.FIFOWorkers, s.Classes[class].LatencyTarget = true, 3*time.Second
		d, out := newDispatcher(s, 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		w := d.workers[1]
		d.kindOf(w).slots, w.limit = 4, 4
		d.Arrive(ms, Request{ID: 1, Class: class, TimeLeft: 5 * time.Second}, out) // never heard of again
		cancelled, served := false, 0
		for now := 50 * ms; now < 2*time.Second; now += 50 * ms {
			d.Arrive(now, Request{ID: RequestID(now), TimeLeft: 5 * time.Second}, out)
			for _, a := range out.take() {
				if a.what == "send" && a.id != 1 {
					d.Notify(now+ms, Notification{ID: a.id, Worker: 1, Kind: NotificationStarted}, out)
					d.AttemptEnded(now+40*ms, Outcome{ID: a.id, Worker: 1, Code: OK, Answered: true}, out)
					served++
				}
				cancelled = cancelled || a == action{what: "cancel", id: 1}
			}
			d.Timer(now+45*ms, 0, out)
		}
		if cancelled != again || w.own != 0 || w.late != 0 || served < 30 {
			t.Errorf("class %d: taken back: %v, own %v, late %v, served %d", class, cancelled, w.own, w.late, served)
		}
		if d.AttemptEnded(2*time.Second, Outcome{ID: 1, Worker: 1, Code: TimedOut, Answered: true}, out); w.bad != 0 || w.own != 0 {
			t.Errorf("class %d: bad %v, own %v", class, w.bad, w.own)
		}
	}
}

// What one lost job tells of its worker: a kept connection that was gone nothing,
// a broken one a little, a failure enough to stay away for some seconds.
func TestOneLossIsNoSickWorker(t *testing.T) {
	for _, c := range []struct {
		code   Code
		losses int
		away   time.Duration // unsafe jobs stay away no longer
	}{{StaleConnection, 5, 0}, {ConnectionLost, 1, 0}, {ConnectionLost, 2, 20 * time.Second}, {Failed, 1, 8 * time.Second}} {
		d, out := newDispatcher(testSettings(), 1), &recorder{}
		d.UpdateWorkers(0, ListCached, []Worker{{ID: 1, Weight: 1}}, out)
		w, now := d.workers[1], ms
		for id := range RequestID(c.losses) {
			now += 10 * ms
			d.forceAt, w.limit, w.trialAt = 0, 4, 0
			d.Arrive(now, Request{ID: id, Class: 2, TimeLeft: 5 * time.Second}, out)
			d.AttemptEnded(now, Outcome{ID: id, Worker: 1, Code: c.code}, out)
		}
		until := now
		for ; w.bad > trustAt && until < time.Minute; until += refreshEvery {
			d.Timer(until, 0, out)
		}
		if got := until - now; got > c.away || c.away > 0 && got == 0 {
			t.Errorf("%d times code %d: away for %v, want %v at the most", c.losses, c.code, got, c.away)
		}
	}
}

// New settings bind open requests, but for their class: it goes on as it was,
// though its name is gone, and what was learned of a class stays with the name.
func TestRetune(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 3
	s.Classes = []Class{{Name: "a", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1},
		{Name: "b", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1}}
	d := newDispatcher(s, 1)
	r := &recorder{}
	d.UpdateWorkers(0, ListFull, []Worker{{ID: 1}, {ID: 2}, {ID: 3}}, r)
	for id := range RequestID(2) {
		d.Arrive(time.Second, Request{ID: id, Class: 0, TimeLeft: time.Minute}, r)
	}
	d.stats["b"] = &classStat{work: 1, seen: 9}
	next := s
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "b", LatencyTarget: time.Minute, Deadline: time.Minute, Value: 1, WorkerKind: -1, Semantics: AtMostOnce}}
	d.Reconfigure(2*time.Second, next, r)
	if got := d.requests[0].class; got.Name != "a" || got.Semantics != Retryable {
		t.Errorf("an open request is of class %+v now", got)
	}
	d.Arrive(2*time.Second, Request{ID: 9, Class: 0, ResolvedClass: &s.Classes[0], TimeLeft: time.Minute}, r) // read before, told after
	d.Arrive(2*time.Second, Request{ID: 10, Class: 0, TimeLeft: time.Minute}, r)
	if a, b := d.requests[9].class.Name, d.requests[10]; a != "a" || b.class.Name != "b" || b.stat.seen != 9 {
		t.Errorf("classes %s and %+v, learned %+v", a, b.class, b.stat)
	}
	w := d.requests[0].pending[0].w.ID
	d.AttemptEnded(3*time.Second, Outcome{ID: 0, Worker: w, Code: Rejected}, r)
	if d.requests[0] != nil {
		t.Error("a request whose attempts are used up is still held")
	}
}

// A dispatcher that takes over knows what the one before had learned, a worker
// that restarted between excepted, and nothing of its requests.
func TestMemoryGoesOver(t *testing.T) {
	s, list := testSettings(), []Worker{{ID: 1, Launched: time.Second}, {ID: 2, Kind: 1}}
	old, out := newDispatcher(s, 1), &recorder{}
	old.UpdateWorkers(time.Hour, ListFull, list, out)
	old.Arrive(time.Hour, Request{ID: 1, TimeLeft: time.Minute}, out)
	for _, w := range old.workers {
		w.slow, w.bad, w.theta, w.limit, w.seen = 0.5, 0.25, 3, 2, 9
	}
	old.kindOf(old.workers[2]).slots = 3
	old.statOf(&s.Classes[0]).work = -1
	next := newDispatcher(s, 2)
	next.Restore([]byte("no memory"))
	next.Restore(old.Snapshot())
	list[0].Launched = 2 * time.Second
	next.UpdateWorkers(time.Hour, ListCached, list, out)
	if a, b := next.workers[1], next.workers[2]; a.slow != 0 || a.bad != 0 || b.slow != 0.5 || b.bad < 0.2 || b.limit != 2 || b.seen != 9 {
		t.Errorf("restarted %+v, the other %+v", a, b)
	}
	if k := next.kindOf(next.workers[2]).slots; k != 3 || next.stats["safe"].work != -1 || len(next.requests)+len(next.out) != 0 {
		t.Errorf("%v slots, %+v, %d requests", k, next.stats["safe"], len(next.requests))
	}
}

// Where queues stand everywhere, a worker that has just started has none: it is
// used as far as the slow-start budget allows, not kept for when the others are worse.
func TestAStartedWorkerHasNoQueue(t *testing.T) {
	s := testSettings()
	s.DispatcherCount, s.SlowStartShare, s.Classes[0].LatencyTarget = 4, 0.9, 5*time.Second
	d, out := mustNew(t, s, 5), &recorder{}
	list := []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}
	d.UpdateWorkers(0, ListFull, list, out)
	var to []WorkerID
	id, now := RequestID(0), time.Duration(0)
	job := func(wait time.Duration) {
		id++
		d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, Slots: 1}, out)
		for _, a := range out.take() {
			if a.what == "send" {
				to = append(to, a.w)
				d.Notify(now+wait, Notification{ID: id, Worker: a.w, Kind: NotificationStarted}, out)
				d.AttemptEnded(now+wait+100*ms, Outcome{ID: id, Worker: a.w, Answered: true}, out)
			}
		}
		now += wait + 900*ms
	}
	for range 20 {
		job(1600 * ms)
	}
	for range 6 {
		job(600 * ms) // the queues have become shorter than usual
	}
	to = to[:0]
	list[2].Launched = now
	d.UpdateWorkers(now, ListDelta, list[2:], out)
	for range 6 {
		job(600 * ms)
	}
	if !slices.Contains(to, 3) {
		t.Errorf("sent to %v, never to 3, which has just started", to)
	}
}

// Where jobs wait longer than they can everywhere, part of them is given up at once, as
// many as it takes; none is while waits are short.
func TestHopelessWaitsAreNotJoined(t *testing.T) {
	for _, c := range []struct {
		wait        time.Duration
		least, most int // of 60 given up
	}{{50 * ms, 0, 0}, {1500 * ms, 10, 50}, {6 * time.Second, 45, 60}} {
		s := testSettings()
		s.DispatcherCount, s.Classes[0].LateValueShare, s.MaxRetryAfter = 40, 0, time.Second
		d, out := mustNew(t, s, 5), &recorder{}
		d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1}, {ID: 2, Weight: 1}, {ID: 3, Weight: 1}}, out)
		refused, now := 0, time.Duration(0)
		for id := RequestID(1); id <= 120; id++ {
			d.Arrive(now, Request{ID: id, TimeLeft: 8 * time.Second, Slots: 1}, out)
			for _, a := range out.take() {
				if a.what == "send" {
					d.Notify(now+c.wait, Notification{ID: id, Worker: a.w, Kind: NotificationStarted}, out)
					d.AttemptEnded(now+c.wait+300*ms, Outcome{ID: id, Worker: a.w, Answered: true}, out)
				} else if a.what == "refuse" && id > 60 {
					refused++
				}
			}
			now += c.wait + 400*ms
		}
		if refused < c.least || refused > c.most {
			t.Errorf("waits of %v: %d of 60 given up, want %d to %d", c.wait, refused, c.least, c.most)
		}
	}
}

// A report that is cut short, too long or absurd is none: it tells nothing, and what
// is known stays.
func TestAbsurdReportsTellNothing(t *testing.T) {
	s := testSettings()
	s.LoadFields = []LoadField{LoadErrorRate, LoadFreeSlots}
	d, out := mustNew(t, s, 1).(*dispatcher), &recorder{}
	d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1}}, out)
	for id, load := range [][]float64{{0, 2}, nil, {0}, {0, 1, 2}, {0, math.NaN()}, {math.Inf(1), 1}, {0, 1e300}, {-1e9, 5}} {
		q, now := RequestID(id+1), time.Duration(id+1)*time.Second
		d.Arrive(now, Request{ID: q, TimeLeft: 5 * time.Second, Slots: 1}, out)
		d.AttemptEnded(now+100*ms, Outcome{ID: q, Worker: 1, Answered: true, Load: load}, out)
	}
	w := d.workers[1]
	if w.free != 3 || w.freeMean != 3 || w.bad != 0 || !w.reported {
		t.Errorf("after absurd reports: free %v, mean %v, errors %v", w.free, w.freeMean, w.bad)
	}
}

// A connect that fails proves that the job never ran, as where a worker holds all the
// connections it takes: an unsafe job goes on to another worker, and is never failed for it.
func TestAFailedConnectIsNoFailureOfAnUnsafeJob(t *testing.T) {
	s := testSettings()
	s.DispatcherCount = 40 // as one of many
	d, out := mustNew(t, s, 3), &recorder{}
	var list []Worker
	for id := WorkerID(1); id <= 8; id++ {
		list = append(list, Worker{ID: id, Weight: 1})
	}
	d.UpdateWorkers(0, ListFull, list, out)
	d.Arrive(0, Request{ID: 1, Class: 2, TimeLeft: 5 * time.Second, Slots: 1}, out)
	tried, now := map[WorkerID]bool{}, time.Duration(0)
	for n := range s.MaxAttempts {
		var sent *action
		for _, a := range out.take() {
			if a.what == "send" {
				sent = &a
			} else if a.what == "fail" {
				t.Fatalf("failed after %d connects that failed", n)
			}
		}
		if sent == nil || tried[sent.w] {
			t.Fatalf("after %d failed connects: sent %v, tried %v", n, sent, tried)
		}
		tried[sent.w] = true
		now += 20 * ms
		d.AttemptEnded(now, Outcome{ID: 1, Attempt: n, Worker: sent.w, Code: ConnectFailed}, out)
	}
	if got := out.take(); len(got) != 1 || got[0].what != "refuse" {
		t.Errorf("after the last attempt: %+v, want a refusal", got)
	}
}

// Where a job called off stays in its worker's queue, each one taken back is work for nobody and
// makes more late: a fleet took back a fifth of its sends, and fell to half of what chance serves.
// So many and no more are, however long all of them wait.
func TestTakingBackHasABudget(t *testing.T) {
	s := testSettings()
	s.DispatcherCount, s.FIFOWorkers, s.MaxAttempts = 40, true, 50
	d, out := mustNew(t, s, 3), &recorder{}
	var list []Worker
	for i := range 10 {
		list = append(list, Worker{ID: WorkerID(i + 1), Weight: 1})
	}
	d.UpdateWorkers(0, ListFull, list, out)
	const jobs = 40
	tries, back := map[RequestID]int{}, 0
	for now, id := time.Duration(0), RequestID(0); now < 20*time.Second; now += 25 * ms {
		if id < jobs && now%(250*ms) == 0 {
			id++
			d.Arrive(now, Request{ID: id, TimeLeft: 5 * time.Second, Slots: 1, WorkHint: time.Second}, out)
		}
		d.Timer(now, 0, out)
		for _, a := range out.take() {
			switch a.what {
			case "send":
				tries[a.id]++
			case "cancel":
				back++
				d.AttemptEnded(now, Outcome{ID: a.id, Attempt: a.attempt, Worker: 1, Code: Cancelled}, out)
			}
		}
	}
	if most := int(backsMost + backShare*jobs); back < 2 || back > most {
		t.Errorf("%d of %d jobs are taken back, want 2 to %d", back, jobs, most)
	}
}

// One of many dispatchers finds a queue by standing in it. What may be repeated is taken
// back from there and sent to another worker that drops a repeat; an unsafe job stays.
func TestUnstartedRepeatableJobsAreTakenBack(t *testing.T) {
	for class, want := range map[int]string{1: "cancel", 2: ""} {
		s := testSettings()
		s.DispatcherCount, s.FIFOWorkers = 40, true
		d, out := mustNew(t, s, 3), &recorder{}
		d.UpdateWorkers(0, ListFull, []Worker{{ID: 1, Weight: 1, Cell: 1}, {ID: 2, Weight: 1, Cell: 1}, {ID: 3, Weight: 1, Cell: 2}, {ID: 4, Weight: 1, Cell: 2}}, out)
		d.Arrive(0, Request{ID: 1, Class: class, TimeLeft: 5 * time.Second, Slots: 1, WorkHint: time.Second}, out)
		first, got, now := out.take()[0], "", time.Duration(0)
		for ; now < 500*ms && got == ""; now += 25 * ms {
			d.Timer(now, 0, out)
			for _, a := range out.take() {
				got = a.what
			}
		}
		if got != want {
			t.Fatalf("class %d, unstarted for %v: %q, want %q", class, now, got, want)
		}
		if want == "" {
			continue
		}
		d.AttemptEnded(now, Outcome{ID: 1, Worker: first.w, Code: Cancelled}, out)
		var to WorkerID
		for range 200 { // held until a worker of the cell may be tried
			for _, a := range out.take() {
				if a.what == "send" {
					to = a.w
				}
			}
			now += 10 * ms
			d.Timer(now, 0, out)
		}
		if to == 0 || (to+1)/2 != (first.w+1)/2 {
			t.Errorf("sent again to worker %d, first to %d: want one of the same cell", to, first.w)
		}
	}
}

// A condemned worker gets nothing; on trial it gets one job that may be repeated, and that first,
// though others are faster; no more jobs are out at one worker than may be; and a request whose
// last try is made ends with it.
func TestVerdictsAndBounds(t *testing.T) {
	d, out := mustNew(t, testSettings(), 1), &recorder{}
	list := []Worker{{ID: 1, State: Ready, Weight: 1, Health: Ejected}, {ID: 2, State: Ready, Weight: 1}}
	d.UpdateWorkers(ms, ListFull, list, out)
	next := RequestID(0)
	ask := func(now time.Duration, class int) (to WorkerID) {
		next++
		out.take()
		d.Arrive(now, Request{ID: next, Class: class, TimeLeft: 5 * time.Second}, out)
		for _, a := range out.take() {
			if a.what == "send" && a.id == next {
				to = a.w
			}
		}
		return to
	}
	end := func(now time.Duration, code Code, last bool) []action {
		w := WorkerID(2)
		for _, a := range d.(*dispatcher).out {
			if a.r.ID == next {
				w = a.w.ID
			}
		}
		d.AttemptEnded(now, Outcome{ID: next, Worker: w, Code: code, Answered: code == OK, FinalAttempt: last}, out)
		return out.take()
	}
	for i := range 20 {
		now := time.Duration(i+1) * 100 * ms
		if to := ask(now, 0); to != 2 {
			t.Fatalf("a job goes to %d while 1 is condemned", to)
		}
		end(now+50*ms, OK, false)
	}
	list[0].Health = OnProbation
	d.UpdateWorkers(3*time.Second, ListOverride, list[:1], out)
	if to := ask(3*time.Second, 2); to != 2 {
		t.Errorf("a job that can't be repeated goes to %d, which is on trial", to)
	}
	end(3*time.Second+50*ms, OK, false)
	list[0].State = Draining
	d.UpdateWorkers(3500*ms, ListOverride, list[:1], out)
	if to := ask(3500*ms, 0); to != 2 {
		t.Errorf("with the one on trial draining, a job goes to %d", to)
	}
	end(3550*ms, OK, false)
	list[0].State = Ready
	d.UpdateWorkers(3900*ms, ListOverride, list[:1], out)
	if to := ask(4*time.Second, 0); to != 1 {
		t.Errorf("the trial's job goes to %d", to)
	}
	if to := ask(4*time.Second, 0); to != 2 {
		t.Errorf("a second job goes to %d while one is on trial there", to)
	}
	end(4*time.Second+50*ms, OK, false)
	d.SetWorkerLimits(5*time.Second, 2, -1, out)
	sent := 0
	for range 6 {
		if ask(5*time.Second, 0) != 0 {
			sent++
		}
	}
	if sent > 2 {
		t.Errorf("%d jobs are out at one worker, of 2", sent)
	}
	if d.SetWorkerLimits(6*time.Second, -1, -1, out); ask(6*time.Second, 0) != 0 {
		t.Error("a job is sent where none may be out")
	}
	d, out = mustNew(t, testSettings(), 1), &recorder{}
	d.UpdateWorkers(ms, ListFull, []Worker{{ID: 2, State: Ready, Weight: 1}, {ID: 3, State: Ready, Weight: 1}}, out)
	ask(100*ms, 0)
	if acts := end(200*ms, Failed, true); len(acts) != 1 || acts[0].what != "refuse" {
		t.Errorf("after its last try: %+v", acts)
	}
}

// While most of the fleet is cold, those that are turned away are told to come back over the time
// in which it warms, not as one wave; with a warm fleet all are told the same.
func TestComeBackIsSpreadWhileTheFleetIsCold(t *testing.T) {
	for _, cold := range []bool{true, false} {
		s := testSettings()
		s.MaxRetryAfter = 4 * time.Second
		d, out := mustNew(t, s, 1), &recorder{}
		at := 100 * time.Second
		list := []Worker{{ID: 1, State: Ready, Weight: 1}, {ID: 2, State: Ready, Weight: 1}}
		if cold {
			list[0].Launched, list[1].Launched = at, at
		}
		d.UpdateWorkers(at, ListFull, list, out)
		least, most, n := time.Hour, time.Duration(0), 0
		for i := range 60 {
			d.Arrive(at+ms, Request{ID: RequestID(i + 1), TimeLeft: 20 * ms}, out)
			for _, a := range out.take() {
				if a.what == "refuse" {
					least, most, n = min(least, a.in), max(most, a.in), n+1
				}
			}
		}
		if n < 30 || most > s.MaxRetryAfter || cold != (most-least > 2*time.Second) {
			t.Errorf("cold %t: %d turned away, to come back in %v to %v", cold, n, least, most)
		}
	}
}

// Each of 40 dispatchers sends a cold worker by the part that the fleet has granted it. All parts
// come to one, so all together send it no more than it bears, and one without a part nothing.
func TestColdWorkerIsSentByGrantedParts(t *testing.T) {
	const n = 40
	s := testSettings()
	s.DispatcherCount = n
	launched := 100 * time.Second
	var sent []time.Duration
	none := 0
	sum := 0.0
	for me := range n {
		s.DispatcherIndex = me
		d, out := mustNew(t, s, uint64(me+1)), &recorder{}
		part := 2 * float64(me) / (n * (n - 1)) // 0 for the first, much for the last
		sum += part
		d.SetWorkerLimits(launched-time.Second, 0, part, out)
		d.UpdateWorkers(launched, ListFull, []Worker{{ID: 9, State: Ready, Weight: 1, Launched: launched}}, out)
		out.take()
		id := RequestID(0)
		for now := launched; now < launched+4*time.Second; now += 20 * ms {
			id++
			d.Arrive(now, Request{ID: id, TimeLeft: 30 * ms}, out)
			for _, a := range out.take() {
				if a.what != "send" {
					continue
				}
				if sent = append(sent, now); me == 0 {
					none++
				}
				d.AttemptEnded(now+10*ms, Outcome{ID: a.id, Worker: 9, Code: OK, Answered: true}, out)
				out.take()
			}
		}
	}
	slices.Sort(sent)
	run := 0.2 // what a job is taken to run where none was seen
	for i, at := range sent {
		bears := s.CrashLoadFactor * (s.SlowStartShare + (1-s.SlowStartShare)*(at+s.CrashLoadTime/2-launched).Seconds()/s.SlowStartTime.Seconds()) * s.CrashLoadTime.Seconds() / run
		if got, _ := slices.BinarySearch(sent[i:], at+s.CrashLoadTime); float64(got) > bears+3*math.Sqrt(bears)+3 {
			t.Fatalf("%d jobs in the time from %v on, of %.1f that it bears", got, at-launched, bears)
		}
	}
	if none > 0 || len(sent) < 5 || math.Abs(sum-1) > 1e-9 {
		t.Errorf("%d jobs by one without a part, %d in all, by parts of %v", none, len(sent), sum)
	}
}

// Speeds of the fleet come after the first list. They fill in what is not known and leave the rest:
// start delays, own evidence, and the kinds' numbers.
func TestSpeedsAreTakenInAfterTheFirstList(t *testing.T) {
	old, out := mustNew(t, testSettings(), 1), &recorder{}
	old.UpdateWorkers(ms, ListFull, []Worker{{ID: 1, State: Ready, Weight: 1, Kind: 1}}, out)
	for i := range 30 {
		now := time.Duration(i+1) * time.Second
		old.Arrive(now, Request{ID: RequestID(i + 1), TimeLeft: 5 * time.Second}, out)
		old.Notify(now+ms, Notification{ID: RequestID(i + 1), Worker: 1, Kind: NotificationStarted}, out)
		old.AttemptEnded(now+601*ms, Outcome{ID: RequestID(i + 1), Worker: 1, Code: OK, Answered: true}, out)
	}
	speeds := fleet.Decode(old.Snapshot())
	if speeds == nil {
		t.Fatal("a module that has seen jobs has nothing to say")
	}
	d := mustNew(t, testSettings(), 2).(*dispatcher)
	d.UpdateWorkers(ms, ListFull, []Worker{{ID: 1, State: Ready, Weight: 1, Kind: 1}}, out)
	kinds, delay := len(d.kinds), d.startDelay
	d.Restore(speeds.Encode())
	was := old.(*dispatcher)
	if len(d.kinds) != kinds || d.startDelay != delay || d.meanRun != was.meanRun || d.kinds[1].seen != was.kinds[1].seen || d.stats["safe"].work != was.stats["safe"].work {
		t.Errorf("%d kinds of %d, delays %v of %v, typical run %v of %v", len(d.kinds), kinds, d.startDelay, delay, d.meanRun, was.meanRun)
	}
}
