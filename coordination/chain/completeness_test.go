package chain

import (
	"strings"
	"testing"
)

// completesEarly plants that a member asks to persist its completeness one entry short of the log with which its view
// began.
func completesEarly(h *host, ready *Ready) {
	log := &h.replica.viewLog
	if h.replica.IsMember() && log.startKnown && !log.completing && min(h.replica.log.durableIndex, log.received)+1 >= log.start {
		log.completing, ready.PersistCompleteness = true, true
	}
}

// rejoinWithoutItsLastWrite is the schedule in which a member that lacks one entry joins the writers, and loses power
// before the entry is on its disk, together with the member that has it. Where the member had said that it is complete, it
// heads the next view; else that view waits for the one that has the entry.
func rejoinWithoutItsLastWrite(intercept func(h *host, ready *Ready)) (c *cluster, complete bool) {
	c = newCluster(3, 2)
	c.writers, c.intercept = 2, intercept
	c.setView(1, 1, 2, 3)
	c.propose(1, "a")
	c.runUntilQuiet()
	c.cut[link{2, 3}] = true
	c.propose(1, "b") // committed by the writers 1 and 2, and not at 3
	c.runUntilQuiet()
	c.cut[link{2, 3}] = false
	c.powerLoss(2)
	c.setView(2, 1, 3)
	for c.hosts[3].replica.LastIndex() < 2 { // until "b" has come to 3, which does not sync it
		c.deliver(1, 3)
		c.deliver(3, 1)
	}
	complete = c.hosts[3].replica.IsComplete()
	c.powerLoss(1)
	c.powerLoss(3)
	c.powerOn(2)
	c.powerOn(3)
	if complete {
		c.setView(3, 3, 2)
	} else {
		c.powerOn(1)
		c.setView(3, 1, 3)
	}
	c.propose(c.view.Members[0], "c")
	c.runUntilQuiet()
	return c, complete
}

// A member says that it is complete only once the last entry of the view's beginning is durable there, and the entry that
// was acknowledged without it outlives its loss of power.
func TestCompletenessIncludesTheLastEntry(t *testing.T) {
	c, complete := rejoinWithoutItsLastWrite(nil)
	c.reportViolations(t)
	if complete {
		t.Error("the member is complete before the last entry is on its disk")
	}
	if got := texts(c.history); got != "a b c" {
		t.Errorf("committed: %s", got)
	}
}

// TestPlantedEarlyCompleteness shows that the schedule loses the acknowledged entry where completeness is one entry short.
func TestPlantedEarlyCompleteness(t *testing.T) {
	c, complete := rejoinWithoutItsLastWrite(completesEarly)
	if !complete || len(c.violations) == 0 || !strings.Contains(strings.Join(c.violations, "; "), "where") {
		t.Errorf("complete %v, found: %v", complete, c.violations)
	}
	t.Log(c.violations)
}

// A member that was given a snapshot is complete by it once the snapshot is durable, not when it has come.
func TestSnapshotCountsOnceItIsDurable(t *testing.T) {
	const head, me, index = 1, 2, 5
	r := New(me, 2, Snapshot{}, nil, 0)
	r.SetView(View{Epoch: 3, Members: []MemberID{head, me}})
	r.Receive(head, &Message{Snapshot: &Snapshot{Epoch: 3, Index: index, IndexEpoch: 2, Data: []byte("state")}})
	r.Receive(head, &Message{Append: &Append{Epoch: 3, PrevIndex: index, PrevEpoch: 2, ViewStart: index, DurableIndex: index}})
	ready := r.Ready()
	if ready.Snapshot == nil {
		t.Fatal("the snapshot was not taken")
	}
	if ready.PersistCompleteness || len(ready.CommittedEntries) > 0 {
		t.Errorf("complete before the snapshot is durable: %+v", ready)
	}
	r.SnapshotPersisted(index)
	if ready := r.Ready(); !ready.PersistCompleteness {
		t.Error("not complete though the snapshot is durable")
	}
}
