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
	// watchResponseSlack is what an answer may take beyond the wait that a watch names, before the
	// call counts as lost without a sign. What it missed is due watchDue after that wait, so
	// the call made in its place must have been answered by then.
	watchResponseSlack = time.Second
	// listCallTimeout bounds a call that does not wait, so that a lost one leaves time for another.
	listCallTimeout = 1500 * time.Millisecond
	// reachabilityTimeout bounds a call that is to show whether the list service is there at all. One that
	// is down fails calls that have waited for its own time, up to 3 s: a call given up before that
	// would look like one that was lost without a sign.
	reachabilityTimeout = 4 * time.Second
	// defaultFailureTime is how long a call that fails is taken to last while none was seen to.
	defaultFailureTime = 2 * time.Second
	// pushRetryPause is the pause before a call to a pushed list that failed is made again: less
	// than what may pass between a drain told and the last send (500 ms at the strictest).
	pushRetryPause = 100 * time.Millisecond
	maxListBytes   = 8 << 20
)

// pushed tells that lists come unprompted: discovery's word is that of an agent close by, which
// none need be spared, and what it holds counts as told whether a watch is open or not.
func (t *ServerTable) pushed() bool { return !t.live.Get().Dispatch.MustSubscribe }

func (t *ServerTable) dispatchers() int { return t.live.Get().Dispatch.DispatcherCount }

// firstPause is the pause before the first call at a place.
func (t *ServerTable) firstPause() time.Duration {
	if t.pushed() {
		return 0
	}
	if left := t.timeToDeadline(); left > 0 {
		return backoff.BeforeFirstCallWithin(t.dispatchers(), left, t.listCallTime, t.draw())
	}
	return backoff.BeforeFirstCall(t.dispatchers(), t.draw())
}

// Run follows discovery until ctx ends. A watch goes on for as long as the next
// call comes within 200 ms of the last answer, so the next one is made at once.
func (t *ServerTable) Run(ctx context.Context) {
	on := t.source()
	context.AfterFunc(ctx, func() { t.source().close() })
	next := time.Now().Add(t.firstPause()) // the earliest moment of the next call
	for ask := true; ctx.Err() == nil; {
		if on.addr == "" { // no list service: it may get one by a reload
			<-on.ctx.Done()
		} else if ask && !t.pushed() && !t.awaitSubscribe(on.ctx) {
			return // the broker is closed
		}
		if now := t.source(); now != on {
			// Another address may tell another history: its generations mean nothing
			// beside the old ones, and its first word is the whole list, asked for now.
			on, t.timeouts, t.continuesWatch = now, 0, false
			t.updateMu.Lock()
			t.known, t.sourceChanged = false, true
			t.updateMu.Unlock()
			next = time.Now().Add(t.firstPause())
			if ctx.Err() != nil {
				on.close()
			}
		}
		select {
		case <-time.After(timers.Positive(time.Until(next))):
		case <-on.ctx.Done():
			ask = false
			continue
		}
		if !t.awaitCallPermit(on.ctx) {
			ask = false
			continue
		}
		at, known := t.watermark()
		t.broker.Tracef("ask since=%d known=%t", at, known)
		whole, began := !known, time.Now()
		reply, err := t.call(on)
		t.broker.Tracef("asked err=%v", err)
		switch {
		case on.ctx.Err() != nil:
			ask = false // replaced meanwhile: whatever came is the old source's word
		case err != nil:
			var pause time.Duration
			ask, pause = t.callFailed(err, began)
			next = time.Now().Add(pause)
		default:
			if whole {
				t.listCallTime = time.Since(began)
			}
			t.applyUpdate(on, reply)
			ask, next = false, time.Now() // carried on within 200 ms, it is still the same watch
		}
	}
}

// applyUpdate hands on what a call has brought.
func (t *ServerTable) applyUpdate(on *discoverySource, reply *listResponse) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	form := dispatch.ListDelta
	if reply.Reset || !t.known {
		form = dispatch.ListFull
	}
	t.generation, t.known = *reply.Generation, true
	select {
	case <-t.synced:
	default:
		close(t.synced)
		t.log(fmt.Sprintf("server table: first told, %d loan workers", len(reply.Instances)))
	}
	if fails := t.failures + t.timeouts; fails > 0 {
		t.log(fmt.Sprintf("server table: told again after %d calls that brought nothing", fails))
	}
	if len(reply.Instances) == 0 {
		t.strain = max(t.strain-1, 0) // a wait that ended with nothing: the service keeps up
	}
	t.failures, t.hurriedRetries, t.timeouts = 0, 0, 0
	t.updateSnapshot(*reply, form == dispatch.ListFull)
	t.deliver(form, workersFrom(reply.Instances))
	t.origin, t.updatedAt, t.continuesWatch = "told", time.Now(), true
	t.markFresh(on)
	if t.publish != nil {
		t.publish(ListUpdate{Generation: t.generation, NewSource: t.sourceChanged, Changed: workersFrom(reply.Instances), WholeList: t.workers})
	}
	t.sourceChanged = false
}

// callFailed takes in a call that brought nothing, made at a moment. It tells whether the module is to
// say when to ask again, and the pause before that at the least.
func (t *ServerTable) callFailed(err error, began time.Time) (ask bool, pause time.Duration) {
	if t.failures+t.timeouts == 0 { // once, not once a call: an outage makes many
		t.log(fmt.Sprintf("server table: %s; going on with %d loan workers known", fault.Text(err), t.size()))
	}
	silent, isSilent := err.(*CallTimeoutError)
	if t.continuesWatch = false; t.scheduler != nil {
		t.scheduler.CallFailed()
	}
	if isSilent && !t.pushed() {
		// An agent close by is silent while discovery is down, and learns nothing then: where a
		// new call hears nothing either, there is nothing to be missed.
		t.requireAfterTimeout(silent.ChangesDue)
	}
	t.requireAfterFailure(err, began, t.lastWait)
	switch {
	case t.pushed():
		t.failures++
		return false, time.Duration((0.5 + t.draw()) * float64(pushRetryPause))
	case isSilent && !silent.Connected:
		t.timeouts++ // nothing has come to the service that would have to be spared
		return false, time.Duration((0.5 + t.draw()) * float64(time.Second))
	case isSilent && silent.Watch:
		t.timeouts++ // broken, and begun anew: the module has no part in it
		return false, backoff.BeforeReplacingWatch(t.dispatchers(), t.timeToDeadline(), t.draw())
	}
	select {
	case <-t.relayed: // what was relayed before says nothing of this failure
	default:
	}
	t.failures++
	if t.lastWait <= listCallTimeout { // a watch was open until it failed
		t.lastFailureTime = time.Since(began)
	}
	t.strain = min(t.strain+1, backoff.MaxStrain)
	t.deliver(dispatch.ListFailed, nil)
	left := t.timeToDeadline()
	if _, failed := t.awaitsUpdate(); left > 0 && (failed || left > t.lastFailureTime) && backoff.RetriesWithinDeadline(t.dispatchers(), t.hurriedRetries+1) {
		t.hurriedRetries++
		return false, backoff.BeforeRetryWithin(t.dispatchers(), t.hurriedRetries, left, max(t.lastFailureTime, defaultFailureTime), t.draw())
	}
	if t.failures > t.hurriedRetries+1 {
		t.assumeOutage()
	}
	// Beside the module's own pause, which ends with its asking again.
	return true, backoff.BeforeRetry(t.dispatchers(), max(t.failures-t.hurriedRetries, 1), t.draw())
}

// callTimeouts is the wait that the next call names, and how long it is given in all.
func (t *ServerTable) callTimeouts(known bool) (wait, limit time.Duration) {
	switch {
	case !known && t.dispatchers() > backoff.FewDispatchers && !t.pushed():
		// A queue at discovery is likelier than a call lost without a sign, and one given
		// up has taken its turn all the same.
		return 0, max(listCallTimeout, t.timeToDeadline())
	case !known:
		return 0, listCallTimeout
	}
	awaits, failed := t.awaitsUpdate()
	switch {
	case !t.Ready(), awaits && failed: // what there is to tell is wanted now
		return time.Millisecond, reachabilityTimeout
	case awaits || t.scheduler != nil && !t.continuesWatch:
		return time.Millisecond, listCallTimeout
	}
	wait = backoff.LongPollTimeout(t.dispatchers(), t.strain, t.draw())
	return wait, wait + watchResponseSlack
}

// call makes one call. An error is a ListError or, where no sign came, a CallTimeoutError.
func (t *ServerTable) call(on *discoverySource) (*listResponse, error) {
	at, known := t.watermark()
	wait, limit := t.callTimeouts(known)
	t.lastWait = wait
	url := "http://" + on.addr + "/v1/servers"
	if known {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", at, wait.Milliseconds())
	}
	ctx, stop := context.WithTimeout(on.ctx, limit)
	defer stop()
	began := time.Now()
	text, err := fetch(ctx, on.client, url)
	var reply *listResponse
	if err == nil {
		reply, err = t.parse(text, known)
	}
	switch {
	case err == nil:
		return reply, nil
	case ctx.Err() == context.DeadlineExceeded, isDialTimeout(err):
		return nil, &CallTimeoutError{Addr: on.addr, Waited: time.Since(began).Round(time.Millisecond),
			ChangesDue: began.Add(max(wait+watchDue, timedOutCallDue)), Connected: !isDialTimeout(err), Watch: wait > listCallTimeout}
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
	return io.ReadAll(io.LimitReader(resp.Body, maxListBytes))
}

func (t *ServerTable) parse(text []byte, known bool) (*listResponse, error) {
	var reply listResponse
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
	return &reply, t.rejectOutdated(&reply, known)
}
