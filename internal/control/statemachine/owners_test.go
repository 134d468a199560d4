package statemachine

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"yardflow/scheduling/job"
)

func TestClosedSessionsJobsAndWorkersAreReassigned(t *testing.T) {
	c := newTestCluster(t, 3, 6)
	c.submit(jobA, job.Step{Count: 1, CPU: 1})
	c.mustApply(Command{CloseSession: &CloseSession{1}}, OK)
	if owner := c.Jobs[jobA].Owner; owner != 2 && owner != 3 {
		t.Errorf("the job's owner is session %d, want 2 or 3", owner)
	}
	for id, worker := range c.Workers {
		if worker.Owner == 1 || worker.Owner == 0 {
			t.Errorf("%s is owned by session %d, want 2 or 3", id, worker.Owner)
		}
	}
	c.mustApply(Command{CloseSession: &CloseSession{2}}, OK)
	c.mustApply(Command{CloseSession: &CloseSession{3}}, OK)
	result := c.mustApply(Command{OpenSession: &OpenSession{Node: "front-9", Incarnation: 9}}, OK)
	if c.Jobs[jobA].Owner != result.Session {
		t.Error("the next session does not become the owner of a job without one")
	}
}

// TestOwnersHaveTheHighestClaims opens and closes sessions and reports workers at random, and checks that each worker's
// owner has the highest claim of all open sessions. The state machine compares only some of the claims at each change.
func TestOwnersHaveTheHighestClaims(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := New(25)
	reports, incarnation := uint64(0), uint64(0)
	for step := range 2000 {
		switch random.IntN(4) {
		case 0, 1:
			incarnation++
			node := fmt.Sprint("front-", random.IntN(12))
			c.Apply(&Command{OpenSession: &OpenSession{Node: node, Zone: fmt.Sprint("z", random.IntN(3)), Incarnation: incarnation, ExpectedLatest: c.LatestSession(node)}})
		case 2:
			if ids := c.sessionIDs(); len(ids) > 0 {
				c.Apply(&Command{CloseSession: &CloseSession{Session: ids[random.IntN(len(ids))]}})
			}
		case 3:
			reports++
			c.Apply(&Command{InstancesChanged: &InstancesChanged{Reader: c.InstanceReader(), Sequence: reports, Changed: []Instance{
				{ID: fmt.Sprint("i-", random.IntN(60)), Zone: fmt.Sprint("z", random.IntN(4)), Service: "service"}}}})
		}
		checkOwners(t, c, step)
	}
	if len(c.Workers) < 40 {
		t.Errorf("only %d workers of 60 joined, too few to test the owners", len(c.Workers))
	}
}

func checkOwners(t *testing.T, c *FSM, step int) {
	t.Helper()
	tokens := map[uint64]string{}
	for id, worker := range c.Workers {
		if want := c.chooseOwner(id, worker.Zone); worker.Owner != want {
			t.Fatalf("step %d: %s is owned by %d, want %d", step, id, worker.Owner, want)
		}
		if other, used := tokens[worker.Token]; used && worker.Owner != 0 {
			t.Fatalf("step %d: %s and %s have the same token", step, id, other)
		}
		tokens[worker.Token] = id
	}
}

// TestOwnerChangeNotifiesBothOwners checks that only the new and the former owner of a worker are notified. Otherwise each
// of hundreds of dispatchers that connect would cause updates to all sessions.
func TestOwnerChangeNotifiesBothOwners(t *testing.T) {
	c := largeFSM(5, 40)
	before := map[string]SessionID{}
	for id, worker := range c.Workers {
		before[id] = worker.Owner
	}
	opened := c.Apply(&Command{OpenSession: &OpenSession{Node: "new", Zone: "z1", Incarnation: 99}}).Session
	notified := map[string]map[SessionID]bool{} // by worker
	for _, update := range c.DequeueUpdates() {
		if update.Update.Worker == nil {
			continue
		}
		id := update.Update.Worker.ID
		if notified[id] == nil {
			notified[id] = map[SessionID]bool{}
		}
		notified[id][update.To] = true
	}
	moved := 0
	for id, worker := range c.Workers {
		if worker.Owner == before[id] {
			if notified[id] != nil {
				t.Errorf("%s has kept its owner, but sessions %v are notified", id, notified[id])
			}
			continue
		}
		moved++
		if worker.Owner != opened || !notified[id][opened] || !notified[id][before[id]] || len(notified[id]) != 2 {
			t.Errorf("%s: owner changed from %d to %d, sessions %v are notified", id, before[id], worker.Owner, notified[id])
		}
	}
	if moved == 0 {
		t.Error("no worker has changed its owner")
	}
}

// TestNewWorkerIsAnnouncedToAll checks that every dispatcher is notified of a worker that joins, since all of them may place
// tasks there.
func TestNewWorkerIsAnnouncedToAll(t *testing.T) {
	c := largeFSM(3, 0)
	c.Apply(&Command{InstancesChanged: &InstancesChanged{Reader: c.InstanceReader(), Sequence: 2, Changed: []Instance{{ID: "i-1", Service: "service"}}}})
	for _, update := range c.DequeueUpdates() {
		if update.To == 0 && update.Update.Worker != nil && update.Update.Worker.Owner != 0 {
			return
		}
	}
	t.Error("no update about the new worker is sent to all sessions")
}
