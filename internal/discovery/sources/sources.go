// Package sources carries what the sources of loan workers tell to the merged list
// (package membership), and its changes on to the broker.
//
// It owns the book, its clock and its one timer, the followers of DNS lists, and
// the log's lines about members. The roster's word and an operator's are handed on
// at once, changes from lists of names at most once every PublishInterval. It must never
// decide who is a member, that is membership's, and never keep a drain back.
package sources

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/discovery/srv"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

// Hooks are what the list's changes mean to others.
type Hooks struct {
	Log            func(string)
	AddressRetired func(addr string) // a worker is no longer reached there
}

// Merger merges and hands on. Its methods may be called from any goroutine.
type Merger struct {
	live   *config.InForce
	broker *broker.Broker
	hooks  Hooks
	watch  atomic.Bool // whether connects bear on the list

	mu       sync.Mutex
	book     *membership.Catalog
	bans     []string // as spoken by operators
	list     membership.List
	shown    map[string]membership.Entry // as the broker has them, by id
	times    int                         // that the broker was told of a change
	told     time.Time                   // when the broker was last told of a change
	timer    *time.Timer                 // for the next look; nil: none needed yet
	names    map[string]*follower        // by the source's name
	saidLine time.Time
	plus     int // changes not yet logged
	minus    int
	held     map[string]bool
	faults   []string
	closed   bool
}

// follower is one running resolver.
type follower struct {
	cfg      config.SRV
	resolver *srv.Resolver
	stop     context.CancelFunc
	failing  bool
}

// New makes the merger under the settings in force. Nothing is followed yet.
func New(live *config.InForce, b *broker.Broker, hooks Hooks) (*Merger, error) {
	book, err := membership.New(live.Get().MembershipConfig())
	if err != nil {
		return nil, err
	}
	s := &Merger{live: live, broker: b, hooks: hooks, book: book, shown: map[string]membership.Entry{},
		names: map[string]*follower{}, held: map[string]bool{}}
	b.SetOutcomeObserver(s.heard)
	return s, nil
}

// Restore takes over what another process's sources had said, before Follow.
func (s *Merger) Restore(state []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.Restore(state)
}

// Snapshot is all that the sources have said, for the process that takes over.
func (s *Merger) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.names) == 0 {
		return nil // the roster's list goes over by itself
	}
	text, err := s.book.Snapshot()
	if err != nil {
		s.hooks.Log("membership: what the sources said is not handed over: " + err.Error())
	}
	return text
}

// SyncResolvers begins to follow the lists in DNS that the settings name, and ends those
// that they no longer do.
func (s *Merger) SyncResolvers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	cfg := s.live.Get()
	keep := map[string]bool{}
	for _, c := range cfg.SRV {
		keep[c.Name] = true
		old := s.names[c.Name]
		if old != nil {
			if reflect.DeepEqual(old.cfg, c) {
				continue
			}
			old.stop()
		}
		ctx, stop := context.WithCancel(context.Background())
		f := &follower{cfg: c, resolver: srv.New(c.ResolverConfig()), stop: stop}
		s.names[c.Name] = f
		go f.resolver.Run(ctx, func(u srv.Update) { s.update(f, u) })
	}
	for name, f := range s.names {
		if !keep[name] {
			f.stop()
			delete(s.names, name)
		}
	}
}

// Close ends all followers; the list stays as it is.
func (s *Merger) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, f := range s.names {
		f.stop()
	}
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Reconfigure puts the settings now in force to use: the rule, the sources, and the
// places of zones and kinds. The settings must be sound.
func (s *Merger) Reconfigure() error {
	s.mu.Lock()
	err := s.book.Configure(s.live.Get().MembershipConfig())
	if err == nil {
		clear(s.shown) // places may be others: all is told anew
		s.publish(dispatch.ListOverride, nil)
	}
	s.mu.Unlock()
	s.SyncResolvers()
	return err
}

// UpdateRoster takes in the roster's word, of the given form, and hands it on at once.
func (s *Merger) UpdateRoster(form dispatch.ListForm, workers []membership.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if form == dispatch.ListFailed {
		s.book.SetUnresponsive(time.Now(), membership.RosterSource, true)
		s.broker.UpdateWorkers(form, nil)
		return
	}
	whole := form == dispatch.ListFull || form == dispatch.ListCached
	if err := s.book.Update(time.Now(), membership.RosterSource, whole, workers); err != nil {
		s.hooks.Log("server table: " + err.Error())
	}
	s.publish(form, workers)
}

// update takes in what a resolver has found.
func (s *Merger) update(f *follower, u srv.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.names[f.cfg.Name] != f {
		return // replaced meanwhile
	}
	if u.Err != nil {
		if s.book.SetUnresponsive(u.At, f.cfg.Name, true); !f.failing {
			f.failing = true
			s.hooks.Log(fmt.Sprintf("source %s: no answer, going on with what is known: %s", f.cfg.Name, oneLine(u.Err)))
		}
		s.due()
		return
	}
	if f.failing {
		f.failing = false
		s.hooks.Log(fmt.Sprintf("source %s: answers again", f.cfg.Name))
	}
	if err := s.book.Update(u.At, f.cfg.Name, true, workers(f.cfg, u.Records)); err != nil {
		s.hooks.Log(fmt.Sprintf("source %s: %s", f.cfg.Name, oneLine(err)))
	}
	s.due()
}

func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// workers words SRV records as members. A weight counts against the mean of its
// priority, so that 1 is usual, as it is in a roster; the least that a weight of
// 0 leaves is "a very small chance" (RFC 2782).
func workers(cfg config.SRV, records []srv.Record) []membership.Worker {
	sum, n := map[uint16]float64{}, map[uint16]float64{}
	for _, r := range records {
		sum[r.Priority] += float64(r.Weight)
		n[r.Priority]++
	}
	out := make([]membership.Worker, 0, len(records))
	for _, r := range records {
		weight := 1.0
		if total := sum[r.Priority]; total > 0 {
			weight = max(float64(r.Weight)*n[r.Priority]/total, 0.05)
		}
		out = append(out, membership.Worker{Target: r.Target, Addr: r.Addr.String(), Zone: cfg.Zone, Kind: cfg.Kind, Cell: cfg.Cell,
			Weight: weight, Priority: int(r.Priority), ExpiresAt: r.ExpiresAt})
	}
	return out
}

// due hands on what has changed, now or once PublishInterval has passed. The caller
// holds mu.
func (s *Merger) due() {
	if rest := time.Until(s.told.Add(s.live.Get().Membership.PublishInterval.Duration)); rest > 0 {
		s.look(rest)
		return
	}
	s.publish(dispatch.ListOverride, nil)
}

// look sets the timer, unless it fires sooner already. The caller holds mu.
func (s *Merger) look(in time.Duration) {
	if s.timer == nil {
		s.timer = time.AfterFunc(in, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !s.closed {
				s.due()
			}
		})
		return
	}
	s.timer.Reset(in)
}

// publish merges, and hands the broker the list in the given form: whole, or what
// has changed together with those that the roster named. The caller holds mu.
func (s *Merger) publish(form dispatch.ListForm, named []membership.Worker) {
	now := time.Now()
	list := s.book.Merge(now)
	whole := form == dispatch.ListFull || form == dispatch.ListCached
	want := map[string]bool{}
	for _, w := range named {
		want[w.ID] = true
	}
	var out []broker.Worker
	next := make(map[string]membership.Entry, len(list.Entries))
	levels := map[int]bool{}
	var banned, moved []string
	for _, e := range list.Entries {
		next[e.ID] = e
		levels[e.Priority] = true
		if e.Banned {
			banned = append(banned, e.ID)
		}
		old, known := s.shown[e.ID]
		if known && old.Addr != e.Addr {
			moved = append(moved, old.Addr)
		}
		if !known || old.SourceState != e.SourceState {
			if e.SourceState == membership.Serving {
				s.plus++
			} else if known {
				s.minus++
			}
		}
		if whole || want[e.ID] || !known || !same(old, e) {
			out = append(out, s.worker(e))
		}
	}
	for _, w := range named { // told as gone, or never known
		if _, ok := next[w.ID]; !ok && !whole && w.ID != "" {
			out = append(out, broker.Worker{ID: w.ID, Addr: w.Addr, State: dispatch.Removed})
		}
	}
	for _, e := range s.list.Entries {
		if _, ok := next[e.ID]; ok {
			continue
		}
		s.minus++
		if !whole && !want[e.ID] {
			out = append(out, broker.Worker{ID: e.ID, State: dispatch.Removed})
		}
	}
	s.list, s.shown = list, next
	s.watch.Store(len(s.names) > 0 || len(levels) > 1)
	s.ban(banned)
	// The list service's own word goes on even if it is empty: it answers a call.
	if form != dispatch.ListOverride || len(out) > 0 {
		s.told = now
		s.times++
		s.broker.UpdateWorkers(form, out)
	}
	for _, addr := range moved {
		s.hooks.AddressRetired(addr)
	}
	s.report(now)
	if !list.NextChange.IsZero() {
		s.look(max(time.Until(list.NextChange), time.Millisecond))
	}
}

func same(a, b membership.Entry) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Weight == b.Weight &&
		a.SourceState == b.SourceState && a.StartedAt.Equal(b.StartedAt)
}

// worker words an entry for the broker, which knows zones and kinds by their
// places and holds bans itself.
func (s *Merger) worker(e membership.Entry) broker.Worker {
	cfg := s.live.Get()
	w := broker.Worker{ID: e.ID, Addr: e.Addr, Cell: e.Cell, Weight: e.Weight, StartedAt: e.StartedAt,
		Zone: slices.Index(cfg.Zones, e.Zone), Kind: slices.Index(cfg.Kinds, e.Kind), State: dispatch.Draining}
	if e.SourceState == membership.Serving {
		w.State = dispatch.Ready
	}
	return w
}

// SetBanned makes exactly these names the ones that get nothing new, from this call on.
// A worker may be named by its id, address or target.
func (s *Merger) SetBanned(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bans = slices.Clone(names)
	s.book.SetBanned(names)
	s.publish(dispatch.ListOverride, nil)
}

// ban tells the broker whom the operators' words concern. The caller holds mu.
func (s *Merger) ban(ids []string) {
	all := slices.Concat(s.bans, ids)
	slices.Sort(all)
	for _, addr := range s.broker.SetBanned(slices.Compact(all)) {
		s.hooks.AddressRetired(addr)
	}
}

// KnowsWorker tells whether a worker goes by that name.
func (s *Merger) KnowsWorker(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.list.Find(name)
	return ok || len(s.book.Explain(time.Now(), name)) > 0
}

// heard takes in how an attempt ended, where that bears on the list.
func (s *Merger) heard(worker string, code broker.Code) {
	if !s.watch.Load() {
		return
	}
	answered := code == broker.OK || code == broker.Failed || code == broker.Rejected || code == broker.BadRequest
	if !answered && code != broker.ConnectFailed {
		return // it tells nothing of whether the worker can be reached
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.ObserveConnect(time.Now(), worker, answered) && !s.closed {
		s.due()
	}
}

// report writes what has changed to the log, a line a second at most. The caller
// holds mu.
func (s *Merger) report(now time.Time) {
	if len(s.names) == 0 && len(s.list.Faults) == 0 {
		return // the roster alone: its own lines tell of it
	}
	for _, f := range s.list.Faults {
		if !slices.Contains(s.faults, f) {
			s.hooks.Log("membership: fault: " + f)
		}
	}
	s.faults = s.list.Faults
	for _, sum := range s.book.Summaries() {
		if held := sum.Retained > 0; held != s.held[sum.Name] {
			s.held[sum.Name] = held
			if held {
				s.hooks.Log(fmt.Sprintf("membership: %s: the list shrank by %d of %d at once: held while they answer", sum.Name, sum.Retained, sum.Retained+sum.Serving))
			} else {
				s.hooks.Log(fmt.Sprintf("membership: %s: nothing is held any more", sum.Name))
			}
		}
	}
	if s.plus+s.minus == 0 || now.Sub(s.saidLine) < time.Second {
		return
	}
	serving := 0
	for _, e := range s.list.Entries {
		if e.State == membership.Serving {
			serving++
		}
	}
	s.hooks.Log(fmt.Sprintf("membership: %d serving of %d listed (%d came, %d left)", serving, len(s.list.Entries), s.plus, s.minus))
	s.saidLine, s.plus, s.minus = now, 0, 0
}

// Describe is one line on every source.
func (s *Merger) Describe() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []string{fmt.Sprintf("rule %s, told %d times", s.live.Get().Membership.Rule, s.times)}
	for _, sum := range s.book.Summaries() {
		text := fmt.Sprintf("%s: %d serving, %d draining, %d held, %d tombstones", sum.Name, sum.Serving, sum.Draining, sum.Retained, sum.Tombstones)
		switch {
		case !sum.Reported && !sum.UnresponsiveSince.IsZero():
			text += fmt.Sprintf(", never answered, asked since %s", clock(sum.UnresponsiveSince))
		case !sum.Reported:
			text += ", not heard yet"
		case !sum.UnresponsiveSince.IsZero():
			text += ", silent since " + clock(sum.UnresponsiveSince)
		}
		if f := s.names[sum.Name]; f != nil {
			c := &f.resolver.Counters
			text += fmt.Sprintf(", %d questions (%d over TCP, %d timed out, %d refused, %d server failures, %d not answers, %d targets without address)",
				c.Questions.Load(), c.OverTCP.Load(), c.TimedOut.Load(), c.Refused.Load(), c.ServerFailed.Load(), c.Dropped(), c.Unresolved.Load())
		}
		out = append(out, text)
	}
	if n := len(s.list.Faults); n > 0 {
		out = append(out, fmt.Sprintf("%d faults: %s", n, s.list.Faults[0]))
	}
	return strings.Join(out, "; ")
}

func clock(t time.Time) string { return t.UTC().Format("15:04:05") }

// DescribeWorker is one line on one worker: who says what, and which word won.
func (s *Merger) DescribeWorker(name string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	says := s.book.Explain(time.Now(), name)
	e, ok := s.list.Find(name)
	if !ok && len(says) == 0 {
		return "", errors.New("no such loan worker")
	}
	if !ok {
		return fmt.Sprintf("%s: not listed; %s", name, strings.Join(says, "; ")), nil
	}
	return fmt.Sprintf("%s at %s: %s, by %s; said: %s", e.ID, e.Addr, e.State, e.Reason, strings.Join(says, "; ")), nil
}
