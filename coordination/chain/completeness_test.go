package chain

import (
	"strings"
	"testing"
)

// persistCompletenessEarly is a planted fault: a member asks to persist its completeness while it still lacks the last
// entry of the log with which its view began.
func persistCompletenessEarly(h *host, ready *Ready) {
	log := &h.replica.viewLog
	if h.replica.IsMember() && log.startKnown && !log.persistRequested &&
		min(h.replica.log.durableIndex, log.received)+1 >= log.start {
		log.persistRequested, ready.PersistCompleteness = true, true
	}
}

// rejoinWithoutLastEntry runs a schedule in which a member that lacks one entry joins the writers. It loses power before
// the entry is on its disk, together with the member that has the entry. If the joining member had reported that it is
// complete, it heads the next view; otherwise the member that has the entry restarts and heads it.
func rejoinWithoutLastEntry(intercept func(h *host, ready *Ready)) (c *cluster, complete bool) {
	c = newCluster(3, 2)
	c.writers, c.intercept = 2, intercept
	c.setView(1, 1, 2, 3)
	c.propose(1, "a")
	c.runUntilQuiet()
	c.cut[link{2, 3}] = true
	c.propose(1, "b") // committed by the writers 1 and 2; member 3 lacks it
	c.runUntilQuiet()
	c.cut[link{2, 3}] = false
	c.powerLoss(2)
	c.setView(2, 1, 3)
	for c.hosts[3].replica.LastIndex() < 2 { // until member 3 has received "b", which it does not sync
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

// TestCompletenessIncludesTheLastEntry checks that a member is complete only once the last entry with which the view began
// is durable at it, so that an acknowledged entry which it has not synced survives its loss of power.
func TestCompletenessIncludesTheLastEntry(t *testing.T) {
	c, complete := rejoinWithoutLastEntry(nil)
	c.reportViolations(t)
	if complete {
		t.Error("the member is complete although the last entry is not on its disk")
	}
	if got := texts(c.history); got != "a b c" {
		t.Errorf("committed %q, want \"a b c\"", got)
	}
}

// TestEarlyCompletenessLosesAcknowledgedEntry checks that the schedule loses the acknowledged entry if a
// member reports its completeness one entry too early.
func TestEarlyCompletenessLosesAcknowledgedEntry(t *testing.T) {
	c, complete := rejoinWithoutLastEntry(persistCompletenessEarly)
	if !complete || len(c.violations) == 0 || !strings.Contains(strings.Join(c.violations, "; "), "where") {
		t.Errorf("complete: %v, violations: %v; want a complete member that commits another entry", complete, c.violations)
	}
	t.Log(c.violations)
}

// TestSnapshotCompletesMemberOnceDurable checks that a member which received a snapshot is complete only once
// the snapshot is durable.
func TestSnapshotCompletesMemberOnceDurable(t *testing.T) {
	const head, member, index = 1, 2, 5
	r := New(member, 2, Snapshot{}, nil, 0)
	r.SetView(View{Epoch: 3, Members: []MemberID{head, member}})
	r.Receive(head, &Message{Snapshot: &Snapshot{Epoch: 3, Index: index, IndexEpoch: 2, Data: []byte("state")}})
	r.Receive(head, &Message{Append: &Append{Epoch: 3, PrevIndex: index, PrevEpoch: 2, ViewStart: index,
		DurableIndex: index}})
	ready := r.Ready()
	if ready.Snapshot == nil {
		t.Fatal("the replica does not ask the host to install the snapshot")
	}
	if ready.PersistCompleteness || len(ready.CommittedEntries) > 0 {
		t.Errorf("complete before the snapshot is durable: %+v", ready)
	}
	r.SnapshotPersisted(index)
	if ready := r.Ready(); !ready.PersistCompleteness {
		t.Error("not complete although the snapshot is durable")
	}
}
