package membership

import (
	"maps"
	"slices"
	"time"
)

// Find returns the entry that goes by a name: its id, an address or a target.
func (l List) Find(name string) (Entry, bool) {
	for _, e := range l.Entries {
		if slices.Contains(e.names, name) {
			return e, true
		}
	}
	return Entry{}, false
}

// Explain returns what each source reports of a worker, tombstones included, in the
// order of preference; nil if no source knows the name.
func (c *Catalog) Explain(now time.Time, name string) []string {
	m := c.newMerge(now)
	m.collectStatements()
	for _, id := range slices.Sorted(maps.Keys(m.statements)) {
		var reports []string
		found := id == name
		for _, st := range m.statements[id] {
			r := st.record
			found = found || r.Addr == name || r.Target == name
			text := st.reason + " at " + r.Addr
			if !r.ExpiresAt.IsZero() && r.State != Removed {
				text += ", until " + clockText(r.ExpiresAt)
			}
			reports = append(reports, text)
		}
		if found {
			return reports
		}
	}
	return nil
}

// Summary counts one source's records by state.
type Summary struct {
	Name                          string
	Serving, Draining, Tombstones int
	Retained                      int       // missing from its list, and not removed yet
	Reported                      bool      // the source has reported anything
	UnresponsiveSince             time.Time // zero: it responds
}

// Summaries returns the figures of each source, in the order of preference.
func (c *Catalog) Summaries() []Summary {
	var out []Summary
	for _, src := range c.sources {
		s := Summary{Name: src.Name, Reported: src.reported, UnresponsiveSince: src.unresponsiveSince}
		for _, r := range src.records {
			switch {
			case r.State == Removed:
				s.Tombstones++
			case r.State == Draining:
				s.Draining++
			case !r.RetainedSince.IsZero():
				s.Retained++
			default:
				s.Serving++
			}
		}
		out = append(out, s)
	}
	return out
}
