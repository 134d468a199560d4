package chain

import (
	"fmt"
	"testing"
)

func TestCommitNeedsEverySync(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2, 3)
	c.runUntilQuiet()
	c.propose(1, "a")
	c.deliver(1, 2)
	c.deliver(2, 3)
	c.sync(2)
	c.sync(3)
	c.deliverAll()
	if len(c.history) != 0 {
		t.Fatal("committed before the head has synced the entry")
	}
	c.sync(1)
	c.runUntilQuiet()
	if len(c.history) != 1 {
		t.Fatal("not committed although all members have synced the entry")
	}
	assertTimeline(t, c)
}

func TestHeadLosesPowerAndComesBack(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2, 3)
	c.propose(1, "a")
	c.runUntilQuiet()
	c.propose(1, "b")
	c.deliver(1, 2) // the second member receives the entry; the head never syncs it
	c.powerLoss(1)
	c.setView(2, 2, 3)
	c.runUntilQuiet()
	c.propose(2, "c")
	c.runUntilQuiet()
	c.powerOn(1)
	c.setView(3, 2, 3, 1)
	c.runUntilQuiet()
	c.hosts[2].replica.Tick(1)
	c.handleReady(c.hosts[2])
	c.runUntilQuiet()
	if got := texts(c.hosts[1].applied); got != "a b c" {
		t.Errorf("the former head has applied %q", got)
	}
	assertTimeline(t, c)
}

func TestTooShortChainCommitsNothing(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1)
	c.propose(1, "a")
	c.runUntilQuiet()
	if len(c.history) != 0 || c.hosts[1].replica.IsServing() {
		t.Error("a chain with fewer members than the minimum commits or serves")
	}
}

func TestReadsPassTheWholeChain(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2, 3)
	c.propose(1, "a")
	c.runUntilQuiet()
	head := c.hosts[1]
	head.replica.Propose([]Proposal{{Origin: 2, Tag: 7, Read: true}})
	c.handleReady(head)
	c.cut[link{2, 3}] = true // as if the tail were replaced without the old head's knowledge
	c.runUntilQuiet()
	if len(c.hosts[2].reads) != 0 {
		t.Error("a read was answered although the tail has not confirmed it")
	}
	c.cut[link{2, 3}] = false
	head.replica.Propose([]Proposal{{Origin: 2, Tag: 8, Read: true}})
	c.handleReady(head)
	c.runUntilQuiet()
	if len(c.hosts[2].reads) != 1 || c.hosts[2].reads[0].Tag != 8 {
		t.Errorf("reads answered: %v", c.hosts[2].reads)
	}
}

func TestNewMemberReceivesSnapshot(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2)
	c.propose(1, "a", "b", "c")
	c.runUntilQuiet()
	for _, id := range []MemberID{1, 2} {
		c.hosts[id].replica.Compact(2, []byte("state of 2"))
	}
	c.setView(2, 1, 2, 3)
	c.runUntilQuiet()
	newcomer := c.hosts[3]
	if newcomer.base.Index != 2 || string(newcomer.base.Data) != "state of 2" || texts(newcomer.applied) != "c" {
		t.Errorf("the newcomer has a snapshot with index %d and has applied %q",
			newcomer.base.Index, texts(newcomer.applied))
	}
}

// TestRestartedMemberIsSentOnlyMissingEntries checks that a restarted member is sent only the entries that it lacks.
func TestRestartedMemberIsSentOnlyMissingEntries(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2, 3)
	for i := range 200 {
		c.propose(1, fmt.Sprint(i))
	}
	c.runUntilQuiet()
	c.powerLoss(2)
	c.powerLoss(3)
	c.powerOn(2)
	c.powerOn(3)
	c.propose(1, "unsent")
	sent := 0
	c.intercept = func(h *host, ready *Ready) {
		for _, envelope := range ready.Messages {
			if envelope.Message.Append != nil {
				sent += len(envelope.Message.Append.Entries)
			}
		}
	}
	c.setView(2, 1, 2, 3)
	c.runUntilQuiet()
	if sent > 4 {
		t.Errorf("%d entries were sent although only one was missing", sent)
	}
	if len(c.history) != 201 {
		t.Errorf("%d entries are committed, want 201", len(c.history))
	}
}
