package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxTombstones bounds the tombstones of one source; each takes a few hundred bytes of
// memory. Above the bound, the oldest tombstones of workers that no other source names are
// dropped until three quarters of the bound remain, so that not every update has to prune.
const maxTombstones = 8192

// markRemoved turns a record into a tombstone.
func (s *sourceState) markRemoved(now time.Time, r *record) {
	r.State, r.Since, r.RetainedSince = Removed, now, time.Time{}
	s.tombstones++
}

// dropUnneededTombstone drops a tombstone that the merge rule ignores: under
// RuleRosterVetoes, that of a source whose Identity is not ByID.
func (c *Catalog) dropUnneededTombstone(src *sourceState, key string, r *record) {
	if r.State == Removed && src.Identity != ByID && c.cfg.Rule == RuleRosterVetoes {
		delete(src.records, key)
		src.tombstones--
	}
}

// pruneTombstones drops the oldest tombstones of a source that has more than
// maxTombstones. A tombstone whose id or address another source still names is kept
// regardless of its age: without it that source would bring the worker back.
func (c *Catalog) pruneTombstones(src *sourceState) {
	if src.tombstones <= maxTombstones {
		return
	}
	named := map[string]bool{}
	for _, other := range c.sources {
		if other == src {
			continue
		}
		for _, r := range other.records {
			if r.State != Removed {
				named[other.claimedID(r)], named[r.Addr] = true, true
			}
		}
	}
	var prunable []string
	for key, r := range src.records {
		if r.State == Removed && !named[src.claimedID(r)] && !named[r.Addr] {
			prunable = append(prunable, key)
		}
	}
	slices.SortFunc(prunable, func(a, b string) int {
		return cmp.Or(src.records[a].Since.Compare(src.records[b].Since), strings.Compare(a, b))
	})
	for _, key := range prunable[:min(len(prunable), src.tombstones-maxTombstones*3/4)] {
		delete(src.records, key)
		src.tombstones--
	}
}
