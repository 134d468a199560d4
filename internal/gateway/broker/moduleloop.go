package broker

// This file holds the goroutine that owns the dispatch module: its event queue, its clock and its timers.

import (
	"fmt"
	"sync"
	"time"

	"yardflow/internal/platform/invariant"
	"yardflow/internal/platform/timers"
	"yardflow/scheduling/dispatch"
)

// idleWait is how long the loop sleeps without events or timers. A wake-up finds nothing to do then, so any long time does.
const idleWait = time.Hour

// event is one call of the module, made by the goroutine that owns it.
type event func(now time.Duration, out dispatch.Actions)

// eventQueue holds what the module has yet to take, in the order in which it came.
type eventQueue struct {
	wakeup chan struct{} // of capacity 1: one token stands for all that is pending

	mu      sync.Mutex
	pending []event
}

func (q *eventQueue) push(e event) {
	q.mu.Lock()
	q.pending = append(q.pending, e)
	q.mu.Unlock()
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// drain takes all that is pending and leaves the memory of spare for what comes next.
func (q *eventQueue) drain(spare []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.pending
	q.pending = spare[:0]
	return batch
}

func (q *eventQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// moduleClock is the clock that the module knows, as a duration since the Unix epoch: workers' start times come as Unix
// time. The wall clock is read once, and the monotonic clock carries it on, so that it never runs backwards.
type moduleClock struct {
	start     time.Time // with its monotonic reading
	startUnix time.Duration
}

func newModuleClock() moduleClock {
	start := time.Now()
	return moduleClock{start, time.Duration(start.UnixNano())}
}

func (c moduleClock) now() time.Duration { return c.startUnix + time.Since(c.start) }

// WallTime returns a moment of the module's clock as wall-clock time.
func (b *Broker) WallTime(at time.Duration) time.Time {
	return b.clock.start.Add(at - b.clock.startUnix)
}

// moduleLoop is the state of the goroutine that calls the module. No other goroutine touches it.
type moduleLoop struct {
	module   dispatch.Dispatcher
	settings *dispatch.Settings // as the module has them
	sessions map[dispatch.RequestID]*session
	timers   []pendingTimer
}

// pendingTimer is a wake-up that the module has asked for.
type pendingTimer struct {
	at  time.Duration
	tag uint64
}

// nextTimer returns when the next timer is due; false where none is set.
func (l *moduleLoop) nextTimer() (at time.Duration, set bool) {
	for _, t := range l.timers {
		if !set || t.at < at {
			at, set = t.at, true
		}
	}
	return at, set
}

// takeDue removes the timers that are due and returns them in the order in which they were set.
func (l *moduleLoop) takeDue(now time.Duration) (due []pendingTimer) {
	rest := l.timers[:0]
	for _, t := range l.timers {
		if t.at <= now {
			due = append(due, t)
		} else {
			rest = append(rest, t)
		}
	}
	l.timers = rest
	return due
}

// post queues one event for the module.
func (b *Broker) post(e event) { b.events.push(e) }

// askModule returns the module's answer to a question. It is an error where that does not come within the given time.
func askModule[T any](b *Broker, within time.Duration, ask func(dispatch.Dispatcher) T) (answer T, err error) {
	answers := make(chan T, 1)
	b.post(func(time.Duration, dispatch.Actions) { answers <- ask(b.loop.module) })
	select {
	case answer = <-answers:
		return answer, nil
	case <-time.After(within):
		return answer, errModuleBusy
	case <-b.done:
		return answer, ErrClosed
	}
}

// run calls the module until Close. Events are handled in rounds no closer than MinEventGap of the settings, all of a
// round at one reading of the clock, which is what the module was built for.
func (b *Broker) run() {
	var batch []event
	last := b.clock.now() - b.loop.settings.MinEventGap
	alarm := time.NewTimer(idleWait)
	defer alarm.Stop()
	for {
		if !b.awaitEvent(alarm) {
			return
		}
		if rest := last + b.loop.settings.MinEventGap - b.clock.now(); rest > 0 {
			time.Sleep(rest)
		}
		now := max(b.clock.now(), last)
		last = now
		batch = b.events.drain(batch)
		for i, handle := range batch {
			b.recoverPanic(func() { handle(now, moduleActions{b, now}) })
			batch[i] = nil
		}
		for _, t := range b.loop.takeDue(now) {
			b.recoverPanic(func() { b.loop.module.Timer(now, t.tag, moduleActions{b, now}) })
		}
	}
}

// awaitEvent blocks until an event is queued or a timer is due; false after Close.
func (b *Broker) awaitEvent(alarm *time.Timer) bool {
	wait := idleWait
	if due, set := b.loop.nextTimer(); set {
		wait = due - b.clock.now()
	}
	alarm.Reset(timers.Positive(wait))
	select {
	case <-b.done:
		return false
	case <-b.events.wakeup:
	case <-alarm.C:
	}
	return true
}

// recoverPanic keeps a panic of the module from ending every open request with it. A release build counts it and goes
// on; requests that lost their decision to it are answered by the session itself at their deadline.
func (b *Broker) recoverPanic(call func()) {
	if !invariant.Debug {
		defer func() {
			if r := recover(); r != nil {
				invariant.Check(false, fmt.Sprint("the module panics: ", r))
			}
		}()
	}
	call()
}
