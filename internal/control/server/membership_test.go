package server

import (
	"slices"
	"testing"

	"yardflow/coordination/view"
)

// serverInView returns a resting server that has learned of a view of three other electors and, if it is one, itself.
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

// A machine outside the chain tells dispatchers at once where they are served; one that has its place lets them wait,
// since a view with it may follow in some milliseconds.
func TestMachineOutsideTheChainRedirectsDispatchers(t *testing.T) {
	for name, c := range map[string]struct {
		member, elector bool
		away            bool
	}{
		"a newcomer with an empty disk":       {false, false, true},
		"an elector that is not in the chain": {false, true, true},
		"a member that was started just now":  {true, true, false},
		"a member of a chain, but no elector": {true, false, false},
	} {
		s := serverInView(t, c.member, c.elector)
		if got := s.membership.isOutsideChain(); got != c.away {
			t.Errorf("%s: dispatchers are sent away: %v", name, got)
		}
		want := []string{"core-other:1", "core-other:2", "core-other:3"}
		if told := s.membership.serviceAddresses(); c.away && !slices.Equal(told, want) {
			t.Errorf("%s: they are told of %v", name, told)
		}
	}
}

// Before the first view everybody waits for it, but for a machine with an empty disk in a system that has views.
func TestDispatchersWaitForTheFirstView(t *testing.T) {
	s := newIdleServer(t)
	if !s.membership.isOutsideChain() {
		t.Error("a machine with an empty disk is no outsider")
	}
	s.membership.consensus = view.NewConsensus(view.HardState{Self: s.membership.self(), InitialMember: true})
	if s.membership.isOutsideChain() {
		t.Error("a machine of the first start counts as an outsider")
	}
}
