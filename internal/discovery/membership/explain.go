package membership

import (
	"maps"
	"slices"
	"time"
)

// Find returns the entry with a given name, which may be its id, an address or a target.
func (l List) Find(name string) (Entry, bool) {
	for _, e := range l.Entries {
		if slices.Contains(e.names, name) {
			return e, true
		}
	}
	return Entry{}, false
}

// Explain returns one text for each source's report about a worker, tombstones included,
// in the order of preference. It returns nil if no source knows the name.
func (c *Catalog) Explain(now time.Time, name string) []string {
	m := c.newMerge(now)
	m.collectViews()
	for _, id := range slices.Sorted(maps.Keys(m.views)) {
		var reports []string
		found := id == name
		for _, v := range m.views[id] {
			r := v.record
			found = found || r.Addr == name || r.Target == name
			text := v.reason + " at " + r.Addr
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
	Retained                      int       // missing from the source's list, but not removed yet
	Reported                      bool      // whether the source has reported anything
	UnresponsiveSince             time.Time // zero while the source responds
}

// Summaries returns the summary of each source, in the order of preference.
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
