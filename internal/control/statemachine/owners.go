package statemachine

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Every worker and every job that is not over has an owner: the session chosen by rendezvous hashing among those that
// are open. So a session that opens takes its share from the others, and one that is over leaves its own to them; what
// neither concerns keeps its owner and is not looked at closely, since all of that is done on every control machine for
// each of hundreds of dispatchers that attach at once.

// claim is a session's claim to be an owner. The highest claim wins.
type claim struct {
	session  SessionID
	sameZone bool // the session is in the same zone
	weight   uint64
}

// outranks reports whether a claim goes before another one. Of two that are the same the older session's does.
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

// claimOf returns a session's claim to what bears the name; one in the zone goes before others.
func (f *FSM) claimOf(id SessionID, name, zone string) claim {
	session := f.Sessions[id]
	if session == nil {
		return claim{}
	}
	return claim{id, zone != "" && session.Zone == zone, rendezvous(name, id)}
}

func rendezvous(name string, id SessionID) uint64 {
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

// claimOwnership gives a session that has just opened the workers and jobs to which it has the highest claim.
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

// reassignWorkersAndJobs gives what a session that is over has owned to those that have the highest claims now.
func (f *FSM) reassignWorkersAndJobs(over SessionID) {
	var left []string
	for id, worker := range f.Workers {
		if worker.Owner == over {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		f.assignWorker(f.Workers[id])
	}
	f.assignOrphanedJobs()
}

// assignOrphanedJobs gives every job whose owner is gone a new one.
func (f *FSM) assignOrphanedJobs() {
	var orphans []string
	for id, owned := range f.Jobs {
		if !owned.State.Terminal() && f.Sessions[owned.Owner] == nil {
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		owned := f.Jobs[id]
		if owned.Owner = f.chooseOwner(id, ""); owned.Owner != 0 {
			f.notify(owned.Owner, Update{Job: owned})
		}
	}
}

// assignWorker makes the session with the highest claim the worker's owner.
func (f *FSM) assignWorker(worker *Worker) {
	if owner := f.chooseOwner(worker.ID, worker.Zone); owner != worker.Owner {
		f.setOwner(worker, owner)
	}
}

// setOwner gives a worker to a session. Each change of owner brings a higher fence token. The others need not know
// whose it is, so that only the former owner and the new one are told.
func (f *FSM) setOwner(worker *Worker, owner SessionID) {
	former := worker.Owner
	f.LastToken++
	worker.Owner, worker.Token = owner, f.LastToken
	public := worker.withoutRuns()
	if former != 0 { // also where its session is over: it may be connected still
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
