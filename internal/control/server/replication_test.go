package server

import (
	"bytes"
	"strings"
	"testing"
	"yardflow/coordination/view"

	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
)

// TestDivergedMemberStaysOut checks that a member whose log is contradicted reports itself as unhealthy, serves nobody, and
// logs that once.
func TestDivergedMemberStaysOut(t *testing.T) {
	s := newIdleServer(t)
	logs := bytes.Buffer{}
	s.logger = zerolog.New(&logs)
	const me, other = 2, 1
	s.replica = chain.New(me, 1, chain.Snapshot{}, []chain.Entry{{Index: 1, Epoch: 1}}, 1)
	s.replica.SetView(chain.View{Epoch: 3, Members: []chain.MemberID{other, me}})
	s.tick()
	if s.isUnhealthy() || logs.Len() > 0 {
		t.Fatalf("unhealthy before anything came; logged: %s", logs.String())
	}
	s.replica.Receive(other, &chain.Message{Append: &chain.Append{Epoch: 3, PrevIndex: 1, PrevEpoch: 2}})
	s.tick()
	s.tick()
	if !s.isUnhealthy() || s.isMemberWithQuorum() || s.canServe() {
		t.Errorf("unhealthy %v, member with quorum %v, can serve %v", s.isUnhealthy(), s.isMemberWithQuorum(), s.canServe())
	}
	if count := strings.Count(logs.String(), "contradicts"); count != 1 {
		t.Errorf("logged %d times: %s", count, logs.String())
	}
}

// What agreement on views wants done when this member asks for its completeness to be persisted is done, and none of it
// before the disk has synced.
func TestMessagesBesideCompletenessLeaveOnceItIsDurable(t *testing.T) {
	s := newIdleServer(t)
	self := s.membership.self()
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self,
		View: view.View{Epoch: 4, Chain: []view.Member{self}, Electors: []view.Member{self}}, CompleteEpoch: 4})
	s.membership.consensus.Propose(view.View{Chain: []view.Member{self}, Electors: []view.Member{self}}, nil, 1)
	s.persistCompleteness()
	if promised := s.membership.consensus.HardState().PromisedBallot; promised.Round != 0 {
		t.Fatalf("a message left before the disk had synced: promised %v", promised)
	}
	(<-s.inbox)() // the disk's goroutine says that the write is durable
	if promised := s.membership.consensus.HardState().PromisedBallot; promised.Round == 0 {
		t.Error("the message of the agreement on views was dropped")
	}
}

// A head leaves a forwarded command out that no disk could hold, and orders the rest.
func TestTooLongProposalIsNotOrdered(t *testing.T) {
	s := newIdleServer(t)
	s.replica.SetView(chain.View{Epoch: 1, Members: []chain.MemberID{s.membership.self().ID}})
	s.orderProposals([]chain.Proposal{{Tag: 1, Data: make([]byte, s.commands.maxBytes+1)}, {Tag: 2, Data: make([]byte, s.commands.maxBytes)}})
	if last := s.replica.LastIndex(); last != 1 {
		t.Errorf("%d entries are ordered, want the shorter one alone", last)
	}
}

// Nothing counts as durable before the disk's goroutine has said so: not that this member is complete, not a snapshot, and
// not an entry.
func TestNothingCountsBeforeTheDiskHasSynced(t *testing.T) {
	s := newIdleServer(t)
	self := s.membership.self()
	s.membership.consensus = view.NewConsensus(view.HardState{Self: self,
		View: view.View{Epoch: 4, Chain: []view.Member{self}, Electors: []view.Member{self}}})
	s.replica = chain.New(self.ID, 1, chain.Snapshot{}, nil, 0)
	s.replica.SetView(chain.View{Epoch: 4, Members: []chain.MemberID{self.ID}})
	s.flushReplica()
	if s.replica.IsComplete() {
		t.Fatal("complete before the disk has synced")
	}
	(<-s.inbox)()
	if !s.replica.IsComplete() {
		t.Fatal("not complete though the disk has synced")
	}
	s.orderProposals([]chain.Proposal{{Tag: 1}})
	s.flushReplica()
	if s.replica.CommitIndex() != 0 {
		t.Fatal("an entry is committed before the disk has synced")
	}
	(<-s.inbox)()
	if s.replica.CommitIndex() != 1 {
		t.Error("not committed though the disk has synced")
	}
}
