package chain

import "testing"

// makeLog returns a log of count entries of one epoch, each with size bytes of data.
func makeLog(epoch uint64, count int, size int) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = Entry{Index: uint64(i + 1), Epoch: epoch, Data: make([]byte, size)}
	}
	return entries
}

// exchange delivers messages between replicas of one view until none is left, or it has delivered maxMessages. It returns
// the number of messages.
func exchange(maxMessages int, replicas ...*Replica) int {
	sent := 0
	for busy := true; busy && sent < maxMessages; {
		busy = false
		for _, from := range replicas {
			ready := from.Ready()
			for _, write := range ready.Writes {
				from.EntriesPersisted(write.Entries[len(write.Entries)-1].Index, write.Generation)
			}
			if ready.PersistCompleteness {
				from.CompletenessPersisted(from.Epoch())
			}
			busy = busy || len(ready.Writes) > 0 || ready.PersistCompleteness || len(ready.Messages) > 0
			for _, envelope := range ready.Messages {
				sent++
				for _, to := range replicas {
					if to.id == envelope.To {
						to.Receive(from.id, &envelope.Message)
					}
				}
			}
		}
	}
	return sent
}

// TestDivergenceEndsTheExchange guards against an endless exchange of logs. If a disk has lost data that it reported as
// synced, the head's log may contradict entries that a member knows to be committed. The member then reports this once
// and does not take part in the view.
func TestDivergenceEndsTheExchange(t *testing.T) {
	const maxMessages = 200
	for name, c := range map[string]struct {
		head     []Entry
		proposed bool // the contradiction is in an entry that the head proposes next
	}{
		"different entries":                   {makeLog(2, 40, 20<<10), false},
		"fewer entries, then a different one": {makeLog(1, 10, 10), true},
		"fewer and different entries":         {makeLog(2, 10, 10), true},
	} {
		t.Run(name, func(t *testing.T) {
			head := New(1, 2, Snapshot{}, c.head, 0)
			member := New(2, 2, Snapshot{}, makeLog(1, 30, 10), 30)
			view := View{Epoch: 3, Members: []MemberID{1, 2}}
			head.SetView(view)
			member.SetView(view)
			if c.proposed {
				exchange(maxMessages, head, member)
				head.Propose([]Proposal{{Origin: 1, Tag: 1, Data: []byte("new")}})
			}
			if sent := exchange(maxMessages, head, member); sent >= maxMessages {
				t.Errorf("the exchange has not ended after %d messages", sent)
			}
			if member.Divergence() == nil {
				t.Error("the member does not report a divergence")
			}
			if head.Divergence() != nil {
				t.Error("the head reports a divergence")
			}
			for range 20 {
				head.Tick(1)
				if sent := exchange(maxMessages, head, member); sent > 1 {
					t.Errorf("%d messages in one tick after the divergence", sent)
				}
			}
			if member.IsServing() {
				t.Error("a diverged member is serving")
			}
		})
	}
}

// TestDivergedMemberOrdersNothing checks that a diverged member neither orders entries nor sends messages, even as head.
func TestDivergedMemberOrdersNothing(t *testing.T) {
	head := New(1, 2, Snapshot{}, makeLog(2, 30, 10), 0)
	member := New(2, 2, Snapshot{}, makeLog(1, 30, 10), 30)
	for _, replica := range []*Replica{head, member} {
		replica.SetView(View{Epoch: 3, Members: []MemberID{1, 2}})
	}
	exchange(100, head, member)
	for _, replica := range []*Replica{head, member} {
		replica.SetView(View{Epoch: 4, Members: []MemberID{2, 1}})
	}
	if member.Propose([]Proposal{{Origin: 2, Tag: 1, Data: []byte("new")}}) {
		t.Error("a diverged head orders an entry")
	}
	if sent := exchange(100, member); sent > 0 {
		t.Errorf("a diverged head sends %d messages", sent)
	}
}

// TestDivergedNonMemberStopsAsking checks that a replica outside the chain sends no more catch-up requests once a response
// contradicts its committed entries.
func TestDivergedNonMemberStopsAsking(t *testing.T) {
	for name, member := range map[string]*Replica{
		"entries":    New(1, 1, Snapshot{}, makeLog(2, 30, 10), 30),
		"a snapshot": New(1, 1, Snapshot{Index: 20, IndexEpoch: 2}, nil, 20),
	} {
		t.Run(name, func(t *testing.T) {
			nonMember := New(2, 1, Snapshot{}, makeLog(1, 30, 10), 30)
			view := View{Epoch: 3, Members: []MemberID{1}}
			member.SetView(view)
			nonMember.SetView(view)
			exchange(100, member)
			for range 10 {
				request, outside := nonMember.NextCatchUpRequest()
				if !outside {
					break
				}
				if response := member.AnswerCatchUp(request); response != nil {
					nonMember.ApplyCatchUp(response)
				}
			}
			if _, outside := nonMember.NextCatchUpRequest(); outside {
				t.Error("the diverged replica still sends requests")
			}
			if nonMember.Divergence() == nil {
				t.Error("the replica does not report a divergence")
			}
		})
	}
}
