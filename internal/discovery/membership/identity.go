package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// claimedID returns the worker id that a record gives by itself, before its address is
// compared with those of other sources.
func (s *sourceState) claimedID(r *record) string {
	switch s.Identity {
	case ByHostPort:
		return r.Addr
	case ByLabel:
		label, _, _ := strings.Cut(r.Target, ".")
		return label
	}
	return r.ID
}

// listedID returns the id under which a record's worker is listed. Callers of
// ObserveConnect use this id. Unlike resolveAddresses, listedID ignores tombstones, and
// takes the first by key of several records of one source at an address.
func (c *Catalog) listedID(src *sourceState, r *record) string {
	if src.Identity != ByHostPort {
		return src.claimedID(r)
	}
	for _, other := range c.sources {
		if other.Identity == ByHostPort {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(other.records)) {
			if named := other.records[key]; named.Addr == r.Addr && named.State != Removed {
				return other.claimedID(named)
			}
		}
	}
	return src.claimedID(r)
}

// addressOwner is a worker that a source with Identity ByID or ByLabel reports at an address.
type addressOwner struct {
	id         string
	removed    bool
	preference int
	since      time.Time
}

// compare orders the possible owners of one address by precedence: a live entry before
// a tombstone, then by the preference of the sources, then the newer state first.
func (o addressOwner) compare(other addressOwner) int {
	return cmp.Or(compareBool(o.removed, other.removed), cmp.Compare(o.preference, other.preference),
		-o.since.Compare(other.since), strings.Compare(o.id, other.id))
}

// resolveAddresses determines which worker owns each address, for sources that identify
// workers by address alone.
func (m *merge) resolveAddresses() {
	owners := map[string]addressOwner{}
	for _, src := range m.catalog.sources {
		if src.Identity == ByHostPort {
			continue
		}
		for _, r := range src.records {
			o := addressOwner{src.claimedID(r), r.State == Removed, src.preference, r.Since}
			if best, ok := owners[r.Addr]; !ok || o.compare(best) < 0 {
				owners[r.Addr] = o
			}
		}
	}
	for addr, o := range owners {
		m.idByAddr[addr] = o.id
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// rosterHas reports whether the roster has an entry with this id and address that is not
// removed.
func (m *merge) rosterHas(id, addr string) bool {
	roster := m.catalog.byName[RosterSource]
	if roster == nil {
		return false
	}
	r := roster.records[id]
	return r != nil && r.State != Removed && r.Addr == addr
}
