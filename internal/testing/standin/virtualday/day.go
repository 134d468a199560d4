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

// dispatcherSettings returns what each dispatcher is configured with at first.
func (cfg *Config) dispatcherSettings() dispatch.Settings {
	s := dispatch.Settings{
		MinEventGap: 2 * time.Millisecond,
		Values:      dispatch.ValueSettings{OverQuotaShare: 1},
		Fleet:       dispatch.FleetSettings{Count: cfg.Dispatchers, Peers: cfg.Talk != nil},
		Workers: dispatch.WorkerSettings{FIFO: true, StartNotifications: true, LoadFields: []dispatch.LoadField{dispatch.LoadFreeSlots},
			DrainGrace: 500 * time.Millisecond},
		List: dispatch.ListSettings{RefreshInterval: 10 * time.Second},
		Attempts: dispatch.AttemptSettings{Max: 4, Cancellation: true, MaxRetryAfter: 2 * time.Second,
			AnswerSlack: 8 * time.Millisecond},
		SlowStart: dispatch.SlowStartSettings{Share: 0.3, Time: 8 * time.Second, CrashLoadFactor: 4, CrashLoadTime: 2 * time.Second},
	}
	for _, c := range cfg.Classes {
		s.Classes = append(s.Classes, c.Class)
	}
	if cfg.Settings != nil {
		cfg.Settings(&s)
	}
	return s
}

// Play plays one day.
func Play(cfg Config) (*Result, error) {
	d := newDay(cfg)
	d.own = cfg.dispatcherSettings()
	d.addWorkers()
	for i := range cfg.Dispatchers {
		h, err := d.start(i, nil)
		if err != nil {
			return nil, err
		}
		d.front = append(d.front, h)
	}
	d.schedule()
	d.runEvents()
	for _, j := range d.jobs {
		if !j.answered && !j.dead {
			d.broken("request %d has no answer", j.id)
		}
	}
	return d.res, nil
}

func (d *day) addWorkers() {
	for i := range d.Workers {
		slots, speed := d.Slots[i%len(d.Slots)], d.Speeds[i%len(d.Speeds)]
		w := &worker{m: machine.New(slots, 2*slots, speed), id: dispatch.WorkerID(i + 1), attempts: map[uint64]*attempt{}}
		w.m.Advance(base)
		w.zone = i % max(d.Zones, 1)
		d.workers = append(d.workers, w)
	}
}

// schedule makes the day's events: requests, faults, and changes of the settings.
func (d *day) schedule() {
	for _, j := range d.draw() {
		d.at(j.arrived, func() { d.arrive(j) })
	}
	for _, f := range d.Faults {
		d.at(base+f.At, func() { d.fault(f) })
	}
	for at, change := range d.Retunes {
		d.at(base+at, func() { d.reconfigure(change) })
	}
}

// reconfigure changes the settings of all dispatchers.
func (d *day) reconfigure(change func(*dispatch.Settings)) {
	change(&d.own)
	for _, h := range d.hosts {
		own := d.own
		own.Fleet.Index, own.Fleet.Zone = h.n, h.zone
		d.call(func() { h.m.Reconfigure(d.now, own, h) })
	}
}

// runEvents runs what was scheduled, and what follows from it, to the end of the day and a minute beyond.
func (d *day) runEvents() {
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(*event)
		if e.gone {
			continue
		}
		d.now = max(d.now, e.at)
		if d.now > base+d.Length+time.Minute {
			return
		}
		e.do()
	}
}

// start starts a process of dispatcher n, with what it is handed of the one before.
func (d *day) start(n int, memory []byte) (*host, error) {
	own := d.own
	h := &host{d: d, n: n, zone: n % max(d.Zones, 1)}
	own.Fleet.Index, own.Fleet.Zone = n%own.Fleet.Count, h.zone // the number told may be wrong
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
