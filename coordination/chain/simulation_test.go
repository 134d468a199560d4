package chain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// simulate runs a schedule of proposals, deliveries, syncs, connection losses, power losses and view changes that is
// generated from a seed.
func simulate(seed uint64, intercept func(h *host, ready *Ready)) *cluster {
	random := rand.New(rand.NewPCG(seed, 5))
	c := newCluster(3+2*int(seed%2), 2+int(seed%2))
	if seed/2%2 == 1 {
		c.writers = c.minMembers
	}
	c.intercept = intercept
	epoch, count := uint64(1), 0
	c.setView(epoch, c.ids...)
	eligible := map[MemberID]bool{}
	for _, id := range c.ids {
		eligible[id] = c.isWriter(id)
	}
	for range 4000 {
		id := c.ids[random.IntN(len(c.ids))]
		other := c.ids[random.IntN(len(c.ids))]
		switch dice := random.IntN(1000); {
		case dice < 150:
			count++
			if h := c.hosts[c.view.Members[0]]; h.up {
				c.propose(h.id, fmt.Sprint(count))
			}
		case dice < 700:
			for range c.ids { // most pairs have nothing to deliver
				if c.deliver(id, c.ids[random.IntN(len(c.ids))]) {
					break
				}
			}
		case dice < 930:
			if c.hosts[id].up {
				c.sync(id)
			}
		case dice < 975:
			if c.hosts[id].up {
				c.hosts[id].replica.Tick(1)
				c.handleReady(c.hosts[id])
			}
		case dice < 983:
			pair := link{id, other}
			c.cut[pair] = !c.cut[pair] && random.IntN(10) == 0
			c.queues[pair] = nil
			if h := c.hosts[id]; h.up {
				h.replica.Reconnected(other)
			}
		case dice < 988:
			if !c.hosts[id].up || random.IntN(5) == 0 {
				c.togglePower(id)
			}
		case dice < 1000 && random.IntN(3) == 0:
			epoch = c.changeView(random, epoch, eligible)
		}
	}
	return c
}

// togglePower stops a running member or restarts a stopped one.
func (c *cluster) togglePower(id MemberID) {
	if !c.hosts[id].up {
		c.powerOn(id)
		return
	}
	c.powerLoss(id)
}

// changeView creates a view of running members whose head has the complete log, as package view does.
func (c *cluster) changeView(random *rand.Rand, epoch uint64, eligible map[MemberID]bool) uint64 {
	for _, id := range c.view.Members {
		if c.hosts[id].up && c.hosts[id].replica.Epoch() == epoch && c.hosts[id].replica.IsComplete() {
			eligible[id] = c.isWriter(id)
		}
	}
	var members, newcomers []MemberID
	for _, id := range c.ids {
		if !c.hosts[id].up {
			continue
		}
		switch inView := slices.Contains(c.view.Members, id); {
		case inView && eligible[id]:
			members = append(members, id)
		case random.IntN(2) == 0:
			newcomers = append(newcomers, id)
		}
	}
	if len(members) == 0 {
		return epoch
	}
	random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	epoch++
	c.setView(epoch, append(members, newcomers...)...)
	for _, id := range c.ids {
		if !slices.Contains(members, id) || !c.isWriter(id) {
			eligible[id] = false
		}
	}
	return epoch
}

func TestRandomSchedulesKeepInvariants(t *testing.T) {
	seeds, committed := 400, 0
	if testing.Short() {
		seeds = 50
	}
	for seed := range seeds {
		c := simulate(uint64(seed), nil)
		if len(c.violations) > 0 {
			t.Fatalf("seed %d: %s", seed, c.violations[0])
		}
		committed += len(c.history)
	}
	if committed < 20*seeds {
		t.Errorf("only %d entries committed in %d simulations: too few to exercise the protocol", committed, seeds)
	}
}

// TestSimulationsFindEarlyAcknowledgement checks that the simulations find a planted fault: members acknowledge
// entries before syncing them.
func TestSimulationsFindEarlyAcknowledgement(t *testing.T) {
	found := false
	for seed := uint64(0); seed < 100 && !found; seed++ {
		c := simulate(seed, func(h *host, ready *Ready) {
			for _, write := range ready.Writes { // reported as durable, but never written to the disk
				h.replica.EntriesPersisted(write.Entries[len(write.Entries)-1].Index, write.Generation)
			}
			ready.Writes = nil
		})
		found = len(c.violations) > 0
	}
	if !found {
		t.Error("the simulations did not find that members acknowledge entries before syncing them")
	}
}
