package httpfront

// This file owns the server table: the list of loan workers as discovery tells
// it, one source of membership beside others, and the address that it comes from; the watch
// that keeps it fresh is watch.go's, and until when it may be gone by is staleness.go's.
// It must never send anything to a loan worker or judge one.

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
	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

// ServerTable follows discovery.
type ServerTable struct {
	live    *config.InForce
	broker  *broker.Broker
	deliver func(dispatch.ListForm, []membership.Worker)
	log     func(string)
	draw    func() float64 // uniform in [0, 1), for pauses; Run's alone

	updateMu        sync.Mutex // held while a word is taken in: lists reach the module in one order
	generation      uint64     // under taking, as known
	known           bool
	scheduler       CallScheduler
	publish         func(ListUpdate)
	origin          string        // what the list is that is served by: told, relayed, kept; under taking
	updatedAt       time.Time     // and when it was last said
	olderSince      time.Time     // lists came that are older than the one held; zero: none did; Run's alone
	continuesWatch  bool          // the next call carries a watch on; Run's alone
	sourceChanged   bool          // the list service is another one, and has said nothing yet; Run's to write, under taking
	failures        int           // calls in a row; Run's alone
	lastWait        time.Duration // the wait that the last call named; Run's alone
	hurriedRetries  int           // of them, those after which the next was made by the time its word was due; Run's alone
	lastFailureTime time.Duration // how long the last call that failed took; Run's alone
	timeouts        int           // calls without a sign in a row; Run's alone
	strain          int           // what the service is spared, after calls that failed; Run's alone
	listCallTime    time.Duration // what a call for the list takes, lately; 0: not seen; Run's alone

	mu        sync.Mutex
	current   *discoverySource
	freshness freshnessDeadline // when the list held counts as out of date
	latest    listResponse      // the whole list as last told, for the process that takes over
	listed    sync.Map          // ids of workers that discovery has named, ever
	synced    chan struct{}     // closed at the first word of discovery

	relayed chan struct{} // one waits in it where a relayed list was taken in since the last call
}

// discoverySource is one address of discovery, with its own connections. Its context
// ends when another takes its place, and with it whatever call is out.
type discoverySource struct {
	addr   string
	client *http.Client
	ctx    context.Context
	close  func()
}

// discoveryTransport makes the connections to one address of discovery.
var discoveryTransport = func() http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second,
	}
}

func newSource(addr string) *discoverySource {
	s := &discoverySource{addr: addr, client: &http.Client{Transport: discoveryTransport()}}
	s.ctx, s.close = context.WithCancel(context.Background())
	return s
}

// SwitchSource goes over to another address, or begins anew at the same one. The list
// held so far stays in use until the new source has told its own, but not past
// sourceChangeDue: from then on a worker that drains counts as told of, and which ones do is
// not known, so nothing new goes to any until the word is there. Where nobody listens
// (a wrong address, or discovery is down) there is no word to be missed, and the old list
// goes on serving. Requests and what was learned of workers stay whatever it tells. A
// further move while a word is awaited does not put off when it is due.
func (t *ServerTable) SwitchSource(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.close()
	t.current.client.CloseIdleConnections()
	t.current = newSource(addr)
	t.endStartup() // whatever the place that it has left had to tell
	t.freshness.require(time.Now().Add(sourceChangeDue), 0, causeSourceChanged, t.expire)
}

func (t *ServerTable) source() *discoverySource {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

type listResponse struct {
	Generation *uint64     `json:"generation"`
	Reset      bool        `json:"reset"`
	Instances  []listEntry `json:"instances"`
}

type listEntry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	Priority    int     `json:"priority,omitempty"` // ours, for fixed lists: the lower the better
	StartedAtMs float64 `json:"startedAtMs"`
}

// NewServerTable makes the table and tells the list last known. The broker says when to
// ask; tell takes what the roster says, in the form in which it said it.
func NewServerTable(live *config.InForce, b *broker.Broker, tell func(dispatch.ListForm, []membership.Worker), log func(string)) (*ServerTable, error) {
	cfg := live.Get()
	t := &ServerTable{live: live, broker: b, deliver: tell, log: log, origin: "kept", draw: rand.Float64, current: newSource(cfg.Discovery), synced: make(chan struct{}),
		relayed: make(chan struct{}, 1)}
	var known listResponse
	if len(cfg.KnownList) > 0 {
		if err := json.Unmarshal(cfg.KnownList, &known); err != nil {
			return nil, &KnownListError{err}
		}
	}
	if known.Generation != nil {
		t.generation, t.known = *known.Generation, true
	}
	b.SetListedByDiscovery(func(worker string) bool { _, ok := t.listed.Load(worker); return ok })
	t.updateSnapshot(known, true)
	t.deliver(dispatch.ListCached, workersFrom(known.Instances))
	t.requireAtStartup()
	return t, nil
}

// updateSnapshot keeps the whole list up to date.
func (t *ServerTable) updateSnapshot(reply listResponse, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		t.latest.Instances = nil
	}
	for _, e := range reply.Instances {
		t.listed.Store(e.InstanceID, true)
		t.latest.Instances = slices.DeleteFunc(t.latest.Instances, func(old listEntry) bool { return old.InstanceID == e.InstanceID })
		if e.Lifecycle != "DELETED" {
			t.latest.Instances = append(t.latest.Instances, e)
		}
	}
	t.latest.Generation, t.latest.Reset = reply.Generation, true
}

// size is how many loan workers are known.
func (t *ServerTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.latest.Instances)
}

// Snapshot is the whole list as last told, in the form of the configuration's known.
func (t *ServerTable) Snapshot() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, _ := json.Marshal(t.latest)
	return text
}

// Synced is closed once discovery has told the list.
func (t *ServerTable) Synced() <-chan struct{} { return t.synced }

// workersFrom words entries of the roster as what a source says.
func workersFrom(in []listEntry) []membership.Worker {
	out := make([]membership.Worker, 0, len(in))
	for _, e := range in {
		if e.InstanceID == "" {
			continue
		}
		w := membership.Worker{ID: e.InstanceID, Addr: e.HostPort, Cell: e.Cell, Weight: e.Weight, Priority: e.Priority,
			Zone: e.Zone, Kind: e.MachineType}
		switch e.Lifecycle {
		case "SERVING":
			w.State = membership.Serving
		case "DELETED":
			w.State = membership.Removed
		default:
			w.State = membership.Draining // an unknown state is not one to send to
		}
		if e.StartedAtMs > 0 {
			w.StartedAt = time.UnixMicro(int64(e.StartedAtMs * 1000))
		}
		out = append(out, w)
	}
	return out
}
