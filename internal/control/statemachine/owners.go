package statemachine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Every worker and every job that is not terminal has an owner: the open session that rendezvous hashing chooses
// (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996). A session that opens takes its share of
// the workers from all others, and the workers of one that closes are shared among all others; no other worker changes its
// owner. If sessions are open in a worker's zone, its owner is one of them, so that polls don't cross zones.
//
// A job keeps its owner as long as that session is open, since the job's queue and the observations that its dispatcher
// has made of it exist only in that process.
//
// Opening and closing a session compare only the claims that the change can affect, since every control machine does this
// for each of hundreds of dispatchers that connect at once after a change of view.

// claim is the rank of a session as owner of a worker or job. The session with the highest claim becomes the owner.
type claim struct {
	session  SessionID // 0: no claim, lower than any other
	sameZone bool
	weight   uint64
}

// outranks reports whether claim a is higher than b: it compares the zones first, then the weights, and an older session
// breaks ties.
func (a claim) outranks(b claim) bool {
	switch {
	case b.session == 0:
		return true
	case a.sameZone != b.sameZone:
		return a.sameZone
	case a.weight != b.weight:
		return a.weight > b.weight
	}
	return a.session < b.session
}

// claimOf returns a session's claim to the worker or job of that name; a closed session has none. If zone is "", no
// session's zone is preferred.
func (f *FSM) claimOf(id SessionID, name, zone string) claim {
	session := f.Sessions[id]
	if session == nil {
		return claim{}
	}
	return claim{id, zone != "" && session.Zone == zone, rendezvousWeight(name, id)}
}

func rendezvousWeight(name string, id SessionID) uint64 {
	buffer := binary.LittleEndian.AppendUint64([]byte(name), id)
	return xxhash.Sum64(buffer)
}

// chooseOwner returns the session with the highest claim, or 0 if no session is open.
func (f *FSM) chooseOwner(name, zone string) SessionID {
	best := claim{}
	for id := range f.Sessions {
		if candidate := f.claimOf(id, name, zone); candidate.outranks(best) {
			best = candidate
		}
	}
	return best.session
}

// claimOwnership gives a session that has just opened the workers to which it has the highest claim, and the jobs that
// have no owner.
func (f *FSM) claimOwnership(session *Session) {
	var claimed []string
	for id, worker := range f.Workers {
		candidate := f.claimOf(session.ID, id, worker.Zone)
		if candidate.outranks(f.claimOf(worker.Owner, id, worker.Zone)) {
			claimed = append(claimed, id)
		}
	}
	slices.Sort(claimed)
	for _, id := range claimed {
		f.setOwner(f.Workers[id], session.ID)
	}
	f.assignOrphanedJobs()
}

// reassignWorkersAndJobs gives the workers and jobs of a closed session to the open sessions with the highest claims.
func (f *FSM) reassignWorkersAndJobs(closed SessionID) {
	var orphans []string
	for id, worker := range f.Workers {
		if worker.Owner == closed {
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		f.assignWorker(f.Workers[id])
	}
	f.assignOrphanedJobs()
}

// assignOrphanedJobs gives a new owner to each non-terminal job whose owner's session is closed.
func (f *FSM) assignOrphanedJobs() {
	var orphans []string
	for id, j := range f.Jobs {
		if !j.State.Terminal() && f.Sessions[j.Owner] == nil {
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		j := f.Jobs[id]
		if j.Owner = f.chooseOwner(id, ""); j.Owner != 0 {
			f.notifyJob(j)
		}
	}
}

// assignWorker makes the session with the highest claim the worker's owner.
func (f *FSM) assignWorker(worker *Worker) {
	if owner := f.chooseOwner(worker.ID, worker.Zone); owner != worker.Owner {
		f.setOwner(worker, owner)
	}
}

// setOwner makes a session the owner of a worker, under the next fencing token; with 0 the worker has no owner. Only the
// former and the new owner are notified: the others do not dispatch to the worker, and hundreds of workers change owners
// with each session.
func (f *FSM) setOwner(worker *Worker, owner SessionID) {
	former := worker.Owner
	f.LastToken++
	worker.Owner, worker.Token = owner, f.LastToken
	stripped := worker.withoutRuns()
	if former != 0 { // even if its session is closed, since its dispatcher may still be connected
		f.updates = append(f.updates, AddressedUpdate{former, Update{Worker: stripped}})
	}
	if owner == 0 {
		return
	}
	f.notify(owner, Update{Worker: stripped})
	for _, placement := range f.placementsOf(worker) {
		f.notify(owner, Update{Placement: placement})
	}
}
