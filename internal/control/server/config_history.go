package server

import "yardflow/internal/control/statemachine"

// maxConfigHistory is the number of configuration changes kept for dispatchers that reconnect. It covers several seconds
// of changes in quick succession. A dispatcher that lacks more changes gets the full configuration.
const maxConfigHistory = 64

// configHistory holds the newest changes of the configuration, oldest first. Each change is a patch of the version before
// it.
type configHistory struct{ changes []statemachine.ConfigUpdate }

// reset removes all changes.
func (h *configHistory) reset() { h.changes = nil }

// add appends a change that has just come into force. If it does not build on the newest known change, which happens
// after a snapshot, the older changes are removed because they no longer lead to the current version.
func (h *configHistory) add(change *statemachine.ConfigUpdate) {
	if last := len(h.changes) - 1; last >= 0 && h.changes[last].Version != change.BaseVersion {
		h.reset()
	}
	h.changes = append(h.changes, *change)
	if len(h.changes) > maxConfigHistory {
		h.changes = append([]statemachine.ConfigUpdate(nil), h.changes[1:]...)
	}
}

// since returns the changes from a version to the newest one, or nil if some of them are unknown.
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
