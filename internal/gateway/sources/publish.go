package sources

import (
	"slices"
	"time"

	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/scheduling/dispatch"
)

// publishOrDefer publishes what has changed, now or once PublishInterval has passed.
// The caller holds mu.
func (m *Merger) publishOrDefer() {
	if rest := time.Until(m.lastPublished.Add(m.inForce.Get().Membership.PublishInterval.Duration)); rest > 0 {
		m.scheduleRecheck(rest)
		return
	}
	m.publish(dispatch.ListOverride, nil)
}

// scheduleRecheck sets the one timer to call publishOrDefer after a while, instead of
// at the time it was set to. The caller holds mu.
func (m *Merger) scheduleRecheck(after time.Duration) {
	if m.recheckTimer == nil {
		m.recheckTimer = time.AfterFunc(after, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.closed {
				m.publishOrDefer()
			}
		})
		return
	}
	m.recheckTimer.Reset(after)
}

// publish merges and gives the broker the list in the given form: complete, or what
// has changed together with the workers that the roster named. The caller holds mu.
func (m *Merger) publish(form dispatch.ListForm, named []membership.Worker) {
	now := time.Now()
	list := m.catalog.Merge(now)
	c := m.changes(list, completeForm(form), named)
	m.log.joined += c.joined
	m.log.left += c.left
	m.merged, m.published = list, c.entries
	m.observeConnects.Store(len(m.resolvers) > 0 || len(c.priorities) > 1)
	m.pushBans(c.banned)
	// The list service's own report goes on even if it is empty: it answers a call.
	if form != dispatch.ListOverride || len(c.workers) > 0 {
		m.lastPublished = now
		m.publishCount++
		m.broker.UpdateWorkers(form, c.workers)
	}
	for _, addr := range c.retiredAddrs {
		m.hooks.AddressRetired(addr)
	}
	// With the roster alone, and no fault, the server table's own log lines say it all.
	if len(m.resolvers) > 0 || len(m.merged.Faults) > 0 {
		m.log.report(now, m.merged, m.catalog.Summaries())
	}
	if !list.NextChange.IsZero() {
		m.scheduleRecheck(max(time.Until(list.NextChange), time.Millisecond))
	}
}

// changes is how a merged list differs from the one published before.
type changes struct {
	entries      map[string]membership.Entry // the new list by id
	workers      []broker.Worker             // what the broker is updated with
	priorities   map[int]bool                // that occur
	banned       []string                    // ids
	retiredAddrs []string
	joined, left int // workers that serve now, or serve no longer
}

// changes compares a new list with the published one. A complete publication has
// every worker, any other those that changed and those that the roster named.
func (m *Merger) changes(list membership.List, complete bool, named []membership.Worker) changes {
	c := changes{entries: make(map[string]membership.Entry, len(list.Entries)), priorities: map[int]bool{}}
	isNamed := map[string]bool{}
	for _, w := range named {
		isNamed[w.ID] = true
	}
	for _, e := range list.Entries {
		old, known := m.published[e.ID]
		c.add(e, old, known)
		if complete || isNamed[e.ID] || !known || !sameToBroker(old, e) {
			c.workers = append(c.workers, m.brokerWorker(e))
		}
	}
	for _, w := range named { // reported as removed, or never known
		if _, ok := c.entries[w.ID]; !ok && !complete && w.ID != "" {
			c.workers = append(c.workers, broker.Worker{ID: w.ID, Addr: w.Addr, State: dispatch.Removed})
		}
	}
	for _, e := range m.merged.Entries {
		if _, ok := c.entries[e.ID]; ok {
			continue
		}
		c.left++
		if !complete && !isNamed[e.ID] {
			c.workers = append(c.workers, broker.Worker{ID: e.ID, State: dispatch.Removed})
		}
	}
	return c
}

// add counts an entry of the new list against the published one, if it was known.
func (c *changes) add(e, old membership.Entry, known bool) {
	c.entries[e.ID] = e
	c.priorities[e.Priority] = true
	if e.Banned {
		c.banned = append(c.banned, e.ID)
	}
	if known && old.Addr != e.Addr {
		c.retiredAddrs = append(c.retiredAddrs, old.Addr)
	}
	if known && old.SourceState == e.SourceState {
		return
	}
	if e.SourceState == membership.Serving {
		c.joined++
	} else if known {
		c.left++
	}
}

// sameToBroker reports whether brokerWorker makes the same of both.
func sameToBroker(a, b membership.Entry) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell && a.Weight == b.Weight &&
		a.SourceState == b.SourceState && a.StartedAt.Equal(b.StartedAt)
}

// brokerWorker converts an entry for the broker, which knows zones and kinds by their
// index in the configuration, and keeps the bans apart from the state.
func (m *Merger) brokerWorker(e membership.Entry) broker.Worker {
	cfg := m.inForce.Get()
	w := broker.Worker{ID: e.ID, Addr: e.Addr, Cell: e.Cell, Weight: e.Weight, StartedAt: e.StartedAt,
		Zone: slices.Index(cfg.Zones, e.Zone), Kind: slices.Index(cfg.Kinds, e.Kind), State: dispatch.Draining}
	if e.SourceState == membership.Serving {
		w.State = dispatch.Ready
	}
	return w
}

// pushBans gives the broker the banned names and the ids of banned workers. The caller
// holds mu.
func (m *Merger) pushBans(ids []string) {
	all := slices.Concat(m.bans, ids)
	slices.Sort(all)
	for _, addr := range m.broker.SetBanned(slices.Compact(all)) {
		m.hooks.AddressRetired(addr)
	}
}
