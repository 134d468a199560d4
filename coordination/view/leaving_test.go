package view

import (
	"testing"
	"time"
)

// TestLeavingMemberHandsItsReplicaOver lets one of the two last replicas shut down gracefully while an empty machine has
// just come: it stays until the newcomer is in the chain. Planted: it stops at once, and the other one is lost right
// after; then nobody has the log any more.
func TestLeavingMemberHandsItsReplicaOver(t *testing.T) {
	const graceful, planted = 4 * time.Second, 0
	play := func(within time.Duration) bool {
		c := newTimedCluster(3, 1)
		c.lose(1)
		c.run(time.Second)
		c.newcomer("")
		c.leave(within)
		c.run(2 * heartbeatInterval)
		keeps := c.canAcknowledge() || c.newestView().ChainPosition(4) >= 0
		c.run(recoveryTime)
		return keeps && c.canAcknowledge()
	}
	if !play(graceful) {
		t.Error("a member that shuts down gracefully takes its replica with it")
	}
	if play(planted) {
		t.Error("a member that stops at once was not found")
	}
}

func TestLeavingMemberStaysWhileTheChainIsTooShort(t *testing.T) {
	members, _ := threeMembers()
	view := &View{Epoch: 4, Chain: members[:2], Electors: members}
	newcomer := Heartbeat{From: Member{ID: 9, Address: "a9", Zone: "z9"}, Epoch: 4, HeardFrom: []MemberID{2, 1}}
	const committed = 10 * maxLag
	desiredWith := func(newcomers bool, last uint64) *View {
		d := NewDetector(members[1], 0, 2)
		var desired *View
		for at := time.Duration(0); at < time.Second; at += heartbeatInterval {
			leaving := heartbeatOf(members[0], 4, 2)
			leaving.Leaving, leaving.LastIndex = true, committed
			d.ReceiveHeartbeat(at, leaving)
			if newcomers {
				newcomer.LastIndex = last
				d.ReceiveHeartbeat(at, newcomer)
			}
			desired, _ = d.DesiredView(at, view, false, false, committed)
		}
		return desired
	}
	if got := desiredWith(false, 0); got != nil {
		t.Errorf("without anybody else, the view %v is asked for", got)
	}
	if got := desiredWith(true, 0); got != nil && (got.ChainPosition(1) < 0 || !got.IsElector(1)) {
		t.Errorf("a newcomer without the log takes the leaving member's place: %v", got)
	}
	got := desiredWith(true, committed)
	if got == nil || got.ChainPosition(1) >= 0 || got.IsElector(1) || got.ChainPosition(9) < 0 {
		t.Errorf("a newcomer with the log does not take the leaving member's place: %v", got)
	}
}

// TestLeavingMemberIsNoNewcomer keeps that a member that is to stop and has given its place away does not take that of
// another one that stops.
func TestLeavingMemberIsNoNewcomer(t *testing.T) {
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
			t.Fatalf("a member that stops takes the place of another one: %v", desired)
		}
	}
}
