package platform

// This file owns the server table: the list of loan workers as discovery tells
// it, one source of membership beside others, and the watch that keeps it fresh. The module says when to ask, and backs
// off when a call fails; nothing here asks on its own but to carry on a watch.
// It must never send anything to a loan worker or judge one.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"linnetlift"
	"linnetlift/internal/broker"
	"linnetlift/internal/cadence"
	"linnetlift/internal/config"
	"linnetlift/internal/membership"
	"linnetlift/internal/timers"
)

const (
	// watchWait is how long one watch call may wait. Discovery's word counts as
	// told 2 s after that wait ends, so a call lost without a sign must be given
	// up before then, and soon: the list is old meanwhile.
	watchWait  = 5 * time.Second
	watchSlack = 1500 * time.Millisecond
	// listWait bounds a call for the whole list, so that a lost one leaves time for another.
	listWait = 1500 * time.Millisecond
	// moveDue is how long after a move (SIGHUP) all that the new address has to tell
	// counts as told, whether it came or not: the operators' page of reloads.
	moveDue = 4 * time.Second
	maxList = 8 << 20
)

// Table follows discovery.
type Table struct {
	live   *config.Live
	broker *broker.Broker
	tell   func(linnetlift.ListForm, []membership.Worker)
	log    func(string)
	draw   func() float64 // uniform in [0, 1), for pauses; Run's alone

	generation uint64
	known      bool
	failed     int           // calls in a row; Run's alone
	seen       time.Duration // what a call for the list takes, lately; 0: not seen; Run's alone

	mu     sync.Mutex
	now    *source
	due    time.Time     // when the word of a place that discovery has moved to counts as told; zero: none is awaited
	fence  *time.Timer   // at due
	nobody bool          // the last call since then was refused: nobody is there to tell anything
	latest tableReply    // the whole list as last told, for the process that takes over
	heard  chan struct{} // closed at the first word of discovery
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

// Follow goes over to another address, or begins anew at the same one. The list
// held so far stays in use until the new source has told its own, but not past
// moveDue: from then on a worker that drains counts as told of, and which ones do is
// not known, so nothing new goes to any until the word is there. Where nobody listens
// (a wrong address, or discovery is down) there is no word to be missed, and the old list
// goes on serving. Requests and what was learned of workers stay whatever it tells. A
// further move while a word is awaited does not put off when it is due.
func (t *Table) Follow(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now.end()
	t.now.client.CloseIdleConnections()
	t.now = newSource(addr)
	// Where other sources tell of workers too, their rule says who vouches for one.
	if t.due.IsZero() && len(t.live.Get().SRV) == 0 {
		t.due, t.nobody = time.Now().Add(moveDue), false
		t.fence = time.AfterFunc(moveDue, t.blind)
	}
}

// blind ends the use of a list that counts as out of date.
func (t *Table) blind() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.due.IsZero() && !time.Now().Before(t.due) && !t.nobody && t.broker.Doubt(true) {
		t.log("server table: no word from where discovery has moved to; nothing new is sent until it comes")
	}
}

// failing notes how a call failed.
func (t *Table) failing(err error) {
	t.mu.Lock()
	t.nobody = errors.Is(err, syscall.ECONNREFUSED)
	t.mu.Unlock()
	t.blind()
}

// told ends what blind began, and the wait for it. The list of on, a word whole and
// handed on, is the one that was waited for unless discovery has moved again since.
func (t *Table) told(on *source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.due.IsZero() && t.now == on {
		t.due = time.Time{}
		t.fence.Stop()
		t.broker.Doubt(false)
	}
}

// left is the time until the word of a moved discovery is due; 0: none is awaited, or it
// is over.
func (t *Table) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.due.IsZero() {
		return 0
	}
	return max(time.Until(t.due), 0)
}

func (t *Table) source() *source {
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

// NewTable makes the table and tells the list last known. The broker says when to
// ask; tell takes what the roster says, in the form in which it said it.
func NewTable(live *config.Live, b *broker.Broker, tell func(linnetlift.ListForm, []membership.Worker), log func(string)) (*Table, error) {
	cfg := live.Get()
	t := &Table{live: live, broker: b, tell: tell, log: log, draw: rand.Float64, now: newSource(cfg.Discovery), heard: make(chan struct{})}
	var known tableReply
	if len(cfg.Known) > 0 {
		if err := json.Unmarshal(cfg.Known, &known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if known.Generation != nil {
		t.generation, t.known = *known.Generation, true
	}
	t.note(known, true)
	t.tell(linnetlift.ListCached, members(known.Instances))
	return t, nil
}

// note keeps the whole list up to date.
func (t *Table) note(reply tableReply, full bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if full {
		t.latest.Instances = nil
	}
	for _, e := range reply.Instances {
		t.latest.Instances = slices.DeleteFunc(t.latest.Instances, func(old tableEntry) bool { return old.InstanceID == e.InstanceID })
		if e.Lifecycle != "DELETED" {
			t.latest.Instances = append(t.latest.Instances, e)
		}
	}
	t.latest.Generation, t.latest.Reset = reply.Generation, true
}

// size is how many loan workers are known.
func (t *Table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.latest.Instances)
}

// State is the whole list as last told, in the form of the configuration's known.
func (t *Table) State() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	text, _ := json.Marshal(t.latest)
	return text
}

// Heard is closed once discovery has told the list.
func (t *Table) Heard() <-chan struct{} { return t.heard }

// Run follows discovery until ctx ends. A watch goes on for as long as the next
// call comes within 200 ms of the last answer, so the next one is made at once.
func (t *Table) Run(ctx context.Context) {
	on := t.source()
	context.AfterFunc(ctx, func() { t.source().end() })
	told := false
	first := func() time.Duration {
		if left := t.left(); left > 0 {
			return cadence.Due(t.dispatchers(), left, t.seen, t.draw())
		}
		return cadence.First(t.dispatchers(), t.draw())
	}
	next := time.Now().Add(first()) // the earliest moment of the next call
	for ask := true; ctx.Err() == nil; {
		if ask && t.broker.AwaitAsk(on.ctx) != nil && on.ctx.Err() == nil {
			return // the broker is closed
		}
		if now := t.source(); now != on {
			// Another address may tell another history: its generations mean nothing
			// beside the old ones, and its first word is the whole list, asked for now.
			on, t.known = now, false
			next = time.Now().Add(first())
			if ctx.Err() != nil {
				on.end()
			}
		}
		select {
		case <-time.After(timers.Ahead(time.Until(next))):
		case <-on.ctx.Done():
			ask = false
			continue
		}
		t.broker.Tracef("ask since=%d known=%t", t.generation, t.known)
		whole, began := !t.known, time.Now()
		reply, err := t.call(on)
		t.broker.Tracef("asked err=%v", err)
		switch {
		case on.ctx.Err() != nil:
			ask = false // replaced meanwhile: whatever came is the old source's word
		case err != nil:
			if t.failed++; t.failed == 1 { // once, not once a call: an outage makes many
				t.log(fmt.Sprintf("server table: %v; going on with %d loan workers known", err, t.size()))
			}
			t.failing(err)
			t.tell(linnetlift.ListFailed, nil)
			// Beside the module's own pause, which ends with its asking again.
			ask, next = true, time.Now().Add(cadence.AfterFailure(t.dispatchers(), t.failed, t.left(), t.draw()))
		default:
			if whole {
				t.seen = time.Since(began)
			}
			form := linnetlift.ListDelta
			if reply.Reset || !t.known {
				form = linnetlift.ListFull
			}
			if t.generation, t.known = *reply.Generation, true; !told {
				told = true
				close(t.heard)
				t.log(fmt.Sprintf("server table: first told, %d loan workers", len(reply.Instances)))
			}
			if t.failed > 0 {
				t.log(fmt.Sprintf("server table: told again after %d failed calls", t.failed))
				t.failed = 0
			}
			t.note(*reply, form == linnetlift.ListFull)
			t.tell(form, members(reply.Instances))
			t.told(on)
			ask, next = false, time.Now() // carried on within 200 ms, it is still the same watch
		}
	}
}

// Many dispatchers leave each other their time before they begin a watch (package
// cadence), and let one wait longer: one that ends with nothing costs a call.
const manyWait = 20 * time.Second

func (t *Table) dispatchers() int { return t.live.Get().Module.Dispatchers }

func (t *Table) call(on *source) (*tableReply, error) {
	url, limit := "http://"+on.addr+"/v1/servers", listWait
	if t.known {
		wait := watchWait
		if t.dispatchers() > cadence.Few {
			wait = manyWait
		}
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", t.generation, wait.Milliseconds())
		limit = wait + watchSlack
	} else if t.dispatchers() > cadence.Few {
		// A queue at discovery is likelier than a call lost without a sign, and one given
		// up has taken its turn all the same.
		limit = max(limit, t.left())
	}
	ctx, stop := context.WithTimeout(on.ctx, limit)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := on.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery answers %d", resp.StatusCode)
	}
	var reply tableReply
	if err := json.Unmarshal(text, &reply); err != nil {
		return nil, err
	}
	if reply.Generation == nil {
		return nil, errors.New("a list without generation")
	}
	// Workers go one by one, by entries that say so. A whole list of nobody is a fault of
	// the one who made it, and taken at its word it would end all service.
	if (reply.Reset || !t.known) && len(reply.Instances) == 0 && t.size() > 0 {
		return nil, errors.New("a whole list that names nobody")
	}
	return &reply, nil
}

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
			w.State = membership.Gone
		default:
			w.State = membership.Draining // an unknown state is not one to send to
		}
		if e.StartedAtMs > 0 {
			w.Started = time.UnixMicro(int64(e.StartedAtMs * 1000))
		}
		out = append(out, w)
	}
	return out
}
