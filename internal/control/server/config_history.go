package server

import "yardflow/internal/control/statemachine"

// maxConfigHistory is how many changes of the configuration are kept for dispatchers that reconnect: those of some
// seconds in which changes come in quick succession. A dispatcher that lacks more is sent the full configuration.
const maxConfigHistory = 64

// configHistory has the newest changes of the configuration, oldest first, each a patch on top of the one before.
type configHistory struct{ changes []statemachine.ConfigUpdate }

// reset forgets all changes.
func (h *configHistory) reset() { h.changes = nil }

// add appends a change that has just come in force. Where it does not follow on the newest one known, as behind a
// snapshot, the older ones are of no use any more.
func (h *configHistory) add(change *statemachine.ConfigUpdate) {
	if last := len(h.changes) - 1; last >= 0 && h.changes[last].Version != change.BaseVersion {
		h.reset()
	}
	h.changes = append(h.changes, *change)
	if len(h.changes) > maxConfigHistory {
		h.changes = append([]statemachine.ConfigUpdate(nil), h.changes[1:]...)
	}
}

// since returns the changes that lead from a version to the newest one, and nil where they are not all known.
func (h *configHistory) since(version int64) []statemachine.Update {
	for first := range h.changes {
		if h.changes[first].BaseVersion != version {
			continue
		}
		updates := make([]statemachine.Update, 0, len(h.changes)-first)
		for i := first; i < len(h.changes); i++ {
			updates = append(updates, statemachine.Update{Config: &h.changes[i]})
		}
		return updates
	}
	return nil
}
