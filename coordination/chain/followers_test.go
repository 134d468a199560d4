package chain

import "testing"

// newClusterWithFollowers returns a cluster of five members in their first view, of which the first three are writers.
func newClusterWithFollowers() *cluster {
	c := newCluster(5, 3)
	c.writers = 3
	c.setView(1, c.ids...)
	c.runUntilQuiet()
	return c
}

// TestNothingWaitsForFollowers checks that followers receive entries and commit indexes, and that no commit waits for their
// disks or connections.
func TestNothingWaitsForFollowers(t *testing.T) {
	c := newClusterWithFollowers()
	c.cut[link{4, 5}] = true
	c.propose(1, "a")
	for _, pair := range []link{{1, 2}, {2, 3}, {3, 4}, {4, 5}} {
		c.deliver(pair.from, pair.to)
	}
	for _, id := range []MemberID{1, 2, 3} { // the disks of the followers do not respond
		c.sync(id)
	}
	c.deliverAll()
	if len(c.history) != 1 {
		t.Fatal("a commit waits for followers")
	}
	if got := texts(c.hosts[4].applied); got != "a" {
		t.Errorf("the first follower has applied %q", got)
	}
	c.cut[link{4, 5}] = false
	c.hosts[4].replica.Reconnected(5)
	c.handleReady(c.hosts[4])
	c.runUntilQuiet()
	if got := texts(c.hosts[5].applied); got != "a" {
		t.Errorf("the second follower has applied %q after its connection was restored", got)
	}
	assertTimeline(t, c)
}

// TestCommitNeedsEveryWritersSync checks that a commit waits for the sync of every writer.
func TestCommitNeedsEveryWritersSync(t *testing.T) {
	for slow := MemberID(1); slow <= 3; slow++ {
		c := newClusterWithFollowers()
		c.propose(1, "a")
		for range c.ids {
			c.deliverAll()
			for _, id := range c.ids {
				if id != slow {
					c.sync(id)
				}
			}
		}
		if len(c.history) != 0 {
			t.Errorf("committed without the sync of writer %d", slow)
		}
		c.runUntilQuiet()
		if len(c.history) != 1 {
			t.Errorf("not committed after the sync of writer %d", slow)
		}
	}
}

// TestReadOfFollowerPassesAllWriters checks that a read submitted at a follower passes all writers, and is
// answered once the follower has the entries that were committed.
func TestReadOfFollowerPassesAllWriters(t *testing.T) {
	c := newClusterWithFollowers()
	head := c.hosts[1]
	c.cut[link{2, 3}] = true
	c.propose(1, "a")
	head.replica.Propose([]Proposal{{Origin: 5, Tag: 7, Read: true}})
	c.handleReady(head)
	c.runUntilQuiet()
	if len(c.hosts[5].reads) != 0 {
		t.Error("a read was answered that one of the writers has not confirmed")
	}
	c.cut[link{2, 3}] = false
	c.hosts[2].replica.Reconnected(3)
	c.handleReady(c.hosts[2])
	c.runUntilQuiet()
	head.replica.Propose([]Proposal{{Origin: 5, Tag: 8, Read: true}})
	c.handleReady(head)
	c.runUntilQuiet()
	reads := c.hosts[5].reads
	if len(reads) != 1 || reads[0].Tag != 8 || c.hosts[5].replica.CommitIndex() < reads[0].Index {
		t.Errorf("reads answered: %v", reads)
	}
}

// TestCompactionWaitsForTheFollower checks that the entries covered by a snapshot are kept until the successor has them: a
// follower may lack some committed entries.
func TestCompactionWaitsForTheFollower(t *testing.T) {
	c := newClusterWithFollowers()
	c.cut[link{3, 4}] = true
	c.propose(1, "a", "b")
	c.runUntilQuiet()
	tail := c.hosts[3].replica
	tail.Compact(2, []byte("state of 2"))
	if tail.log.snapshotIndex != 0 {
		t.Fatal("the tail dropped entries that the follower lacks")
	}
	c.cut[link{3, 4}] = false
	tail.Reconnected(4)
	c.handleReady(c.hosts[3])
	c.runUntilQuiet()
	if tail.log.snapshotIndex != 2 || texts(c.hosts[4].applied) != "a b" {
		t.Errorf("the tail's snapshot has index %d, and the follower has applied %q",
			tail.log.snapshotIndex, texts(c.hosts[4].applied))
	}
}

// TestDuplicateAppendIsHarmless checks that an Append which is delivered twice causes no divergence, even if a snapshot
// covers part of it.
func TestDuplicateAppendIsHarmless(t *testing.T) {
	c := newCluster(2, 2)
	c.setView(1, 1, 2)
	c.propose(1, "a", "b", "c")
	c.runUntilQuiet()
	c.hosts[2].replica.Compact(2, []byte("state of 2"))
	message := Message{Append: &Append{Epoch: 1, Entries: c.history}}
	for range 2 {
		c.hosts[2].replica.Receive(1, &message)
	}
	if d := c.hosts[2].replica.Divergence(); d != nil {
		t.Errorf("the Append is reported as a divergence at index %d", d.Index)
	}
}
