package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// statement is what one record says of a worker at the moment of a merge.
type statement struct {
	source *sourceState
	record *record
	state  State  // Draining once the record is past its lifetime and StaleTTL
	reason string // for Entry.Reason and Explain
	named  bool   // its source names the worker now
}

// merge is one computation of the list.
type merge struct {
	catalog    *Catalog
	now        time.Time
	statements map[string][]statement // by worker id, in the order of preference of their sources
	idByAddr   map[string]string      // of sources that have ids
	list       List
}

// Merge computes the list as of now. It also ends retentions that are over and
// forgets connect failures of workers that nobody reports any more.
func (c *Catalog) Merge(now time.Time) List {
	m := c.newMerge(now)
	for _, src := range c.sources {
		m.endRetention(src)
	}
	m.collectStatements()
	for _, id := range slices.Sorted(maps.Keys(m.statements)) {
		if e, ok := m.entry(id, m.statements[id]); ok {
			m.list.Entries = append(m.list.Entries, e)
		}
	}
	m.applyPriorities()
	for id := range c.connectFailures {
		if _, ok := m.statements[id]; !ok {
			delete(c.connectFailures, id)
		}
	}
	slices.Sort(m.list.Faults)
	return m.list
}

func (c *Catalog) newMerge(now time.Time) *merge {
	return &merge{catalog: c, now: now, statements: map[string][]statement{}, idByAddr: map[string]string{}}
}

// collectStatements assigns every record to the worker it speaks of. Records are
// taken in a fixed order, as the list may not depend on the order of reports.
func (m *merge) collectStatements() {
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

// recheckAt notes a moment at which the list may change by itself.
func (m *merge) recheckAt(at time.Time) {
	if at.After(m.now) && (m.list.NextChange.IsZero() || at.Before(m.list.NextChange)) {
		m.list.NextChange = at
	}
}

// endRetention removes retained workers whose time is over, or that answer no
// connects any more.
func (m *merge) endRetention(src *sourceState) {
	for key, r := range src.records {
		if r.RetainedSince.IsZero() {
			continue
		}
		if end := r.RetainedSince.Add(src.ShrinkHoldTime); m.now.Before(end) && !m.catalog.unreachable(m.catalog.listedID(src, r)) {
			m.recheckAt(end)
			continue
		}
		src.markRemoved(m.now, r)
		m.catalog.dropUnneededTombstone(src, key, r)
	}
}

// assign adds a record's statement to the worker it speaks of. An entry whose claimed
// id contradicts the roster is a fault, and is not listed.
func (m *merge) assign(src *sourceState, r *record) {
	st := m.statement(src, r)
	id := src.claimedID(r)
	switch owner, ok := m.idByAddr[r.Addr]; {
	case !ok:
	case src.Identity == ByHostPort:
		id = owner
	case src.Identity == ByLabel && owner != id && st.named && m.rosterHas(owner, r.Addr):
		m.fault("%s: %s at %s claims the id %q, but the address is %q's in the roster: not listed", src.Name, r.Target, r.Addr, id, owner)
		return
	}
	m.statements[id] = append(m.statements[id], st)
}

// statement says what a record is worth now: as reported, retained, stale, or past
// its stale time.
func (m *merge) statement(src *sourceState, r *record) statement {
	st := statement{source: src, record: r, state: r.State, named: r.State != Removed}
	st.reason = fmt.Sprintf("%s: %s since %s", src.Name, r.State, clockText(r.Since))
	switch {
	case r.State == Removed:
	case !r.RetainedSince.IsZero():
		st.reason = fmt.Sprintf("%s: missing since %s, held: the list shrank too much at once", src.Name, clockText(r.RetainedSince))
	case !r.ExpiresAt.IsZero() && m.now.Before(r.ExpiresAt):
		m.recheckAt(r.ExpiresAt)
	case !r.ExpiresAt.IsZero():
		m.applyStaleness(&st)
	}
	return st
}

// applyStaleness applies serve-stale (RFC 8767) to the statement of a record that is
// past its lifetime.
func (m *merge) applyStaleness(st *statement) {
	src, r := st.source, st.record
	end := r.ExpiresAt.Add(src.StaleTTL)
	lapsed := m.now.Sub(r.ExpiresAt).Truncate(time.Second)
	switch {
	case m.now.Before(end):
		m.recheckAt(end)
		st.reason = fmt.Sprintf("%s: lapsed %v ago, kept: resolver silent", src.Name, lapsed)
	case src.KeepStale:
		st.reason = fmt.Sprintf("%s: lapsed %v ago, kept without end: resolver silent", src.Name, lapsed)
	default:
		st.state, st.named = Draining, false
		st.reason = fmt.Sprintf("%s: lapsed %v ago, past its stale time of %v", src.Name, lapsed, src.StaleTTL)
	}
}

func clockText(t time.Time) string { return t.UTC().Format("15:04:05") }

// authoritative reports whether a source may take a worker out that it has named.
func (m *merge) authoritative(src *sourceState) bool {
	return m.catalog.cfg.Rule != RuleRosterVetoes || src.Identity == ByID
}

// deciding are the statements that decide a worker's entry; any may be nil.
type deciding struct {
	veto      *statement // the earliest by which an authoritative source takes the worker out
	serving   *statement // of the first source that has the worker serving
	lapsed    *statement // of the first source that had it serving, and is past its stale time
	describes *statement // of the first source that names the worker; else lapsed
}

func (m *merge) decide(statements []statement) (d deciding) {
	for i := range statements {
		st := &statements[i]
		switch {
		case st.record.State != Serving && m.authoritative(st.source):
			if d.veto == nil || st.record.Since.Before(d.veto.record.Since) {
				d.veto = st
			}
		case st.named && d.serving == nil:
			d.serving = st
		case st.record.State == Serving && !st.named && d.lapsed == nil:
			d.lapsed = st
		}
		if st.named && d.describes == nil {
			d.describes = st
		}
	}
	if d.describes == nil {
		d.describes = d.lapsed
	}
	return d
}

// entry makes one worker's entry; false if no source names it any more.
func (m *merge) entry(id string, statements []statement) (Entry, bool) {
	statements = m.uncontested(id, statements)
	e := Entry{ID: id, names: []string{id}}
	for i := range statements {
		r := statements[i].record
		e.names = append(e.names, r.Addr)
		if r.Target != "" {
			e.names = append(e.names, r.Target)
		}
	}
	d := m.decide(statements)
	if d.describes == nil {
		return e, false // tombstones alone
	}
	switch {
	case d.veto != nil:
		e.SourceState, e.Reason = Draining, d.veto.reason
	case d.serving != nil:
		e.SourceState, e.Reason = Serving, d.serving.reason
	default:
		e.SourceState, e.Reason = Draining, d.lapsed.reason
	}
	if m.catalog.cfg.Rule == RuleAll && e.SourceState == Serving {
		m.requireAllSources(&e, statements)
	}
	m.fillDetails(&e, d.describes, statements)
	e.State = e.SourceState
	if slices.ContainsFunc(e.names, func(n string) bool { return m.catalog.banned[n] }) {
		e.Banned, e.State, e.Reason = true, Draining, "operator: called out"
	}
	return e, true
}

// requireAllSources drains a worker that some source which has reported does not name.
func (m *merge) requireAllSources(e *Entry, statements []statement) {
	for _, src := range m.catalog.sources {
		if src.reported && !slices.ContainsFunc(statements, func(st statement) bool { return st.source == src && st.named }) {
			e.SourceState, e.Reason = Draining, src.Name+": does not name it, and the rule asks for all"
			return
		}
	}
}

// fillDetails sets everything but the worker's state.
func (m *merge) fillDetails(e *Entry, describes *statement, statements []statement) {
	r := describes.record
	e.Addr, e.Zone, e.Kind, e.Cell, e.Weight, e.Priority = r.Addr, r.Zone, r.Kind, r.Cell, r.Weight, r.Priority
	e.pool = describes.source.Name
	if describes.source.Identity == ByID {
		e.pool += " " + r.Kind
	}
	ranked := false
	for i := range statements {
		st := &statements[i]
		if !st.named {
			continue
		}
		if e.StartedAt = later(e.StartedAt, st.record.StartedAt); describes.source.Identity != ByID {
			e.StartedAt = later(e.StartedAt, st.record.InferredStart)
		}
		// Weights and priorities are comparable only among the names of one list.
		if st.source.Identity != ByID && !ranked {
			ranked, e.Priority, e.pool = true, st.record.Priority, st.source.Name
			if describes.source.Identity != ByID || e.Weight == 0 {
				e.Weight = st.record.Weight
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

// uncontested leaves out claims to an id that another worker had first, that is
// another target at another address. Rosters name by id and contest nothing.
func (m *merge) uncontested(id string, statements []statement) []statement {
	var first *statement
	for i := range statements {
		st := &statements[i]
		if st.source.Identity != ByLabel || !st.named {
			continue
		}
		if first == nil || cmp.Or(st.record.FirstNamed.Compare(first.record.FirstNamed), cmp.Compare(st.source.preference, first.source.preference),
			strings.Compare(st.record.key(), first.record.key())) < 0 {
			first = st
		}
	}
	if first == nil {
		return statements
	}
	return slices.DeleteFunc(statements, func(st statement) bool {
		contests := st.source.Identity == ByLabel && st.named && st.record.Addr != first.record.Addr &&
			(st.record.Target != first.record.Target || port(st.record.Addr) != port(first.record.Addr))
		if contests {
			m.fault("id %q: %s at %s (%s) claims it beside %s at %s (%s), who had it first: not listed",
				id, st.record.Target, st.record.Addr, st.source.Name, first.record.Target, first.record.Addr, first.source.Name)
		}
		return contests
	})
}
