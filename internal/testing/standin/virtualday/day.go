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
	"container/heap"
	"math/rand/v2"
	"time"

	"yardflow/internal/testing/standin/machine"
	"yardflow/scheduling/dispatch"
)

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

func (d *day) call(f func()) {
	d.res.Decided++
	f()
}
