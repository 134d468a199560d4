package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// claimedID is the id that a record gives by itself, before addresses are compared.
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

// listedID is the id under which a record was last listed, as callers of
// ObserveConnect know it.
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

// addressOwner is a worker that a source with ids has at an address.
type addressOwner struct {
	id         string
	removed    bool
	preference int
	since      time.Time
}

// compare orders owners of one address by precedence: a live entry before a
// tombstone, the preferred source first, the later report before the earlier.
func (o addressOwner) compare(other addressOwner) int {
	return cmp.Or(compareBool(o.removed, other.removed), cmp.Compare(o.preference, other.preference),
		-o.since.Compare(other.since), strings.Compare(o.id, other.id))
}

// resolveAddresses finds which worker an address belongs to, for sources that name
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

// rosterHas reports whether the roster has that id at that address, and not removed.
func (m *merge) rosterHas(id, addr string) bool {
	roster := m.catalog.byName[RosterSource]
	if roster == nil {
		return false
	}
	r := roster.records[id]
	return r != nil && r.State != Removed && r.Addr == addr
}
