package httpfront

// This file owns the table's place in a fleet that shares its lists: it calls discovery only when
// it is its turn, hands on what it was told, and takes in what another dispatcher was. It must
// never wait for a keeper but before a call, and never go back to an older list.

import (
	"context"
	"fmt"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/platform/timers"
	"yardflow/scheduling/dispatch"
)

// CallScheduler says when discovery may be called: package start's Desk.
type CallScheduler interface {
	// MayCall tells whether now; else what to wait for, and how long at the most. anew: discovery has
	// to handle the call in turn; alone: no other's word can stand for it.
	MayCall(anew, alone bool) (ok bool, wait time.Duration, changed <-chan struct{})
	CallFailed() // a call has brought nothing
}

// ListUpdate is what discovery has told here.
type ListUpdate struct {
	Generation uint64
	NewSource  bool // the first word of a discovery that this one was moved to
	Changed    []membership.Worker
	WholeList  func() []membership.Worker
}

// EnableSharing has the table call in turns, and hand on what it is told. Before Run. The list of before
// the start serves until a turn comes: whether the list service is there at all is not known here.
func (t *ServerTable) EnableSharing(turns CallScheduler, share func(ListUpdate)) {
	t.scheduler, t.publish = turns, share
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endStartup()
}

// awaitCallPermit waits for the turn of the next call; false: ctx has ended.
func (t *ServerTable) awaitCallPermit(ctx context.Context) bool {
	for t.scheduler != nil {
		awaits, failed := t.awaitsUpdate()
		alone := t.sourceChanged || awaits && !failed // another's word would do for a call that failed
		ok, wait, changed := t.scheduler.MayCall(!t.continuesWatch, alone)
		if ok {
			break
		}
		t.continuesWatch = false // it has waited: whatever comes next is a call anew
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

// awaitSubscribe waits until the module wants to hear from discovery, or ctx ends; false: the broker is closed. A relayed list
// ends the wait as well: the module takes it for the answer that it waits for, and asks no more. Whether and when the next
// call is made is then for its turn to say.
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

// outdatedAcceptAfter is how long a list service may go on with lists older than the one that the fleet
// shares before it is believed: one that was set back, and not an old copy that answers for a while.
const outdatedAcceptAfter = time.Minute

// rejectOutdated refuses a whole list that is older than the one held, where the fleet shares one. By
// itself a dispatcher knows nobody who could have told it a newer one.
func (t *ServerTable) rejectOutdated(reply *listResponse, known bool) error {
	at, _ := t.watermark()
	if t.scheduler == nil || !known || *reply.Generation >= at {
		t.olderSince = time.Time{}
		return nil
	}
	if t.olderSince.IsZero() {
		t.olderSince = time.Now()
	}
	if reply.Reset && time.Since(t.olderSince) >= outdatedAcceptAfter {
		t.olderSince = time.Time{}
		t.updateMu.Lock()
		t.sourceChanged = true
		t.updateMu.Unlock()
		return nil
	}
	return &OutdatedListError{Generation: *reply.Generation, Known: at}
}

// watermark is how far the list is known, and whether at all.
func (t *ServerTable) watermark() (generation uint64, known bool) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	return t.generation, t.known
}

// workers is every worker as last told. The caller holds taking.
func (t *ServerTable) workers() []membership.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return workersFrom(t.latest.Instances)
}

// ApplyRelayed takes in what another dispatcher was told; false where it is older than what this one
// knows, or this one has been moved and waits for its own word.
func (t *ServerTable) ApplyRelayed(generation uint64, whole bool, list []membership.Worker) bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	if t.sourceChanged || t.known && generation < t.generation {
		return false
	}
	form := dispatch.ListDelta
	if whole {
		form = dispatch.ListFull
	}
	if t.origin != "relayed" {
		t.log(fmt.Sprintf("server table: by the relayed list, %d loan workers", len(list)))
	}
	t.generation, t.known, t.origin, t.updatedAt = generation, true, "relayed", time.Now()
	reply := listResponse{Generation: &generation}
	for _, w := range list {
		reply.Instances = append(reply.Instances, entryFrom(w))
	}
	t.updateSnapshot(reply, whole)
	t.deliver(form, list)
	select {
	case t.relayed <- struct{}{}:
	default:
	}
	if whole { // whatever a silent call missed here, the one that reads for all was told
		t.mu.Lock()
		if t.freshness.clear() {
			t.broker.SetListStale(false)
		}
		t.mu.Unlock()
	}
	return true
}

// DescribeList says by what list the dispatcher serves, and how old that may be.
func (t *ServerTable) DescribeList() string {
	t.updateMu.Lock()
	by, since := t.origin, t.updatedAt
	t.updateMu.Unlock()
	if since.IsZero() {
		return by + " list, of before the start"
	}
	return fmt.Sprintf("%s list, last heard of %v ago", by, time.Since(since).Round(time.Millisecond))
}

// entryFrom words a worker as discovery does.
func entryFrom(w membership.Worker) listEntry {
	e := listEntry{InstanceID: w.ID, HostPort: w.Addr, Zone: w.Zone, MachineType: w.Kind, Cell: w.Cell, Weight: w.Weight, Priority: w.Priority,
		Lifecycle: map[membership.State]string{membership.Serving: "SERVING", membership.Removed: "DELETED"}[w.State]}
	if e.Lifecycle == "" {
		e.Lifecycle = "DRAINING"
	}
	if !w.StartedAt.IsZero() {
		e.StartedAtMs = float64(w.StartedAt.UnixMicro()) / 1000
	}
	return e
}
