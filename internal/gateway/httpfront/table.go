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
	live   *config.InForce
	broker *broker.Broker
	tell   func(dispatch.ListForm, []membership.Worker)
	log    func(string)
	draw   func() float64 // uniform in [0, 1), for pauses; Run's alone

	taking     sync.Mutex // held while a word is taken in: lists reach the module in one order
	generation uint64     // under taking, as known
	known      bool
	turns      CallScheduler
	share      func(ListUpdate)
	by         string        // what the list is that is served by: told, relayed, kept; under taking
	since      time.Time     // and when it was last said
	olderSince time.Time     // lists came that are older than the one held; zero: none did; Run's alone
	carry      bool          // the next call carries a watch on; Run's alone
	moved      bool          // the list service is another one, and has said nothing yet; Run's to write, under taking
	failed     int           // calls in a row; Run's alone
	waited     time.Duration // the wait that the last call named; Run's alone
	hurried    int           // of them, those after which the next was made by the time its word was due; Run's alone
	failTime   time.Duration // how long the last call that failed took; Run's alone
	silent     int           // calls without a sign in a row; Run's alone
	strain     int           // what the service is spared, after calls that failed; Run's alone
	seen       time.Duration // what a call for the list takes, lately; 0: not seen; Run's alone

	mu     sync.Mutex
	now    *source
	stale  staleness     // when the list held counts as out of date
	latest tableReply    // the whole list as last told, for the process that takes over
	named  sync.Map      // ids of workers that discovery has named, ever
	heard  chan struct{} // closed at the first word of discovery

	followed chan struct{} // one waits in it where a relayed list was taken in since the last call
}

// source is one address of discovery, with its own connections. Its context
// ends when another takes its place, and with it whatever call is out.
type source struct {
	addr   string
	client *http.Client
	ctx    context.Context
	end    func()
}

// discoveryTransport makes the connections to one address of discovery.
var discoveryTransport = func() http.RoundTripper {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second,
	}
}

func newSource(addr string) *source {
	s := &source{addr: addr, client: &http.Client{Transport: discoveryTransport()}}
	s.ctx, s.end = context.WithCancel(context.Background())
	return s
}

// SwitchSource goes over to another address, or begins anew at the same one. The list
// held so far stays in use until the new source has told its own, but not past
// moveDue: from then on a worker that drains counts as told of, and which ones do is
// not known, so nothing new goes to any until the word is there. Where nobody listens
// (a wrong address, or discovery is down) there is no word to be missed, and the old list
// goes on serving. Requests and what was learned of workers stay whatever it tells. A
// further move while a word is awaited does not put off when it is due.
func (t *ServerTable) SwitchSource(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now.end()
	t.now.client.CloseIdleConnections()
	t.now = newSource(addr)
	t.called() // whatever the place that it has left had to tell
	t.stale.await(time.Now().Add(moveDue), 0, listMoved, t.expire)
}

func (t *ServerTable) source() *source {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now
}

type tableReply struct {
	Generation *uint64      `json:"generation"`
	Reset      bool         `json:"reset"`
	Instances  []tableEntry `json:"instances"`
}

type tableEntry struct {
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
	t := &ServerTable{live: live, broker: b, tell: tell, log: log, by: "kept", draw: rand.Float64, now: newSource(cfg.Discovery), heard: make(chan struct{}),
		followed: make(chan struct{}, 1)}
	var known tableReply
	if len(cfg.KnownList) > 0 {
		if err := json.Unmarshal(cfg.KnownList, &known); err != nil {
			return nil, &KnownListError{err}
		}
	}
	if known.Generation != nil {
		t.generation, t.known = *known.Generation, true
	}
	b.SetListedByDiscovery(func(worker string) bool { _, ok := t.named.Load(worker); return ok })
	t.note(known, true)
	t.tell(dispatch.ListCached, members(known.Instances))
	t.start()
	return t, nil
}

// note keeps the whole list up to date.
func (t *ServerTable) note(reply tableReply, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		t.latest.Instances = nil
	}
	for _, e := range reply.Instances {
		t.named.Store(e.InstanceID, true)
		t.latest.Instances = slices.DeleteFunc(t.latest.Instances, func(old tableEntry) bool { return old.InstanceID == e.InstanceID })
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
func (t *ServerTable) Synced() <-chan struct{} { return t.heard }

// members words entries of the roster as what a source says.
func members(in []tableEntry) []membership.Worker {
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
