package view

import "testing"

// viewOf returns a view of count members of which the given number at the front have been writers since epoch 2.
func viewOf(count, writers int) *View {
	v := &View{Epoch: 7, ReplicationFactor: writers}
	for id := MemberID(1); id <= MemberID(count); id++ {
		v.Chain = append(v.Chain, Member{ID: id, WriterSince: 2})
	}
	v.Electors = v.Chain
	return v
}

// TestReplicationFactor checks that every majority of the electors contains a writer, and that there are at least as many
// writers as a chain needs.
func TestReplicationFactor(t *testing.T) {
	for _, c := range []struct{ minMembers, electors, want int }{{2, 3, 2}, {3, 3, 3}, {3, 5, 3}, {3, 9, 5},
		{1, 1, 1}, {1, 2, 1}, {2, 4, 2}, {3, 7, 4}} {
		got := replicationFactor(c.minMembers, c.electors)
		if got != c.want {
			t.Errorf("%d electors, at least %d replicas: replication factor %d, want %d",
				c.electors, c.minMembers, got, c.want)
		}
		if majority := c.electors/2 + 1; got+majority <= c.electors {
			t.Errorf("%d electors: a majority may contain none of %d writers", c.electors, got)
		}
	}
}

// nextViewOf returns the view proposed after base when all electors but the silent ones promise, or nil if there is none.
// All are complete in base, so exactly its writers are eligible as head.
func nextViewOf(t *testing.T, base *View, desired View, silent ...MemberID) *View {
	t.Helper()
	r := NewConsensus(HardState{Self: base.Chain[len(base.Chain)-1], View: *base, CompleteEpoch: base.Epoch})
	var expected []MemberID
	for _, member := range base.Electors {
		expected = append(expected, member.ID)
	}
	r.Propose(desired, expected, 3)
	for _, member := range base.Electors {
		promises := true
		for _, id := range silent {
			promises = promises && id != member.ID
		}
		if promises {
			eligible := NewConsensus(HardState{Self: member, View: *base, CompleteEpoch: base.Epoch}).EligibleAsHead()
			r.Receive(member.ID, &Message{Promise: &Promise{BaseEpoch: base.Epoch, Ballot: r.proposal.ballot, EligibleAsHead: eligible}})
		}
	}
	for range urgentPromiseWaitTicks {
		r.Tick()
	}
	if r.proposal == nil {
		return nil
	}
	return r.proposal.view
}

func TestFollowersAreNotEligibleAsHead(t *testing.T) {
	base := viewOf(5, 3)
	for i, member := range base.Chain {
		if got := NewConsensus(HardState{Self: member, View: *base, CompleteEpoch: 7}).EligibleAsHead(); got != (i < 3) {
			t.Errorf("member %d is eligible as head: %v", member.ID, got)
		}
	}
}

// TestFollowerBecomesAWriter checks that a follower that becomes a writer is eligible as head only once it is complete in
// the view that made it a writer.
func TestFollowerBecomesAWriter(t *testing.T) {
	base := viewOf(5, 3)
	next := nextViewOf(t, base, View{Chain: base.Chain[1:], Electors: base.Electors}, 1)
	if next == nil || next.ReplicationFactor != 3 {
		t.Fatalf("next view %v, want replication factor 3", next)
	}
	for i, want := range []uint64{2, 2, 8, 8} {
		if next.Chain[i].WriterSince != want {
			t.Errorf("member %d is a writer since epoch %d, want %d", next.Chain[i].ID, next.Chain[i].WriterSince, want)
		}
	}
	promoted := NewConsensus(HardState{Self: next.Chain[2], View: *next, CompleteEpoch: 7})
	if promoted.EligibleAsHead() {
		t.Error("a follower of the previous view is eligible as head before it is complete")
	}
	promoted.MarkComplete(8)
	if !promoted.EligibleAsHead() {
		t.Error("a complete writer is not eligible as head")
	}
}

// TestNoViewWithoutAWriter checks that there is no next view once all writers are lost, even if a majority of the electors
// promises.
func TestNoViewWithoutAWriter(t *testing.T) {
	base := viewOf(9, 4) // too few writers for every majority to contain one
	desired := View{Chain: base.Chain[4:], Electors: base.Electors}
	if next := nextViewOf(t, base, desired, 1, 2, 3, 4); next != nil {
		t.Errorf("next view %v without a writer of the previous one", next)
	}
	if next := nextViewOf(t, base, View{Chain: base.Chain[3:], Electors: base.Electors}, 1, 2, 3); next == nil || next.Chain[0].ID != 4 {
		t.Errorf("the last writer does not head the next view: %v", next)
	}
}
