package view

import "testing"

// viewOf returns a view of some members in which so many at the front are writers since epoch 2.
func viewOf(count, writers int) *View {
	v := &View{Epoch: 7, ReplicationFactor: writers}
	for id := MemberID(1); id <= MemberID(count); id++ {
		v.Chain = append(v.Chain, Member{ID: id, WriterSince: 2})
	}
	v.Electors = v.Chain
	return v
}

// Every majority of the electors has a replica of each entry, and there are as many as losses ask for.
func TestReplicationFactor(t *testing.T) {
	for _, c := range []struct{ least, electors, want int }{{2, 3, 2}, {3, 3, 3}, {3, 5, 3}, {3, 9, 5}, {1, 1, 1}, {1, 2, 1}, {2, 4, 2}, {3, 7, 4}} {
		got := replicationFactor(c.least, c.electors)
		if got != c.want {
			t.Errorf("%d electors, %d replicas at least: %d, want %d", c.electors, c.least, got, c.want)
		}
		if majority := c.electors/2 + 1; got+majority <= c.electors {
			t.Errorf("%d electors: a majority may have none of %d replicas", c.electors, got)
		}
	}
}

// nextOf returns the view that follows where all but some members answer. Followers promise, too, and so do members
// that say they have everything though they don't write.
func nextOf(t *testing.T, base *View, desired View, silent ...MemberID) *View {
	t.Helper()
	r := NewConsensus(HardState{Self: base.Chain[len(base.Chain)-1], View: *base, CompleteEpoch: base.Epoch})
	var expected []MemberID
	for _, member := range base.Electors {
		expected = append(expected, member.ID)
	}
	r.Propose(desired, expected, 3)
	for _, member := range base.Electors {
		answers := true
		for _, id := range silent {
			answers = answers && id != member.ID
		}
		if answers {
			valid := NewConsensus(HardState{Self: member, View: *base, CompleteEpoch: base.Epoch}).EligibleAsHead()
			r.Receive(member.ID, &Message{Promise: &Promise{BaseEpoch: base.Epoch, Ballot: r.proposal.ballot, EligibleAsHead: valid}})
		}
	}
	for range urgentPatience {
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
			t.Errorf("member %d counts as complete: %v", member.ID, got)
		}
	}
}

// A follower that becomes a writer has everything only once it is complete in the view that made it one.
func TestFollowerBecomesAWriter(t *testing.T) {
	base := viewOf(5, 3)
	next := nextOf(t, base, View{Chain: base.Chain[1:], Electors: base.Electors}, 1)
	if next == nil || next.ReplicationFactor != 3 {
		t.Fatalf("next view %v", next)
	}
	for i, want := range []uint64{2, 2, 8, 8} {
		if next.Chain[i].WriterSince != want {
			t.Errorf("member %d is a writer since epoch %d, want %d", next.Chain[i].ID, next.Chain[i].WriterSince, want)
		}
	}
	promoted := NewConsensus(HardState{Self: next.Chain[2], View: *next, CompleteEpoch: 7})
	if promoted.EligibleAsHead() {
		t.Error("a follower of the view before counts as complete at once")
	}
	promoted.MarkComplete(8)
	if !promoted.EligibleAsHead() {
		t.Error("a writer that is complete does not count as such")
	}
}

// Where all writers are gone, nobody heads another view, though a majority of the electors is there.
func TestNoViewWithoutAWriter(t *testing.T) {
	base := viewOf(9, 4) // too few replicas for a majority to have one for certain
	desired := View{Chain: base.Chain[4:], Electors: base.Electors}
	if next := nextOf(t, base, desired, 1, 2, 3, 4); next != nil {
		t.Errorf("a view without any writer: %v", next)
	}
	if next := nextOf(t, base, View{Chain: base.Chain[3:], Electors: base.Electors}, 1, 2, 3); next == nil || next.Chain[0].ID != 4 {
		t.Errorf("the last writer does not head the next view: %v", next)
	}
}
