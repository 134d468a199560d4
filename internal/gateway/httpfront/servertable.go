package httpfront

// This file holds the server table: the list of workers as the list service ("discovery") has it, one source of
// membership beside others, and the address that it comes from. It sends nothing to a worker and judges none.

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// Connections to the list service.
const (
	discoveryConnectTimeout = time.Second
	discoveryIdleTimeout    = 20 * time.Second
	discoveryIdleConns      = 2 // one for a watch, one for the call in its place
)

// listOrigin is where the list that is served by comes from, in the words that the console shows.
type listOrigin string

const (
	originInherited listOrigin = "kept"    // from the configuration, or from the process before
	originDiscovery listOrigin = "told"    // from the list service
	originRelayed   listOrigin = "relayed" // from another dispatcher, which had it from the list service
)

// ServerTable follows the list service. Run's goroutine makes the calls (watch.go); until when the list may be served by
// is freshness.go's, and the part that a fleet which shares its lists plays is sharing.go's.
type ServerTable struct {
	live    *config.InForce
	broker  *broker.Broker
	deliver func(dispatch.ListForm, []membership.Worker) // to the membership that merges all sources
	log     func(string)
	draw    func() float64 // uniform in [0, 1), for pauses; Run's goroutine only

	scheduler CallScheduler    // nil: calls are made at will
	publish   func(ListUpdate) // nil: updates are handed on to nobody

	watch   watchState
	applied appliedList
	relayed chan struct{} // of capacity 1: a relayed list was applied since the last call
	synced  chan struct{} // closed at the first update from the list service

	listed sync.Map // ids of workers that the list service has ever listed

	mu        sync.Mutex
	current   *discoverySource
	freshness freshnessDeadline
	latest    listResponse // the whole list, for the process that takes over
}

// appliedList is how far the list has been applied. Its mu is held while an update is applied, so that lists reach the
// module in one order.
type appliedList struct {
	mu            sync.Mutex
	generation    uint64 // where known
	known         bool
	origin        listOrigin
	updatedAt     time.Time // zero: by an earlier process
	sourceChanged bool      // the list service is another one, without an update yet; Run's goroutine alone writes it
}

// watermark returns the generation of the list, and whether that is known at all.
func (a *appliedList) watermark() (generation uint64, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.generation, a.known
}

// forget makes the next update a whole list: generations of another source mean nothing beside the former's.
func (a *appliedList) forget() {
	a.mu.Lock()
	a.known, a.sourceChanged = false, true
	a.mu.Unlock()
}

// discoverySource is one address of the list service, with its own connections. Its context ends when another takes its
// place, and with it any call that is under way.
type discoverySource struct {
	addr   string
	client *http.Client
	ctx    context.Context
	close  func()
}

// discoveryTransport makes the connections to one address of the list service. Tests replace it.
var discoveryTransport = func() http.RoundTripper {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: discoveryConnectTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: discoveryIdleConns,
		IdleConnTimeout:     discoveryIdleTimeout,
	}
}

func newSource(addr string) *discoverySource {
	s := &discoverySource{addr: addr, client: &http.Client{Transport: discoveryTransport()}}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// NewServerTable returns a table that has delivered the list known from the configuration, or from the process before.
// The broker says when to call the list service; deliver takes each update in its form. The error is a KnownListError.
func NewServerTable(live *config.InForce, b *broker.Broker, deliver func(dispatch.ListForm, []membership.Worker), log func(string)) (*ServerTable, error) {
	cfg := live.Get()
	t := &ServerTable{live: live, broker: b, deliver: deliver, log: log, draw: rand.Float64, current: newSource(cfg.Discovery),
		synced: make(chan struct{}), relayed: make(chan struct{}, 1)}
	t.applied.origin = originInherited
	var known listResponse
	if len(cfg.KnownList) > 0 {
		if err := json.Unmarshal(cfg.KnownList, &known); err != nil {
			return nil, &KnownListError{err}
		}
	}
	if known.Generation != nil {
		t.applied.generation, t.applied.known = *known.Generation, true
	}
	b.SetListedByDiscovery(func(worker string) bool { _, listed := t.listed.Load(worker); return listed })
	t.updateLatest(known, true)
	t.deliver(dispatch.ListCached, workersFrom(known.Instances))
	t.requireAtStartup()
	return t, nil
}

// SwitchSource goes over to another address, or begins anew at the same one. The present list stays in use until the new
// source has sent its own, but not past sourceChangeDue: from then on any worker may drain without that being known here,
// so nothing is sent to any until the update comes. Where nobody listens (a wrong address, or the list service is down)
// there is no update to be missed, and the list stays in use. A further switch does not put off the time at which the
// update is due. Requests, and what was learned of workers, stay.
func (t *ServerTable) SwitchSource(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.close()
	t.current.client.CloseIdleConnections()
	t.current = newSource(addr)
	t.endStartup() // what the former source had to say counts no more
	t.freshness.require(time.Now().Add(sourceChangeDue), 0, causeSourceChanged, t.expire)
}

func (t *ServerTable) source() *discoverySource {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// updateLatest brings the whole list up to date.
func (t *ServerTable) updateLatest(update listResponse, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole {
		t.latest.Instances = nil
	}
	for _, e := range update.Instances {
		t.listed.Store(e.InstanceID, true)
		t.latest.Instances = slices.DeleteFunc(t.latest.Instances, func(former listEntry) bool { return former.InstanceID == e.InstanceID })
		if e.Lifecycle != lifecycleDeleted {
			t.latest.Instances = append(t.latest.Instances, e)
		}
	}
	t.latest.Generation, t.latest.Reset = update.Generation, true
}

// size returns how many workers the list has.
func (t *ServerTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.latest.Instances)
}

// workers returns the whole list.
func (t *ServerTable) workers() []membership.Worker {
	t.mu.Lock()
	defer t.mu.Unlock()
	return workersFrom(t.latest.Instances)
}

// Snapshot returns the whole list in the form of the configuration's "known", for the process that takes over.
func (t *ServerTable) Snapshot() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, _ := json.Marshal(t.latest) // no value of its types fails
	return text
}

// Synced returns a channel that is closed once the list service has sent the list.
func (t *ServerTable) Synced() <-chan struct{} { return t.synced }
