package chain

import "testing"

// logOf makes a log of one epoch's entries.
func logOf(epoch uint64, count int, size int) []Entry {
	entries := make([]Entry, count)
	for i := range entries {
		entries[i] = Entry{Index: uint64(i + 1), Epoch: epoch, Data: make([]byte, size)}
	}
	return entries
}

// exchange carries messages between two members of one view until both are quiet, and returns how many there were;
// at most that many.
func exchange(most int, replicas ...*Replica) int {
	sent := 0
	for busy := true; busy && sent < most; {
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

// Where a disk has lost what it had called synced, a member may be headed by one whose log contradicts what it knows to
// be committed. It says so once and takes no part; before, both exchanged their logs without end.
func TestDivergenceEndsTheExchange(t *testing.T) {
	const most = 200
	for name, c := range map[string]struct {
		head     []Entry
		proposed bool // the contradiction lies in what the head orders next
	}{
		"other entries":            {logOf(2, 40, 20<<10), false},
		"fewer, then other ones":   {logOf(1, 10, 10), true},
		"other entries, and fewer": {logOf(2, 10, 10), true},
	} {
		t.Run(name, func(t *testing.T) {
			head := New(1, 2, Snapshot{}, c.head, 0)
			member := New(2, 2, Snapshot{}, logOf(1, 30, 10), 30)
			view := View{Epoch: 3, Members: []MemberID{1, 2}}
			head.SetView(view)
			member.SetView(view)
			if c.proposed {
				exchange(most, head, member)
				head.Propose([]Proposal{{Origin: 1, Tag: 1, Data: []byte("new")}})
			}
			if sent := exchange(most, head, member); sent >= most {
				t.Errorf("still exchanging after %d messages", sent)
			}
			if member.Divergence() == nil {
				t.Error("the contradiction is not noticed")
			}
			if head.Divergence() != nil {
				t.Error("the head counts as the one that diverged")
			}
			for range 20 {
				head.Tick(1)
				if sent := exchange(most, head, member); sent > 1 {
					t.Errorf("%d messages in one tick after the contradiction", sent)
				}
			}
			if member.IsServing() {
				t.Error("a member that contradicts its chain serves")
			}
		})
	}
}

// A member that contradicts the chain orders nothing and sends nothing, also as head.
func TestDivergedMemberOrdersNothing(t *testing.T) {
	head := New(1, 2, Snapshot{}, logOf(2, 30, 10), 0)
	member := New(2, 2, Snapshot{}, logOf(1, 30, 10), 30)
	for _, replica := range []*Replica{head, member} {
		replica.SetView(View{Epoch: 3, Members: []MemberID{1, 2}})
	}
	exchange(100, head, member)
	for _, replica := range []*Replica{head, member} {
		replica.SetView(View{Epoch: 4, Members: []MemberID{2, 1}})
	}
	if member.Propose([]Proposal{{Origin: 2, Tag: 1, Data: []byte("new")}}) {
		t.Error("it orders an entry")
	}
	if sent := exchange(100, member); sent > 0 {
		t.Errorf("it sends %d messages", sent)
	}
}

// A replica outside the chain that contradicts what it is taught asks no more.
func TestDivergedNonMemberStopsAsking(t *testing.T) {
	for name, member := range map[string]*Replica{
		"entries":    New(1, 1, Snapshot{}, logOf(2, 30, 10), 30),
		"a snapshot": New(1, 1, Snapshot{Index: 20, IndexEpoch: 2}, nil, 20),
	} {
		t.Run(name, func(t *testing.T) {
			nonMember := New(2, 1, Snapshot{}, logOf(1, 30, 10), 30)
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
				t.Error("it still asks")
			}
			if nonMember.Divergence() == nil {
				t.Error("the contradiction is not noticed")
			}
		})
	}
}
