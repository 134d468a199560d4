package server

import "yardflow/internal/control/statemachine"

// maxConfigHistory is how many changes of the configuration are kept for dispatchers that come back: those of some
// seconds in which changes come in quick succession.
const maxConfigHistory = 64

// configHistory has the newest changes of the configuration as patches, each on top of the one before.
type configHistory struct{ changes []statemachine.ConfigUpdate }

func (r *configHistory) reset() { r.changes = nil }

// add enters a change that has just come in force.
func (r *configHistory) add(change *statemachine.ConfigUpdate) {
	if last := len(r.changes) - 1; last >= 0 && r.changes[last].Version != change.BaseVersion {
		r.reset()
	}
	r.changes = append(r.changes, *change)
	if len(r.changes) > maxConfigHistory {
		r.changes = append([]statemachine.ConfigUpdate(nil), r.changes[1:]...)
	}
}

// since returns the changes behind a version, and nil where they are not all here.
func (r *configHistory) since(version int64) []statemachine.Update {
	for first := range r.changes {
		if r.changes[first].BaseVersion != version {
			continue
		}
		updates := make([]statemachine.Update, 0, len(r.changes)-first)
		for i := first; i < len(r.changes); i++ {
			updates = append(updates, statemachine.Update{Config: &r.changes[i]})
		}
		return updates
	}
	return nil
}
