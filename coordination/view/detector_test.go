package view

import (
	"fmt"
	"testing"
	"time"
)

func heartbeatOf(member Member, epoch uint64, hears ...MemberID) Heartbeat {
	return Heartbeat{From: member, Epoch: epoch, HeardFrom: hears}
}

func TestSilentMemberLeavesTheChain(t *testing.T) {
	members, view := threeMembers()
	d := NewDetector(members[0], 0, 2)
	at := time.Duration(0)
	for ; at < 2*time.Second; at += 100 * time.Millisecond {
		d.ReceiveHeartbeat(at, heartbeatOf(members[1], 4, 1, 3))
		if at < time.Second {
			d.ReceiveHeartbeat(at, heartbeatOf(members[2], 4, 1, 2))
		}
		desired, _ := d.DesiredView(at, view, false, false, 0)
		silent := at - 900*time.Millisecond
		if (desired != nil) != (silent > heartbeatTimeout) && at > 200*time.Millisecond {
			t.Fatalf("at %v: desired view %v, want a change only after heartbeatTimeout of silence", at, desired)
		}
		if desired != nil && len(desired.Chain) != 2 {
			t.Fatalf("desired chain %v, want one without the silent member", desired.Chain)
		}
	}
}

func TestRefusedConnectionCountsAsSilence(t *testing.T) {
	members, view := threeMembers()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, heartbeatOf(members[1], 4, 1, 3))
	d.ReceiveHeartbeat(time.Second, heartbeatOf(members[2], 4, 1, 2))
	d.ConnectionRefused(time.Second, 3)
	if desired, _ := d.DesiredView(time.Second, view, false, false, 0); desired == nil || len(desired.Chain) != 2 {
		t.Errorf("desired view %v, want one without the member that refused the connection", desired)
	}
}

func TestMemberThatDoesNotHearIsNotAlive(t *testing.T) {
	members, _ := threeMembers()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, heartbeatOf(members[1], 4, 3))
	if d.IsAlive(time.Second, 2) {
		t.Error("a member that does not hear this one counts as alive")
	}
}

// desiredWithNewcomer returns the desired view after 4 s in which a newcomer and the other electors are heard, except that
// the silent one falls silent after 0.5 s. The present view is known to be active or not.
func desiredWithNewcomer(newcomer Heartbeat, silent MemberID, isActive bool) *View {
	members, view := threeMembers()
	d := NewDetector(members[0], 0, 2)
	if isActive {
		d.RecordActive(view.Epoch)
	}
	var desired *View
	for at := time.Duration(0); at < 4*time.Second; at += 100 * time.Millisecond {
		for _, member := range members[1:] {
			if member.ID != silent || at < 500*time.Millisecond {
				d.ReceiveHeartbeat(at, heartbeatOf(member, 4, 1, 2, 3))
			}
		}
		d.ReceiveHeartbeat(at, newcomer)
		desired, _ = d.DesiredView(at, view, false, false, 0)
	}
	return desired
}

func electorIDs(view *View) string {
	text := ""
	for _, elector := range view.Electors {
		text += fmt.Sprint(elector.ID, " ")
	}
	return text
}

func TestNewcomersBecomeElectors(t *testing.T) {
	cases := []struct {
		name     string
		newcomer Heartbeat
		silent   MemberID
		want     string // IDs of the desired electors, or "" if no view is desired
	}{
		{"an empty disk replaces the elector at its address", heartbeatOf(Member{ID: 9, Address: "a3", Zone: "z3"}, 0, 1, 2), 3, "1 2 9 "},
		{"one at another address replaces the silent elector of an active view", heartbeatOf(Member{ID: 9, Address: "a9", Zone: "z9"}, 0, 1, 2), 2, "1 9 3 "},
		{"one at another address waits while all are heard", heartbeatOf(Member{ID: 9, Address: "a9", Zone: "z9"}, 0, 1, 2), 0, ""},
		{"an initial member is added to the electors",
			Heartbeat{From: Member{ID: 9, Address: "a9", Zone: "z9"}, InitialMember: true, HeardFrom: []MemberID{1, 2}}, 0, "1 2 3 9 "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			desired := desiredWithNewcomer(c.newcomer, c.silent, true)
			switch {
			case c.want == "" && desired != nil:
				t.Errorf("desired view %v, want none", desired)
			case c.want != "" && (desired == nil || electorIDs(desired) != c.want):
				t.Errorf("desired view %v, want electors %s", desired, c.want)
			}
		})
	}
}

// TestSilentElectorIsKeptUntilTheViewIsActive checks that a newcomer at another address does not take the vote of a silent
// elector while the view has never been complete: that elector may be the only one that can head the next view.
func TestSilentElectorIsKeptUntilTheViewIsActive(t *testing.T) {
	newcomer := heartbeatOf(Member{ID: 9, Address: "a9", Zone: "z9"}, 0, 1, 2)
	if desired := desiredWithNewcomer(newcomer, 2, false); desired != nil && electorIDs(desired) != "1 2 3 " {
		t.Errorf("desired view %v replaces an elector", desired)
	}
}

func TestExclusionReason(t *testing.T) {
	members, _ := threeMembers()
	d := NewDetector(members[0], 0, 2)
	d.ReceiveHeartbeat(time.Second, heartbeatOf(members[1], 4, 1, 2))
	d.ReceiveHeartbeat(time.Second, heartbeatOf(members[2], 4, 2, 3))
	for _, c := range []struct {
		now  time.Duration
		id   MemberID
		want string
	}{{time.Second, 1, ""}, {time.Second, 2, ""}, {time.Second, 3, "does not hear this member"},
		{time.Second + heartbeatTimeout + 1, 2, "silent"}, {time.Second, 9, "never heard"}} {
		if got := d.ExclusionReason(c.now, c.id); got != c.want {
			t.Errorf("member %d at %v: %q, want %q", c.id, c.now, got, c.want)
		}
	}
}

// TestLeavingIsAnExclusionReason checks that a member that shuts down gracefully is alive but has an exclusion reason.
func TestLeavingIsAnExclusionReason(t *testing.T) {
	members, _ := threeMembers()
	d := NewDetector(members[0], 0, 2)
	leaving := heartbeatOf(members[1], 4, 1)
	leaving.Leaving = true
	d.ReceiveHeartbeat(time.Second, leaving)
	if got := d.ExclusionReason(time.Second, 2); got != "is shutting down" || !d.IsAlive(time.Second, 2) {
		t.Errorf("reason %q, alive %v", got, d.IsAlive(time.Second, 2))
	}
}
