package statemachine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Every worker and every job that is not terminal has an owner: the open session that rendezvous hashing chooses
// (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous", 1996). A session that opens takes its share of
// the workers from all others, and one that closes leaves its own to all others; nothing else changes hands. A worker's
// owner is in its zone where a session is, so that polls cross no zone.
//
// A job keeps its owner as long as that session is open: the job's queue and what its dispatcher has learned of it are
// in that process.
//
// Both changes compare claims only where they can differ, since every control machine does this for each of hundreds
// of dispatchers that attach at once after a change of view.

// claim is how strongly a session claims to own something. The highest claim wins.
type claim struct {
	session  SessionID // 0: no claim, lower than any other
	sameZone bool
	weight   uint64
}

// outranks reports whether claim a wins over b: by zone, then by weight, then by the older session.
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

// claimOf returns a session's claim to the worker or job of that name; a closed session has none. Zone "" has no
// preference.
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

// chooseOwner returns the session with the highest claim, or 0 where none is open.
func (f *FSM) chooseOwner(name, zone string) SessionID {
	best := claim{}
	for id := range f.Sessions {
		if own := f.claimOf(id, name, zone); own.outranks(best) {
			best = own
		}
	}
	return best.session
}

// claimOwnership gives a session that has just opened the workers to which it has the highest claim, and the jobs that
// have no owner.
func (f *FSM) claimOwnership(session *Session) {
	var won []string
	for id, worker := range f.Workers {
		own := f.claimOf(session.ID, id, worker.Zone)
		if own.outranks(f.claimOf(worker.Owner, id, worker.Zone)) {
			won = append(won, id)
		}
	}
	slices.Sort(won)
	for _, id := range won {
		f.setOwner(f.Workers[id], session.ID)
	}
	f.assignOrphanedJobs()
}

// reassignWorkersAndJobs gives what a closed session has owned to the sessions with the highest claims now.
func (f *FSM) reassignWorkersAndJobs(closed SessionID) {
	var left []string
	for id, worker := range f.Workers {
		if worker.Owner == closed {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		f.assignWorker(f.Workers[id])
	}
	f.assignOrphanedJobs()
}

// assignOrphanedJobs gives each job whose owner's session is closed a new owner.
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
			f.notify(j.Owner, Update{Job: j})
		}
	}
}

// assignWorker makes the session with the highest claim the worker's owner.
func (f *FSM) assignWorker(worker *Worker) {
	if owner := f.chooseOwner(worker.ID, worker.Zone); owner != worker.Owner {
		f.setOwner(worker, owner)
	}
}

// setOwner makes a session, or none with 0, the owner of a worker, under the next fencing token. Only the former and
// the new owner are notified: the others do not dispatch to the worker, and hundreds of workers change owners with each
// session.
func (f *FSM) setOwner(worker *Worker, owner SessionID) {
	former := worker.Owner
	f.LastToken++
	worker.Owner, worker.Token = owner, f.LastToken
	public := worker.withoutRuns()
	if former != 0 { // also where its session is closed: its dispatcher may be connected still
		f.updates = append(f.updates, AddressedUpdate{former, Update{Worker: public}})
	}
	if owner == 0 {
		return
	}
	f.notify(owner, Update{Worker: public})
	for _, placement := range f.placementsOf(worker) {
		f.notify(owner, Update{Placement: placement})
	}
}
