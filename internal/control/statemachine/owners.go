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
	session SessionID
	near    bool // the session is in the same zone
	weight  uint64
}

// beats reports whether a claim goes before another one. Of two that are the same the older session's does.
func (a claim) beats(b claim) bool {
	switch {
	case b.session == 0:
		return true
	case a.near != b.near:
		return a.near
	case a.weight != b.weight:
		return a.weight > b.weight
	}
	return a.session < b.session
}

// claimOf returns a session's claim to what bears the name; one in the zone goes before others.
func (c *FSM) claimOf(id SessionID, name, zone string) claim {
	session := c.Sessions[id]
	if session == nil {
		return claim{}
	}
	return claim{id, zone != "" && session.Zone == zone, rendezvous(name, id)}
}

func rendezvous(name string, id SessionID) uint64 {
	buffer := binary.LittleEndian.AppendUint64([]byte(name), id)
	return xxhash.Sum64(buffer)
}

// choose returns the session with the highest claim, or 0 where none is open.
func (c *FSM) choose(name, zone string) SessionID {
	best := claim{}
	for id := range c.Sessions {
		if own := c.claimOf(id, name, zone); own.beats(best) {
			best = own
		}
	}
	return best.session
}

// claimFor gives a session that has just opened the workers and jobs to which it has the highest claim.
func (c *FSM) claimFor(session *Session) {
	var won []string
	for id, worker := range c.Workers {
		own := c.claimOf(session.ID, id, worker.Zone)
		if own.beats(c.claimOf(worker.Owner, id, worker.Zone)) {
			won = append(won, id)
		}
	}
	slices.Sort(won)
	for _, id := range won {
		c.setOwner(c.Workers[id], session.ID)
	}
	c.adoptJobs()
}

// passOn gives what a session that is over has owned to those that have the highest claims now.
func (c *FSM) passOn(over SessionID) {
	var left []string
	for id, worker := range c.Workers {
		if worker.Owner == over {
			left = append(left, id)
		}
	}
	slices.Sort(left)
	for _, id := range left {
		c.assignWorker(c.Workers[id])
	}
	c.adoptJobs()
}

// adoptJobs gives every job whose owner is gone a new one.
func (c *FSM) adoptJobs() {
	var orphans []string
	for id, owned := range c.Jobs {
		if !owned.State.Terminal() && c.Sessions[owned.Owner] == nil {
			orphans = append(orphans, id)
		}
	}
	slices.Sort(orphans)
	for _, id := range orphans {
		owned := c.Jobs[id]
		if owned.Owner = c.choose(id, ""); owned.Owner != 0 {
			c.tell(owned.Owner, Update{Job: owned})
		}
	}
}

// assignWorker makes the session with the highest claim the worker's owner.
func (c *FSM) assignWorker(worker *Worker) {
	if owner := c.choose(worker.ID, worker.Zone); owner != worker.Owner {
		c.setOwner(worker, owner)
	}
}

// setOwner gives a worker to a session. Each change of owner brings a higher fence token. The others need not know
// whose it is, so that only the former owner and the new one are told.
func (c *FSM) setOwner(worker *Worker, owner SessionID) {
	former := worker.Owner
	c.LastToken++
	worker.Owner, worker.Token = owner, c.LastToken
	public := worker.public()
	if former != 0 { // also where its session is over: it may be connected still
		c.updates = append(c.updates, AddressedUpdate{former, Update{Worker: public}})
	}
	if owner == 0 {
		return
	}
	c.tell(owner, Update{Worker: public})
	for _, placement := range c.placementsAt(worker) {
		c.tell(owner, Update{Placement: placement})
	}
}
