package membership

// This file owns the making of the merged list: whose entry speaks of which
// worker, whose word wins, and which priorities are listed. It must give the same
// list for the same facts, in whatever order they came.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// claim is the id a record gives by itself, before addresses are compared.
func (v *voice) claim(r *record) string {
	switch v.Identity {
	case ByHostPort:
		return r.Addr
	case ByLabel:
		label, _, _ := strings.Cut(r.Target, ".")
		return label
	}
	return r.ID
}

// word is one record as it counts at one moment.
type word struct {
	v      *voice
	r      *record
	state  State
	why    string
	listed bool // its source names the worker
}

// Merge makes the list of this moment.
func (b *Catalog) Merge(now time.Time) List {
	m := merging{b: b, now: now, groups: map[string][]word{}, addrs: map[string]string{}}
	for _, v := range b.voices {
		m.sweep(v)
	}
	m.owners()
	for _, v := range b.voices {
		for _, k := range slices.Sorted(maps.Keys(v.records)) {
			m.place(v, v.records[k])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		if e, ok := m.entry(id, m.groups[id]); ok {
			m.list.Entries = append(m.list.Entries, e)
		}
	}
	m.priorities()
	for id := range b.fails {
		if _, ok := m.groups[id]; !ok {
			delete(b.fails, id)
		}
	}
	slices.Sort(m.list.Faults)
	return m.list
}

type merging struct {
	b      *Catalog
	now    time.Time
	groups map[string][]word // by id
	addrs  map[string]string // id by address, of sources with ids
	list   List
}

func (m *merging) fault(format string, args ...any) {
	m.list.Faults = append(m.list.Faults, fmt.Sprintf(format, args...))
}

// again notes when the list must be looked at again.
func (m *merging) again(at time.Time) {
	if at.After(m.now) && (m.list.NextChange.IsZero() || at.Before(m.list.NextChange)) {
		m.list.NextChange = at
	}
}

// sweep ends holds that are over: by time, or since the worker answers no more.
func (m *merging) sweep(v *voice) {
	for k, r := range v.records {
		if r.HeldFrom.IsZero() {
			continue
		}
		if end := r.HeldFrom.Add(v.ShrinkHoldTime); m.now.Before(end) && !m.b.down(m.b.idOf(v, r)) {
			m.again(end)
			continue
		}
		v.bury(m.now, r)
		m.b.drop(v, k, r)
	}
}

// drop forgets a tombstone that no rule would look at.
func (b *Catalog) drop(v *voice, k string, r *record) {
	if r.State == Removed && v.Identity != ByID && b.cfg.Rule == RuleRosterVetoes {
		delete(v.records, k)
		v.empty--
	}
}

// idOf is the id under which a record was last listed, as Heard has it.
func (b *Catalog) idOf(v *voice, r *record) string {
	if v.Identity == ByHostPort {
		for _, o := range b.voices {
			if o.Identity == ByHostPort {
				continue
			}
			for _, k := range slices.Sorted(maps.Keys(o.records)) {
				if other := o.records[k]; other.Addr == r.Addr && other.State != Removed {
					return o.claim(other)
				}
			}
		}
	}
	return v.claim(r)
}

// owners finds whose an address is: a live entry's of a source with ids before
// a tombstone's, the later tombstone before the older.
func (m *merging) owners() {
	type owner struct {
		id    string
		gone  bool
		rank  int
		since time.Time
	}
	best := map[string]owner{}
	for _, v := range m.b.voices {
		if v.Identity == ByHostPort {
			continue
		}
		for _, r := range v.records {
			o := owner{v.claim(r), r.State == Removed, v.rank, r.Since}
			old, ok := best[r.Addr]
			if better := cmp.Or(compareBool(o.gone, old.gone), cmp.Compare(o.rank, old.rank),
				-o.since.Compare(old.since), strings.Compare(o.id, old.id)); !ok || better < 0 {
				best[r.Addr] = o
			}
		}
	}
	for addr, o := range best {
		m.addrs[addr] = o.id
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// place finds the worker that a record speaks of.
func (m *merging) place(v *voice, r *record) {
	w := word{v: v, r: r, state: r.State, listed: r.State != Removed}
	at := func(t time.Time) string { return t.UTC().Format("15:04:05") }
	w.why = fmt.Sprintf("%s: %s since %s", v.Name, r.State, at(r.Since))
	switch {
	case r.State == Removed:
	case !r.HeldFrom.IsZero():
		w.why = fmt.Sprintf("%s: missing since %s, held: the list shrank too much at once", v.Name, at(r.HeldFrom))
	case !r.ExpiresAt.IsZero() && m.now.Before(r.ExpiresAt):
		m.again(r.ExpiresAt)
	case !r.ExpiresAt.IsZero():
		end := r.ExpiresAt.Add(v.StaleTTL)
		lapsed := m.now.Sub(r.ExpiresAt).Truncate(time.Second)
		switch {
		case m.now.Before(end):
			m.again(end)
			w.why = fmt.Sprintf("%s: lapsed %v ago, kept: resolver silent", v.Name, lapsed)
		case v.KeepStale:
			w.why = fmt.Sprintf("%s: lapsed %v ago, kept without end: resolver silent", v.Name, lapsed)
		default:
			w.state, w.listed = Draining, false
			w.why = fmt.Sprintf("%s: lapsed %v ago, past its stale time of %v", v.Name, lapsed, v.StaleTTL)
		}
	}
	id := v.claim(r)
	switch owner, ok := m.addrs[r.Addr]; {
	case !ok:
	case v.Identity == ByHostPort:
		id = owner
	case v.Identity == ByLabel && owner != id && w.listed && m.rosterHas(owner, r.Addr):
		m.fault("%s: %s at %s claims the id %q, but the address is %q's in the roster: not listed", v.Name, r.Target, r.Addr, id, owner)
		return
	}
	m.groups[id] = append(m.groups[id], w)
}

// rosterHas tells whether the roster has that id at that address, and not gone.
func (m *merging) rosterHas(id, addr string) bool {
	v := m.b.by[RosterSource]
	if v == nil {
		return false
	}
	r := v.records[id]
	return r != nil && r.State != Removed && r.Addr == addr
}

// authoritative tells whether a source may take a worker out that it has named.
func (m *merging) authoritative(v *voice) bool {
	return m.b.cfg.Rule != RuleRosterVetoes || v.Identity == ByID
}

// entry makes one worker's line of the list; not if no source names it any more.
func (m *merging) entry(id string, words []word) (Entry, bool) {
	words = m.uncontested(id, words)
	e := Entry{ID: id, names: []string{id}}
	// Of several vetoes the first spoken wins; else the first source that has the
	// worker serving; else one whose word has lapsed. The first source that names
	// the worker at all describes it.
	var veto, serving, lapsed, lead *word
	for i := range words {
		w := &words[i]
		e.names = append(e.names, w.r.Addr)
		if w.r.Target != "" {
			e.names = append(e.names, w.r.Target)
		}
		switch {
		case w.r.State != Serving && m.authoritative(w.v):
			if veto == nil || w.r.Since.Before(veto.r.Since) {
				veto = w
			}
		case w.listed && serving == nil:
			serving = w
		case w.r.State == Serving && !w.listed && lapsed == nil:
			lapsed = w
		}
		if w.listed && lead == nil {
			lead = w
		}
	}
	if lead == nil {
		lead = lapsed
	}
	if lead == nil {
		return e, false // tombstones alone
	}
	switch {
	case veto != nil:
		e.SourceState, e.Reason = Draining, veto.why
	case serving != nil:
		e.SourceState, e.Reason = Serving, serving.why
	default:
		e.SourceState, e.Reason = Draining, lapsed.why
	}
	if m.b.cfg.Rule == RuleAll && e.SourceState == Serving {
		for _, v := range m.b.voices {
			if v.told && !slices.ContainsFunc(words, func(w word) bool { return w.v == v && w.listed }) {
				e.SourceState, e.Reason = Draining, v.Name+": does not name it, and the rule asks for all"
				break
			}
		}
	}
	m.describe(&e, lead, words)
	e.State = e.SourceState
	if slices.ContainsFunc(e.names, func(n string) bool { return m.b.banned[n] }) {
		e.Banned, e.State, e.Reason = true, Draining, "operator: called out"
	}
	return e, true
}

// describe fills in what is known of a worker but its state.
func (m *merging) describe(e *Entry, lead *word, words []word) {
	r := lead.r
	e.Addr, e.Zone, e.Kind, e.Cell, e.Weight, e.Priority = r.Addr, r.Zone, r.Kind, r.Cell, r.Weight, r.Priority
	e.pool = lead.v.Name
	if lead.v.Identity == ByID {
		e.pool += " " + r.Kind
	}
	ranked := false
	for i := range words {
		w := &words[i]
		if !w.listed {
			continue
		}
		if e.StartedAt = later(e.StartedAt, w.r.StartedAt); lead.v.Identity != ByID {
			e.StartedAt = later(e.StartedAt, w.r.Inferred)
		}
		// Weights and priorities mean something among the names of one list.
		if w.v.Identity != ByID && !ranked {
			ranked, e.Priority, e.pool = true, w.r.Priority, w.v.Name
			if lead.v.Identity != ByID || e.Weight == 0 {
				e.Weight = w.r.Weight
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

// uncontested leaves out who claims an id that another worker had first: another
// target at another address. Rosters name by id and contest nothing.
func (m *merging) uncontested(id string, words []word) []word {
	var first *word
	for i := range words {
		w := &words[i]
		if w.v.Identity != ByLabel || !w.listed {
			continue
		}
		if first == nil || cmp.Or(w.r.Named.Compare(first.r.Named), cmp.Compare(w.v.rank, first.v.rank),
			strings.Compare(w.r.key(), first.r.key())) < 0 {
			first = w
		}
	}
	if first == nil {
		return words
	}
	return slices.DeleteFunc(words, func(w word) bool {
		other := w.v.Identity == ByLabel && w.listed && w.r.Addr != first.r.Addr &&
			(w.r.Target != first.r.Target || port(w.r.Addr) != port(first.r.Addr))
		if other {
			m.fault("id %q: %s at %s (%s) claims it beside %s at %s (%s), who had it first: not listed",
				id, w.r.Target, w.r.Addr, w.v.Name, first.r.Target, first.r.Addr, first.v.Name)
		}
		return other
	})
}

// unable tells that a worker can't serve: it is down, or failed a while ago and has
// not answered since.
func (m *merging) unable(id string) bool {
	f := m.b.fails[id]
	if f.n == 0 || m.b.down(id) {
		return f.n > 0
	}
	end := f.since.Add(UnreachableAfter)
	m.again(end)
	return !m.now.Before(end)
}

// priorities puts on standby whom a better priority of the pool makes needless.
func (m *merging) priorities() {
	levels := map[string]map[int]bool{} // by pool: whether a priority can serve
	for _, e := range m.list.Entries {
		if levels[e.pool] == nil {
			levels[e.pool] = map[int]bool{}
		}
		able := e.State == Serving && !m.unable(e.ID)
		levels[e.pool][e.Priority] = levels[e.pool][e.Priority] || able
	}
	maps.DeleteFunc(m.b.open, func(pool string, _ *openness) bool { return levels[pool] == nil })
	limit := map[string]int{}
	for pool, able := range levels {
		if len(able) == 1 {
			delete(m.b.open, pool)
			continue
		}
		ranks := slices.Sorted(maps.Keys(able))
		need := ranks[len(ranks)-1] // nobody can serve: all are listed
		for _, p := range ranks {
			if able[p] {
				need = p
				break
			}
		}
		o := m.b.open[pool]
		if o == nil {
			o = &openness{upTo: need}
			m.b.open[pool] = o
		}
		switch {
		case need >= o.upTo:
			o.upTo, o.able = need, time.Time{}
		case o.able.IsZero():
			o.able = m.now
		}
		if !o.able.IsZero() {
			if end := o.able.Add(m.b.cfg.FailbackDelay); m.now.Before(end) {
				m.again(end)
			} else {
				o.upTo, o.able = need, time.Time{}
			}
		}
		limit[pool] = o.upTo
	}
	for i := range m.list.Entries {
		e := &m.list.Entries[i]
		if upTo, ok := limit[e.pool]; ok && e.Priority > upTo && e.State == Serving {
			e.State, e.SourceState = Draining, Draining
			e.Reason = fmt.Sprintf("standby: priority %d, and one of %d can serve; %s", e.Priority, upTo, e.Reason)
		}
	}
}

// Find returns the entry that goes by a name: its id, an address or a target.
func (l List) Find(name string) (Entry, bool) {
	for _, e := range l.Entries {
		if slices.Contains(e.names, name) {
			return e, true
		}
	}
	return Entry{}, false
}

// Explain tells what each source says of a worker, tombstones included, in the order
// of the sources; empty if none knows the name.
func (b *Catalog) Explain(now time.Time, name string) []string {
	m := merging{b: b, now: now, groups: map[string][]word{}, addrs: map[string]string{}}
	m.owners()
	for _, v := range b.voices {
		for _, k := range slices.Sorted(maps.Keys(v.records)) {
			m.place(v, v.records[k])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.groups)) {
		var says []string
		hit := id == name
		for _, w := range m.groups[id] {
			hit = hit || w.r.Addr == name || w.r.Target == name
			text := w.why + " at " + w.r.Addr
			if !w.r.ExpiresAt.IsZero() && w.r.State != Removed {
				text += ", until " + w.r.ExpiresAt.UTC().Format("15:04:05")
			}
			says = append(says, text)
		}
		if hit {
			return says
		}
	}
	return nil
}

// Summary is one source's figures.
type Summary struct {
	Name                          string
	Serving, Draining, Tombstones int
	Retained                      int
	Reported                      bool
	UnresponsiveSince             time.Time // since; zero: it answers
}

// Summaries tells each source's figures, in the order of the sources.
func (b *Catalog) Summaries() []Summary {
	var out []Summary
	for _, v := range b.voices {
		s := Summary{Name: v.Name, Reported: v.told, UnresponsiveSince: v.silent}
		for _, r := range v.records {
			switch {
			case r.State == Removed:
				s.Tombstones++
			case r.State == Draining:
				s.Draining++
			case !r.HeldFrom.IsZero():
				s.Retained++
			default:
				s.Serving++
			}
		}
		out = append(out, s)
	}
	return out
}
