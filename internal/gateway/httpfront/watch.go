package httpfront

// This file watches the list service: when the next call is made, how long it may wait there, and what each way that it
// ends means. Where lists come only when asked for, the module says when to begin. Where they are pushed, what the local
// agent holds counts as known at once, so the watch begins at the start and is never left.

import (
	"context"
	"encoding/json"
	"errors"
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
	// watchResponseSlack is what a response may take beyond the wait that a watch names, before the call counts as timed
	// out. What it missed is due watchDue after that wait, and the call made in its place must be answered by then.
	watchResponseSlack = time.Second
	// listCallTimeout bounds a call that does not wait, so that one that was lost leaves time for another.
	listCallTimeout = 1500 * time.Millisecond
	// reachabilityTimeout bounds a call that is to show whether the list service is there at all. One that is down fails
	// calls after up to 3 s: a call given up before that would look like one that was lost on the way.
	reachabilityTimeout = 4 * time.Second
	// minWait is the wait that a call names which is to return what there is now.
	minWait = time.Millisecond
	// defaultFailureTime is how long a call that fails is taken to last while none was seen to.
	defaultFailureTime = 2 * time.Second
	// reconnectPause is the mean pause, give or take a half, before a call in the place of one that never connected.
	reconnectPause = time.Second
	// pushRetryPause is the mean pause, give or take a half, before a failed call to a pushed list is made again: less
	// than what may pass between a drain that is known and the last request (500 ms at the strictest).
	pushRetryPause = 100 * time.Millisecond
	// maxListBytes bounds a list.
	maxListBytes = 8 << 20
)

// watchState is what Run's goroutine remembers from call to call. No other goroutine touches it.
type watchState struct {
	awaitModule     bool          // the next call is made when the module wants an update
	nextCall        time.Time     // the earliest time of the next call
	continues       bool          // the next call continues a watch
	failures        int           // calls in a row that failed
	deadlineRetries int           // of them, those after which the next call was made by the time its update was due
	timeouts        int           // calls in a row that timed out
	strain          int           // by how much the list service is spared, after calls that failed
	lastWait        time.Duration // that the last call named
	lastFailureTime time.Duration // that the last call which failed took
	listCallTime    time.Duration // that the last call for the whole list took; 0: not seen
	outdatedSince   time.Time     // since when lists have been older than the present one; zero: the last was not
}

// pushed reports whether lists come unasked, from an agent on this machine that none need spare.
func (t *ServerTable) pushed() bool { return !t.live.Get().Dispatch.List.MustSubscribe }

func (t *ServerTable) dispatchers() int { return t.live.Get().Dispatch.Fleet.Count }

// jitter returns a pause drawn from half of mean to one and a half of it.
func (t *ServerTable) jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + t.draw()) * float64(mean))
}

// firstPause is the pause before the first call at a source.
func (t *ServerTable) firstPause() time.Duration {
	if t.pushed() {
		return 0
	}
	if left := t.timeToDeadline(); left > 0 {
		return backoff.BeforeFirstCallWithin(t.dispatchers(), left, t.watch.listCallTime, t.draw())
	}
	return backoff.BeforeFirstCall(t.dispatchers(), t.draw())
}

// Run follows the list service until ctx ends or the broker is closed. A watch continues for as long as the next call
// comes within 200 ms of the last response, so after a response the next call is made at once.
func (t *ServerTable) Run(ctx context.Context) {
	source := t.source()
	context.AfterFunc(ctx, func() { t.source().close() })
	t.watch.nextCall, t.watch.awaitModule = time.Now().Add(t.firstPause()), true
	for ctx.Err() == nil {
		if !t.awaitWanted(source) {
			return
		}
		if current := t.source(); current != source {
			source = current
			t.restartWatch()
			if ctx.Err() != nil {
				source.close()
			}
		}
		if !t.awaitNextCall(source.ctx) || !t.awaitCallPermit(source.ctx) {
			t.watch.awaitModule = false
			continue
		}
		t.poll(source)
	}
}

// awaitWanted blocks until a call is wanted, or the source's context ends; false where the broker is closed.
func (t *ServerTable) awaitWanted(source *discoverySource) bool {
	if source.addr == "" { // there is no list service; a reload may name one
		<-source.ctx.Done()
		return true
	}
	return !t.watch.awaitModule || t.pushed() || t.awaitSubscribe(source.ctx)
}

// restartWatch begins a watch at another source. Its first update is the whole list, asked for now.
func (t *ServerTable) restartWatch() {
	t.watch.timeouts, t.watch.continues = 0, false
	t.applied.forget()
	t.watch.nextCall = time.Now().Add(t.firstPause())
}

// awaitNextCall blocks until the next call is due; false where ctx has ended.
func (t *ServerTable) awaitNextCall(ctx context.Context) bool {
	select {
	case <-time.After(timers.Positive(time.Until(t.watch.nextCall))):
		return true
	case <-ctx.Done():
		return false
	}
}

// poll makes one call and applies what it brings.
func (t *ServerTable) poll(source *discoverySource) {
	generation, known := t.applied.watermark()
	t.broker.Tracef("ask since=%d known=%t", generation, known)
	began := time.Now()
	update, err := t.call(source)
	t.broker.Tracef("asked err=%v", err)
	switch {
	case source.ctx.Err() != nil:
		t.watch.awaitModule = false // the source was replaced meanwhile: whatever came is the former's
	case err != nil:
		var pause time.Duration
		t.watch.awaitModule, pause = t.callFailed(err, began)
		t.watch.nextCall = time.Now().Add(pause)
	default:
		if !known {
			t.watch.listCallTime = time.Since(began)
		}
		t.applyUpdate(source, update)
		t.watch.awaitModule, t.watch.nextCall = false, time.Now()
	}
}

// applyUpdate applies what a call has brought, and publishes it.
func (t *ServerTable) applyUpdate(source *discoverySource, update *listResponse) {
	t.applied.mu.Lock()
	defer t.applied.mu.Unlock()
	form := dispatch.ListDelta
	if update.Reset || !t.applied.known {
		form = dispatch.ListFull
	}
	t.applied.generation, t.applied.known = *update.Generation, true
	t.logUpdate(len(update.Instances))
	if len(update.Instances) == 0 {
		t.watch.strain = max(t.watch.strain-1, 0) // a wait that ended without a change: the list service keeps up
	}
	t.watch.failures, t.watch.deadlineRetries, t.watch.timeouts = 0, 0, 0
	t.updateLatest(*update, form == dispatch.ListFull)
	t.deliver(form, workersFrom(update.Instances))
	t.applied.origin, t.applied.updatedAt, t.watch.continues = originDiscovery, time.Now(), true
	t.markFresh(source)
	if t.publish != nil {
		t.publish(ListUpdate{Generation: t.applied.generation, NewSource: t.applied.sourceChanged, Changed: workersFrom(update.Instances), WholeList: t.workers})
	}
	t.applied.sourceChanged = false
}

// logUpdate logs the first update, and the first one after calls that brought nothing.
func (t *ServerTable) logUpdate(entries int) {
	select {
	case <-t.synced:
	default:
		close(t.synced)
		t.log(fmt.Sprintf("server table: first told, %d loan workers", entries))
	}
	if lost := t.watch.failures + t.watch.timeouts; lost > 0 {
		t.log(fmt.Sprintf("server table: told again after %d calls that brought nothing", lost))
	}
}

// callFailed handles a call that brought nothing. It returns whether the module is to say when to call again, and the
// pause before that at the least.
func (t *ServerTable) callFailed(err error, began time.Time) (awaitModule bool, pause time.Duration) {
	if t.watch.failures+t.watch.timeouts == 0 { // once an outage, which makes many
		t.log(fmt.Sprintf("server table: %s; going on with %d loan workers known", fault.Text(err), t.size()))
	}
	t.watch.continues = false
	if t.scheduler != nil {
		t.scheduler.CallFailed()
	}
	var timeout *CallTimeoutError
	timedOut := errors.As(err, &timeout)
	if timedOut && !t.pushed() {
		// A local agent is silent while the list service is down, and learns nothing then: where a new call hears nothing
		// either, there is nothing to be missed.
		t.requireAfterTimeout(timeout.ChangesDue)
	}
	t.requireAfterFailure(err, began, t.watch.lastWait)
	switch {
	case t.pushed():
		t.watch.failures++
		return false, t.jitter(pushRetryPause)
	case timedOut && !timeout.Connected:
		t.watch.timeouts++ // nothing reached the list service, which has not to be spared for it
		return false, t.jitter(reconnectPause)
	case timedOut && timeout.Watch:
		t.watch.timeouts++ // the watch broke and is begun anew, in which the module has no part
		return false, backoff.BeforeReplacingWatch(t.dispatchers(), t.timeToDeadline(), t.draw())
	}
	return t.pauseAfterFailure(began)
}

// pauseAfterFailure is callFailed for a call that the list service failed, or did not answer though it was not to wait.
func (t *ServerTable) pauseAfterFailure(began time.Time) (awaitModule bool, pause time.Duration) {
	select {
	case <-t.relayed: // a list that was relayed before says nothing of this failure
	default:
	}
	t.watch.failures++
	if t.watch.lastWait <= listCallTimeout { // a watch was open until it failed, which tells nothing of how long calls take
		t.watch.lastFailureTime = time.Since(began)
	}
	t.watch.strain = min(t.watch.strain+1, backoff.MaxStrain)
	t.deliver(dispatch.ListFailed, nil)
	left := t.timeToDeadline()
	_, failedOnly := t.awaitsUpdate()
	if left > 0 && (failedOnly || left > t.watch.lastFailureTime) && backoff.RetriesWithinDeadline(t.dispatchers(), t.watch.deadlineRetries+1) {
		t.watch.deadlineRetries++
		return false, backoff.BeforeRetryWithin(t.dispatchers(), t.watch.deadlineRetries, left, max(t.watch.lastFailureTime, defaultFailureTime), t.draw())
	}
	if t.watch.failures > t.watch.deadlineRetries+1 {
		t.assumeOutage()
	}
	// This pause runs beside the module's own, which ends when it wants an update again.
	return true, backoff.BeforeRetry(t.dispatchers(), max(t.watch.failures-t.watch.deadlineRetries, 1), t.draw())
}

// callTimeouts returns the wait that the next call names, and how long the call is given in all.
func (t *ServerTable) callTimeouts(known bool) (wait, limit time.Duration) {
	switch {
	case !known && t.dispatchers() > backoff.FewDispatchers && !t.pushed():
		// A queue at the list service is likelier than a lost call, and a call that is given up has taken its turn there
		// all the same.
		return 0, max(listCallTimeout, t.timeToDeadline())
	case !known:
		return 0, listCallTimeout
	}
	awaits, failed := t.awaitsUpdate()
	switch {
	case !t.Ready(), awaits && failed:
		return minWait, reachabilityTimeout
	case awaits || t.scheduler != nil && !t.watch.continues:
		return minWait, listCallTimeout
	}
	wait = backoff.LongPollTimeout(t.dispatchers(), t.watch.strain, t.draw())
	return wait, wait + watchResponseSlack
}

// call makes one call. The error is a ListError or, where the call timed out, a CallTimeoutError.
func (t *ServerTable) call(source *discoverySource) (*listResponse, error) {
	generation, known := t.applied.watermark()
	wait, limit := t.callTimeouts(known)
	t.watch.lastWait = wait
	url := "http://" + source.addr + "/v1/servers"
	if known {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", generation, wait.Milliseconds())
	}
	ctx, stop := context.WithTimeout(source.ctx, limit)
	defer stop()
	began := time.Now()
	text, err := fetch(ctx, source.client, url)
	var update *listResponse
	if err == nil {
		update, err = t.parse(text, known)
	}
	switch {
	case err == nil:
		return update, nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded), isDialTimeout(err):
		return nil, &CallTimeoutError{Addr: source.addr, Waited: time.Since(began).Round(time.Millisecond),
			ChangesDue: began.Add(max(wait+watchDue, timedOutCallDue)), Connected: !isDialTimeout(err), Watch: wait > listCallTimeout}
	}
	return nil, &ListError{source.addr, err}
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

// parse reads a response. Workers are removed one by one, by entries that say so: a whole list of no workers is a fault of
// whoever made it, and would end all service. The error is a BadResponseError or an OutdatedListError.
func (t *ServerTable) parse(text []byte, known bool) (*listResponse, error) {
	var update listResponse
	if err := json.Unmarshal(text, &update); err != nil {
		return nil, &BadResponseError{http.StatusOK, err.Error()}
	}
	if update.Generation == nil {
		return nil, &BadResponseError{http.StatusOK, "it has no generation"}
	}
	if (update.Reset || !known) && len(update.Instances) == 0 && t.size() > 0 {
		return nil, &BadResponseError{http.StatusOK, "a whole list that names nobody"}
	}
	return &update, t.rejectOutdated(&update, known)
}
