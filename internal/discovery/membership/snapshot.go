package membership

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// savedSource is one source in the snapshot, which is a JSON object of savedSources by
// name. A process hands the snapshot to its successor, which may be of another version,
// so the JSON keys must not change.
type savedSource struct {
	Reported          bool      `json:"told"`
	UnresponsiveSince time.Time `json:"silent,omitzero"`
	Records           []*record `json:"records"`
}

// Snapshot returns the records of all sources, including lifetimes and tombstones, in the
// format that Restore reads.
func (c *Catalog) Snapshot() ([]byte, error) {
	out := map[string]savedSource{}
	for _, src := range c.sources {
		s := savedSource{Reported: src.reported, UnresponsiveSince: src.unresponsiveSince}
		for _, key := range slices.Sorted(maps.Keys(src.records)) {
			s.Records = append(s.Records, src.records[key])
		}
		out[src.Name] = s
	}
	return json.Marshal(out)
}

// Restore applies the Snapshot of another catalog. It skips sources that are not
// configured here, and sources that have already reported here: a report to this process
// is newer than any report to its predecessor. If Restore returns an error, the catalog is
// unchanged.
func (c *Catalog) Restore(snapshot []byte) error {
	var in map[string]savedSource
	if err := json.Unmarshal(snapshot, &in); err != nil {
		return fmt.Errorf("membership snapshot: %w", err)
	}
	for name, s := range in {
		for i, r := range s.Records {
			if r == nil || r.key() == "" || r.State > Removed {
				return fmt.Errorf("membership snapshot: %s: records[%d] is invalid", name, i)
			}
		}
	}
	for _, src := range c.sources {
		s, ok := in[src.Name]
		if !ok || src.reported {
			continue
		}
		src.reported, src.unresponsiveSince = s.Reported, s.UnresponsiveSince
		for _, r := range s.Records {
			src.restoreRecord(r)
		}
	}
	return nil
}

func (s *sourceState) restoreRecord(r *record) {
	key := r.key()
	if old := s.records[key]; old != nil && old.State == Removed {
		s.tombstones--
	}
	if r.State == Removed {
		s.tombstones++
	}
	s.records[key] = r
}
