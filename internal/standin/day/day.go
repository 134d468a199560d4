// Package day plays a stretch of service in virtual time: dispatchers (the decision
// module itself), stand-in loan workers and clients on one clock of discrete events.
// Nothing waits for the wall, and the same seed gives the same day.
//
// It owns the clock, the network's delays, the draws and the count of what was served
// in time, and it watches the rules: one final answer a request, never two attempts
// at once, no unsafe job twice. It must never show a dispatcher what a real one could
// not see.
package day

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"linnetlift"
	"linnetlift/internal/standin/machine"
)

// Class is one class of jobs.
type Class struct {
	linnetlift.Class
	Share float64       // of all jobs
	Slots int           // of one job
	Mean  time.Duration // of the work
	Sigma float64       // of its logarithm: sizes are log-normal
}

// Holder, as a fault's worker, is the one that holds room at the moment; the fault
// waits until there is one.
const Holder = -1

// Fault is something that happens to a worker.
type Fault struct {
	At     time.Duration
	Worker int
	Do     string // "slow" (Factor), "drain", "restart", "hang", "errors" (Factor: share), "back" ends any
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
	Settings    func(*linnetlift.Settings) // what is to be otherwise; may be nil
	Retunes     map[time.Duration]func(*linnetlift.Settings)
	Delay       time.Duration // of the network, one way
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
	Broken   []string
	Busiest  float64 // part of all slot time that was at work
	Modules  []linnetlift.Dispatcher
	Decided  int           // calls of modules
	Hit      int           // faults that hit a holder of room
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
	id       linnetlift.RequestID
	class    int
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
	id       linnetlift.WorkerID
	attempts map[uint64]*attempt
	timer    *event
	hung     bool
	errors   float64
	drained  time.Duration // told at; 0: serves
	state    linnetlift.WorkerState
	launched time.Duration
	free     float64 // as of the last report
	report   time.Duration
}

type host struct {
	d     *day
	m     linnetlift.Dispatcher
	n     int
	timer *event
}

type day struct {
	Config
	rnd     *rand.Rand
	air     *rand.Rand // the datagrams' draws
	now     time.Duration
	events  queue
	count   uint64
	hosts   []*host
	workers []*worker
	jobs    map[linnetlift.RequestID]*job
	res     *Result
	holder  int // the worker that the last such fault hit
}

// base is what the clock shows at the start: a start time of 0 means long ago.
const base = time.Hour

func newDay(cfg Config) *day {
	return &day{Config: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 7)), air: rand.New(rand.NewPCG(cfg.Seed, 11)), now: base,
		jobs: map[linnetlift.RequestID]*job{}, res: &Result{Classes: make([]Score, len(cfg.Classes))}}
}

// Play plays one day.
func Play(cfg Config) (*Result, error) {
	d := newDay(cfg)
	s := linnetlift.Settings{Dispatchers: cfg.Dispatchers, Round: 2 * time.Millisecond, TellsStart: true, InOrder: true,
		LoadFields: []linnetlift.LoadField{linnetlift.LoadFreeSlots}, MaxAttempts: 4, Cancelling: true, MaxRetryAfter: 2 * time.Second,
		DrainGrace: 500 * time.Millisecond, AskWithin: 10 * time.Second, ColdShare: 0.3, ColdTime: 8 * time.Second,
		FallMultiple: 4, FallTime: 2 * time.Second, OverShareWorth: 1, AnswerSlack: 8 * time.Millisecond}
	s.Peers = cfg.Talk != nil
	for _, c := range cfg.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	if cfg.Settings != nil {
		cfg.Settings(&s)
	}
	for i := range cfg.Workers {
		slots, speed := cfg.Slots[i%len(cfg.Slots)], cfg.Speeds[i%len(cfg.Speeds)]
		w := &worker{m: machine.New(slots, 2*slots, speed), id: linnetlift.WorkerID(i + 1), attempts: map[uint64]*attempt{}}
		w.m.Advance(base)
		d.workers = append(d.workers, w)
	}
	for i := range cfg.Dispatchers {
		own := s
		own.Me = i % s.Dispatchers // the number told may be wrong
		m, err := linnetlift.New(own, cfg.Seed*1000+uint64(i))
		if err != nil {
			return nil, err
		}
		h := &host{d: d, m: m, n: i}
		d.hosts = append(d.hosts, h)
		d.res.Modules = append(d.res.Modules, m)
		m.List(d.now, linnetlift.ListCached, d.list(), h)
	}
	for _, j := range d.draw() {
		j.host = d.hosts[j.to]
		d.at(j.arrived, func() { d.arrive(j) })
	}
	for _, f := range cfg.Faults {
		d.at(base+f.At, func() { d.fault(f) })
	}
	for at, f := range cfg.Retunes {
		d.at(base+at, func() {
			f(&s)
			for _, h := range d.hosts {
				own := s
				own.Me = h.n
				d.call(func() { h.m.Retune(d.now, own, h) })
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
		if !j.answered {
			d.broken("request %d has no answer", j.id)
		}
	}
	return d.res, nil
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

func (d *day) list() (out []linnetlift.Worker) {
	for i, w := range d.workers { // those of the same slots are of one kind
		out = append(out, linnetlift.Worker{ID: w.id, Weight: 1, Kind: i % len(d.Slots), Cell: i / max(d.CellSize, 1), State: w.state, Launched: w.launched})
	}
	return out
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
	ends := make([]float64, d.Dispatchers) // running sums of the dispatchers' shares
	sum := 0.0
	for i := range ends {
		if sum += 1; d.Uneven > 0 {
			sum += math.Exp(d.Uneven*d.rnd.NormFloat64()) - 1
		}
		ends[i] = sum
	}
	for at := time.Duration(base); ; {
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
		j := &job{id: linnetlift.RequestID(len(all) + 1), class: class, work: work, arrived: at, to: d.pick(ends),
			aim: at + c.Aim + time.Duration(c.Stretch*float64(work)), deadline: at + c.Deadline}
		j.aim = min(j.aim, j.deadline)
		all = append(all, j)
	}
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
	c := &d.res.Classes[j.class]
	c.Jobs++
	c.Of += d.Classes[j.class].Worth
	d.call(func() {
		j.host.m.Arrive(d.now, linnetlift.Request{ID: j.id, Class: j.class, Of: &d.Classes[j.class].Class, Left: j.deadline - d.now, Slots: float64(d.Classes[j.class].Slots)}, j.host)
	})
	d.at(j.deadline, func() {
		if j.answered {
			return
		}
		d.answer(j, "late") // the host's own end of it, as the core words it
		if a := j.now; a != nil && !a.ended {
			w := a.worker
			delete(w.attempts, uint64(j.id))
			d.take(w, w.m.Cancel(d.now, uint64(j.id)))
			d.end(a, linnetlift.TimedOut)
			return
		}
		d.call(func() { j.host.m.ClientGone(d.now, j.id, j.host) })
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
		c.Worth += d.Classes[j.class].Worth
	}
}

// ---- a dispatcher's actions

func (h *host) Send(id linnetlift.RequestID, w linnetlift.WorkerID, _ time.Duration) {
	d, j := h.d, h.d.jobs[id]
	to := d.workers[int(w)-1]
	a := &attempt{job: j, n: j.attempts, worker: to}
	j.attempts++
	j.now = a
	if j.out++; j.out > 1 {
		d.broken("request %d is out twice at once", id)
	}
	if j.mayRun && d.Classes[j.class].Semantics == linnetlift.Fragile {
		d.broken("unsafe request %d is sent again", id)
	}
	if to.state != linnetlift.Ready && to.drained > 0 {
		if late := d.now - to.drained; late > d.res.LateSend {
			d.res.LateSend = late
		}
	}
	j.mayRun = true
	d.at(d.now+d.Delay, func() { d.deliver(a) })
}

func (h *host) Refuse(id linnetlift.RequestID, _ time.Duration) { h.d.answer(h.d.jobs[id], "refused") }
func (h *host) Fail(id linnetlift.RequestID)                    { h.d.answer(h.d.jobs[id], "failed") }
func (h *host) Subscribe()                                      {}
func (h *host) Probe(linnetlift.WorkerID)                       {}
func (h *host) Log(string)                                      {}

func (h *host) Tell(msg []byte) {
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
				d.call(func() { to.m.PeerMessage(d.now, h.n, m, to) })
			})
			if d.air.Float64() < t.Doubled {
				n++
			}
		}
	}
}

func (h *host) Wake(in time.Duration, tag uint64) {
	h.d.at(h.d.now+in, func() { h.d.call(func() { h.m.Timer(h.d.now, tag, h) }) })
}

func (h *host) Cancel(id linnetlift.RequestID, n int) {
	d := h.d
	for _, w := range d.workers {
		for _, a := range w.attempts {
			if a.job.id == id && a.n == n {
				d.take(w, w.m.Cancel(d.now, uint64(id)))
				d.end(a, linnetlift.Cancelled)
				return
			}
		}
	}
}

// ---- workers

func (d *day) deliver(a *attempt) {
	w := a.worker
	if a.ended || a.job.answered {
		d.end(a, linnetlift.NeverSent)
		return
	}
	if w.errors > 0 && d.rnd.Float64() < w.errors {
		a.ran = true
		d.at(d.now+20*time.Millisecond, func() { d.end(a, linnetlift.Failed) })
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
			if a.job.ran++; a.job.ran > 1 && d.Classes[a.job.class].Semantics == linnetlift.Fragile {
				d.broken("unsafe request %d runs twice", a.job.id)
			}
			if !a.job.begun {
				a.job.begun = true
				if c := &d.res.Classes[a.job.class]; e.At-a.job.arrived > c.Wait {
					c.Wait = e.At - a.job.arrived
				}
			}
			d.at(d.now+d.Delay, func() {
				if !a.ended {
					d.call(func() {
						a.job.host.m.Note(d.now, linnetlift.Note{ID: a.job.id, Attempt: a.n, Worker: w.id, Kind: linnetlift.NoteStarted}, a.job.host)
					})
				}
			})
		case machine.Done:
			d.ends(a, linnetlift.OK)
		case machine.Returned:
			d.ends(a, linnetlift.Full)
		case machine.Lost:
			d.ends(a, linnetlift.Broken)
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
func (d *day) ends(a *attempt, code linnetlift.Code) {
	delete(a.worker.attempts, uint64(a.job.id))
	d.at(d.now+d.Delay, func() { d.end(a, code) })
}

func (d *day) end(a *attempt, code linnetlift.Code) {
	if a.ended {
		return
	}
	a.ended = true
	delete(a.worker.attempts, uint64(a.job.id))
	j, w := a.job, a.worker
	j.out--
	if code == linnetlift.Full || code == linnetlift.NeverSent {
		j.mayRun = j.ran > 0
	}
	if code == linnetlift.OK && !j.answered {
		d.answer(j, "served")
	}
	if d.now >= w.report {
		w.free, w.report = float64(w.m.Free()), d.now+d.Report
	}
	d.call(func() {
		j.host.m.Outcome(d.now, linnetlift.Outcome{ID: j.id, Attempt: a.n, Worker: w.id, Code: code, Ended: j.answered, Load: []float64{w.free}}, j.host)
	})
}

// fault makes something happen to a worker; changes that a roster knows of are told
// at once.
func (d *day) fault(f Fault) {
	if f.Worker == Holder {
		held := d.hosts[0].m.RoomHeld()
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
	w := d.workers[f.Worker%len(d.workers)]
	told := false
	switch f.Do {
	case "slow":
		d.take(w, w.m.Speed(d.now, d.Speeds[(f.Worker%len(d.workers))%len(d.Speeds)]/f.Factor))
	case "errors":
		w.errors = f.Factor
	case "hang":
		d.take(w, w.m.Speed(d.now, 0))
		w.hung = true
	case "drain":
		w.state, w.drained, told = linnetlift.Draining, d.now, true
		d.take(w, w.m.Drain(d.now, f.Factor > 0))
	case "restart":
		d.take(w, w.m.Restart(d.now, 0.3, 8*time.Second))
		w.state, w.launched, told = linnetlift.Ready, d.now, true
	case "back":
		w.errors, w.hung, w.drained = 0, false, 0
		d.take(w, w.m.Speed(d.now, d.Speeds[(f.Worker%len(d.workers))%len(d.Speeds)]))
		w.m.Resume()
		told, w.state = w.state != linnetlift.Ready, linnetlift.Ready
	}
	if told {
		for _, h := range d.hosts {
			d.call(func() { h.m.List(d.now, linnetlift.ListFull, d.list(), h) })
			if held := h.m.RoomHeld(); held != nil && w.state != linnetlift.Ready {
				for _, r := range held.Reservations {
					if linnetlift.WorkerID(r.Worker) == w.id {
						d.broken("room is held at a worker that drains")
					}
				}
			}
		}
	}
}
