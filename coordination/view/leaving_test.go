package view

import (
	"testing"
	"time"
)

// TestLeavingMemberHandsItsReplicaOver checks that one of the last two replicas, when it shuts down gracefully just after an
// empty machine has started, stays until the newcomer is in the chain. If the other replica were lost before that, no
// machine would have the log. The test also checks that it detects a planted fault: the member stops at once.
func TestLeavingMemberHandsItsReplicaOver(t *testing.T) {
	const gracePeriod, immediate = 4 * time.Second, 0
	survives := func(timeout time.Duration) bool {
		c := newTimedCluster(3, 1)
		c.lose(1)
		c.run(time.Second)
		c.newcomer("")
		c.leave(timeout)
		c.run(2 * heartbeatInterval)
		keepsReplica := c.canAcknowledge() || c.newestView().ChainPosition(4) >= 0
		c.run(recoveryTime)
		return keepsReplica && c.canAcknowledge()
	}
	if !survives(gracePeriod) {
		t.Error("a member that shuts down gracefully stops before its replica is handed over")
	}
	if survives(immediate) {
		t.Error("a member that stops at once is not detected")
	}
}

func TestLeavingMemberStaysWhileTheChainIsTooShort(t *testing.T) {
	members, _ := threeMembers()
	view := &View{Epoch: 4, Chain: members[:2], Electors: members}
	newcomer := Heartbeat{From: Member{ID: 9, Address: "a9", Zone: "z9"}, Epoch: 4, HeardFrom: []MemberID{2, 1}}
	const committed = 10 * maxLag
	desiredWith := func(hasNewcomer bool, lastIndex uint64) *View {
		d := NewDetector(members[1], 0, 2)
		var desired *View
		for at := time.Duration(0); at < time.Second; at += heartbeatInterval {
			leaving := heartbeatOf(members[0], 4, 2)
			leaving.Leaving, leaving.LastIndex = true, committed
			d.ReceiveHeartbeat(at, leaving)
			if hasNewcomer {
				newcomer.LastIndex = lastIndex
				d.ReceiveHeartbeat(at, newcomer)
			}
			desired, _ = d.DesiredView(at, view, false, false, committed)
		}
		return desired
	}
	if got := desiredWith(false, 0); got != nil {
		t.Errorf("desired view %v without a newcomer, want none", got)
	}
	if got := desiredWith(true, 0); got != nil && (got.ChainPosition(1) < 0 || !got.IsElector(1)) {
		t.Errorf("a newcomer without the log replaces the leaving member: %v", got)
	}
	got := desiredWith(true, committed)
	if got == nil || got.ChainPosition(1) >= 0 || got.IsElector(1) || got.ChainPosition(9) < 0 {
		t.Errorf("a newcomer with the log does not replace the leaving member: %v", got)
	}
}

// TestLeavingMemberDoesNotBecomeElector checks that a leaving member that has been replaced does not itself replace another
// leaving member.
func TestLeavingMemberDoesNotBecomeElector(t *testing.T) {
	members, view := threeMembers()
	d := NewDetector(members[1], 0, 2)
	former := Heartbeat{From: Member{ID: 9, Address: "a9", Zone: "z1"}, Epoch: 4, HeardFrom: []MemberID{2}, Leaving: true, LastIndex: 100}
	for at := time.Duration(0); at < time.Second; at += heartbeatInterval {
		leaving := heartbeatOf(members[0], 4, 2)
		leaving.Leaving = true
		d.ReceiveHeartbeat(at, leaving)
		d.ReceiveHeartbeat(at, heartbeatOf(members[2], 4, 2))
		d.ReceiveHeartbeat(at, former)
		if desired, _ := d.DesiredView(at, view, false, false, 0); desired != nil && desired.IsElector(9) {
			t.Fatalf("a leaving member replaces another leaving member: %v", desired)
		}
	}
}
