package statemachine

import (
	"yardflow/internal/fleet/coldstart/relay"
	"yardflow/internal/fleet/outlier"
)

// WatchUpdate is what a watch returns: a hint from a state that may be stale, by which a holder does at once what the
// answer to its next lease request would ask. It never grants anything.
type WatchUpdate struct {
	Revision    uint64
	Generation  uint64                   `cbor:"Era"`
	Change      *PolicyChange            // proposed, to be voted on; nil: none is. Its ID and Policy alone are set
	Closing     bool                     // a change is closing
	Policy      *Policy                  // in force, where the caller does not have it
	Ejections   []outlier.EjectionNotice `cbor:"Verdicts"`
	RelayedList *relay.Update            `cbor:"List"`
	StepsReady  bool                     `cbor:"Steps"` // of workflows
}

// UpdateFor returns the update for a holder that has applied the version known, and has its zone's relayed list up to
// a mark.
func (s *State) UpdateFor(known uint64, zone int, list relay.Watermark) WatchUpdate {
	u := WatchUpdate{Revision: s.Revision, Generation: s.Generation}
	forEachComponent(func(c component) { c.addUpdate(s, &u, zone, list) })
	if change := s.Change; change != nil && change.Stage == Proposed {
		u.Change = &PolicyChange{ID: change.ID, Policy: change.Policy}
	} else if change != nil && change.Stage == Closing {
		u.Closing = true
	}
	if p := s.CurrentPolicy(); p.Version != known {
		u.Policy = &p
	}
	return u
}
