package view

import (
	"os"
	"strconv"
	"testing"
)

// Budgets of the explorations and walks.
var (
	smallBudget = budget{changes: 2, losses: 1}
	walkBudget  = budget{changes: 6, losses: 1, restarts: 3, appends: 3, reads: 3}
	largeBudget = budget{changes: 8, losses: 2, restarts: 4, appends: 3, reads: 3}
)

// Sizes of the explorations and walks of a test. RECOVERY_WALKS, a number, replaces recoveryWalks; it also lets
// TestEveryOrderOfTwoViewChanges explore appends.
const (
	recoveryWalks = 3_000
	plantedWalks  = 200_000 // at most, until a planted fault is found
)

// askedWalks returns the number of walks asked for in the environment, or 0.
func askedWalks() uint64 {
	count, _ := strconv.ParseUint(os.Getenv("RECOVERY_WALKS"), 10, 64)
	return count
}

// TestEveryOrderOfTwoViewChanges visits every state of three members with two view changes, of which any may fail or be
// sealed, and a lost disk. It checks that the head of each view has all that is committed, that no two entries are committed
// at one index, and that a view becomes active once all machines are back.
func TestEveryOrderOfTwoViewChanges(t *testing.T) {
	e := recoveryExploration{count: 3, minMembers: 2, left: smallBudget, maxStates: explorationSize, checkProgress: true}
	if askedWalks() > 0 {
		e.left.appends = 1
	}
	violation, complete := e.explore()
	if violation != "" || !complete && !underRaceDetector {
		t.Errorf("%d states, all visited: %v: %s", len(e.seen), complete, violation)
	}
	t.Logf("%d states, progress checked from %d", len(e.seen), len(e.progress))
}

// TestRandomLossesAndViewChanges checks the same, and that reads are fresh, in random walks with more view changes,
// restarts and losses, for three members of which one disk may be lost and for five of which two may be.
func TestRandomLossesAndViewChanges(t *testing.T) {
	three := recoveryExploration{count: 3, minMembers: 2, left: walkBudget, checkProgress: true}
	five := recoveryExploration{count: 5, minMembers: 3, left: largeBudget, checkProgress: true}
	for seed := range max(recoveryWalks, askedWalks()) {
		for _, e := range []*recoveryExploration{&three, &five} {
			if violation := e.walk(seed); violation != "" {
				t.Fatalf("%d members, seed %d: %s", e.count, seed, violation)
			}
		}
	}
}

// TestWalksFindFaultsOfTheRecovery checks that the walks find each part of the recovery of a view that is left out.
func TestWalksFindFaultsOfTheRecovery(t *testing.T) {
	if underRaceDetector {
		t.Skip("the walks are single-threaded, and the run without the race detector takes them")
	}
	three := recoveryExploration{count: 3, minMembers: 2, left: walkBudget}
	for name, plant := range map[string]func(e *recoveryExploration){
		"a sealed member becomes complete":               func(e *recoveryExploration) { e.planted.withholdSeal = true },
		"a replica is complete without a record":         func(e *recoveryExploration) { e.planted.unrecorded = true },
		"a history leaves out what may be active":        func(e *recoveryExploration) { e.planted.forgetViews = true },
		"a snapshot takes entries away":                  func(e *recoveryExploration) { e.planted.snapshotCuts = true },
		"any elector may head a view":                    func(e *recoveryExploration) { e.planted.anyMayLead = true },
		"views have no history":                          func(e *recoveryExploration) { e.planted.noHistory, e.checkProgress = true, true },
		"no proposal asks for a seal":                    plantInProgress(func(c *timedCluster) { c.neverSeals = true }),
		"a sealed member does not request the next view": plantInProgress(func(c *timedCluster) { c.sealedStay = true }),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := three
			plant(&e)
			for seed := range uint64(plantedWalks) {
				if violation := e.walk(seed); violation != "" {
					t.Logf("found with seed %d: %s", seed, violation)
					return
				}
			}
			t.Errorf("not found in %d walks", plantedWalks)
		})
	}
}

func plantInProgress(plant func(c *timedCluster)) func(e *recoveryExploration) {
	return func(e *recoveryExploration) { e.checkProgress, e.prepareProgress = true, plant }
}

// settleAll lets members install the newest view and replicate and commit all they can.
func (m *recoveryModel) settleAll(planted *plants, members ...MemberID) {
	for range 2 * len(members) {
		for _, id := range members {
			m.learn(id, planted)
			m.install(id)
			m.receive(id, false, planted)
			m.complete(id, planted)
			m.confirm(id)
			m.commit(id)
		}
	}
}

// TestSealedWriterPassesNoRead checks that a sealed writer lets no read of its view pass: a writer of an earlier
// configuration may head the next view, which the other members of the sealed view need not know.
func TestSealedWriterPassesNoRead(t *testing.T) {
	readAfterSeal := func(planted *plants) string {
		m := newRecoveryModel(7, 3, budget{changes: 2, appends: 1, reads: 1})
		m.change(1, []MemberID{1, 5, 6, 7}, decided, false, planted)
		for _, id := range []MemberID{1, 5, 6, 7} {
			m.learn(id, planted)
			m.install(id)
			m.receive(id, false, planted)
		}
		m.complete(6, planted)
		m.complete(7, planted)
		for _, id := range []MemberID{2, 3, 4} {
			m.learn(id, planted)
			m.install(id)
		}
		m.excluded = 5
		m.change(2, []MemberID{2, 3, 4, 5}, decided, true, planted)
		if m.newest().Epoch != 3 || m.newest().Chain[0].ID != 2 {
			t.Fatalf("newest view %v, want one that member 2 heads", m.newest())
		}
		m.settleAll(planted, 2, 3, 4)
		m.append(2)
		m.settleAll(planted, 2, 3, 4)
		if len(m.committed) != 2 {
			t.Fatalf("%d entries are committed, want 2", len(m.committed))
		}
		m.submitRead(1)
		for range 4 {
			m.passRead()
		}
		return m.violation
	}
	if violation := readAfterSeal(&plants{}); violation != "" {
		t.Error(violation)
	}
	if violation := readAfterSeal(&plants{sealedTakesPart: true}); violation == "" {
		t.Error("a sealed writer that goes on passing reads is not detected")
	}
}

// TestFormerBuildProvesNothing checks that the promise of a member of a build without seals proves no view inactive, and
// neither does that of a member which has only run this build since a later view.
func TestFormerBuildProvesNothing(t *testing.T) {
	base := View{Epoch: 2, ReplicationFactor: 2, Chain: []Member{{ID: 1, WriterSince: 1}, {ID: 3, WriterSince: 2}},
		Electors: []Member{{ID: 1}, {ID: 2}, {ID: 3}},
		History:  &History{Since: 1, Configurations: []Configuration{{1, 1, []MemberID{1, 2}}}}}
	for name, c := range map[string]struct {
		witness *Completeness
		heads   bool
	}{
		"sealed, and exact since the view before": {&Completeness{ExactSince: 1, Sealed: true}, true},
		"sealed, and exact since the view":        {&Completeness{ExactSince: 2, Sealed: true}, true},
		"of a former build":                       {nil, false},
		"not sealed":                              {&Completeness{ExactSince: 1}, false},
		"sealed, but exact since a later view":    {&Completeness{ExactSince: 3, Sealed: true}, false},
		"complete":                                {&Completeness{CompleteEpoch: 2, ExactSince: 1}, false},
	} {
		p := &proposal{desired: View{Chain: []Member{{ID: 3}, {ID: 2}}, Electors: base.Electors}, minMembers: 2,
			promises: map[MemberID]*Promise{2: {Completeness: &Completeness{CompleteEpoch: 1, ExactSince: 1}}, 3: {Completeness: c.witness}}}
		next := p.nextView(&base)
		if heads := next != nil && next.Chain[0].ID == 2; heads != c.heads {
			t.Errorf("witness %s: next view %v, want member 2 at its head: %v", name, next, c.heads)
		}
	}
}

// TestHistoryIsBounded checks that views which never become active do not make a history grow without bound, and that
// neighbouring views with the same writers take one configuration.
func TestHistoryIsBounded(t *testing.T) {
	base := View{Epoch: 1, Chain: []Member{{ID: 1}, {ID: 2}}}
	for epoch := uint64(2); epoch <= 100; epoch++ {
		writer := 2 + epoch/2
		base = View{Epoch: epoch, Chain: []Member{{ID: 1}, {ID: writer}}, History: historyAfter(&base, nil)}
		if count := len(base.History.Configurations); count > maxConfigurations {
			t.Fatalf("epoch %d: %d configurations", epoch, count)
		}
	}
	if last := base.History.Configurations[maxConfigurations-1]; last.Last != 99 || last.First != 98 {
		t.Errorf("the last configuration is %v, want one for the epochs 98 and 99", last)
	}
	if base.History.covers(1, base.History.Since-1) || !base.History.covers(1, base.History.Since) {
		t.Error("the history does not cover exactly the members that were complete since its beginning")
	}
}

// TestSealIsKeptAcrossRestarts checks that a sealed member does not become complete in its view after a restart, and does
// in the next one.
func TestSealIsKeptAcrossRestarts(t *testing.T) {
	members, _ := threeMembers()
	c := NewConsensus(HardState{Self: members[1], View: View{Epoch: 4, Chain: members, Electors: members}, CompleteEpoch: 3})
	c.Receive(1, &Message{Prepare: &Prepare{BaseView: *c.View(), Ballot: Ballot{1, 1}, Seal: true}})
	if c.MarkComplete(4) || !c.IsSealed() {
		t.Error("a sealed member becomes complete")
	}
	restarted := NewConsensus(*c.Ready().HardState)
	if restarted.MarkComplete(4) || !restarted.IsSealed() {
		t.Error("a sealed member becomes complete after a restart")
	}
	restarted.Receive(1, &Message{Decided: &View{Epoch: 5, Chain: members, Electors: members}})
	if !restarted.MarkComplete(5) || restarted.IsSealed() {
		t.Error("a member that was sealed in the view before does not become complete in the next one")
	}
}

// TestCompleteMemberIsNotSealed checks that a member which is complete keeps its part in the view.
func TestCompleteMemberIsNotSealed(t *testing.T) {
	members, _ := threeMembers()
	c := NewConsensus(HardState{Self: members[1], View: View{Epoch: 4, Chain: members, Electors: members}, CompleteEpoch: 4})
	c.Receive(1, &Message{Prepare: &Prepare{BaseView: *c.View(), Ballot: Ballot{1, 1}, Seal: true}})
	if c.IsSealed() {
		t.Error("a complete member is sealed")
	}
}
