// Package dispatcher is the data plane process of the system. A dispatcher takes jobs in from clients, schedules the tasks
// of the jobs that it owns, and owns a share of the workers, to which it sends the runs that are placed there. One of all
// dispatchers has the duty to read the platform's list of instances; its control machine does so on its behalf.
//
// It keeps nothing of its own: whatever it learns goes to the control machines as commands over one connection, the uplink,
// and what it knows comes back as updates. It never assumes that a command has been carried out before its outcome has
// come, and it answers a client that something was not kept only where nothing was sent.
//
// All state belongs to one goroutine, the event loop of Run. Others (clients' calls, calls to workers, the uplink's reader)
// hand it functions and end once the loop has ended.
package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
	"yardflow/scheduling/placement"
	"yardflow/scheduling/wallclock"
)

const (
	// tickInterval is the pace at which time-outs are looked at.
	tickInterval = 100 * time.Millisecond
	// eventsBuffer is how many events may wait for the loop before those who post them wait.
	eventsBuffer = 4096
	// renewWithoutControl is how long workers' leases are renewed without a connection to the control machines. The next
	// owner of a worker that it can't reach counts on this bound.
	renewWithoutControl = 20 * time.Second
)

// Dispatcher is one dispatcher. New makes it; Run or Serve runs it once.
type Dispatcher struct {
	settings  *settings.Settings
	logger    zerolog.Logger
	network   frame.Network
	startedAt time.Time

	// These are safe for concurrent use.
	events    chan func()
	loopEnded chan struct{} // closed once the event loop has ended
	answerNow chan struct{} // closed when clients' calls have to be answered, whatever the outcome
	config    configInForce // written by the event loop alone
	readiness readiness

	// The rest belongs to the event loop.
	clock         wallclock.Clock // the time of day
	uplink        *uplink
	instances     *instanceReader
	sessions      []statemachine.SessionID // open ones of all dispatchers, the oldest first
	workers       map[string]*statemachine.Worker
	ownedWorkers  map[string]*ownedWorker
	schedulers    map[string]*placement.Scheduler // by service
	diagnosedAt   time.Duration
	jobs          map[string]*ownedJob
	jobsToEnqueue map[string]bool // jobs that may have tasks that are ready
	terminal      terminalStates
	startedJobs   startedJobs
}

// New returns a dispatcher that is not running yet.
func New(s *settings.Settings, network frame.Network, logger zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		settings:      s,
		logger:        logger,
		network:       network,
		startedAt:     time.Now(),
		events:        make(chan func(), eventsBuffer),
		loopEnded:     make(chan struct{}),
		answerNow:     make(chan struct{}),
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

// newIncarnation returns a random number, never 0, that tells this process from others of the same node.
func newIncarnation() uint64 { return rand.Uint64()>>1 | 1 }

// now returns the time on the dispatcher's steady clock.
func (d *Dispatcher) now() time.Duration { return time.Since(d.startedAt) }

// wallMs returns the filtered time of day, in ms since 1970.
func (d *Dispatcher) wallMs(now time.Duration) int64 { return d.clock.Now(now, time.Now()).UnixMilli() }

// post hands a function to the event loop. Once the loop has ended, it drops the function.
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

// Run is the event loop. It returns once stop is closed; the uplink and calls to workers end soon after by themselves.
func (d *Dispatcher) Run(stop <-chan struct{}) {
	defer d.close()
	go d.uplink.run()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-d.events:
			f()
			d.runPosted()
		case <-ticker.C:
			d.tick()
		case <-stop:
			return
		}
		d.flush()
	}
}

// runPosted runs the events that have gathered, so that one flush serves them all.
func (d *Dispatcher) runPosted() {
	for range cap(d.events) {
		select {
		case f := <-d.events:
			f()
		default:
			return
		}
	}
}

// close tells all other goroutines to end, and closes what the dispatcher has opened.
func (d *Dispatcher) close() {
	close(d.loopEnded)
	for _, worker := range d.ownedWorkers {
		worker.close()
	}
	d.instances.client.Close()
}

// tick lets time-outs take effect.
func (d *Dispatcher) tick() {
	now := d.now()
	d.instances.tick(now)
	mayRenew := d.uplink.attached || now-d.uplink.detachedAt < renewWithoutControl
	for _, worker := range d.ownedWorkers {
		worker.owner.Tick(now, mayRenew)
	}
	d.enqueueDueJobs(now)
	d.reportStartedJobs(now)
	d.logDiagnoses(now)
}

// flush does what the events before it made possible: it schedules, carries out the workers' actions, and sends the
// commands that have gathered. Each of them may add to what the next one does.
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
