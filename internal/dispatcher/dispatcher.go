// Package dispatcher runs a dispatcher of the system: it takes jobs in from
// clients, decides by ACHQ where their tasks go, and owns a share of the workers.
package dispatcher

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/configuration"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/job"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/wallclock"
)

// tickEvery is the pace at which timers are looked at.
const tickEvery = 100 * time.Millisecond

// renewWithout is how long holds are renewed without the control machines. The next owner of a worker that
// it can't reach counts on this bound.
const renewWithout = 20 * time.Second

// Dispatcher is one dispatcher. All its state belongs to one goroutine, to which others hand functions.
type Dispatcher struct {
	settings *settings.Settings
	logger   zerolog.Logger
	network  frame.Network
	began    time.Time
	clock    wallclock.Clock // the time of day
	inbox    chan func()

	uplink   *uplink
	sessions []statemachine.SessionID
	config   atomic.Pointer[configuration.Configuration]
	body     []byte // the newest configuration told, of version bodyVersion; it is read by the next flush

	bodyVersion int64
	workers     map[string]*statemachine.Worker
	placers     map[string]*placement.Scheduler // by service
	jobs        map[string]*ownedJob
	dirty       map[string]bool // jobs to look through for ready tasks
	owned       map[string]*ownedWorker
	reader      *reader
	finals      map[string]job.State // states of jobs that were over when they were read
	stopping    atomic.Bool
	attached    atomic.Bool
	lostAt      atomic.Int64

	begun       map[string]bool // jobs of which a first task began here, to be told
	begunToldAt time.Duration
	explainedAt time.Duration
	ended       chan struct{} // closed once the engine has ended
	hurried     chan struct{} // closed when calls have to be answered, whatever their outcome
}

// New returns a dispatcher that is not running yet.
func New(s *settings.Settings, network frame.Network, logger zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		settings: s,
		logger:   logger,
		network:  network,
		ended:    make(chan struct{}),
		hurried:  make(chan struct{}),
		began:    time.Now(),
		inbox:    make(chan func(), 4096),
		workers:  map[string]*statemachine.Worker{},
		placers:  map[string]*placement.Scheduler{},
		jobs:     map[string]*ownedJob{},
		dirty:    map[string]bool{},
		owned:    map[string]*ownedWorker{},
		finals:   map[string]job.State{},
		begun:    map[string]bool{},
	}
	d.uplink = newUplink(d, rand.Uint64()>>1|1)
	d.uplink.controls = s.Seeds
	d.reader = newReader(d)
	return d
}

func (d *Dispatcher) now() time.Duration { return time.Since(d.began) }

// do hands a function to the engine.
func (d *Dispatcher) do(f func()) {
	select {
	case d.inbox <- f:
	case <-d.ended:
	}
}

func (d *Dispatcher) isEnded() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Run carries the engine until stop is closed.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer d.close()
	go d.uplink.run()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case f := <-d.inbox:
			f()
			d.drain()
		case <-ticker.C:
			d.tick()
		case <-stop:
			return
		}
		d.flush()
	}
}

// close ends what belongs to the engine.
func (d *Dispatcher) close() {
	close(d.ended)
	for _, worker := range d.owned {
		worker.close()
	}
	d.reader.client.CloseIdleConnections()
}

func (d *Dispatcher) drain() {
	for range cap(d.inbox) {
		select {
		case f := <-d.inbox:
			f()
		default:
			return
		}
	}
}

func (d *Dispatcher) tick() {
	now := d.now()
	d.reader.tick(now)
	mayRenew := d.uplink.attached || now-d.uplink.lostAt < renewWithout
	for _, worker := range d.owned {
		worker.agent.Tick(now, mayRenew)
	}
	d.dueJobs(now)
	d.tellBegun(now)
	d.explain(now)
}

// explainAfter is how long a task waits until a debug log says why.
const explainAfter = 2 * time.Second

// explain logs at debug level which tasks have waited for long, and why.
func (d *Dispatcher) explain(now time.Duration) {
	if d.logger.GetLevel() > zerolog.DebugLevel || now-d.explainedAt < explainAfter {
		return
	}
	d.explainedAt = now
	for service, placer := range d.placers {
		for _, waiting := range placer.ExplainWaiting(now, explainAfter) {
			d.logger.Debug().Str("service", service).Interface("waiting", waiting).Msg("no place")
		}
	}
}

// flush lets whatever the event made possible follow.
func (d *Dispatcher) flush() {
	now := d.now()
	d.readConfig()
	d.enqueueReady(now)
	d.decide(now)
	for _, worker := range d.owned {
		worker.flush(now)
	}
	d.uplink.flush(now)
	d.attached.Store(d.uplink.attached)
	d.lostAt.Store(int64(d.uplink.lostAt))
}

// attempt is one attempt to open the session at a control machine.
type attempt struct {
	address string // "": none is known
	hello   protocol.SessionRequest
}

// nextControl returns the control machine to dial next: those in the own zone can't be told from
// others by address, so the order is a fixed one that differs between dispatchers.
func (d *Dispatcher) nextControl(count int) attempt {
	answer := make(chan attempt, 1)
	d.do(func() {
		hello := d.uplink.hello
		hello.ConfigVersion = d.bodyVersion
		list := append([]string{}, d.uplink.controls...)
		if count%5 == 4 || len(list) == 0 {
			list = d.freshSeeds()
		}
		if len(list) == 0 {
			answer <- attempt{}
			return
		}
		answer <- attempt{list[(int(hello.Incarnation%1024)+count)%len(list)], hello}
	})
	select {
	case next := <-answer:
		return next
	case <-d.ended:
		return attempt{}
	}
}

// freshSeeds reads the seeds from the settings file, which may have changed without a signal.
func (d *Dispatcher) freshSeeds() []string {
	if fresh := reload(); fresh != nil {
		d.settings.Seeds = fresh.Seeds
	}
	return d.settings.Seeds
}
