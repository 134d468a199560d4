package statemachine

// This file owns the form of what leaves the state: news for those that watch, snapshots, and the
// one codec of log and links. It must never change the state.

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
)

// WatchUpdate is what a watch tells of: a hint, from a state that may be a little old, by which a holder
// does at once what it would be told to at its next call.
type WatchUpdate struct {
	Revision    uint64
	Generation  uint64        `cbor:"Era"`
	Change      *PolicyChange // proposed, and to be weighed
	Closing     bool
	Policy      *Policy // in force, where the one who watches does not have it
	Ejections   []outlier.EjectionNotice
	RelayedList *relay.Update `cbor:"List"`
	StepsReady  bool          `cbor:"Steps"` // of workflows are ready
}

// WatchUpdate is what there is for a holder that has a version whole, and its zone's list up to a mark.
func (s *State) UpdateFor(knows uint64, zone int, has relay.Watermark) WatchUpdate {
	n := WatchUpdate{Revision: s.Revision, Generation: s.Generation}
	each(func(p part) { p.news(s, &n, zone, has) })
	if ch := s.Change; ch != nil && ch.Stage == Proposed {
		n.Change = &PolicyChange{ID: ch.ID, Policy: ch.Policy}
	} else if ch != nil && ch.Stage == Closing {
		n.Closing = true
	}
	if p := s.CurrentPolicy(); p.Version != knows {
		n.Policy = &p
	}
	return n
}

// PolicyByVersion is a version that is remembered.
func (s *State) PolicyByVersion(version uint64) (Policy, bool) {
	for _, p := range s.Policies {
		if p.Version == version {
			return p, true
		}
	}
	return Policy{}, false
}

var form, _ = cbor.CoreDetEncOptions().EncMode()

// Encode words a value for the log and the links, the same value always alike.
func Encode(v any) ([]byte, error) { return form.Marshal(v) }

// Decode reads what Encode wrote.
func Decode(text []byte, v any) error { return cbor.Unmarshal(text, v) }

// Snapshot is the whole state.
func (s *State) Snapshot() ([]byte, error) { return Encode(s) }

// Restore is the state that a snapshot holds.
func Restore(text []byte) (*State, error) {
	s := &State{}
	if err := Decode(text, s); err != nil {
		return nil, fmt.Errorf("keeper: snapshot: %w", err)
	}
	if s.Holders == nil {
		s.Holders = map[string]*LeaseHolder{}
	}
	each(func(p part) { p.mend(s) })
	return s, nil
}
