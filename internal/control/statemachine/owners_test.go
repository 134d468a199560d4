package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestOwnersHaveTheHighestClaims opens and ends sessions at random, with workers and jobs that come and go, and
// looks all of them through: nobody that a change does not concern may have been passed over.
func TestOwnersHaveTheHighestClaims(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := New(25)
	reading, life := uint64(0), uint64(0)
	for step := range 2000 {
		switch random.IntN(4) {
		case 0, 1:
			life++
			node := fmt.Sprint("front-", random.IntN(12))
			c.Apply(&Command{OpenSession: &OpenSession{Node: node, Zone: fmt.Sprint("z", random.IntN(3)), Incarnation: life, ExpectedLatest: c.LatestSession(node)}})
		case 2:
			if ids := c.sessionIDs(); len(ids) > 0 {
				c.Apply(&Command{CloseSession: &CloseSession{Session: ids[random.IntN(len(ids))]}})
			}
		case 3:
			reading++
			c.Apply(&Command{InstancesChanged: &InstancesChanged{Reader: c.InstanceReader(), Sequence: reading, Changed: []Instance{
				{ID: fmt.Sprint("i-", random.IntN(60)), Zone: fmt.Sprint("z", random.IntN(4)), Service: "service"}}}})
		}
		checkOwners(t, c, step)
	}
	if len(c.Workers) < 40 {
		t.Errorf("%d workers: the walk shows little", len(c.Workers))
	}
}

func checkOwners(t *testing.T, c *FSM, step int) {
	t.Helper()
	tokens := map[uint64]string{}
	for id, worker := range c.Workers {
		if want := c.chooseOwner(id, worker.Zone); worker.Owner != want {
			t.Fatalf("step %d: %s is owned by %d, want %d", step, id, worker.Owner, want)
		}
		if other, taken := tokens[worker.Token]; taken && worker.Owner != 0 {
			t.Fatalf("step %d: %s and %s have one token", step, id, other)
		}
		tokens[worker.Token] = id
	}
}

// TestOwnerChangeNotifiesBothOwners keeps that an owner learns that a worker is its own, and the former one that it is not,
// and that the others are not told: at each of hundreds of dispatchers that attach, workers change their owners.
func TestOwnerChangeNotifiesBothOwners(t *testing.T) {
	c := largeFSM(5, 40)
	before := map[string]SessionID{}
	for id, worker := range c.Workers {
		before[id] = worker.Owner
	}
	opened := c.Apply(&Command{OpenSession: &OpenSession{Node: "new", Zone: "z1", Incarnation: 99}}).Session
	told := map[string]map[SessionID]bool{}
	for _, update := range c.DequeueUpdates() {
		if update.Update.Worker == nil {
			continue
		}
		id := update.Update.Worker.ID
		if told[id] == nil {
			told[id] = map[SessionID]bool{}
		}
		told[id][update.To] = true
	}
	moved := 0
	for id, worker := range c.Workers {
		if worker.Owner == before[id] {
			if told[id] != nil {
				t.Errorf("%s has kept its owner, and %v are told of it", id, told[id])
			}
			continue
		}
		moved++
		if worker.Owner != opened || !told[id][opened] || !told[id][before[id]] || len(told[id]) != 2 {
			t.Errorf("%s went from %d to %d, and %v are told", id, before[id], worker.Owner, told[id])
		}
	}
	if moved == 0 {
		t.Error("no worker has changed its owner")
	}
}

// TestNewWorkerIsAnnouncedToAll keeps that every dispatcher learns of a worker that joins: all of them place tasks there.
func TestNewWorkerIsAnnouncedToAll(t *testing.T) {
	c := largeFSM(3, 0)
	c.Apply(&Command{InstancesChanged: &InstancesChanged{Reader: c.InstanceReader(), Sequence: 2, Changed: []Instance{{ID: "i-1", Service: "service"}}}})
	for _, update := range c.DequeueUpdates() {
		if update.To == 0 && update.Update.Worker != nil && update.Update.Worker.Owner != 0 {
			return
		}
	}
	t.Error("the others are not told")
}
