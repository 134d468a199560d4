package server

import (
	"bytes"
	"strings"
	"testing"

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
