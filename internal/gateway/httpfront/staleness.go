package httpfront

// This file says until when the list held may be gone by: what discovery has to tell counts as
// told at a stated moment, whether it arrived or not, and past that nothing new is sent until
// its word is there.

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// sourceChangeDue is how long after a move (SIGHUP) all that the new address has to tell
	// counts as told, whether it came or not: the operators' page of reloads.
	sourceChangeDue = 4 * time.Second
	// timedOutCallDue and watchDue: what a silent call misses counts as told so long after the
	// silence began, and no sooner than watchDue after the wait that it named.
	timedOutCallDue = 6 * time.Second
	watchDue        = 2 * time.Second
	// failedCallDue is how long after discovery had a change and could be reached it counts as
	// told, whatever became of the calls made meanwhile.
	failedCallDue = 6 * time.Second
)

// freshnessCause is why a word is awaited.
type freshnessCause uint8

const (
	causeStartup       freshnessCause = iota // the list is the one of before the start, and no call has been made yet
	causeCallFailed                          // discovery may not have been there: further failures may show that
	causeSourceChanged                       // another address has its own list: only nobody there can excuse that
	causeCallTimeout                         // news was missed, whoever is there now
)

// freshnessDeadline is when the list held counts as out of date. The caller of its methods holds Table.mu.
type freshnessDeadline struct {
	due     time.Time     // zero: no word is awaited
	grace   time.Duration // how long after it what was not known may still be sent
	cause   freshnessCause
	timer   *time.Timer // runs at the end of the grace
	refused bool        // the last call was refused: nobody is there to tell anything
}

// require waits for a word that counts as told at a moment. Of two that are awaited the earlier
// moment and the stronger cause hold.
func (s *freshnessDeadline) require(at time.Time, grace time.Duration, cause freshnessCause, expire func()) {
	if !s.due.IsZero() {
		s.cause = max(s.cause, cause)
		if at.Before(s.due) {
			s.due, s.grace = at, min(s.grace, grace)
			s.resetTimer()
		}
		return
	}
	s.due, s.grace, s.cause, s.refused = at, grace, cause, false
	s.timer = time.AfterFunc(s.untilExpiry(), expire)
}

// postpone puts the moment off: up to another one discovery was not there to be heard.
func (s *freshnessDeadline) postpone(at time.Time) {
	if at.After(s.due) {
		s.due = at
		s.resetTimer()
	}
}

func (s *freshnessDeadline) resetTimer() { s.timer.Reset(s.untilExpiry()) }

// timeToDeadline is the time to the end of the grace; above 0, for a timer set for the past fires at once.
func (s *freshnessDeadline) untilExpiry() time.Duration {
	return max(time.Until(s.due)+s.grace, time.Nanosecond)
}

// expired tells that the word has counted as told for a while, and somebody was there to tell it.
func (s *freshnessDeadline) expired() bool {
	return !s.due.IsZero() && !time.Now().Before(s.due) && (s.cause == causeCallTimeout || !s.refused)
}

// clear ends the wait, and tells whether there was one.
func (s *freshnessDeadline) clear() bool {
	if s.due.IsZero() {
		return false
	}
	s.due = time.Time{}
	s.timer.Stop()
	return true
}

// staleGrace is how long past its moment a word that is missing may still be without effect: half of
// what the settings allow after a drain is told.
func (t *ServerTable) staleGrace() time.Duration { return t.live.Get().Dispatch.DrainGrace / 2 }

// requireAfterTimeout notes that a call was silent: what it missed is due at that moment.
func (t *ServerTable) requireAfterTimeout(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endStartup()
	t.freshness.require(at, t.staleGrace(), causeCallTimeout, t.expire)
}

// requireAtStartup has nothing new sent by the list of before the start until the first call has ended. What
// changed while this process was not there counts as told 6 s after it was made, and how long
// that is ago is not known. A call that fails shows that discovery can't be reached, and the list
// serves on. Where lists are pushed the agent's counts as told from the first moment.
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

// endStartup ends the wait for the first call's end. The caller holds mu.
func (t *ServerTable) endStartup() {
	if !t.freshness.due.IsZero() && t.freshness.cause == causeStartup {
		t.freshness.clear()
		t.broker.SetListStale(false)
	}
}

// Ready tells that the first call has ended, and so that the list held may be served by, or that
// none is needed.
func (t *ServerTable) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.due.IsZero() || t.freshness.cause != causeStartup
}

// expire ends the use of a list that counts as out of date. At a start no word is missing yet: nothing is logged then,
// whether this runs before or after the start itself has ended the list's use.
func (t *ServerTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.expired() && t.broker.SetListStale(true) && t.freshness.cause != causeStartup {
		t.log(fmt.Sprintf("server table: no word from discovery at %s though it counts as told; nothing new is sent until it comes", t.current.addr))
	}
}

// requireAfterFailure notes how a call failed, that began at a moment and named a wait.
func (t *ServerTable) requireAfterFailure(err error, began time.Time, wait time.Duration) {
	var silent *CallTimeoutError
	isSilent := errors.As(err, &silent)
	t.mu.Lock()
	t.endStartup()
	t.freshness.refused = errors.Is(err, syscall.ECONNREFUSED) || t.pushed() && isSilent
	if t.freshness.refused && t.freshness.cause != causeCallTimeout {
		t.broker.SetListStale(false) // at a start nothing is sent until somebody is heard, or nobody there
	}
	if !isSilent && !t.pushed() {
		t.requireAfterUnanswered(began, wait)
	}
	t.mu.Unlock()
	t.expire()
}

// requireAfterUnanswered has the word that a failed call did not bring be due. Discovery was not there for it
// (down, or past its capacity), so a change counts from the call's beginning on at the soonest;
// a watch that named a wait was open until it failed. The caller holds mu.
func (t *ServerTable) requireAfterUnanswered(began time.Time, wait time.Duration) {
	at := began.Add(max(failedCallDue, wait+watchDue))
	if latest := time.Now().Add(failedCallDue); latest.Before(at) {
		at = latest
	}
	switch {
	case t.freshness.due.IsZero():
		t.freshness.require(at, t.staleGrace(), causeCallFailed, t.expire)
	case t.freshness.cause == causeCallFailed && began.Before(t.freshness.due), t.freshness.cause != causeCallTimeout && t.freshness.refused:
		t.freshness.postpone(at)
		t.broker.SetListStale(false)
	}
}

// assumeOutage takes discovery to be down: all calls since its last word have failed, with long pauses
// between the last of them. Nothing is told by anybody then, and the list held serves on. What
// changes after its return is told by the next call, which may be later than it counts as told.
func (t *ServerTable) assumeOutage() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.cause == causeCallFailed && t.freshness.clear() {
		t.broker.SetListStale(false)
	}
}

// markFresh ends what expire began, and the wait for it. The list of on, a word whole and
// handed on, is the one that was waited for unless discovery has moved again since.
func (t *ServerTable) markFresh(on *discoverySource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == on && t.freshness.clear() {
		t.broker.SetListStale(false)
	}
}

// awaitsUpdate tells that a word is, and whether it is for failed calls alone.
func (t *ServerTable) awaitsUpdate() (yes, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.freshness.due.IsZero(), t.freshness.cause == causeCallFailed
}

// timeToDeadline is the time until the word that is awaited is due; 0: none is, or it is over.
func (t *ServerTable) timeToDeadline() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.freshness.due.IsZero() {
		return 0
	}
	return max(time.Until(t.freshness.due), 0)
}
