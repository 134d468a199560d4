// Package virtualday plays a stretch of service in virtual time: dispatchers (the decision
// module itself), stand-in loan workers and clients on one clock of discrete events.
// Nothing waits for the wall, and the same seed gives the same day.
//
// It owns the clock, the network's delays, the draws and the count of what was served
// in time, and it watches the rules: one final answer a request, never two attempts
// at once, no unsafe job twice. It must never show a dispatcher what a real one could
// not see.
package virtualday

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/internal/testing/standin/machine"
	"yardflow/scheduling/dispatch"
)

// Class is one class of jobs.
type Class struct {
	dispatch.Class
	Share float64       // of all jobs
	Slots int           // of one job
	Mean  time.Duration // of the work
	Sigma float64       // of its logarithm: sizes are log-normal
}

// Holder stands, as a fault's worker, for the one that holds a reservation at the moment; the fault
// waits until there is one.
const Holder = -1

// Fault is something that happens to a worker, or to a dispatcher.
type Fault struct {
	At     time.Duration
	Worker int    // or the dispatcher, for "die" and "upgrade"
	Do     string // "slow" (Factor), "drain", "restart", "hang", "errors" (Factor: share), "back" ends any;
	// "exclude" and "include", by operators' hands; "die" (Factor: seconds until it is up
	// again) and "upgrade", of a dispatcher
	Factor float64
}

// Burst is a stretch of the day with so many times the load.
type Burst struct {
	From, To time.Duration
	Factor   float64
}

// Talk is the way of datagrams: each comes after a delay of its own, up to Delay, or twice,
// or with a bit flipped, or never.
type Talk struct {
	Delay                  time.Duration
	Lost, Doubled, Spoiled float64 // shares
	Deaf                   int     // dispatchers that hear nothing and are not heard
}

// Surge is a stretch in which one tenant sends so many times its usual.
type Surge struct {
	From, To time.Duration
	Tenant   int
	Factor   float64
}

// Config is one day.
type Config struct {
	Seed        uint64
	Length      time.Duration
	Dispatchers int
	Workers     int
	Slots       []int     // of each worker, in turn
	Speeds      []float64 // likewise
	Load        float64   // of the fleet's capacity
	Bursts      []Burst   // on top of it
	CellSize    int       // workers that drop each other's repeats; 0: each alone
	Uneven      float64   // sigma of the logarithm of what dispatchers get of the jobs; 0: all alike
	Classes     []Class
	Faults      []Fault
	Settings    func(*dispatch.Settings) // what is to be otherwise; may be nil
	Retunes     map[time.Duration]func(*dispatch.Settings)
	Delay       time.Duration // of the network, one way
	Zones       int           // workers and dispatchers are spread over; 0: one
	Cross       time.Duration // beside Delay, between zones
	ListLate    time.Duration // what the roster knows of is told so much later
	ReportLate  time.Duration // what reports say is so old, beside Report
	Tenants     []float64     // shares of the jobs; nil: one tenant
	Surges      []Surge
	Policy      Policy        // in place of the module; 0: the module
	Talk        *Talk         // how dispatchers' datagrams reach each other; nil: they may not talk
	Report      time.Duration // reports are refreshed so often
}

// Score is what came of one class.
type Score struct {
	Jobs, InTime, Late, Refused, Failed int
	Worth, Of                           float64
	Wait                                time.Duration // longest from arrival to first start
}

// Result is what came of a day.
type Result struct {
	Classes  []Score
	Tenants  []Score // Worth and Of alone
	Windows  []Score // likewise, of 10 s by the time of arrival
	Broken   []string
	Busiest  float64 // part of all slot time that was at work
	Modules  []dispatch.Dispatcher
	Decided  int           // calls of modules
	Hit      int           // faults that hit a holder of room
	IntoHung int           // sends to workers in the second after they began to answer nothing
	Told     int           // bytes that dispatchers told
	LateSend time.Duration // latest send to a worker after its drain was told
}

// Worth is the part of the worth asked for that was served in time.
func (r *Result) Worth() float64 {
	got, of := 0.0, 0.0
	for _, c := range r.Classes {
		got, of = got+c.Worth, of+c.Of
	}
	return got / max(of, 1e-9)
}

type event struct {
	at   time.Duration
	n    uint64 // order among equals
	do   func()
	gone bool
}

type queue []*event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type job struct {
	id       dispatch.RequestID
	class    int
	tenant   int
	dead     bool // its dispatcher died
	work     time.Duration
	arrived  time.Duration
	aim      time.Duration // in time up to then
	deadline time.Duration
	to       int // the dispatcher that it comes to
	host     *host
	attempts int
	out      int // attempts out
	mayRun   bool
	ran      int
	answered bool
	begun    bool
	now      *attempt // the latest
}

type attempt struct {
	job    *job
	n      int
	worker *worker
	ended  bool
	ran    bool
}

type worker struct {
	m        *machine.Machine
	id       dispatch.WorkerID
	attempts map[uint64]*attempt
	timer    *event
	hung     bool
	hungAt   time.Duration
	errors   float64
	drained  time.Duration // told at; 0: serves
	state    dispatch.WorkerState
	launched time.Duration
	free     []reading // what reports have said, the latest last
	out      bool      // taken out by hand
	zone     int
}

type reading struct {
	at   time.Duration
	free float64
}

type host struct {
	d    *day
	m    dispatch.Dispatcher
	n    int
	zone int
	down bool
}

type day struct {
	Config
	rnd     *rand.Rand
	air     *rand.Rand // the datagrams' draws
	now     time.Duration
	events  queue
	count   uint64
	hosts   []*host // all processes that ever were
	front   []*host // of each dispatcher, the one that new jobs come to
	own     dispatch.Settings
	workers []*worker
	jobs    map[dispatch.RequestID]*job
	res     *Result
	holder  int // the worker that the last such fault hit
}

// base is what the clock shows at the start: a start time of 0 means long ago.
const base = time.Hour

func newDay(cfg Config) *day {
	return &day{Config: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), air: rand.New(rand.NewPCG(cfg.Seed, 11)), now: base,
		jobs: map[dispatch.RequestID]*job{}, res: &Result{
			Classes: make([]Score, len(cfg.Classes)), Tenants: make([]Score, max(len(cfg.Tenants), 1)),
			Windows: make([]Score, cfg.Length/(10*time.Second)+1)}}
}

// Play plays one day.
func Play(cfg Config) (*Result, error) {
	d := newDay(cfg)
	s := dispatch.Settings{DispatcherCount: cfg.Dispatchers, MinEventGap: 2 * time.Millisecond, StartNotifications: true, FIFOWorkers: true,
		LoadFields: []dispatch.LoadField{dispatch.LoadFreeSlots}, MaxAttempts: 4, Cancellation: true, MaxRetryAfter: 2 * time.Second,
		DrainGrace: 500 * time.Millisecond, ListRefreshInterval: 10 * time.Second, SlowStartShare: 0.3, SlowStartTime: 8 * time.Second,
		CrashLoadFactor: 4, CrashLoadTime: 2 * time.Second, OverQuotaValueShare: 1, AnswerSlack: 8 * time.Millisecond}
	s.Peers = cfg.Talk != nil
	for _, c := range cfg.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	if cfg.Settings != nil {
		cfg.Settings(&s)
	}
	for i := range cfg.Workers {
		slots, speed := cfg.Slots[i%len(cfg.Slots)], cfg.Speeds[i%len(cfg.Speeds)]
		w := &worker{m: machine.New(slots, 2*slots, speed), id: dispatch.WorkerID(i + 1), attempts: map[uint64]*attempt{}}
		w.m.Advance(base)
		w.zone = i % max(cfg.Zones, 1)
		d.workers = append(d.workers, w)
	}
	d.own = s
	for i := range cfg.Dispatchers {
		h, err := d.start(i, nil)
		if err != nil {
			return nil, err
		}
		d.front = append(d.front, h)
	}
	for _, j := range d.draw() {
		d.at(j.arrived, func() { d.arrive(j) })
	}
	for _, f := range cfg.Faults {
		d.at(base+f.At, func() { d.fault(f) })
	}
	for at, f := range cfg.Retunes {
		d.at(base+at, func() {
			f(&s)
			d.own = s
			for _, h := range d.hosts {
				own := s
				own.DispatcherIndex, own.Zone = h.n, h.zone
				d.call(func() { h.m.Reconfigure(d.now, own, h) })
			}
		})
	}
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(*event)
		if e.gone {
			continue
		}
		d.now = max(d.now, e.at)
		if d.now > base+cfg.Length+time.Minute {
			break
		}
		e.do()
	}
	for _, j := range d.jobs {
		if !j.answered && !j.dead {
			d.broken("request %d has no answer", j.id)
		}
	}
	return d.res, nil
}

// start starts a process of dispatcher n, with what it is handed of the one before.
func (d *day) start(n int, memory []byte) (*host, error) {
	own := d.own
	h := &host{d: d, n: n, zone: n % max(d.Zones, 1)}
	own.DispatcherIndex, own.Zone = n%own.DispatcherCount, h.zone // the number told may be wrong
	if d.Policy != 0 {
		h.m = newPlain(d, h)
	} else {
		m, err := dispatch.New(own, d.Seed*1000+uint64(len(d.hosts)))
		if err != nil {
			return nil, err
		}
		h.m = m
	}
	d.hosts = append(d.hosts, h)
	d.res.Modules = append(d.res.Modules, h.m)
	if memory != nil {
		h.m.Restore(memory)
	}
	h.m.UpdateWorkers(d.now, dispatch.ListCached, d.list(), h)
	return h, nil
}

// delay is one way between a dispatcher and a worker.
func (d *day) delay(h *host, w *worker) time.Duration {
	if h.zone != w.zone {
		return d.Delay + d.Cross
	}
	return d.Delay
}

func (d *day) broken(format string, args ...any) {
	if len(d.res.Broken) < 20 {
		d.res.Broken = append(d.res.Broken, fmt.Sprintf(format, args...))
	}
}

func (d *day) at(when time.Duration, do func()) *event {
	d.count++
	e := &event{at: when, n: d.count, do: do}
	heap.Push(&d.events, e)
	return e
}

func (d *day) list() (out []dispatch.Worker) {
	for i := range d.workers {
		out = append(out, d.entry(i))
	}
	return out
}

// entry is what the roster says of a worker, and a hand that has taken it out.
func (d *day) entry(i int) dispatch.Worker {
	w := d.workers[i] // those of the same slots are of one kind
	state := w.state
	if w.out && state == dispatch.Ready {
		state = dispatch.Draining
	}
	return dispatch.Worker{ID: w.id, Weight: 1, Zone: w.zone, Kind: i % len(d.Slots), Cell: i / max(d.CellSize, 1), State: state, Launched: w.launched}
}

// draw draws all of the day's jobs ahead: a Poisson stream, spread evenly over the
// dispatchers. The draws don't depend on what the dispatchers do.
func (d *day) draw() (all []*job) {
	capacity, mean := 0.0, 0.0
	for i := range d.Workers {
		capacity += float64(d.Slots[i%len(d.Slots)]) * d.Speeds[i%len(d.Speeds)]
	}
	for _, c := range d.Classes {
		mean += c.Share * float64(c.Slots) * c.Mean.Seconds()
	}
	rate, most := capacity*d.Load/mean, 1.0
	for _, b := range d.Bursts {
		most = max(most, b.Factor)
	}
	more := 0.0
	for _, s := range d.Surges {
		more += d.Tenants[s.Tenant] * (s.Factor - 1)
	}
	most *= 1 + more
	ends := make([]float64, d.Dispatchers) // running sums of the dispatchers' shares
	sum := 0.0
	for i := range ends {
		if sum++; d.Uneven > 0 {
			sum += math.Exp(d.Uneven*d.rnd.NormFloat64()) - 1
		}
		ends[i] = sum
	}
	for at := base; ; {
		at += time.Duration(d.rnd.ExpFloat64() / (rate * most) * 1e9)
		if at > base+d.Length {
			return all
		}
		if most > 1 { // thinned to what holds at the moment
			now := 1.0
			for _, b := range d.Bursts {
				if at >= base+b.From && at < base+b.To {
					now = b.Factor
				}
			}
			for _, s := range d.Surges {
				if at >= base+s.From && at < base+s.To {
					now *= 1 + d.Tenants[s.Tenant]*(s.Factor-1)
				}
			}
			if d.rnd.Float64()*most > now {
				continue
			}
		}
		u, class := d.rnd.Float64(), 0
		for u -= d.Classes[0].Share; u >= 0 && class+1 < len(d.Classes); u -= d.Classes[class].Share {
			class++
		}
		c := d.Classes[class]
		// The mean of a log-normal is exp(mu + sigma^2/2).
		work := time.Duration(float64(c.Mean) * math.Exp(c.Sigma*d.rnd.NormFloat64()-c.Sigma*c.Sigma/2))
		j := &job{id: dispatch.RequestID(len(all) + 1), class: class, work: work, arrived: at, to: d.pick(ends),
			aim: at + c.LatencyTarget + time.Duration(c.Stretch*float64(work)), deadline: at + c.Deadline}
		j.aim = min(j.aim, j.deadline)
		j.tenant = d.tenant(at)
		all = append(all, j)
	}
}

// tenant draws whose job it is.
func (d *day) tenant(at time.Duration) int {
	if len(d.Tenants) < 2 {
		return 0
	}
	shares, sum := slices.Clone(d.Tenants), 0.0
	for _, s := range d.Surges {
		if at >= base+s.From && at < base+s.To {
			shares[s.Tenant] *= s.Factor
		}
	}
	for _, s := range shares {
		sum += s
	}
	u := d.rnd.Float64() * sum
	for i, s := range shares {
		if u -= s; u < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// pick draws the dispatcher that a job comes to.
func (d *day) pick(ends []float64) int {
	if d.Uneven == 0 {
		return d.rnd.IntN(d.Dispatchers)
	}
	i, _ := slices.BinarySearch(ends, d.rnd.Float64()*ends[len(ends)-1])
	return min(i, len(ends)-1)
}

func (d *day) arrive(j *job) {
	d.jobs[j.id] = j
	again := j.arrived < d.now // a client's, whose dispatcher has died
	if !again {
		d.res.Classes[j.class].Jobs++
		for _, s := range d.scores(j) {
			s.Of += d.Classes[j.class].Value
		}
	}
	for n := range d.front { // the front layer has noticed who is down
		if j.host = d.front[(j.to+n)%len(d.front)]; !j.host.down {
			break
		}
	}
	if j.host.down {
		d.answer(j, "failed")
		return
	}
	d.call(func() {
		j.host.m.Arrive(d.now, dispatch.Request{ID: j.id, Class: j.class, ResolvedClass: &d.Classes[j.class].Class, Tenant: j.tenant, TimeLeft: j.deadline - d.now,
			Slots: float64(d.Classes[j.class].Slots), ClientRetry: again}, j.host)
	})
	d.at(j.deadline, func() {
		if j.answered || j.dead {
			return
		}
		d.answer(j, "late") // the host's own end of it, as the core words it
		if a := j.now; a != nil && !a.ended {
			w := a.worker
			delete(w.attempts, uint64(j.id))
			d.take(w, w.m.Cancel(d.now, uint64(j.id)))
			d.end(a, dispatch.TimedOut)
			return
		}
		d.call(func() { j.host.m.ClientDisconnected(d.now, j.id, j.host) })
	})
}

func (d *day) call(f func()) {
	d.res.Decided++
	f()
}

func (d *day) answer(j *job, what string) {
	if j.answered {
		d.broken("request %d is answered twice", j.id)
		return
	}
	j.answered = true
	c := &d.res.Classes[j.class]
	switch {
	case what == "refused":
		c.Refused++
	case what == "failed" || what == "late":
		c.Failed++
	case d.now+d.Delay > j.aim:
		c.Late++
	default:
		c.InTime++
		for _, s := range d.scores(j) {
			s.Worth += d.Classes[j.class].Value
		}
	}
}

// scores are those that a job counts in.
func (d *day) scores(j *job) []*Score {
	return []*Score{&d.res.Classes[j.class], &d.res.Tenants[j.tenant], &d.res.Windows[int((j.arrived-base)/(10*time.Second))]}
}

// ---- a dispatcher's actions

func (h *host) Send(id dispatch.RequestID, w dispatch.WorkerID, _ time.Duration) {
	d, j := h.d, h.d.jobs[id]
	to := d.workers[int(w)-1]
	a := &attempt{job: j, n: j.attempts, worker: to}
	j.attempts++
	j.now = a
	if to.hung && d.now < to.hungAt+time.Second {
		d.res.IntoHung++
	}
	if j.out++; j.out > 1 {
		d.broken("request %d is out twice at once", id)
	}
	if j.mayRun && d.Classes[j.class].Semantics == dispatch.AtMostOnce {
		d.broken("unsafe request %d is sent again", id)
	}
	if to.state != dispatch.Ready && to.drained > 0 {
		if late := d.now - to.drained; late > d.res.LateSend {
			d.res.LateSend = late
		}
	}
	j.mayRun = true
	d.at(d.now+d.delay(h, to), func() { d.deliver(a) })
}

func (h *host) Reject(id dispatch.RequestID, _ time.Duration) { h.d.answer(h.d.jobs[id], "refused") }
func (h *host) Fail(id dispatch.RequestID)                    { h.d.answer(h.d.jobs[id], "failed") }
func (h *host) Subscribe()                                    {}
func (h *host) Probe(dispatch.WorkerID)                       {}
func (h *host) Log(string)                                    {}

func (h *host) Broadcast(msg []byte) {
	d, t := h.d, h.d.Talk
	if t == nil {
		d.broken("dispatcher %d talks, and may not", h.n)
		return
	}
	d.res.Told += len(msg)
	for _, to := range d.hosts {
		if to == h || min(to.n, h.n) < t.Deaf || d.air.Float64() < t.Lost {
			continue
		}
		m := slices.Clone(msg)
		if d.air.Float64() < t.Spoiled {
			m[d.air.IntN(len(m))] ^= 1 << d.air.IntN(8)
		}
		for n := 1; n > 0; n-- {
			d.at(d.now+time.Duration(d.air.Float64()*float64(t.Delay)), func() {
				if !to.down {
					d.call(func() { to.m.PeerMessage(d.now, h.n, m, to) })
				}
			})
			if d.air.Float64() < t.Doubled {
				n++
			}
		}
	}
}

func (h *host) Wake(in time.Duration, tag uint64) {
	h.d.at(h.d.now+in, func() {
		if !h.down {
			h.d.call(func() { h.m.Timer(h.d.now, tag, h) })
		}
	})
}

func (h *host) Cancel(id dispatch.RequestID, n int) {
	d := h.d
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.job.id == id && a.n == n {
				d.take(w, w.m.Cancel(d.now, uint64(id)))
				d.end(a, dispatch.Cancelled)
				return
			}
		}
	}
}

// ---- workers

func (d *day) deliver(a *attempt) {
	w := a.worker
	if a.ended || a.job.answered && !a.job.dead {
		d.end(a, dispatch.NotSent)
		return
	}
	if w.errors > 0 && d.rnd.Float64() < w.errors {
		a.ran = true
		d.at(d.now+20*time.Millisecond, func() { d.end(a, dispatch.Failed) })
		return
	}
	w.attempts[uint64(a.job.id)] = a
	if w.hung {
		return
	}
	c := d.Classes[a.job.class]
	d.take(w, w.m.Submit(d.now, machine.Job{ID: uint64(a.job.id), Slots: c.Slots, Work: a.job.work}))
}

// take deals with a machine's news, and sets its next moment.
func (d *day) take(w *worker, news []machine.Event) {
	for _, e := range news {
		a := w.attempts[e.Job]
		if a == nil {
			continue
		}
		switch e.Kind {
		case machine.Started:
			a.ran = true
			if a.job.ran++; a.job.ran > 1 && d.Classes[a.job.class].Semantics == dispatch.AtMostOnce {
				d.broken("unsafe request %d runs twice", a.job.id)
			}
			if !a.job.begun {
				a.job.begun = true
				if c := &d.res.Classes[a.job.class]; e.At-a.job.arrived > c.Wait {
					c.Wait = e.At - a.job.arrived
				}
			}
			d.at(d.now+d.delay(a.job.host, w), func() {
				if !a.ended && !a.job.dead {
					d.call(func() {
						a.job.host.m.Notify(d.now, dispatch.Notification{ID: a.job.id, Attempt: a.n, Worker: w.id, Kind: dispatch.NotificationStarted}, a.job.host)
					})
				}
			})
		case machine.Done:
			d.ends(a, dispatch.OK)
		case machine.Returned:
			d.ends(a, dispatch.Rejected)
		case machine.Lost:
			d.ends(a, dispatch.ConnectionLost)
		}
	}
	if w.timer != nil {
		w.timer.gone = true
	}
	if at, ok := w.m.Next(); ok && !w.hung {
		w.timer = d.at(max(at, d.now), func() {
			w.timer = nil
			d.take(w, w.m.Advance(d.now))
		})
	}
}

// ends tells an attempt's end to its dispatcher, a network's delay later.
func (d *day) ends(a *attempt, code dispatch.Code) {
	delete(a.worker.attempts, uint64(a.job.id))
	d.at(d.now+d.delay(a.job.host, a.worker), func() { d.end(a, code) })
}

func (d *day) end(a *attempt, code dispatch.Code) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.worker.attempts, uint64(a.job.id))
	j, w := a.job, a.worker
	j.out--
	if code == dispatch.Rejected || code == dispatch.NotSent {
		j.mayRun = j.ran > 0
	}
	if j.dead {
		return // nobody waits for it any more
	}
	if code == dispatch.OK && !j.answered {
		d.answer(j, "served")
	}
	if n := len(w.free); n == 0 || d.now >= w.free[n-1].at+d.Report {
		w.free = append(w.free, reading{d.now, float64(w.m.Free())})
	}
	var load []float64 // none yet
	for _, r := range slices.Backward(w.free) {
		if r.at <= d.now-d.ReportLate {
			load = []float64{r.free}
			break
		}
	}
	d.call(func() {
		j.host.m.AttemptEnded(d.now, dispatch.Outcome{ID: j.id, Attempt: a.n, Worker: w.id, Code: code, Answered: j.answered, Load: load}, j.host)
	})
}

// fault makes something happen to a worker; changes that a roster knows of are told
// at once.
func (d *day) fault(f Fault) {
	if f.Worker == Holder {
		held := d.hosts[0].m.Reservations()
		switch {
		case f.Do == "back":
			f.Worker = d.holder
		case held != nil && len(held.Reservations) > 0:
			f.Worker = int(held.Reservations[0].Worker) - 1
			d.holder = f.Worker
			d.res.Hit++
		default:
			if d.now < base+d.Length {
				d.at(d.now+5*time.Millisecond, func() { d.fault(f) })
			}
			return
		}
	}
	if f.Do == "die" || f.Do == "upgrade" {
		d.strike(f)
		return
	}
	i := f.Worker % len(d.workers)
	w := d.workers[i]
	told := false
	switch f.Do {
	case "exclude", "include": // every dispatcher is called at the same moment
		if w.out = f.Do == "exclude"; !w.out {
			w.launched = max(w.launched, d.now)
		}
		for _, h := range d.hosts {
			d.call(func() { h.m.UpdateWorkers(d.now, dispatch.ListOverride, []dispatch.Worker{d.entry(i)}, h) })
		}
		return
	case "slow":
		d.take(w, w.m.Speed(d.now, d.Speeds[(f.Worker%len(d.workers))%len(d.Speeds)]/f.Factor))
	case "errors":
		w.errors = f.Factor
	case "hang":
		d.take(w, w.m.Speed(d.now, 0))
		w.hung, w.hungAt = true, d.now
	case "drain":
		w.state, w.drained, told = dispatch.Draining, d.now, true
		d.take(w, w.m.Drain(d.now, f.Factor > 0))
	case "restart":
		d.take(w, w.m.Restart(d.now, 0.3, 8*time.Second))
		w.state, w.launched, told = dispatch.Ready, d.now, true
	case "back":
		w.errors, w.hung, w.drained = 0, false, 0
		d.take(w, w.m.Speed(d.now, d.Speeds[(f.Worker%len(d.workers))%len(d.Speeds)]))
		w.m.Resume()
		told, w.state = w.state != dispatch.Ready, dispatch.Ready
	}
	if !told {
		return
	}
	d.at(d.now+d.ListLate, func() {
		if w.state != dispatch.Ready {
			w.drained = d.now
		}
		for _, h := range d.hosts {
			if h.down {
				continue
			}
			d.call(func() { h.m.UpdateWorkers(d.now, dispatch.ListFull, d.list(), h) })
			if held := h.m.Reservations(); held != nil && w.state != dispatch.Ready {
				for _, r := range held.Reservations {
					if dispatch.WorkerID(r.Worker) == w.id {
						d.broken("room is held at a worker that drains")
					}
				}
			}
		}
	})
}

// strike is a fault of a dispatcher. What one that dies had open is its clients' to bring
// again, to whoever is up; its jobs run on at the workers. It comes back knowing nothing
// but the list.
func (d *day) strike(f Fault) {
	i := f.Worker % len(d.front)
	old := d.front[i]
	if f.Do == "upgrade" {
		if h, err := d.start(i, old.m.Snapshot()); err == nil {
			d.front[i] = h
		}
		return
	}
	if old.down {
		return
	}
	old.down = true
	for _, j := range d.open() {
		if j.host != old {
			continue
		}
		j.dead = true
		if d.Classes[j.class].Semantics != dispatch.Retryable && j.mayRun {
			d.res.Classes[j.class].Failed++
			continue
		}
		own := *j
		own.dead, own.attempts, own.out, own.mayRun, own.now = false, 0, 0, false, nil
		d.count++
		own.id = dispatch.RequestID(1<<40 + d.count)
		d.at(d.now+50*time.Millisecond, func() { d.arrive(&own) })
	}
	d.at(d.now+time.Duration(f.Factor*1e9), func() {
		if h, err := d.start(i, nil); err == nil {
			d.front[i] = h
		}
	})
}

// open is the jobs that wait for their answer, in the order of their arrival.
func (d *day) open() (out []*job) {
	for _, j := range d.jobs {
		if !j.answered && !j.dead {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.id, b.id) })
	return out
}
