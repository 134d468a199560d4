// Package relayedlist relays one zone's list of loan workers from the dispatcher that
// reads it at the list service to all others, by way of the coordinators: updates of
// the reader's server table are published under its fencing token, updates that others
// published are applied to the table.
//
// The package does not decide who reads, which coldstart does. It never makes the
// table wait, and never passes on a part of a list as a complete one.
package relayedlist

import (
	"context"
	"sync"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/fleet/coldstart"
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/gateway/httpfront"
	"yardflow/internal/platform/fault"
)

// Coordinators is the session with the coordinators by which lists are published.
type Coordinators interface {
	Do(ctx context.Context, cmd statemachine.Command) (statemachine.Result, error)
	Incarnation() uint64
}

// Table is the dispatcher's server table.
type Table interface {
	// ApplyRelayed applies a relayed update; false if it needs the complete list first.
	ApplyRelayed(generation uint64, complete bool, list []membership.Worker) bool
}

// retryDelay is the pause between a publication that failed and its retry.
const retryDelay = 100 * time.Millisecond

// Relay is one dispatcher's part in relaying its zone's list. Publish and Apply may be
// called from any goroutine.
type Relay struct {
	name         string
	zone         int
	coldStart    *coldstart.Client
	table        Table
	coordinators Coordinators
	log          func(string)
	wakeup       chan struct{} // something is pending
	failing      bool          // Run's alone: the last publication failed

	mu           sync.Mutex
	pending      *relay.Publication // what is to be published; nil: nothing is
	fencingToken uint64             // under which pending is published
	wholeList    func() []membership.Worker
}

// New makes the relay of a dispatcher in a zone; Run publishes.
func New(name string, zone int, coldStart *coldstart.Client, table Table, coordinators Coordinators, log func(string)) *Relay {
	return &Relay{name: name, zone: zone, coldStart: coldStart, table: table, coordinators: coordinators, log: log, wakeup: make(chan struct{}, 1)}
}

// Publish has an update of the server table published, if this dispatcher reads for
// its zone. The table calls it while it applies the update, so it returns at once.
func (r *Relay) Publish(u httpfront.ListUpdate) {
	fencingToken, complete := r.coldStart.CallSucceeded()
	if fencingToken == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending != nil || complete || u.NewSource {
		// What is pending was not published yet: one complete list replaces it all.
		r.pending = &relay.Publication{Generation: u.Generation, Complete: true, NewSource: u.NewSource || r.pending != nil && r.pending.NewSource, Entries: entries(u.WholeList())}
	} else {
		r.pending = &relay.Publication{Generation: u.Generation, Entries: entries(u.Changed)}
	}
	r.fencingToken, r.wholeList = fencingToken, u.WholeList
	r.wake()
}

// Run publishes until ctx ends. A publication that does not arrive is retried as a
// complete list, with what has come since. Under a fencing token that is out of date
// it is rejected, and not retried.
func (r *Relay) Run(ctx context.Context) {
	for {
		select {
		case <-r.wakeup:
		case <-ctx.Done():
			return
		}
		r.mu.Lock()
		pub, fencingToken := r.pending, r.fencingToken
		r.pending = nil
		r.mu.Unlock()
		if pub == nil || r.publish(ctx, pub, fencingToken) {
			continue
		}
		r.requeue(pub)
		select {
		case <-time.After(retryDelay):
			r.wake()
		case <-ctx.Done():
		}
	}
}

// publish sends one publication. It returns false if it is to be retried.
func (r *Relay) publish(ctx context.Context, pub *relay.Publication, fencingToken uint64) bool {
	result, err := r.coordinators.Do(ctx, statemachine.Command{ListUpdate: &statemachine.ListUpdate{
		Name: r.name, Incarnation: r.coordinators.Incarnation(), Zone: r.zone, FencingToken: fencingToken, Update: *pub}})
	published := err == nil && result.Err == ""
	r.coldStart.ListPublished(fencingToken, published)
	if published {
		r.failing = false
		return true
	}
	if !r.failing { // one line a row of failures
		r.failing = true
		reason := result.Err
		if err != nil {
			reason = fault.Text(err)
		}
		r.log("relayed list: not handed on: " + reason)
	}
	// Rejected for its fencing token or its age: the next update goes out complete.
	return result.Err != "" && result.Code != (&relay.NeedsCompleteListError{}).Code()
}

// requeue makes a complete list pending in place of a publication that failed.
func (r *Relay) requeue(failed *relay.Publication) {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := failed
	if r.pending != nil {
		latest = r.pending
	}
	r.pending = &relay.Publication{Generation: latest.Generation, Complete: true, NewSource: latest.NewSource, Entries: entries(r.wholeList())}
}

// wake lets Run look at what is pending; one wake-up stands for many.
func (r *Relay) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// Apply applies an update that another dispatcher published; nil is none.
func (r *Relay) Apply(u *relay.Update) {
	if u == nil {
		return
	}
	if !r.table.ApplyRelayed(u.Generation, u.Complete, workers(u.Entries)) {
		r.coldStart.ResetList()
	}
}
