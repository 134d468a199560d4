package httpfront

// This file says until when the present list may be served by. What changes at the list service counts as known to every
// dispatcher at a stated time (its freshness deadline), whether the update has arrived or not; past that, nothing is sent
// to workers of the list until the update is there.

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// How long after its cause an update counts as known. The protocol and the operators' page state these times; a later
// update lets requests go to workers that drain.
const (
	// sourceChangeDue is the time from a switch to another address (SIGHUP).
	sourceChangeDue = 4 * time.Second
	// timedOutCallDue is the time from the beginning of a call that timed out, and watchDue the time from the end of the
	// wait that it named; the later of the two holds.
	timedOutCallDue = 6 * time.Second
	watchDue        = 2 * time.Second
	// failedCallDue is the time from the moment at which the list service had a change and could be reached, whatever
	// became of the calls made meanwhile.
	failedCallDue = 6 * time.Second
)

// freshnessCause is why an update is awaited; a higher one is stronger.
type freshnessCause uint8

const (
	causeStartup       freshnessCause = iota // the list is an earlier process's, and no call has ended yet
	causeCallFailed                          // the list service may not have been there: further failures may show that
	causeSourceChanged                       // another address has a list of its own: only a refused connection excuses that
	causeCallTimeout                         // an update was missed, whoever is there now
)

// freshnessDeadline is when the present list counts as out of date. The caller of its methods holds ServerTable.mu.
type freshnessDeadline struct {
	due     time.Time     // of the update that is awaited; zero: none is
	grace   time.Duration // for which the list may be served by past due
	cause   freshnessCause
	timer   *time.Timer // runs at the end of grace
	refused bool        // the last call was refused: nobody is there to have an update
}

// require awaits an update that is due at a time. Of two that are awaited, the earlier time and the stronger cause hold.
// expire runs once that time and the grace have passed.
func (f *freshnessDeadline) require(due time.Time, grace time.Duration, cause freshnessCause, expire func()) {
	if f.due.IsZero() {
		f.due, f.grace, f.cause, f.refused = due, grace, cause, false
		f.timer = time.AfterFunc(f.untilExpiry(), expire)
		return
	}
	f.cause = max(f.cause, cause)
	if due.Before(f.due) {
		f.due, f.grace = due, min(f.grace, grace)
		f.resetTimer()
	}
}

// postpone puts the time off: until a later one the list service was not there to be asked.
func (f *freshnessDeadline) postpone(due time.Time) {
	if due.After(f.due) {
		f.due = due
		f.resetTimer()
	}
}

func (f *freshnessDeadline) resetTimer() { f.timer.Reset(f.untilExpiry()) }

// untilExpiry is the time to the end of the grace. It is above 0, see package timers.
func (f *freshnessDeadline) untilExpiry() time.Duration {
	return max(time.Until(f.due)+f.grace, time.Nanosecond)
}

// expired reports whether the update is overdue, and somebody was there to have it.
func (f *freshnessDeadline) expired() bool {
	return !f.due.IsZero() && !time.Now().Before(f.due) && (f.cause == causeCallTimeout || !f.refused)
}

// clear ends the wait and reports whether there was one.
func (f *freshnessDeadline) clear() bool {
	if f.due.IsZero() {
		return false
	}
	f.due = time.Time{}
	f.timer.Stop()
	return true
}

// staleGrace is how long past its time a missing update is without effect: half of what the settings allow between a
// worker's drain and the last request sent to it.
func (t *ServerTable) staleGrace() time.Duration { return t.live.Get().Dispatch.Workers.DrainGrace / 2 }

// requireAtStartup has nothing sent under an inherited list until the first call has ended: what changed while this
// process was not there may count as known already, and for how long is not known. A call that fails shows that the list
// service can't be reached, and the list is served by. Where lists are pushed, the agent's counts as known from the start.
func (t *ServerTable) requireAtStartup() {
	cfg := t.live.Get()
	if cfg.Discovery == "" || cfg.KnownListInherited {
		return
	}
	cause := causeStartup
	if t.pushed() {
		cause = causeSourceChanged
	}
	t.freshness.require(time.Now(), 0, cause, t.expire)
	t.broker.SetListStale(true)
}

// endStartup ends the wait for the end of the first call. The caller holds mu.
func (t *ServerTable) endStartup() {
	if t.freshness.cause == causeStartup {
		t.endWait()
	}
}

// endWait ends the wait for an update, and has the list served by. The caller holds mu.
func (t *ServerTable) endWait() {
	if t.freshness.clear() {
		t.broker.SetListStale(false)
	}
}

// Ready reports whether the list may be served by since the start: the first call has ended, or none is needed.
func (t *ServerTable) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.due.IsZero() || t.freshness.cause != causeStartup
}

// expire ends the use of a list that counts as out of date. At a start no update is missing yet, and nothing is logged,
// whether this runs before or after the start itself has ended the list's use.
func (t *ServerTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.expired() && t.broker.SetListStale(true) && t.freshness.cause != causeStartup {
		t.log(fmt.Sprintf("server table: no update from discovery at %s by the time it was due; nothing new is sent until it comes", t.current.addr))
	}
}

// requireAfterTimeout awaits, after a call that timed out, what it may have missed.
func (t *ServerTable) requireAfterTimeout(due time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endStartup()
	t.freshness.require(due, t.staleGrace(), causeCallTimeout, t.expire)
}

// requireAfterFailure awaits, after a call that failed, what it may have missed. began and wait are the call's.
func (t *ServerTable) requireAfterFailure(err error, began time.Time, wait time.Duration) {
	var timeout *CallTimeoutError
	timedOut := errors.As(err, &timeout)
	t.mu.Lock()
	t.endStartup()
	t.freshness.refused = errors.Is(err, syscall.ECONNREFUSED) || t.pushed() && timedOut
	if t.freshness.refused && t.freshness.cause != causeCallTimeout {
		t.broker.SetListStale(false) // nobody is there to have an update
	}
	if !timedOut && !t.pushed() {
		t.requireAfterUnanswered(began, wait)
	}
	t.mu.Unlock()
	t.expire()
}

// requireAfterUnanswered awaits the update that a failed call did not bring. The list service was not there for the call,
// or past its capacity, so the time of a change counts from the call's beginning at the soonest; a watch that named a wait
// was open until it failed. The caller holds mu.
func (t *ServerTable) requireAfterUnanswered(began time.Time, wait time.Duration) {
	due := began.Add(max(failedCallDue, wait+watchDue))
	if latest := time.Now().Add(failedCallDue); latest.Before(due) {
		due = latest
	}
	switch {
	case t.freshness.due.IsZero():
		t.freshness.require(due, t.staleGrace(), causeCallFailed, t.expire)
	case t.freshness.cause == causeCallFailed && began.Before(t.freshness.due), t.freshness.cause != causeCallTimeout && t.freshness.refused:
		t.freshness.postpone(due)
		t.broker.SetListStale(false)
	}
}

// assumeOutage takes the list service to be down, after calls that all failed, the last of them with long pauses between.
// Nobody has updates then, and the list is served by. A change after its return comes with the next call, which may be
// later than the change counts as known.
func (t *ServerTable) assumeOutage() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.cause == causeCallFailed {
		t.endWait()
	}
}

// markFresh ends the wait for an update that a source has sent and that was applied, unless the list service was switched
// again since.
func (t *ServerTable) markFresh(from *discoverySource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == from {
		t.endWait()
	}
}

// awaitsUpdate reports whether an update is awaited, and whether for failed calls alone.
func (t *ServerTable) awaitsUpdate() (awaits, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.freshness.due.IsZero(), t.freshness.cause == causeCallFailed
}

// timeToDeadline is the time until the awaited update is due; 0 where none is awaited, or it is overdue.
func (t *ServerTable) timeToDeadline() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.due.IsZero() {
		return 0
	}
	return max(time.Until(t.freshness.due), 0)
}
