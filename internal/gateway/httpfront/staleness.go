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
	// moveDue is how long after a move (SIGHUP) all that the new address has to tell
	// counts as told, whether it came or not: the operators' page of reloads.
	moveDue = 4 * time.Second
	// silentDue and waitDue: what a silent call misses counts as told so long after the
	// silence began, and no sooner than waitDue after the wait that it named.
	silentDue = 6 * time.Second
	waitDue   = 2 * time.Second
	// failedDue is how long after discovery had a change and could be reached it counts as
	// told, whatever became of the calls made meanwhile.
	failedDue = 6 * time.Second
)

// staleCause is why a word is awaited.
type staleCause uint8

const (
	justStarted staleCause = iota // the list is the one of before the start, and no call has been made yet
	callFailed                    // discovery may not have been there: further failures may show that
	listMoved                     // another address has its own list: only nobody there can excuse that
	callSilent                    // news was missed, whoever is there now
)

// staleness is when the list held counts as out of date. The caller of its methods holds Table.mu.
type staleness struct {
	at     time.Time     // zero: no word is awaited
	grace  time.Duration // how long after it what was not known may still be sent
	cause  staleCause
	timer  *time.Timer // runs at the end of the grace
	nobody bool        // the last call was refused: nobody is there to tell anything
}

// await waits for a word that counts as told at a moment. Of two that are awaited the earlier
// moment and the stronger cause hold.
func (s *staleness) await(at time.Time, grace time.Duration, cause staleCause, expire func()) {
	if !s.at.IsZero() {
		s.cause = max(s.cause, cause)
		if at.Before(s.at) {
			s.at, s.grace = at, min(s.grace, grace)
			s.arm()
		}
		return
	}
	s.at, s.grace, s.cause, s.nobody = at, grace, cause, false
	s.timer = time.AfterFunc(s.left(), expire)
}

// extend puts the moment off: up to another one discovery was not there to be heard.
func (s *staleness) extend(at time.Time) {
	if at.After(s.at) {
		s.at = at
		s.arm()
	}
}

func (s *staleness) arm() { s.timer.Reset(s.left()) }

// left is the time to the end of the grace; above 0, for a timer set for the past fires at once.
func (s *staleness) left() time.Duration {
	return max(time.Until(s.at)+s.grace, time.Nanosecond)
}

// over tells that the word has counted as told for a while, and somebody was there to tell it.
func (s *staleness) over() bool {
	return !s.at.IsZero() && !time.Now().Before(s.at) && (s.cause == callSilent || !s.nobody)
}

// end ends the wait, and tells whether there was one.
func (s *staleness) end() bool {
	if s.at.IsZero() {
		return false
	}
	s.at = time.Time{}
	s.timer.Stop()
	return true
}

// grace is how long past its moment a word that is missing may still be without effect: half of
// what the settings allow after a drain is told.
func (t *ServerTable) grace() time.Duration { return t.live.Get().Dispatch.DrainGrace / 2 }

// missed notes that a call was silent: what it missed is due at that moment.
func (t *ServerTable) missed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.called()
	t.stale.await(at, t.grace(), callSilent, t.expire)
}

// start has nothing new sent by the list of before the start until the first call has ended. What
// changed while this process was not there counts as told 6 s after it was made, and how long
// that is ago is not known. A call that fails shows that discovery can't be reached, and the list
// serves on. Where lists are pushed the agent's counts as told from the first moment.
func (t *ServerTable) start() {
	cfg := t.live.Get()
	if cfg.Discovery == "" || cfg.KnownListInherited {
		return
	}
	cause := justStarted
	if t.pushed() {
		cause = listMoved
	}
	t.stale.await(time.Now(), 0, cause, t.expire)
	t.broker.SetListStale(true)
}

// called ends the wait for the first call's end. The caller holds mu.
func (t *ServerTable) called() {
	if !t.stale.at.IsZero() && t.stale.cause == justStarted {
		t.stale.end()
		t.broker.SetListStale(false)
	}
}

// Ready tells that the first call has ended, and so that the list held may be served by, or that
// none is needed.
func (t *ServerTable) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stale.at.IsZero() || t.stale.cause != justStarted
}

// expire ends the use of a list that counts as out of date. At a start no word is missing yet: nothing is logged then,
// whether this runs before or after the start itself has ended the list's use.
func (t *ServerTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stale.over() && t.broker.SetListStale(true) && t.stale.cause != justStarted {
		t.log(fmt.Sprintf("server table: no word from discovery at %s though it counts as told; nothing new is sent until it comes", t.now.addr))
	}
}

// failing notes how a call failed, that began at a moment and named a wait.
func (t *ServerTable) failing(err error, began time.Time, wait time.Duration) {
	var silent *CallTimeoutError
	isSilent := errors.As(err, &silent)
	t.mu.Lock()
	t.called()
	t.stale.nobody = errors.Is(err, syscall.ECONNREFUSED) || t.pushed() && isSilent
	if t.stale.nobody && t.stale.cause != callSilent {
		t.broker.SetListStale(false) // at a start nothing is sent until somebody is heard, or nobody there
	}
	if !isSilent && !t.pushed() {
		t.unanswered(began, wait)
	}
	t.mu.Unlock()
	t.expire()
}

// unanswered has the word that a failed call did not bring be due. Discovery was not there for it
// (down, or past its capacity), so a change counts from the call's beginning on at the soonest;
// a watch that named a wait was open until it failed. The caller holds mu.
func (t *ServerTable) unanswered(began time.Time, wait time.Duration) {
	at := began.Add(max(failedDue, wait+waitDue))
	if latest := time.Now().Add(failedDue); latest.Before(at) {
		at = latest
	}
	switch {
	case t.stale.at.IsZero():
		t.stale.await(at, t.grace(), callFailed, t.expire)
	case t.stale.cause == callFailed && began.Before(t.stale.at), t.stale.cause != callSilent && t.stale.nobody:
		t.stale.extend(at)
		t.broker.SetListStale(false)
	}
}

// outage takes discovery to be down: all calls since its last word have failed, with long pauses
// between the last of them. Nothing is told by anybody then, and the list held serves on. What
// changes after its return is told by the next call, which may be later than it counts as told.
func (t *ServerTable) outage() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stale.cause == callFailed && t.stale.end() {
		t.broker.SetListStale(false)
	}
}

// told ends what expire began, and the wait for it. The list of on, a word whole and
// handed on, is the one that was waited for unless discovery has moved again since.
func (t *ServerTable) told(on *source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.now == on && t.stale.end() {
		t.broker.SetListStale(false)
	}
}

// awaits tells that a word is, and whether it is for failed calls alone.
func (t *ServerTable) awaits() (yes, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stale.at.IsZero(), t.stale.cause == callFailed
}

// left is the time until the word that is awaited is due; 0: none is, or it is over.
func (t *ServerTable) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stale.at.IsZero() {
		return 0
	}
	return max(time.Until(t.stale.at), 0)
}
