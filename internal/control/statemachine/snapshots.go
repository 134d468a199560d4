package statemachine

import "slices"

// SharedSnapshot returns the part of a dispatcher's initial state that is the same for all sessions: the open sessions
// and all workers. It does not include the configuration, since a dispatcher that reconnects may have it already.
func (f *FSM) SharedSnapshot() []Update {
	updates := []Update{{Sessions: f.sessionIDs()}}
	for _, id := range sortedKeys(f.Workers) {
		updates = append(updates, Update{Worker: f.Workers[id].withoutRuns()})
	}
	return updates
}

// SessionSnapshot returns the part of a dispatcher's initial state that is specific to its session: the placements at its
// workers, and its jobs. For a terminal job it includes only the job state.
func (f *FSM) SessionSnapshot(session SessionID) []Update {
	var updates []Update
	for _, id := range sortedKeys(f.Workers) {
		if worker := f.Workers[id]; worker.Owner == session {
			for _, placement := range f.placementsOf(worker) {
				updates = append(updates, Update{Placement: placement})
			}
		}
	}
	for _, id := range f.jobsOwnedBy(session) {
		j := f.Jobs[id]
		if j.State.Terminal() {
			updates = append(updates, Update{JobState: &JobStateUpdate{id, j.State}})
		} else {
			updates = append(updates, Update{Job: j})
		}
	}
	return updates
}

func (f *FSM) jobsOwnedBy(session SessionID) []string {
	var ids []string
	for id, j := range f.Jobs {
		if j.Owner == session {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
