package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// sourceView is the evaluation of one record at the time of a merge.
type sourceView struct {
	source *sourceState
	record *record
	state  State  // as reported; Draining once the record is past its stale time, unless KeepStale
	reason string // text for Entry.Reason and Explain
	named  bool   // whether the source currently names the worker
}

// merge holds the data of one computation of the list.
type merge struct {
	catalog  *Catalog
	now      time.Time
	views    map[string][]sourceView // by worker id, in the order of preference of their sources
	idByAddr map[string]string       // worker id by address, from sources that identify workers by id or label
	list     List
}

// Merge computes the list as of now. It also ends retentions that are over and drops the
// connect failures of workers that no source reports any more.
func (c *Catalog) Merge(now time.Time) List {
	m := c.newMerge(now)
	for _, src := range c.sources {
		m.endRetention(src)
	}
	m.collectViews()
	for _, id := range slices.Sorted(maps.Keys(m.views)) {
		if e, ok := m.entry(id, m.views[id]); ok {
			m.list.Entries = append(m.list.Entries, e)
		}
	}
	m.applyPriorities()
	for id := range c.connectFailures {
		if _, ok := m.views[id]; !ok {
			delete(c.connectFailures, id)
		}
	}
	slices.Sort(m.list.Faults)
	return m.list
}

func (c *Catalog) newMerge(now time.Time) *merge {
	return &merge{catalog: c, now: now, views: map[string][]sourceView{}, idByAddr: map[string]string{}}
}

// collectViews assigns every record to its worker. It visits the records in a fixed
// order, because the list must not depend on the order of reports.
func (m *merge) collectViews() {
	m.resolveAddresses()
	for _, src := range m.catalog.sources {
		for _, key := range slices.Sorted(maps.Keys(src.records)) {
			m.assign(src, src.records[key])
		}
	}
}

func (m *merge) fault(format string, args ...any) {
	m.list.Faults = append(m.list.Faults, fmt.Sprintf(format, args...))
}

// recheckAt records a time at which the list may change without a new report.
func (m *merge) recheckAt(at time.Time) {
	if at.After(m.now) && (m.list.NextChange.IsZero() || at.Before(m.list.NextChange)) {
		m.list.NextChange = at
	}
}

// endRetention removes retained workers whose hold time is over or that no longer answer
// connects.
func (m *merge) endRetention(src *sourceState) {
	for key, r := range src.records {
		if r.RetainedSince.IsZero() {
			continue
		}
		if end := r.RetainedSince.Add(src.ShrinkHoldTime); m.now.Before(end) &&
			!m.catalog.unreachable(m.catalog.listedID(src, r)) {
			m.recheckAt(end)
			continue
		}
		src.markRemoved(m.now, r)
		m.catalog.dropUnneededTombstone(src, key, r)
	}
}

// assign adds the view of a record to its worker. An entry whose claimed id contradicts
// the roster is a fault, and is not listed.
func (m *merge) assign(src *sourceState, r *record) {
	v := m.view(src, r)
	id := src.claimedID(r)
	switch owner, ok := m.idByAddr[r.Addr]; {
	case !ok:
	case src.Identity == ByHostPort:
		id = owner
	case src.Identity == ByLabel && owner != id && v.named && m.rosterHas(owner, r.Addr):
		m.fault("%s: %s at %s claims the id %q, but the address is %q's in the roster: not listed",
			src.Name, r.Target, r.Addr, id, owner)
		return
	}
	m.views[id] = append(m.views[id], v)
}

// view evaluates a record as of now: as reported, retained, stale, or past its stale
// time.
func (m *merge) view(src *sourceState, r *record) sourceView {
	v := sourceView{source: src, record: r, state: r.State, named: r.State != Removed}
	v.reason = fmt.Sprintf("%s: %s since %s", src.Name, r.State, clockText(r.Since))
	switch {
	case r.State == Removed:
	case !r.RetainedSince.IsZero():
		v.reason = fmt.Sprintf("%s: missing since %s, held: the list shrank too much at once",
			src.Name, clockText(r.RetainedSince))
	case !r.ExpiresAt.IsZero() && m.now.Before(r.ExpiresAt):
		m.recheckAt(r.ExpiresAt)
	case !r.ExpiresAt.IsZero():
		m.applyStaleness(&v)
	}
	return v
}

// applyStaleness applies serve-stale (RFC 8767) to the view of a record that is past its
// lifetime.
func (m *merge) applyStaleness(v *sourceView) {
	src, r := v.source, v.record
	end := r.ExpiresAt.Add(src.StaleTTL)
	expiredFor := m.now.Sub(r.ExpiresAt).Truncate(time.Second)
	switch {
	case m.now.Before(end):
		m.recheckAt(end)
		v.reason = fmt.Sprintf("%s: lapsed %v ago, kept: resolver silent", src.Name, expiredFor)
	case src.KeepStale:
		v.reason = fmt.Sprintf("%s: lapsed %v ago, kept without end: resolver silent", src.Name, expiredFor)
	default:
		v.state, v.named = Draining, false
		v.reason = fmt.Sprintf("%s: lapsed %v ago, past its stale time of %v", src.Name, expiredFor, src.StaleTTL)
	}
}

func clockText(t time.Time) string { return t.UTC().Format("15:04:05") }

// authoritative reports whether a drain or removal by this source overrides other sources.
func (m *merge) authoritative(src *sourceState) bool {
	return m.catalog.cfg.Rule != RuleRosterVetoes || src.Identity == ByID
}

// decision holds the views that determine a worker's entry; any may be nil.
type decision struct {
	veto    *sourceView // the earliest drain or removal by an authoritative source
	serving *sourceView // the first that names the worker and is not an authoritative drain
	expired *sourceView // the first that reports the worker as serving, but is past its stale time
	details *sourceView // the first that names the worker; else expired
}

func (m *merge) decide(views []sourceView) (d decision) {
	for i := range views {
		v := &views[i]
		switch {
		case v.record.State != Serving && m.authoritative(v.source):
			if d.veto == nil || v.record.Since.Before(d.veto.record.Since) {
				d.veto = v
			}
		case v.named && d.serving == nil:
			d.serving = v
		case v.record.State == Serving && !v.named && d.expired == nil:
			d.expired = v
		}
		if v.named && d.details == nil {
			d.details = v
		}
	}
	if d.details == nil {
		d.details = d.expired
	}
	return d
}

// entry returns the entry of one worker, and false if no source names the worker any more.
func (m *merge) entry(id string, views []sourceView) (Entry, bool) {
	views = m.dropConflictingClaims(id, views)
	e := Entry{ID: id, names: []string{id}}
	for i := range views {
		r := views[i].record
		e.names = append(e.names, r.Addr)
		if r.Target != "" {
			e.names = append(e.names, r.Target)
		}
	}
	d := m.decide(views)
	if d.details == nil {
		return e, false // no source names the worker
	}
	switch {
	case d.veto != nil:
		e.SourceState, e.Reason = Draining, d.veto.reason
	case d.serving != nil:
		e.SourceState, e.Reason = Serving, d.serving.reason
	default:
		e.SourceState, e.Reason = Draining, d.expired.reason
	}
	if m.catalog.cfg.Rule == RuleAll && e.SourceState == Serving {
		m.requireAllSources(&e, views)
	}
	m.fillDetails(&e, d.details, views)
	e.State = e.SourceState
	if slices.ContainsFunc(e.names, func(n string) bool { return m.catalog.banned[n] }) {
		e.Banned, e.State, e.Reason = true, Draining, "operator: called out"
	}
	return e, true
}

// requireAllSources drains a worker unless every source that has reported anything names it.
func (m *merge) requireAllSources(e *Entry, views []sourceView) {
	for _, src := range m.catalog.sources {
		if src.reported && !slices.ContainsFunc(views, func(v sourceView) bool { return v.source == src && v.named }) {
			e.SourceState, e.Reason = Draining, src.Name+": does not name it, and the rule asks for all"
			return
		}
	}
}

// fillDetails sets the fields of an entry that do not concern its state.
func (m *merge) fillDetails(e *Entry, details *sourceView, views []sourceView) {
	r := details.record
	e.Addr, e.Zone, e.Kind, e.Cell, e.Weight, e.Priority = r.Addr, r.Zone, r.Kind, r.Cell, r.Weight, r.Priority
	e.pool = details.source.Name
	if details.source.Identity == ByID {
		e.pool += " " + r.Kind
	}
	prioritySet := false
	for i := range views {
		v := &views[i]
		if !v.named {
			continue
		}
		if e.StartedAt = later(e.StartedAt, v.record.StartedAt); details.source.Identity != ByID {
			e.StartedAt = later(e.StartedAt, v.record.InferredStart)
		}
		// Weights and priorities are comparable only within one list of names.
		if v.source.Identity != ByID && !prioritySet {
			prioritySet, e.Priority, e.pool = true, v.record.Priority, v.source.Name
			if details.source.Identity != ByID || e.Weight == 0 {
				e.Weight = v.record.Weight
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// dropConflictingClaims drops the views of workers that claim an id which another worker
// claimed first. Two claims conflict if their addresses differ, and their targets or ports
// differ too. Only entries identified by label can conflict.
func (m *merge) dropConflictingClaims(id string, views []sourceView) []sourceView {
	var first *sourceView
	for i := range views {
		v := &views[i]
		if v.source.Identity != ByLabel || !v.named {
			continue
		}
		if first == nil || cmp.Or(v.record.FirstNamed.Compare(first.record.FirstNamed),
			cmp.Compare(v.source.preference, first.source.preference),
			strings.Compare(v.record.key(), first.record.key())) < 0 {
			first = v
		}
	}
	if first == nil {
		return views
	}
	return slices.DeleteFunc(views, func(v sourceView) bool {
		conflicts := v.source.Identity == ByLabel && v.named && v.record.Addr != first.record.Addr &&
			(v.record.Target != first.record.Target || port(v.record.Addr) != port(first.record.Addr))
		if conflicts {
			m.fault("id %q: %s at %s (%s) claims it beside %s at %s (%s), who had it first: not listed",
				id, v.record.Target, v.record.Addr, v.source.Name, first.record.Target, first.record.Addr, first.source.Name)
		}
		return conflicts
	})
}
