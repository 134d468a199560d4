// Package dispatcher implements the data plane process of the system. A dispatcher accepts jobs from clients, schedules the
// tasks of the jobs that it owns, and owns a share of the workers, to which it sends the runs that are placed there. One of
// the dispatchers is responsible for reading the platform's list of instances; its control machine can do so on its behalf.
//
// A dispatcher has no durable state. It sends every change to the control machines as a command over one connection, the
// uplink, and receives the committed state as updates. It never assumes that a command has been carried out before it has
// received the outcome, and it tells a client that a call had no effect only if the command was never sent.
//
// All state belongs to one goroutine, the event loop of Run. Other goroutines (clients' calls, calls to workers, the reader
// of the uplink) post functions to the event loop, and end once the loop has ended.
package dispatcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/ingress"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/wallclock"
)

const (
	// tickInterval is the interval at which timeouts are checked.
	tickInterval = 100 * time.Millisecond
	// eventBufferSize is how many posted functions the event loop buffers before post blocks.
	eventBufferSize = 4096
	// maxDetachedRenewal is how long the dispatcher renews workers' leases without a connection to the control machines. The
	// next owner of a worker relies on this bound if it can't reach that worker.
	maxDetachedRenewal = 20 * time.Second
)

// Dispatcher is a dispatcher process. New creates it; either Run or Serve runs it, once.
type Dispatcher struct {
	settings  *settings.Settings
	logger    zerolog.Logger
	network   frame.Network
	startedAt time.Time

	// These fields are safe for concurrent use.
	events    chan func()
	loopEnded chan struct{} // closed once the event loop has ended
	answerNow chan struct{} // closed when clients' calls have to be answered even without an outcome
	config    configInForce // written by the event loop alone
	readiness readiness
	gate      *ingress.Gate
	decoding  sync.Mutex // held while a job is decoded, so that the memory for it is needed once

	// The fields below belong to the event loop.
	clock         wallclock.Clock // the time of day
	uplink        *uplink
	instances     *instanceReader
	sessions      []statemachine.SessionID // open sessions of all dispatchers, the oldest first
	workers       map[string]*statemachine.Worker
	ownedWorkers  map[string]*ownedWorker
	schedulers    map[string]*placement.Scheduler // by service
	diagnosedAt   time.Duration
	jobs          map[string]*ownedJob
	jobsToEnqueue map[string]bool // jobs that may have ready tasks
	terminal      terminalStates
	startedJobs   startedJobs
	resync        resync
}

// New returns a dispatcher that is not running yet.
func New(s *settings.Settings, network frame.Network, logger zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		settings:      s,
		logger:        logger,
		network:       network,
		startedAt:     time.Now(),
		events:        make(chan func(), eventBufferSize),
		loopEnded:     make(chan struct{}),
		answerNow:     make(chan struct{}),
		gate:          newGate(s, logger),
		workers:       map[string]*statemachine.Worker{},
		ownedWorkers:  map[string]*ownedWorker{},
		schedulers:    map[string]*placement.Scheduler{},
		jobs:          map[string]*ownedJob{},
		jobsToEnqueue: map[string]bool{},
		terminal:      terminalStates{},
		startedJobs:   startedJobs{ids: map[string]bool{}},
	}
	d.uplink = newUplink(d, newIncarnation())
	d.uplink.controlAddresses = s.Seeds
	d.instances = newInstanceReader(d)
	return d
}

// newIncarnation returns a random number, never 0, that distinguishes this process from other processes of the same node.
func newIncarnation() uint64 { return rand.Uint64()>>1 | 1 }

// now returns the time on the dispatcher's monotonic clock: the time since it was created.
func (d *Dispatcher) now() time.Duration { return time.Since(d.startedAt) }

// wallMs returns the wall clock time as filtered by wallclock.Clock, in ms since 1970.
func (d *Dispatcher) wallMs(now time.Duration) int64 { return d.clock.Now(now, time.Now()).UnixMilli() }

// post queues a function for the event loop. Once the loop has ended, post drops the function.
func (d *Dispatcher) post(f func()) {
	select {
	case d.events <- f:
	case <-d.loopEnded:
	}
}

func (d *Dispatcher) hasEnded() bool {
	select {
	case <-d.loopEnded:
		return true
	default:
		return false
	}
}

// Run runs the event loop until stop is closed. The goroutines of the uplink and of calls to workers end soon afterwards.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer d.close()
	go d.uplink.run()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-d.events:
			f()
			d.runPostedEvents()
		case <-ticker.C:
			d.tick()
		case <-stop:
			return
		}
		d.flush()
	}
}

// runPostedEvents runs the functions that are in the buffer already, so that one flush covers all of them.
func (d *Dispatcher) runPostedEvents() {
	for range cap(d.events) {
		select {
		case f := <-d.events:
			f()
		default:
			return
		}
	}
}

// close signals all other goroutines to end, and closes the connections to workers and to the platform.
func (d *Dispatcher) close() {
	close(d.loopEnded)
	for _, worker := range d.ownedWorkers {
		worker.close()
	}
	d.instances.client.Close()
}

// tick runs the periodic work: readings of the instance list, timeouts and lease renewals of the owned workers, due
// repetitions, and reports.
func (d *Dispatcher) tick() {
	now := d.now()
	d.instances.tick(now)
	mayRenew := d.uplink.attached || now-d.uplink.detachedAt < maxDetachedRenewal
	for _, worker := range d.ownedWorkers {
		worker.owner.Tick(now, mayRenew)
	}
	d.enqueueDueJobs(now)
	d.reportStartedJobs(now)
	d.logDiagnoses(now)
}

// flush runs after each batch of events: it applies a new configuration, schedules ready tasks, carries out the actions of
// the owned workers, and sends the queued commands. The order matters, as each step may add work for the next ones.
func (d *Dispatcher) flush() {
	now := d.now()
	d.applyConfig()
	d.enqueueReady(now)
	d.schedule(now)
	for _, worker := range d.ownedWorkers {
		worker.flush(now)
	}
	d.uplink.flush(now)
	d.readiness.setConnection(d.uplink.attached, d.uplink.detachedAt)
}
