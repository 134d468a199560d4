// Package broker is the core: it takes requests from the fronts, asks the
// decision module what to do with each, and hands every front one final answer.
//
// It owns the module (one goroutine calls it, in rounds), its clock and timers,
// the list of workers as last told, the contracts and budgets of teams, and
// these promises: exactly one final answer for a request, one attempt out at a
// time, and an answer by the deadline even if the module were silent.
//
// It must never know a wire: no HTTP, no JSON, no addresses that it reads. It
// must never decide where a request goes or when it is given up; the module
// does, and nothing here delays what the module has decided.
package broker

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/outlier"
	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/workflow/pool"
	"yardflow/internal/platform/invariant"
	"yardflow/internal/platform/timers"
	"yardflow/scheduling/dispatch"
)

// DeadlineMargin is how long before a request's deadline its last attempt is ended:
// room for the answer's way through a busy core and the network. Time is
// counted from when the client sent the request, a little before we saw it.
const DeadlineMargin = 15 * time.Millisecond

// moduleGrace is how long past Margin the module may take to word the final answer.
const moduleGrace = 10 * time.Millisecond

// ErrClosed is returned by calls on a broker that has been closed.
var ErrClosed = errors.New("broker: closed")

type event func(now time.Duration, out dispatch.Actions)

// Broker is the core. Its methods may be called from any goroutine.
type Broker struct {
	settings        atomic.Pointer[dispatch.Settings] // in force
	moduleSettings  *dispatch.Settings                // as the module has them; run's alone
	module          dispatch.Dispatcher               // touched by run alone
	log             func(string)
	buckets         atomic.Pointer[map[string]*tokenBucket]
	limiter         *quota.Limiter                 // of the limits of the fleet; nil: there are none
	limiterClock    func() time.Duration           // its clock
	outlierReporter *outlier.Reporter              // of what is seen of workers; nil: nobody wants to know
	bound           atomic.Int64                   // at each worker, as the module was told
	cold            atomic.Int64                   // one more than the part of a cold worker, in millionths, as it was told; 0: none
	observe         func(worker string, code Code) // nil: nobody wants to know
	trace           func(line string)              // nil: off
	tell            func(msg []byte)               // to the other dispatchers; nil: no way to them
	heardOf         atomic.Int32                   // their messages that the module has yet to take

	anchor     time.Time // with its monotonic reading: the clock never runs back
	anchorUnix time.Duration

	mu          sync.Mutex
	queue       []event
	workersByID map[dispatch.WorkerID]*workerState
	banned      map[string]bool   // by the worker's name, whether the list has it or not
	listStale   bool              // the list service's list counts as out of date
	named       func(string) bool // whether it has named a worker; nil: all
	pools       *pool.Set         // of workers, for steps of workflows; nil: there are none
	lastID      dispatch.RequestID
	closed      bool

	open  map[dispatch.RequestID]*session // run's alone
	count atomic.Int64                    // of open
	steps atomic.Int64                    // of them, steps of workflows
	idle  [2]atomic.Int64                 // of open, at no worker: requests, and steps

	poke  chan struct{} // something is queued
	ask   chan struct{} // the module wants the list
	done  chan struct{}
	over  context.Context // ends when no request may be open any longer
	end   func()
	timer []pendingTimer // run's alone
}

type pendingTimer struct {
	at  time.Duration
	tag uint64
}

// New makes a broker and starts its goroutine; Close ends it.
func New(s dispatch.Settings, seed uint64, contracts []Contract, log func(string)) (*Broker, error) {
	m, err := dispatch.New(s, seed)
	if err != nil {
		return nil, err
	}
	b := &Broker{module: m, moduleSettings: &s, log: log,
		open: map[dispatch.RequestID]*session{}, workersByID: map[dispatch.WorkerID]*workerState{}, banned: map[string]bool{},
		poke: make(chan struct{}, 1), ask: make(chan struct{}, 1), done: make(chan struct{})}
	// Workers' start times are Unix time, so the module's clock has that base:
	// read once, and carried on by the monotonic clock alone.
	b.anchor = time.Now()
	b.anchorUnix = time.Duration(b.anchor.UnixNano())
	b.settings.Store(&s)
	b.over, b.end = context.WithCancel(context.Background())
	b.buckets.Store(&map[string]*tokenBucket{})
	b.SetContracts(contracts)
	go b.run()
	return b, nil
}

// Reconfigure puts new settings in force. Open requests keep their class.
func (b *Broker) Reconfigure(s dispatch.Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	b.settings.Store(&s)
	b.post(func(now time.Duration, out dispatch.Actions) {
		b.moduleSettings = &s
		b.module.Reconfigure(now, s, out)
	})
	return nil
}

// Snapshot is what the module has learned; nothing if it does not say so in time.
func (b *Broker) Snapshot(within time.Duration) []byte {
	told := make(chan []byte, 1)
	b.post(func(time.Duration, dispatch.Actions) { told <- b.module.Snapshot() })
	select {
	case m := <-told:
		return m
	case <-time.After(within):
	case <-b.done:
	}
	return nil
}

// Reservations is what the module holds for large jobs; an error where it holds none by
// its settings, or does not say so in time.
func (b *Broker) Reservations(within time.Duration) (*dispatch.ReservationReport, error) {
	told := make(chan *dispatch.ReservationReport, 1)
	b.post(func(time.Duration, dispatch.Actions) { told <- b.module.Reservations() })
	select {
	case r := <-told:
		if r == nil {
			return nil, errors.New("no room is held: [room] is off")
		}
		return r, nil
	case <-time.After(within):
		return nil, errors.New("the module is busy")
	case <-b.done:
		return nil, ErrClosed
	}
}

// SetReservationShare bounds what may be held to a part, where several processes hold room.
func (b *Broker) SetReservationShare(part float64) {
	b.post(func(time.Duration, dispatch.Actions) { b.module.SetReservationShare(part) })
}

// WorkerName is a worker's name, by the number that the module knows it by.
func (b *Broker) WorkerName(id dispatch.WorkerID) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.workersByID[id]; p != nil {
		return p.name
	}
	return fmt.Sprintf("%x", uint64(id))
}

// WallTime is the time of the module's clock as the wall shows it.
func (b *Broker) WallTime(at time.Duration) time.Time { return b.anchor.Add(at - b.anchorUnix) }

// Restore hands the module what another process's learned, before the first list.
func (b *Broker) Restore(memory []byte) {
	b.post(func(time.Duration, dispatch.Actions) { b.module.Restore(memory) })
}

// Close stops the broker's goroutine. Requests still open get no more decisions.
func (b *Broker) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		b.closed = true
		close(b.done)
	}
}

func (b *Broker) now() time.Duration { return b.anchorUnix + time.Since(b.anchor) }

// post queues one event for the module.
func (b *Broker) post(e event) {
	b.mu.Lock()
	b.queue = append(b.queue, e)
	b.mu.Unlock()
	select {
	case b.poke <- struct{}{}:
	default:
	}
}

// run is the module's one owner. What has come in is handled in rounds no
// closer than the settings' round, all of a round at one clock reading, as the
// module was built for.
func (b *Broker) run() {
	var batch []event
	last := b.now() - b.moduleSettings.MinEventGap
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		wait := time.Hour
		if due, ok := b.nextTimer(); ok {
			wait = due - b.now()
		}
		alarm.Reset(timers.Positive(wait))
		select {
		case <-b.done:
			return
		case <-b.poke:
		case <-alarm.C:
		}
		if rest := last + b.moduleSettings.MinEventGap - b.now(); rest > 0 {
			time.Sleep(rest)
		}
		now := max(b.now(), last)
		last = now
		b.mu.Lock()
		batch, b.queue = b.queue, batch[:0]
		b.mu.Unlock()
		for i, e := range batch {
			b.guardPanic(func() { e(now, moduleActions{b, now}) })
			batch[i] = nil
		}
		b.fireTimers(now)
	}
}

// guardPanic keeps a fault of the module from taking every open request with it: a
// release build counts it and goes on, and the backstop answers what it cost.
func (b *Broker) guardPanic(f func()) {
	if !invariant.Debug {
		defer func() {
			if r := recover(); r != nil {
				invariant.Check(false, fmt.Sprint("the module panics: ", r))
			}
		}()
	}
	f()
}

func (b *Broker) nextTimer() (at time.Duration, ok bool) {
	for _, w := range b.timer {
		if !ok || w.at < at {
			at, ok = w.at, true
		}
	}
	return at, ok
}

// fireTimers hands the module its timers that are due.
func (b *Broker) fireTimers(now time.Duration) {
	var due []pendingTimer
	rest := b.timer[:0]
	for _, w := range b.timer {
		if w.at <= now {
			due = append(due, w)
		} else {
			rest = append(rest, w)
		}
	}
	b.timer = rest
	for _, w := range due {
		b.guardPanic(func() { b.module.Timer(now, w.tag, moduleActions{b, now}) })
	}
}

// Stats are figures of the present state: requests open, of them steps of workflows, and at no worker;
// events queued; workers known, and ready.
type Stats struct{ Open, Steps, Waiting, StepsWaiting, Queued, Workers, Ready int }

// Stats returns the present figures.
func (b *Broker) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Stats{Open: int(b.count.Load()), Steps: int(b.steps.Load()), Waiting: int(b.idle[0].Load()), StepsWaiting: int(b.idle[1].Load()), Queued: len(b.queue), Workers: len(b.workersByID)}
	for _, p := range b.workersByID {
		if b.usable(p) {
			s.Ready++
		}
	}
	return s
}
