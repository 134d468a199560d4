package httpfront

// This file has the table's part in a fleet that shares its lists: it calls the list service only when it is scheduled,
// publishes what it was sent, and applies what another dispatcher was sent. It never goes back to an older list.

import (
	"context"
	"fmt"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/platform/timers"
	"yardflow/scheduling/dispatch"
)

// outdatedAcceptAfter is how long a list service may go on with lists older than the fleet's before they are accepted: by
// then it was set back, and it is no old copy of it that answers for a while.
const outdatedAcceptAfter = time.Minute

// CallScheduler says when this dispatcher may call the list service. The fleet's client for cold starts implements it.
type CallScheduler interface {
	// MayCall reports whether a call may be made now; where not, how long to wait at most before asking again, and a
	// channel that ends the wait earlier. anew: the call does not continue a watch, so the list service has to handle it
	// in turn. alone: no other dispatcher's call can stand for it.
	MayCall(anew, alone bool) (ok bool, wait time.Duration, changed <-chan struct{})
	// CallFailed says that a call has brought nothing.
	CallFailed()
}

// ListUpdate is what the list service has sent to this dispatcher.
type ListUpdate struct {
	Generation uint64
	NewSource  bool // the first update since the list service was set back, or this dispatcher was switched to another
	Changed    []membership.Worker
	WholeList  func() []membership.Worker
}

// EnableSharing has the table call by a scheduler and publish each update. Before Run. The inherited list is served by
// until the first call is scheduled, because whether the list service is there at all is not known until then.
func (t *ServerTable) EnableSharing(scheduler CallScheduler, publish func(ListUpdate)) {
	t.scheduler, t.publish = scheduler, publish
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endStartup()
}

// awaitCallPermit blocks until the next call is scheduled; false where ctx has ended.
func (t *ServerTable) awaitCallPermit(ctx context.Context) bool {
	for t.scheduler != nil {
		awaits, failed := t.awaitsUpdate()
		alone := t.applied.sourceChanged || awaits && !failed // for a failed call another's update would do
		ok, wait, changed := t.scheduler.MayCall(!t.watch.continues, alone)
		if ok {
			break
		}
		t.watch.continues = false // a watch does not outlast the wait
		timer := time.NewTimer(timers.Positive(wait))
		select {
		case <-timer.C:
		case <-changed:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

// awaitSubscribe blocks until the module wants an update, or ctx ends; false where the broker is closed. A relayed list
// ends the wait as well: the module takes it for the update that it waits for, and asks no more. Whether and when the next
// call is made is for the scheduler to say.
func (t *ServerTable) awaitSubscribe(ctx context.Context) bool {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-t.relayed:
			stop()
		case <-wait.Done():
		}
	}()
	return t.broker.AwaitSubscribe(wait) == nil || wait.Err() != nil
}

// rejectOutdated returns an OutdatedListError for a list that is older than the present one, where the fleet shares its
// lists. By itself a dispatcher has its list from nobody else, and accepts any.
func (t *ServerTable) rejectOutdated(update *listResponse, known bool) error {
	generation, _ := t.applied.watermark()
	if t.scheduler == nil || !known || *update.Generation >= generation {
		t.watch.outdatedSince = time.Time{}
		return nil
	}
	if t.watch.outdatedSince.IsZero() {
		t.watch.outdatedSince = time.Now()
	}
	if update.Reset && time.Since(t.watch.outdatedSince) >= outdatedAcceptAfter {
		t.watch.outdatedSince = time.Time{}
		t.applied.mu.Lock()
		t.applied.sourceChanged = true
		t.applied.mu.Unlock()
		return nil
	}
	return &OutdatedListError{Generation: *update.Generation, Known: generation}
}

// ApplyRelayed applies what another dispatcher was sent. It reports false, and applies nothing, where that is older than
// the present list, or where this dispatcher was switched to another list service and awaits its first update.
func (t *ServerTable) ApplyRelayed(generation uint64, whole bool, list []membership.Worker) bool {
	t.applied.mu.Lock()
	defer t.applied.mu.Unlock()
	if t.applied.sourceChanged || t.applied.known && generation < t.applied.generation {
		return false
	}
	form := dispatch.ListDelta
	if whole {
		form = dispatch.ListFull
	}
	if t.applied.origin != originRelayed {
		t.log(fmt.Sprintf("server table: by the relayed list, %d loan workers", len(list)))
	}
	t.applied.generation, t.applied.known, t.applied.origin, t.applied.updatedAt = generation, true, originRelayed, time.Now()
	update := listResponse{Generation: &generation}
	for _, w := range list {
		update.Instances = append(update.Instances, entryFrom(w))
	}
	t.updateLatest(update, whole)
	t.deliver(form, list)
	select {
	case t.relayed <- struct{}{}:
	default:
	}
	if whole { // whatever a call that timed out has missed here, the dispatcher that calls for all was sent
		t.mu.Lock()
		t.endWait()
		t.mu.Unlock()
	}
	return true
}

// DescribeList says for the console which list is served by, and how old it is.
func (t *ServerTable) DescribeList() string {
	t.applied.mu.Lock()
	origin, updatedAt := t.applied.origin, t.applied.updatedAt
	t.applied.mu.Unlock()
	if updatedAt.IsZero() {
		return string(origin) + " list, of before the start"
	}
	return fmt.Sprintf("%s list, last heard of %v ago", origin, time.Since(updatedAt).Round(time.Millisecond))
}
