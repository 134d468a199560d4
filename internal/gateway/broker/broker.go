// Package broker takes requests from the fronts through their attempts at workers. It asks the dispatch module what to
// do with each request and hands the front exactly one final answer.
//
// One goroutine owns the module and calls it in rounds; see [Broker] for what else it keeps. The package never knows a
// wire: no HTTP, no JSON, no address that it reads. It never decides where a request goes or when it is given up; the
// module does, and nothing here delays what the module has decided.
//
// Invariants, whatever the module does and whatever outcomes come back:
//   - a request gets exactly one final answer, by its deadline even where the module stays silent;
//   - at most one attempt of a request is outstanding at any time;
//   - a request that may have run is rejected, which tells its client that a retry is harmless, only where its class
//     allows a second run.
package broker

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/scheduling/dispatch"
)

// ErrClosed is returned by calls on a broker that has been closed.
var ErrClosed = errors.New("broker: closed")

// Texts that the console shows; operators' scripts read them, so they keep their wording and carry no advice.
var (
	errReservationsOff = errors.New("no room is held: [room] is off")
	errModuleBusy      = errors.New("the module is busy")
)

// Broker serves requests by the decisions of a dispatch module. Its methods may be called from any goroutine; those that
// say "before any request" only until the first call of Serve.
type Broker struct {
	settings  atomic.Pointer[dispatch.Settings]       // in force: requests are read under them
	contracts atomic.Pointer[map[string]*tokenBucket] // by team
	log       func(string)
	clock     moduleClock
	events    eventQueue
	loop      moduleLoop // the goroutine of run is its only user
	workers   workerTable
	limits    fleetLimits
	counts    requestCounts
	peers     peerMessages
	lastID    atomic.Uint64 // of a request

	observeOutcome  func(worker string, code Code) // nil: nobody observes
	outlierReporter *outlier.Reporter              // nil: the fleet ejects no workers
	trace           func(line string)              // nil: tracing is off

	subscribe chan struct{}   // of capacity 1: the module wants the worker list
	expired   context.Context // ends when no request may stay open any longer
	expire    func()

	done      chan struct{} // closed by Close
	closeOnce sync.Once
}

// requestCounts are numbers of requests that are open now.
type requestCounts struct {
	open            atomic.Int64 // all
	steps           atomic.Int64 // of them, steps of workflows
	waitingRequests atomic.Int64 // clients' requests without an attempt outstanding
	waitingSteps    atomic.Int64 // steps of workflows without an attempt outstanding
}

// New returns a broker under settings s whose module draws its random numbers from seed. It starts the goroutine that
// owns the module; Close ends that. The error is that of settings that the module does not accept.
func New(s dispatch.Settings, seed uint64, contracts []Contract, log func(string)) (*Broker, error) {
	module, err := dispatch.New(s, seed)
	if err != nil {
		return nil, err
	}
	b := &Broker{
		log:       log,
		clock:     newModuleClock(),
		events:    eventQueue{wakeup: make(chan struct{}, 1)},
		loop:      moduleLoop{module: module, settings: &s, sessions: map[dispatch.RequestID]*session{}},
		workers:   newWorkerTable(),
		subscribe: make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
	b.settings.Store(&s)
	b.expired, b.expire = context.WithCancel(context.Background())
	b.contracts.Store(&map[string]*tokenBucket{})
	b.SetContracts(contracts)
	go b.run()
	return b, nil
}

// Close stops the broker's goroutine. Requests that are still open get no more decisions.
func (b *Broker) Close() { b.closeOnce.Do(func() { close(b.done) }) }

// ExpireAll ends the time of all requests, those to come included: each gets its final answer now.
func (b *Broker) ExpireAll() { b.expire() }

// Reconfigure puts new settings in force. Open requests keep their class. The error is that of settings that the module
// does not accept; nothing has changed then.
func (b *Broker) Reconfigure(s dispatch.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	b.settings.Store(&s)
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.loop.settings = &s
		b.loop.module.Reconfigure(now, s, out)
	})
	return nil
}

// Snapshot returns what the module has learned, in its own form; nil where it does not answer within the given time.
func (b *Broker) Snapshot(within time.Duration) []byte {
	snapshot, err := askModule(b, within, func(module dispatch.Dispatcher) []byte { return module.Snapshot() })
	if err != nil {
		return nil
	}
	return snapshot
}

// Restore hands the module a snapshot of another process. It comes before the first list.
func (b *Broker) Restore(snapshot []byte) {
	b.post(func(time.Duration, dispatch.Actions) { b.loop.module.Restore(snapshot) })
}

// Reservations reports what the module has reserved for large jobs. It is an error where the settings have no
// reservations, and where the module does not answer within the given time.
func (b *Broker) Reservations(within time.Duration) (*dispatch.ReservationReport, error) {
	report, err := askModule(b, within, func(module dispatch.Dispatcher) *dispatch.ReservationReport { return module.Reservations() })
	if err == nil && report == nil {
		return nil, errReservationsOff
	}
	return report, err
}

// SetReservationShare bounds the capacity that the module may reserve to a share from 0 to 1 of what the settings allow,
// where several processes reserve side by side.
func (b *Broker) SetReservationShare(share float64) {
	b.post(func(time.Duration, dispatch.Actions) { b.loop.module.SetReservationShare(share) })
}

// AwaitSubscribe blocks until the module wants the worker list. It returns the error of ctx, or ErrClosed.
func (b *Broker) AwaitSubscribe(ctx context.Context) error {
	select {
	case <-b.subscribe:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-b.done:
		return ErrClosed
	}
}

// SetOutcomeObserver sets who is notified how each attempt at a worker ended. Before any request.
func (b *Broker) SetOutcomeObserver(observe func(worker string, code Code)) {
	b.observeOutcome = observe
}

// Stats are figures of one moment. The program logs them with these names when it stops, and the operators' page quotes
// that line.
type Stats struct {
	Open         int // requests without a final answer, steps of workflows included
	Steps        int // of them, steps of workflows
	Waiting      int // clients' requests without an attempt outstanding
	StepsWaiting int // steps without an attempt outstanding
	Queued       int // events that the module has yet to take
	Workers      int // known, whatever their state
	Ready        int // of them, those that may be sent to
}

// Stats returns the present figures.
func (b *Broker) Stats() Stats {
	known, ready := b.workers.count()
	return Stats{
		Open:         int(b.counts.open.Load()),
		Steps:        int(b.counts.steps.Load()),
		Waiting:      int(b.counts.waitingRequests.Load()),
		StepsWaiting: int(b.counts.waitingSteps.Load()),
		Queued:       b.events.len(),
		Workers:      known,
		Ready:        ready,
	}
}
