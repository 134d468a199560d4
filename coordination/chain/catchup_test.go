package chain

import "testing"

// TestNonMemberCatchesUp checks that a replica outside the chain catches up before it joins, and that the committed entries
// replace its own uncommitted ones.
func TestNonMemberCatchesUp(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 3, 1, 2)
	c.propose(3, "a")
	c.runUntilQuiet()
	c.cut[link{3, 1}] = true
	c.propose(3, "never passed on")
	c.runUntilQuiet()
	c.cut = map[link]bool{}
	nonMember := c.hosts[3]
	c.setView(2, 1, 2)
	c.runUntilQuiet()
	c.propose(1, "b", "c")
	c.runUntilQuiet()
	if nonMember.replica.LastIndex() != 2 {
		t.Fatalf("the former head has %d entries, want 2", nonMember.replica.LastIndex())
	}
	for range 3 {
		if request, outside := nonMember.replica.NextCatchUpRequest(); outside {
			if response := c.hosts[2].replica.AnswerCatchUp(request); response != nil {
				nonMember.replica.ApplyCatchUp(response)
				c.handleReady(nonMember)
				c.runUntilQuiet()
			}
		}
	}
	if got := texts(nonMember.applied); got != "a b c" {
		t.Errorf("the non-member has applied %q", got)
	}
	if request, _ := nonMember.replica.NextCatchUpRequest(); c.hosts[2].replica.AnswerCatchUp(request) != nil {
		t.Error("the member still has entries for a non-member that has caught up")
	}
	c.reportViolations(t)
}

// TestNonMemberWithAnUncommittedSuffixCatchesUp guards against an endless catch-up. A replica whose log extended beyond the
// member's snapshot with entries that were never committed applied no response and sent the same request endlessly. A
// simulation with a planted fault revealed this.
func TestNonMemberWithAnUncommittedSuffixCatchesUp(t *testing.T) {
	c := newCluster(3, 2)
	c.setView(1, 1, 2, 3)
	c.propose(1, "a")
	c.runUntilQuiet()
	c.cut[link{1, 2}] = true
	c.propose(1, "x", "y", "z", "u") // never committed
	c.sync(1)
	c.view = View{2, []MemberID{2, 3}, 0}
	for _, id := range c.view.Members {
		c.hosts[id].replica.SetView(c.view)
		c.handleReady(c.hosts[id])
	}
	c.runUntilQuiet()
	c.propose(2, "b", "c", "d")
	c.runUntilQuiet()
	member, nonMember := c.hosts[2].replica, c.hosts[1].replica
	member.Compact(3, []byte("state of 3"))
	nonMember.SetView(c.view)
	for range 4 {
		request, outside := nonMember.NextCatchUpRequest()
		if !outside {
			t.Fatal("the replica is a member")
		}
		if response := member.AnswerCatchUp(request); response != nil {
			nonMember.ApplyCatchUp(response)
			c.handleReady(c.hosts[1])
		}
	}
	if nonMember.CommitIndex() != member.CommitIndex() || string(c.hosts[1].base.Data) != "state of 3" ||
		texts(c.hosts[1].applied) != "d" {
		t.Errorf("committed %d of %d, snapshot %q, applied %q", nonMember.CommitIndex(), member.CommitIndex(),
			c.hosts[1].base.Data, texts(c.hosts[1].applied))
	}
	c.reportViolations(t)
}
