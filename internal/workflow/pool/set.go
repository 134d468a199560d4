package pool

import (
	"fmt"
	"path"
	"slices"
)

// Set is the pools of the policy in force as one dispatcher matches workers against them: kinds and zones are indices
// into its settings. A bit mask of pools has bit i for the i-th pool; it means nothing to another Set. A nil Set has no
// pools.
type Set struct{ pools []boundPool }

// boundPool is a Pool whose names are resolved against the settings.
type boundPool struct {
	name         string
	kinds, zones []int
	cells        []int
	workers      []string // patterns
}

// NewSet resolves pools against the names of kinds and zones in the settings. It returns an Error where the settings
// lack one.
func NewSet(pools []Pool, kinds, zones []string) (*Set, error) {
	s := &Set{}
	for _, p := range pools {
		bound := boundPool{name: p.Name, cells: p.Cells, workers: p.Workers}
		var err error
		if bound.kinds, err = indicesOf(p.Name, "kinds", p.Kinds, kinds); err != nil {
			return nil, err
		}
		if bound.zones, err = indicesOf(p.Name, "zones", p.Zones, zones); err != nil {
			return nil, err
		}
		s.pools = append(s.pools, bound)
	}
	return s, nil
}

// indicesOf returns the indices of names among the settings' ones.
func indicesOf(pool, key string, names, settings []string) (indices []int, err error) {
	for _, name := range names {
		i := slices.Index(settings, name)
		if i < 0 {
			return nil, &Error{pool, key, fmt.Sprintf("%q", name), fmt.Sprintf("one of the settings' %q", settings)}
		}
		indices = append(indices, i)
	}
	return indices, nil
}

// PoolsOf returns the bit mask of the pools that a worker belongs to.
func (s *Set) PoolsOf(worker string, zone, kind, cell int) (mask uint64) {
	if s == nil {
		return 0
	}
	for i := range s.pools {
		if s.pools[i].matches(worker, zone, kind, cell) {
			mask |= 1 << i
		}
	}
	return mask
}

func (p *boundPool) matches(worker string, zone, kind, cell int) bool {
	return emptyOrContains(p.kinds, kind) && emptyOrContains(p.zones, zone) && emptyOrContains(p.cells, cell) &&
		(len(p.workers) == 0 || slices.ContainsFunc(p.workers, func(pattern string) bool {
			ok, _ := path.Match(pattern, worker) // Validate has checked the pattern
			return ok
		}))
}

func emptyOrContains(list []int, v int) bool { return len(list) == 0 || slices.Contains(list, v) }

// Bit returns the bit of the pool of a name, 0 where there is none.
func (s *Set) Bit(name string) uint64 {
	if s == nil {
		return 0
	}
	if i := slices.IndexFunc(s.pools, func(p boundPool) bool { return p.name == name }); i >= 0 {
		return 1 << i
	}
	return 0
}

// Names returns the names of the pools in a bit mask.
func (s *Set) Names(mask uint64) (names []string) {
	if s == nil {
		return nil
	}
	for i, p := range s.pools {
		if mask&(1<<i) != 0 {
			names = append(names, p.name)
		}
	}
	return names
}
