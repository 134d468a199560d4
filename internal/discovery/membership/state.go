package membership

// This file owns what goes over to the process that takes over: every source's
// words with their lifetimes, and the tombstones. It must never bring back a word
// that the next process's own source has already replaced.

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// saved is the form of one source's side.
type saved struct {
	Told    bool      `json:"told"`
	Silent  time.Time `json:"silent,omitzero"`
	Records []*record `json:"records"`
}

// Snapshot is all that the sources have said, for Restore.
func (b *Catalog) Snapshot() ([]byte, error) {
	out := map[string]saved{}
	for _, v := range b.voices {
		s := saved{Told: v.told, Silent: v.silent}
		for _, k := range slices.Sorted(maps.Keys(v.records)) {
			s.Records = append(s.Records, v.records[k])
		}
		out[v.Name] = s
	}
	return json.Marshal(out)
}

// Restore takes in another book's State. Sources that are not in these settings,
// or that have told something here already, keep what they have. An error leaves
// the book as it was.
func (b *Catalog) Restore(text []byte) error {
	var in map[string]saved
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("membership state: %w", err)
	}
	for name, s := range in {
		for i, r := range s.Records {
			if r == nil || r.key() == "" || r.State > Removed {
				return fmt.Errorf("membership state: %s: records[%d] can't be read", name, i)
			}
		}
	}
	for _, v := range b.voices {
		s, ok := in[v.Name]
		if !ok || v.told {
			continue
		}
		v.told, v.silent = s.Told, s.Silent
		for _, r := range s.Records {
			k := r.key()
			if old := v.records[k]; old != nil && old.State == Removed {
				v.empty--
			}
			if r.State == Removed {
				v.empty++
			}
			v.records[k] = r
		}
	}
	return nil
}
