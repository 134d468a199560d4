// Package sources feeds what the sources of loan workers report into the merged
// list (package membership), and passes changes of that list on to the broker.
//
// It owns the catalog, its clock and its one timer, the resolvers of DNS lists, and
// the log lines about members. Reports of the roster and operators' bans are passed
// on at once, changes from lists of names at most once every PublishInterval. The
// package never decides who is a member, which is membership's task, and never
// delays a drain that the roster reports.
package sources

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// Hooks are called on changes of the list, with the Merger's lock held: they must
// not call back.
type Hooks struct {
	Log            func(string)
	AddressRetired func(addr string) // a worker is no longer reached there
}

// Merger merges the sources and publishes the list to the broker. Its methods may be
// called from any goroutine. Close ends what it started.
type Merger struct {
	inForce         *config.InForce
	broker          *broker.Broker
	hooks           Hooks
	observeConnects atomic.Bool // whether outcomes of connects bear on the list

	mu            sync.Mutex
	catalog       *membership.Catalog
	bans          []string // as operators gave them: ids, addresses or targets
	merged        membership.List
	published     map[string]membership.Entry // what the broker has, by id
	publishCount  int
	lastPublished time.Time
	recheckTimer  *time.Timer             // for the next publishOrDefer; nil: none needed yet
	resolvers     map[string]*resolverRun // by the source's name
	log           changeLog
	closed        bool
}

// New makes a merger under the configuration in force. No resolver runs before
// SyncResolvers.
func New(inForce *config.InForce, b *broker.Broker, hooks Hooks) (*Merger, error) {
	catalog, err := membership.New(inForce.Get().MembershipConfig())
	if err != nil {
		return nil, err
	}
	m := &Merger{inForce: inForce, broker: b, hooks: hooks, catalog: catalog, published: map[string]membership.Entry{},
		resolvers: map[string]*resolverRun{}, log: changeLog{write: hooks.Log, retained: map[string]bool{}}}
	b.SetOutcomeObserver(m.observeOutcome)
	return m, nil
}

// Restore takes over the Snapshot of another process, before SyncResolvers.
func (m *Merger) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.Restore(snapshot)
}

// Snapshot returns all that the sources have reported, for the process that takes
// over. It is nil where there is only the roster, whose list is handed over by itself.
func (m *Merger) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.resolvers) == 0 {
		return nil
	}
	text, err := m.catalog.Snapshot()
	if err != nil {
		m.hooks.Log("membership: what the sources said is not handed over: " + err.Error())
	}
	return text
}

// Close ends all resolvers and the timer; the list stays as it is.
func (m *Merger) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, r := range m.resolvers {
		r.stop()
	}
	if m.recheckTimer != nil {
		m.recheckTimer.Stop()
	}
}

// Reconfigure applies the configuration now in force: the rule, the sources, and the
// indices of zones and kinds. It returns the error of an invalid configuration and
// keeps the one before then.
func (m *Merger) Reconfigure() error {
	m.mu.Lock()
	err := m.catalog.Configure(m.inForce.Get().MembershipConfig())
	if err == nil {
		clear(m.published) // zones and kinds may have other indices: everything is published again
		m.publish(dispatch.ListOverride, nil)
	}
	m.mu.Unlock()
	m.SyncResolvers()
	return err
}

// UpdateRoster applies the roster's report, of the given form, and publishes at once.
func (m *Merger) UpdateRoster(form dispatch.ListForm, workers []membership.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if form == dispatch.ListFailed {
		m.catalog.SetUnresponsive(time.Now(), membership.RosterSource, true)
		m.broker.UpdateWorkers(form, nil)
		return
	}
	if err := m.catalog.Update(time.Now(), membership.RosterSource, completeForm(form), workers); err != nil {
		m.hooks.Log("server table: " + err.Error())
	}
	m.publish(form, workers)
}

// completeForm reports whether a list of that form has every worker.
func completeForm(form dispatch.ListForm) bool {
	return form == dispatch.ListFull || form == dispatch.ListCached
}

// SetBanned replaces the names of workers that get nothing new, from this call on.
// A worker may be named by its id, address or target.
func (m *Merger) SetBanned(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bans = slices.Clone(names)
	m.catalog.SetBanned(names)
	m.publish(dispatch.ListOverride, nil)
}

// observeOutcome records how an attempt at a worker ended, where that bears on the list.
func (m *Merger) observeOutcome(worker string, code broker.Code) {
	if !m.observeConnects.Load() {
		return
	}
	answered := code == broker.OK || code == broker.Failed || code == broker.Rejected || code == broker.BadRequest
	if !answered && code != broker.ConnectFailed {
		return // it does not say whether the worker can be reached
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.catalog.ObserveConnect(time.Now(), worker, answered) && !m.closed {
		m.publishOrDefer()
	}
}
