// Package pool names sets of workers by what every source of workers tells of each: kind, zone, cell and name. Steps of
// workflows can be restricted to such a pool.
//
// A pool says which workers belong to it, never whether one is usable. The package has no clock, randomness or I/O.
package pool

import (
	"fmt"
	"path"
	"slices"
)

// MaxPools is the largest number of pools of one policy: a [Set] has one bit of a uint64 for each, and one bit is spare.
const MaxPools = 63

// Pool is one set of workers, as the policy file has it. A worker belongs to it that matches an entry of each list; an
// empty list matches every worker.
type Pool struct {
	Name    string   `toml:"name"`
	Kinds   []string `toml:"kinds,omitempty"`
	Zones   []string `toml:"zones,omitempty"`
	Cells   []int    `toml:"cells,omitempty"`
	Workers []string `toml:"workers,omitempty"` // names, or patterns as of path.Match
}

// Error says why a pool cannot be used.
type Error struct {
	Pool     string // empty: the pools as a whole
	Key      string // of the policy file
	Problem  string // what was found there
	Expected string
}

func (e *Error) Error() string {
	return fmt.Sprintf("pool %q: %s: %s; expected %s", e.Pool, e.Key, e.Problem, e.Expected)
}

// Advice returns what an operator can do now.
func (e *Error) Advice() string { return "correct the pool and propose again; nothing was changed" }

// Code returns the word for this error in the operators' table.
func (e *Error) Code() string { return "flow-pool" }

// Validate checks the pools of a policy by themselves. Whether the settings know their kinds and zones, [NewSet] says.
func Validate(pools []Pool) error {
	if len(pools) > MaxPools {
		return &Error{"", "pool", fmt.Sprintf("%d of them", len(pools)), fmt.Sprintf("%d at most", MaxPools)}
	}
	for i, p := range pools {
		switch {
		case p.Name == "" || slices.ContainsFunc(pools[:i], func(o Pool) bool { return o.Name == p.Name }):
			return &Error{p.Name, "name", fmt.Sprintf("%q", p.Name), "a name that no other pool has"}
		case len(p.Kinds)+len(p.Zones)+len(p.Cells)+len(p.Workers) == 0:
			return &Error{p.Name, "kinds", "none, and no zones, cells or workers", "what its workers have in common"}
		}
		for _, pattern := range p.Workers {
			if _, err := path.Match(pattern, ""); err != nil {
				return &Error{p.Name, "workers", fmt.Sprintf("%q", pattern), "a name, or a pattern with *"}
			}
		}
	}
	return nil
}
