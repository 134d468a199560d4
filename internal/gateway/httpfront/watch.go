package httpfront

// This file owns the watch at discovery: when the next call is made, how long it may wait, and
// what each way that it ends means. Where lists come only when asked for, the module says when
// to begin; where they are pushed, what discovery's agent holds counts as told at once, so the
// watch is begun at the start and never left. It must never take a silent call for an answer.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/platform/fault"
	"yardflow/internal/platform/timers"
	"yardflow/scheduling/dispatch"
)

const (
	// watchSlack is what an answer may take beyond the wait that a watch names, before the
	// call counts as lost without a sign. What it missed is due waitDue after that wait, so
	// the call made in its place must have been answered by then.
	watchSlack = time.Second
	// listWait bounds a call that does not wait, so that a lost one leaves time for another.
	listWait = 1500 * time.Millisecond
	// soundWait bounds a call that is to show whether the list service is there at all. One that
	// is down fails calls that have waited for its own time, up to 3 s: a call given up before that
	// would look like one that was lost without a sign.
	soundWait = 4 * time.Second
	// usualFail is how long a call that fails is taken to last while none was seen to.
	usualFail = 2 * time.Second
	// soonAgain is the pause before a call to a pushed list that failed is made again: less
	// than what may pass between a drain told and the last send (500 ms at the strictest).
	soonAgain = 100 * time.Millisecond
	maxList   = 8 << 20
)

// pushed tells that lists come unprompted: discovery's word is that of an agent close by, which
// none need be spared, and what it holds counts as told whether a watch is open or not.
func (t *ServerTable) pushed() bool { return !t.live.Get().Dispatch.MustSubscribe }

func (t *ServerTable) dispatchers() int { return t.live.Get().Dispatch.DispatcherCount }

// first is the pause before the first call at a place.
func (t *ServerTable) first() time.Duration {
	if t.pushed() {
		return 0
	}
	if left := t.left(); left > 0 {
		return backoff.BeforeFirstCallWithin(t.dispatchers(), left, t.seen, t.draw())
	}
	return backoff.BeforeFirstCall(t.dispatchers(), t.draw())
}

// Run follows discovery until ctx ends. A watch goes on for as long as the next
// call comes within 200 ms of the last answer, so the next one is made at once.
func (t *ServerTable) Run(ctx context.Context) {
	on := t.source()
	context.AfterFunc(ctx, func() { t.source().end() })
	next := time.Now().Add(t.first()) // the earliest moment of the next call
	for ask := true; ctx.Err() == nil; {
		if on.addr == "" { // no list service: it may get one by a reload
			<-on.ctx.Done()
		} else if ask && !t.pushed() && !t.awaitAsk(on.ctx) {
			return // the broker is closed
		}
		if now := t.source(); now != on {
			// Another address may tell another history: its generations mean nothing
			// beside the old ones, and its first word is the whole list, asked for now.
			on, t.silent, t.carry = now, 0, false
			t.taking.Lock()
			t.known, t.moved = false, true
			t.taking.Unlock()
			next = time.Now().Add(t.first())
			if ctx.Err() != nil {
				on.end()
			}
		}
		select {
		case <-time.After(timers.Positive(time.Until(next))):
		case <-on.ctx.Done():
			ask = false
			continue
		}
		if !t.turn(on.ctx) {
			ask = false
			continue
		}
		at, known := t.place()
		t.broker.Tracef("ask since=%d known=%t", at, known)
		whole, began := !known, time.Now()
		reply, err := t.call(on)
		t.broker.Tracef("asked err=%v", err)
		switch {
		case on.ctx.Err() != nil:
			ask = false // replaced meanwhile: whatever came is the old source's word
		case err != nil:
			var pause time.Duration
			ask, pause = t.lost(err, began)
			next = time.Now().Add(pause)
		default:
			if whole {
				t.seen = time.Since(began)
			}
			t.take(on, reply)
			ask, next = false, time.Now() // carried on within 200 ms, it is still the same watch
		}
	}
}

// take hands on what a call has brought.
func (t *ServerTable) take(on *source, reply *tableReply) {
	t.taking.Lock()
	defer t.taking.Unlock()
	form := dispatch.ListDelta
	if reply.Reset || !t.known {
		form = dispatch.ListFull
	}
	t.generation, t.known = *reply.Generation, true
	select {
	case <-t.heard:
	default:
		close(t.heard)
		t.log(fmt.Sprintf("server table: first told, %d loan workers", len(reply.Instances)))
	}
	if fails := t.failed + t.silent; fails > 0 {
		t.log(fmt.Sprintf("server table: told again after %d calls that brought nothing", fails))
	}
	if len(reply.Instances) == 0 {
		t.strain = max(t.strain-1, 0) // a wait that ended with nothing: the service keeps up
	}
	t.failed, t.hurried, t.silent = 0, 0, 0
	t.note(*reply, form == dispatch.ListFull)
	t.tell(form, members(reply.Instances))
	t.by, t.since, t.carry = "told", time.Now(), true
	t.told(on)
	if t.share != nil {
		t.share(ListUpdate{Generation: t.generation, NewSource: t.moved, Changed: members(reply.Instances), WholeList: t.all})
	}
	t.moved = false
}

// lost takes in a call that brought nothing, made at a moment. It tells whether the module is to
// say when to ask again, and the pause before that at the least.
func (t *ServerTable) lost(err error, began time.Time) (ask bool, pause time.Duration) {
	if t.failed+t.silent == 0 { // once, not once a call: an outage makes many
		t.log(fmt.Sprintf("server table: %s; going on with %d loan workers known", fault.Text(err), t.size()))
	}
	silent, isSilent := err.(*CallTimeoutError)
	if t.carry = false; t.turns != nil {
		t.turns.CallFailed()
	}
	if isSilent && !t.pushed() {
		// An agent close by is silent while discovery is down, and learns nothing then: where a
		// new call hears nothing either, there is nothing to be missed.
		t.missed(silent.ChangesDue)
	}
	t.failing(err, began, t.waited)
	switch {
	case t.pushed():
		t.failed++
		return false, time.Duration((0.5 + t.draw()) * float64(soonAgain))
	case isSilent && !silent.Connected:
		t.silent++ // nothing has come to the service that would have to be spared
		return false, time.Duration((0.5 + t.draw()) * float64(time.Second))
	case isSilent && silent.Watch:
		t.silent++ // broken, and begun anew: the module has no part in it
		return false, backoff.BeforeReplacingWatch(t.dispatchers(), t.left(), t.draw())
	}
	select {
	case <-t.followed: // what was relayed before says nothing of this failure
	default:
	}
	t.failed++
	if t.waited <= listWait { // a watch was open until it failed
		t.failTime = time.Since(began)
	}
	t.strain = min(t.strain+1, backoff.MaxStrain)
	t.tell(dispatch.ListFailed, nil)
	left := t.left()
	if _, failed := t.awaits(); left > 0 && (failed || left > t.failTime) && backoff.RetriesWithinDeadline(t.dispatchers(), t.hurried+1) {
		t.hurried++
		return false, backoff.BeforeRetryWithin(t.dispatchers(), t.hurried, left, max(t.failTime, usualFail), t.draw())
	}
	if t.failed > t.hurried+1 {
		t.outage()
	}
	// Beside the module's own pause, which ends with its asking again.
	return true, backoff.BeforeRetry(t.dispatchers(), max(t.failed-t.hurried, 1), t.draw())
}

// patience is the wait that the next call names, and how long it is given in all.
func (t *ServerTable) patience(known bool) (wait, limit time.Duration) {
	switch {
	case !known && t.dispatchers() > backoff.FewDispatchers && !t.pushed():
		// A queue at discovery is likelier than a call lost without a sign, and one given
		// up has taken its turn all the same.
		return 0, max(listWait, t.left())
	case !known:
		return 0, listWait
	}
	awaits, failed := t.awaits()
	switch {
	case !t.Ready(), awaits && failed: // what there is to tell is wanted now
		return time.Millisecond, soundWait
	case awaits || t.turns != nil && !t.carry:
		return time.Millisecond, listWait
	}
	wait = backoff.LongPollTimeout(t.dispatchers(), t.strain, t.draw())
	return wait, wait + watchSlack
}

// call makes one call. An error is a ListError or, where no sign came, a CallTimeoutError.
func (t *ServerTable) call(on *source) (*tableReply, error) {
	at, known := t.place()
	wait, limit := t.patience(known)
	t.waited = wait
	url := "http://" + on.addr + "/v1/servers"
	if known {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", at, wait.Milliseconds())
	}
	ctx, stop := context.WithTimeout(on.ctx, limit)
	defer stop()
	began := time.Now()
	text, err := fetch(ctx, on.client, url)
	var reply *tableReply
	if err == nil {
		reply, err = t.parse(text, known)
	}
	switch {
	case err == nil:
		return reply, nil
	case ctx.Err() == context.DeadlineExceeded, unreached(err):
		return nil, &CallTimeoutError{Addr: on.addr, Waited: time.Since(began).Round(time.Millisecond),
			ChangesDue: began.Add(max(wait+waitDue, silentDue)), Connected: !unreached(err), Watch: wait > listWait}
	}
	return nil, &ListError{on.addr, err}
}

func fetch(ctx context.Context, client *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &BadResponseError{Status: resp.StatusCode}
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxList))
}

func (t *ServerTable) parse(text []byte, known bool) (*tableReply, error) {
	var reply tableReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return nil, &BadResponseError{http.StatusOK, err.Error()}
	}
	if reply.Generation == nil {
		return nil, &BadResponseError{http.StatusOK, "it has no generation"}
	}
	// Workers go one by one, by entries that say so. A whole list of nobody is a fault of
	// the one who made it, and taken at its word it would end all service.
	if (reply.Reset || !known) && len(reply.Instances) == 0 && t.size() > 0 {
		return nil, &BadResponseError{http.StatusOK, "a whole list that names nobody"}
	}
	return &reply, t.older(&reply, known)
}
