package chain

import "testing"

// TestMemberThatInstallsAViewLaterNeedsNoTick checks that the members of a new view become complete without a tick, although
// the head has installed the view, and sent its first message, before its successor has.
func TestMemberThatInstallsAViewLaterNeedsNoTick(t *testing.T) {
	const head, successor = 1, 2
	replicas := map[MemberID]*Replica{}
	for _, id := range []MemberID{head, successor} {
		replicas[id] = New(id, 2, Snapshot{}, []Entry{{Index: 1, Epoch: 1}}, 1)
	}
	deliver := func() {
		for delivered := true; delivered; {
			delivered = false
			for id, r := range replicas {
				ready := r.Ready()
				if ready.PersistCompleteness {
					r.CompletenessPersisted(2)
				}
				for _, envelope := range ready.Messages {
					delivered = true
					replicas[envelope.To].Receive(id, &envelope.Message)
				}
			}
		}
	}
	view := View{Epoch: 2, Members: []MemberID{head, successor}}
	replicas[head].SetView(view)
	deliver()
	replicas[successor].SetView(view)
	deliver()
	if !replicas[head].IsComplete() || !replicas[successor].IsComplete() {
		t.Errorf("complete: head %v, successor %v", replicas[head].IsComplete(), replicas[successor].IsComplete())
	}
}
