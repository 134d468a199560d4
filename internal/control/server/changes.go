package server

import "yardflow/internal/control/statemachine"

// keptChanges is how many changes of the configuration are kept for dispatchers that come back: those of some
// seconds in which changes come in quick succession.
const keptChanges = 64

// recentChanges has the newest changes of the configuration as patches, each on top of the one before.
type recentChanges struct{ list []statemachine.ConfigUpdate }

func (r *recentChanges) clear() { r.list = nil }

// add enters a change that has just come in force.
func (r *recentChanges) add(change *statemachine.ConfigUpdate) {
	if last := len(r.list) - 1; last >= 0 && r.list[last].Version != change.BaseVersion {
		r.clear()
	}
	r.list = append(r.list, *change)
	if len(r.list) > keptChanges {
		r.list = append([]statemachine.ConfigUpdate(nil), r.list[1:]...)
	}
}

// since returns the changes behind a version, and nil where they are not all here.
func (r *recentChanges) since(version int64) []statemachine.Update {
	for first := range r.list {
		if r.list[first].BaseVersion != version {
			continue
		}
		updates := make([]statemachine.Update, 0, len(r.list)-first)
		for i := first; i < len(r.list); i++ {
			updates = append(updates, statemachine.Update{Config: &r.list[i]})
		}
		return updates
	}
	return nil
}
