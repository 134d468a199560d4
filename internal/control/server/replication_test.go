package server

import (
	"bytes"
	"strings"
	"testing"
	"yardflow/coordination/view"

	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
)

// TestDivergedMemberIsUnhealthy checks that a member whose committed log another member's log contradicts reports
// itself as unhealthy, does not serve, and logs the divergence once.
func TestDivergedMemberIsUnhealthy(t *testing.T) {
	s := newIdleServer(t)
	logs := bytes.Buffer{}
	s.logger = zerolog.New(&logs)
	const me, other = 2, 1
	s.replica = chain.New(me, 1, chain.Snapshot{}, []chain.Entry{{Index: 1, Epoch: 1}}, 1)
	s.replica.SetView(chain.View{Epoch: 3, Members: []chain.MemberID{other, me}})
	s.tick()
	if s.isUnhealthy() || logs.Len() > 0 {
		t.Fatalf("unhealthy or logged before any message arrived: %s", logs.String())
	}
	s.replica.Receive(other, &chain.Message{Append: &chain.Append{Epoch: 3, PrevIndex: 1, PrevEpoch: 2}})
	s.tick()
	s.tick()
	if !s.isUnhealthy() || s.isMemberWithQuorum() || s.canServe() {
		t.Errorf("unhealthy %v, member with quorum %v, can serve %v; want only unhealthy",
			s.isUnhealthy(), s.isMemberWithQuorum(), s.canServe())
	}
	if count := strings.Count(logs.String(), "contradicts"); count != 1 {
		t.Errorf("divergence logged %d times, want once: %s", count, logs.String())
	}
}

// TestConsensusMessagesWaitForTheHardState checks that the messages that are ready when this member persists its
// completeness are not dropped, and are sent only once the disk has synced.
func TestConsensusMessagesWaitForTheHardState(t *testing.T) {
	s := newIdleServer(t)
	self := s.membership.self()
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self,
		View: view.View{Epoch: 4, Chain: []view.Member{self}, Electors: []view.Member{self}}, CompleteEpoch: 4})
	s.membership.consensus.Propose(view.View{Chain: []view.Member{self}, Electors: []view.Member{self}}, nil, 1)
	s.persistCompleteness()
	if promised := s.membership.consensus.HardState().PromisedBallot; promised.Round != 0 {
		t.Fatalf("a message was sent before the disk has synced: promised %v", promised)
	}
	(<-s.inbox)() // the disk's goroutine reports that the write is durable
	if promised := s.membership.consensus.HardState().PromisedBallot; promised.Round == 0 {
		t.Error("the consensus message was dropped")
	}
}

// TestTooLongProposalIsNotOrdered checks that a head leaves out a forwarded command that is too long for a log record,
// and orders the other proposals.
func TestTooLongProposalIsNotOrdered(t *testing.T) {
	s := newIdleServer(t)
	s.replica.SetView(chain.View{Epoch: 1, Members: []chain.MemberID{s.membership.self().ID}})
	s.orderProposals([]chain.Proposal{{Tag: 1, Data: make([]byte, s.commands.maxBytes+1)},
		{Tag: 2, Data: make([]byte, s.commands.maxBytes)}})
	if last := s.replica.LastIndex(); last != 1 {
		t.Errorf("%d entries ordered, want only the shorter one", last)
	}
}

// TestNothingIsPersistedBeforeTheDiskHasSynced checks that neither completeness nor an entry counts as durable before the
// disk's goroutine has reported the sync.
func TestNothingIsPersistedBeforeTheDiskHasSynced(t *testing.T) {
	s := newIdleServer(t)
	self := s.membership.self()
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self,
		View: view.View{Epoch: 4, Chain: []view.Member{self}, Electors: []view.Member{self}}})
	s.replica = chain.New(self.ID, 1, chain.Snapshot{}, nil, 0)
	s.replica.SetView(chain.View{Epoch: 4, Members: []chain.MemberID{self.ID}})
	s.flushReplica()
	if s.replica.IsComplete() {
		t.Fatal("the replica is complete before the disk has synced")
	}
	(<-s.inbox)()
	if !s.replica.IsComplete() {
		t.Fatal("the replica is not complete although the disk has synced")
	}
	s.orderProposals([]chain.Proposal{{Tag: 1}})
	s.flushReplica()
	if s.replica.CommitIndex() != 0 {
		t.Fatal("an entry is committed before the disk has synced")
	}
	(<-s.inbox)()
	if s.replica.CommitIndex() != 1 {
		t.Error("the entry is not committed although the disk has synced")
	}
}

// TestUnrecordedCompletenessConfirmsNothing guards against a replica that confirms entries in a view although the record of
// its completeness was refused, since the member had agreed to another view: it would later deny that it ever was complete.
func TestUnrecordedCompletenessConfirmsNothing(t *testing.T) {
	s := newIdleServer(t)
	self, other := s.membership.self(), view.Member{ID: 1, Address: "core-other:1"}
	members := []view.Member{self, other}
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self, View: view.View{Epoch: 4, Chain: members, Electors: members}})
	s.replica.SetView(chain.View{Epoch: 4, Members: []chain.MemberID{self.ID, other.ID}})
	s.membership.consensus.Receive(1, &view.Message{Decided: &view.View{Epoch: 5, Chain: members, Electors: members}})
	s.flushConsensus() // the disk writes the new view, which is not installed yet
	s.persistCompleteness()
	if s.replica.IsComplete() {
		t.Error("the replica is complete in a view in which its completeness is not recorded")
	}
}
