// Package relayedlist carries one zone's list of loan workers between the dispatcher that reads it
// and all others, by the keepers: what the table was told goes out under the reader's seat, what
// others were told comes in. It owns the goroutine that talks to the keepers of it; it must never
// make the table wait, decide who reads (package start does), or hand on half a list as a whole.
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

// Coordinators are where lists are handed on.
type Coordinators interface {
	Do(ctx context.Context, cmd statemachine.Command) (statemachine.Result, error)
	Incarnation() uint64
}

// Table is the dispatcher's list.
type Table interface {
	ApplyRelayed(generation uint64, whole bool, list []membership.Worker) bool
}

// Relay is one dispatcher's.
type Relay struct {
	name    string
	zone    int
	desk    *coldstart.Client
	table   Table
	keepers Coordinators
	log     func(string)

	mu      sync.Mutex
	next    *relay.Publication // what is to be handed on; nil: nothing is
	seat    uint64
	all     func() []membership.Worker
	poke    chan struct{}
	refused bool
}

// New makes the carrier of a dispatcher in a zone.
func New(name string, zone int, desk *coldstart.Client, table Table, keepers Coordinators, log func(string)) *Relay {
	return &Relay{name: name, zone: zone, desk: desk, table: table, keepers: keepers, log: log, poke: make(chan struct{}, 1)}
}

// Publish hands on what the table was told, if this dispatcher reads for its zone. The table calls
// it while it takes a word in, so it returns at once.
func (c *Relay) Publish(t httpfront.ListUpdate) {
	seat, whole := c.desk.CallSucceeded()
	if seat == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil || whole || t.NewSource {
		// Whatever waits is told with it, as a whole: it was not taken in yet.
		c.next = &relay.Publication{Generation: t.Generation, Complete: true, NewSource: t.NewSource || c.next != nil && c.next.NewSource, Entries: entries(t.WholeList())}
	} else {
		c.next = &relay.Publication{Generation: t.Generation, Entries: entries(t.Changed)}
	}
	c.seat, c.all = seat, t.WholeList
	c.wake()
}

// Run hands on until ctx ends. What does not arrive is told again, as a whole, with what came
// meanwhile; under a seat that is another's by then it is refused.
func (c *Relay) Run(ctx context.Context) {
	for {
		select {
		case <-c.poke:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		w, seat := c.next, c.seat
		c.next = nil
		c.mu.Unlock()
		if w == nil {
			continue
		}
		r, err := c.keepers.Do(ctx, statemachine.Command{ListUpdate: &statemachine.ListUpdate{Name: c.name, Incarnation: c.keepers.Incarnation(), Zone: c.zone, FencingToken: seat, Update: *w}})
		if err == nil && r.Err == "" {
			c.desk.ListPublished(seat, true)
			c.refused = false
			continue
		}
		c.desk.ListPublished(seat, false)
		if !c.refused {
			c.refused = true
			why := r.Err
			if err != nil {
				why = fault.Text(err)
			}
			c.log("relayed list: not handed on: " + why)
		}
		if r.Err != "" && r.Code != (&relay.NeedsCompleteListError{}).Code() {
			continue // by its seat or its age: the next word that it is told goes out whole
		}
		c.mu.Lock()
		if c.next != nil {
			w = c.next
		}
		c.next = &relay.Publication{Generation: w.Generation, Complete: true, NewSource: w.NewSource, Entries: entries(c.all())}
		c.mu.Unlock()
		select {
		case <-time.After(100 * time.Millisecond):
			c.wake()
		case <-ctx.Done():
		}
	}
}

func (c *Relay) wake() {
	select {
	case c.poke <- struct{}{}:
	default:
	}
}

// Apply takes in what came of another's list.
func (c *Relay) Apply(u *relay.Update) {
	if u == nil {
		return
	}
	if !c.table.ApplyRelayed(u.Generation, u.Complete, workers(u.Entries)) {
		c.desk.ResetList()
	}
}

func entries(list []membership.Worker) []relay.Entry {
	out := make([]relay.Entry, 0, len(list))
	for _, w := range list {
		e := relay.Entry{ID: w.ID, Addr: w.Addr, Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, Weight: w.Weight, State: uint8(w.State), Removed: w.State == membership.Removed}
		if !w.StartedAt.IsZero() {
			e.Started = w.StartedAt.UnixMicro()
		}
		out = append(out, e)
	}
	return out
}

func workers(list []relay.Entry) []membership.Worker {
	out := make([]membership.Worker, 0, len(list))
	for _, e := range list {
		w := membership.Worker{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, State: membership.State(e.State)}
		if e.Removed {
			w.State = membership.Removed
		}
		if e.Started != 0 {
			w.StartedAt = time.UnixMicro(e.Started)
		}
		out = append(out, w)
	}
	return out
}
