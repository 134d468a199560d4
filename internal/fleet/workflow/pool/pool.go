// Package pool is named sets of workers, by what every source of workers tells of each: kind, zone,
// cell, and name. It has no clock, draw or I/O, and must never know whether a worker serves.
package pool

import (
	"fmt"
	"path"
	"slices"
)

// MaxPools there are at the most: each is a bit of a word.
const MaxPools = 63

// Pool is one set: a worker is in it that matches one of each list; a list that is empty asks nothing.
type Pool struct {
	Name    string   `toml:"name"`
	Kinds   []string `toml:"kinds,omitempty"`
	Zones   []string `toml:"zones,omitempty"`
	Cells   []int    `toml:"cells,omitempty"`
	Workers []string `toml:"workers,omitempty"` // names, where * stands for any characters
}

// Error is a pool that can't be.
type Error struct {
	Pool, Key, Problem, Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("pool %q: %s: %s; expected %s", e.Pool, e.Key, e.Problem, e.Expected)
}

// Advice says what an operator can do.
func (e *Error) Advice() string { return "correct the pool and propose again; nothing was changed" }

// Code is its word.
func (e *Error) Code() string { return "flow-pool" }

// Validate tells what is wrong with some pools by themselves; nil: nothing is.
func Validate(all []Pool) error {
	if len(all) > MaxPools {
		return &Error{"", "pool", fmt.Sprintf("%d of them", len(all)), fmt.Sprintf("%d at most", MaxPools)}
	}
	for i, p := range all {
		switch {
		case p.Name == "" || slices.ContainsFunc(all[:i], func(o Pool) bool { return o.Name == p.Name }):
			return &Error{p.Name, "name", fmt.Sprintf("%q", p.Name), "a name that no other pool has"}
		case len(p.Kinds)+len(p.Zones)+len(p.Cells)+len(p.Workers) == 0:
			return &Error{p.Name, "kinds", "none, and no zones, cells or workers", "what its workers have in common"}
		}
		for _, w := range p.Workers {
			if _, err := path.Match(w, ""); err != nil {
				return &Error{p.Name, "workers", fmt.Sprintf("%q", w), "a name, or a pattern with *"}
			}
		}
	}
	return nil
}

// Set is pools as a dispatcher tells workers by them: places of names are those of its settings.
type Set struct{ all []one }

type one struct {
	name         string
	kinds, zones []int
	cells        []int
	workers      []string
}

// NewSet makes a set of pools, by the names of kinds and zones in the settings.
func NewSet(all []Pool, kinds, zones []string) (*Set, error) {
	s := &Set{}
	for _, p := range all {
		o := one{name: p.Name, cells: p.Cells, workers: p.Workers}
		for _, l := range []struct {
			key         string
			names, have []string
			to          *[]int
		}{{"kinds", p.Kinds, kinds, &o.kinds}, {"zones", p.Zones, zones, &o.zones}} {
			for _, name := range l.names {
				i := slices.Index(l.have, name)
				if i < 0 {
					return nil, &Error{p.Name, l.key, fmt.Sprintf("%q", name), fmt.Sprintf("one of the settings' %q", l.have)}
				}
				*l.to = append(*l.to, i)
			}
		}
		s.all = append(s.all, o)
	}
	return s, nil
}

// PoolsOf are the pools that a worker is in, a bit each; 0: none. A nil set has none.
func (s *Set) PoolsOf(name string, zone, kind, cell int) (bits uint64) {
	if s == nil {
		return 0
	}
	for i, p := range s.all {
		if within(p.kinds, kind) && within(p.zones, zone) && within(p.cells, cell) &&
			(len(p.workers) == 0 || slices.ContainsFunc(p.workers, func(w string) bool { ok, _ := path.Match(w, name); return ok })) {
			bits |= 1 << i
		}
	}
	return bits
}

func within(list []int, v int) bool { return len(list) == 0 || slices.Contains(list, v) }

// Bit is a pool's; 0: there is none of that name.
func (s *Set) Bit(name string) uint64 {
	if s == nil {
		return 0
	}
	if i := slices.IndexFunc(s.all, func(p one) bool { return p.name == name }); i >= 0 {
		return 1 << i
	}
	return 0
}

// Names are the pools in a set of bits.
func (s *Set) Names(bits uint64) (out []string) {
	if s == nil {
		return nil
	}
	for i, p := range s.all {
		if bits&(1<<i) != 0 {
			out = append(out, p.name)
		}
	}
	return out
}
