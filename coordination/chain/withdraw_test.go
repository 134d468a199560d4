package chain

import "testing"

// TestWithdrawnReplicaSendsAndConfirmsNothing checks that a replica which has withdrawn from its view sends no message in it,
// neither becomes complete nor orders entries, and takes part in the next view again.
func TestWithdrawnReplicaSendsAndConfirmsNothing(t *testing.T) {
	const me, other = 1, 2
	r := New(me, 2, Snapshot{}, nil, 0)
	r.SetView(View{Epoch: 4, Members: []MemberID{me, other}})
	r.Propose([]Proposal{{Origin: me, Tag: 1, Read: true}})
	r.Withdraw(3)
	if !r.IsMember() {
		t.Fatal("the replica has withdrawn from another view than its own")
	}
	r.Withdraw(4)
	r.Tick(1)
	r.Reconnected(other)
	r.CompletenessPersisted(4)
	if ready := r.Ready(); len(ready.Messages) > 0 || ready.PersistCompleteness {
		t.Errorf("a withdrawn replica has work to do: %+v", ready)
	}
	if r.IsMember() || r.IsComplete() || r.Propose([]Proposal{{Origin: me, Tag: 2}}) {
		t.Error("a withdrawn replica takes part in its view")
	}
	r.SetView(View{Epoch: 5, Members: []MemberID{me, other}})
	if !r.IsHead() || !r.Ready().PersistCompleteness {
		t.Error("the replica takes no part in the next view")
	}
}
