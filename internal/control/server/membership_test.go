package server

import (
	"slices"
	"testing"
	"time"

	"yardflow/coordination/view"
)

// serverInView returns an idle server that has received a view with three other members, which are all electors. If
// requested, the server itself is in the chain or an elector.
func serverInView(t *testing.T, member, elector bool) *Server {
	t.Helper()
	s := newIdleServer(t)
	v := view.View{Epoch: 4}
	for id := view.MemberID(1); id <= 3; id++ {
		other := view.Member{ID: id, Address: "core-other:" + string(rune('0'+id))}
		v.Chain, v.Electors = append(v.Chain, other), append(v.Electors, other)
	}
	if member {
		v.Chain = append(v.Chain, s.membership.self())
	}
	if elector {
		v.Electors = append(v.Electors, s.membership.self())
	}
	s.membership.consensus.Receive(1, &view.Message{Decided: &v})
	return s
}

// TestMachineOutsideTheChainRedirectsDispatchers checks that a machine outside the chain redirects dispatchers to the
// chain at once. A machine with a position in the chain lets them wait, since a view with it may follow within
// milliseconds.
func TestMachineOutsideTheChainRedirectsDispatchers(t *testing.T) {
	for name, c := range map[string]struct {
		member, elector bool
		outside         bool
	}{
		"a newcomer with an empty disk":       {false, false, true},
		"an elector that is not in the chain": {false, true, true},
		"a member that has just restarted":    {true, true, false},
		"a member of a chain, but no elector": {true, false, false},
	} {
		s := serverInView(t, c.member, c.elector)
		if got := s.membership.isOutsideChain(); got != c.outside {
			t.Errorf("%s: isOutsideChain returns %v", name, got)
		}
		want := []string{"core-other:1", "core-other:2", "core-other:3"}
		if addresses := s.membership.serviceAddresses(); c.outside && !slices.Equal(addresses, want) {
			t.Errorf("%s: service addresses are %v, want those of the chain", name, addresses)
		}
	}
}

// TestDispatchersWaitForTheFirstView checks that dispatchers wait for the first view at a machine of the system's
// first start, but not at a machine with an empty disk that joins a running system.
func TestDispatchersWaitForTheFirstView(t *testing.T) {
	s := newIdleServer(t)
	if !s.membership.isOutsideChain() {
		t.Error("a machine with an empty disk does not count as outside the chain")
	}
	s.membership.consensus = view.NewConsensus(view.HardState{Self: s.membership.self(), InitialMember: true})
	if s.membership.isOutsideChain() {
		t.Error("an initial member counts as outside the chain")
	}
}

// TestExclusionReason checks the reason, for the log, why a view excludes a member. There is one for every exclusion.
func TestExclusionReason(t *testing.T) {
	member := view.Member{ID: 1, Address: "core-other:1"}
	newcomer := view.Member{ID: 9, Address: member.Address}
	for name, c := range map[string]struct {
		heard   bool
		leaving bool
		desired view.View
		want    string
	}{
		"a member that was never heard": {
			false, false, view.View{Electors: []view.Member{member}}, "never heard"},
		"a member that has announced a graceful shutdown": {
			true, true, view.View{Electors: []view.Member{member}}, "is shutting down"},
		"a member whose disk was replaced": {
			true, false, view.View{Electors: []view.Member{newcomer}}, "replaced by a newcomer at its address"},
		"a member excluded without a fault of its own": {
			true, false, view.View{Electors: []view.Member{member}}, "not in the desired view"},
	} {
		s := serverInView(t, true, true)
		if c.heard {
			s.membership.detector.ReceiveHeartbeat(0, view.Heartbeat{From: member, Leaving: c.leaving,
				HeardFrom: []view.MemberID{s.membership.self().ID}})
		}
		if got := s.membership.exclusionReason(0, &c.desired, member); got != c.want {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// TestSealedMemberTakesNoPartInItsView checks that a member which is asked for a sealed promise leaves its view before the
// promise is sent, also if the view is installed only then, and requests another view.
func TestSealedMemberTakesNoPartInItsView(t *testing.T) {
	for name, isInstalled := range map[string]bool{"in an installed view": true, "in a view that is not installed yet": false} {
		s := serverInView(t, true, true)
		if isInstalled {
			s.installView(*s.membership.view())
		}
		s.membership.consensus.Receive(1, &view.Message{Prepare: &view.Prepare{BaseView: *s.membership.view(),
			Ballot: view.Ballot{Round: 1, Proposer: 1}, Seal: true}})
		s.flushConsensus()
		s.installView(*s.membership.view())
		if s.replica.IsMember() || !s.membership.takesNoPartInView() || !s.heartbeatMessage().Heartbeat.Restarted {
			t.Errorf("%s: member %v, takes no part %v", name, s.replica.IsMember(), s.membership.takesNoPartInView())
		}
		s.persistCompleteness()
		if s.replica.IsComplete() || s.membership.consensus.HardState().CompleteEpoch == 4 {
			t.Errorf("%s: a sealed member becomes complete", name)
		}
	}
}

// TestObstacleIsReported checks that the status shows why no further view can be made, while that holds.
func TestObstacleIsReported(t *testing.T) {
	s := serverInView(t, true, true)
	missing := []view.Member{{ID: 1, Node: "core-1"}}
	monitor := &s.membership.obstacle
	obstacle := &view.Obstacle{Reason: view.NoEligibleHead, Missing: missing}
	if !monitor.observe(time.Second, obstacle) || !monitor.isLogDue(time.Second) || monitor.observe(2*time.Second, obstacle) {
		t.Error("an obstacle does not count as new exactly once")
	}
	if want := string(view.NoEligibleHead) + "; no answer from core-1"; monitor.text(2*time.Second) != want {
		t.Errorf("the status shows %q, want %q", monitor.text(2*time.Second), want)
	}
	if monitor.isLogDue(2 * time.Second) {
		t.Error("a second log line is due after a second")
	}
	if text := monitor.text(time.Second + 2*obstacleLifetime); text != "" {
		t.Errorf("the status still shows %q", text)
	}
}
