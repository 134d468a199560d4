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
	t.turns, t.share = turns, share
	t.mu.Lock()
	defer t.mu.Unlock()
	t.called()
}

// turn waits for the turn of the next call; false: ctx has ended.
func (t *ServerTable) turn(ctx context.Context) bool {
	for t.turns != nil {
		awaits, failed := t.awaits()
		alone := t.moved || awaits && !failed // another's word would do for a call that failed
		ok, wait, changed := t.turns.MayCall(!t.carry, alone)
		if ok {
			break
		}
		t.carry = false // it has waited: whatever comes next is a call anew
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

// awaitAsk waits until the module wants to hear from discovery, or ctx ends; false: the broker is closed. A relayed list
// ends the wait as well: the module takes it for the answer that it waits for, and asks no more. Whether and when the next
// call is made is then for its turn to say.
func (t *ServerTable) awaitAsk(ctx context.Context) bool {
	wait, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		select {
		case <-t.followed:
			stop()
		case <-wait.Done():
		}
	}()
	return t.broker.AwaitSubscribe(wait) == nil || wait.Err() != nil
}

// believeAfter is how long a list service may go on with lists older than the one that the fleet
// shares before it is believed: one that was set back, and not an old copy that answers for a while.
const believeAfter = time.Minute

// older refuses a whole list that is older than the one held, where the fleet shares one. By
// itself a dispatcher knows nobody who could have told it a newer one.
func (t *ServerTable) older(reply *tableReply, known bool) error {
	at, _ := t.place()
	if t.turns == nil || !known || *reply.Generation >= at {
		t.olderSince = time.Time{}
		return nil
	}
	if t.olderSince.IsZero() {
		t.olderSince = time.Now()
	}
	if reply.Reset && time.Since(t.olderSince) >= believeAfter {
		t.olderSince = time.Time{}
		t.taking.Lock()
		t.moved = true
		t.taking.Unlock()
		return nil
	}
	return &OutdatedListError{Generation: *reply.Generation, Known: at}
}

// place is how far the list is known, and whether at all.
func (t *ServerTable) place() (generation uint64, known bool) {
	t.taking.Lock()
	defer t.taking.Unlock()
	return t.generation, t.known
}

// all is every worker as last told. The caller holds taking.
func (t *ServerTable) all() []membership.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return members(t.latest.Instances)
}

// ApplyRelayed takes in what another dispatcher was told; false where it is older than what this one
// knows, or this one has been moved and waits for its own word.
func (t *ServerTable) ApplyRelayed(generation uint64, whole bool, list []membership.Worker) bool {
	t.taking.Lock()
	defer t.taking.Unlock()
	if t.moved || t.known && generation < t.generation {
		return false
	}
	form := dispatch.ListDelta
	if whole {
		form = dispatch.ListFull
	}
	if t.by != "relayed" {
		t.log(fmt.Sprintf("server table: by the relayed list, %d loan workers", len(list)))
	}
	t.generation, t.known, t.by, t.since = generation, true, "relayed", time.Now()
	reply := tableReply{Generation: &generation}
	for _, w := range list {
		reply.Instances = append(reply.Instances, entryOf(w))
	}
	t.note(reply, whole)
	t.tell(form, list)
	select {
	case t.followed <- struct{}{}:
	default:
	}
	if whole { // whatever a silent call missed here, the one that reads for all was told
		t.mu.Lock()
		if t.stale.end() {
			t.broker.SetListStale(false)
		}
		t.mu.Unlock()
	}
	return true
}

// DescribeList says by what list the dispatcher serves, and how old that may be.
func (t *ServerTable) DescribeList() string {
	t.taking.Lock()
	by, since := t.by, t.since
	t.taking.Unlock()
	if since.IsZero() {
		return by + " list, of before the start"
	}
	return fmt.Sprintf("%s list, last heard of %v ago", by, time.Since(since).Round(time.Millisecond))
}

// entryOf words a worker as discovery does.
func entryOf(w membership.Worker) tableEntry {
	e := tableEntry{InstanceID: w.ID, HostPort: w.Addr, Zone: w.Zone, MachineType: w.Kind, Cell: w.Cell, Weight: w.Weight, Priority: w.Priority,
		Lifecycle: map[membership.State]string{membership.Serving: "SERVING", membership.Removed: "DELETED"}[w.State]}
	if e.Lifecycle == "" {
		e.Lifecycle = "DRAINING"
	}
	if !w.StartedAt.IsZero() {
		e.StartedAtMs = float64(w.StartedAt.UnixMicro()) / 1000
	}
	return e
}
