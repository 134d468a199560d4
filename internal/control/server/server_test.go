package server

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// newIdleServer returns a server whose engine does not run, so that a test can call what belongs to it.
func newIdleServer(t *testing.T) *Server {
	t.Helper()
	s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"}, Limits: settings.Limits{DiskMb: 16}}
	server, err := Open(s, frame.TCP{}, segment.Dir(t.TempDir()), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.disk.close)
	return server
}

// TestMemberWithoutMajorityAbandonsPendingCommands keeps that a member that was cut off proposes nothing on its return
// that has grown old: operators are told that the outcome is unknown, dispatchers send again by themselves.
func TestMemberWithoutMajorityAbandonsPendingCommands(t *testing.T) {
	s := newIdleServer(t)
	told := statemachine.Result{}
	s.commands.submit(&statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(result statemachine.Result) { told = result })
	s.commands.submitFor(&dispatcher{}, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, nil, func(statemachine.Result) {
		t.Error("a dispatcher that is gone is answered")
	})
	s.tick()
	if told.Code != statemachine.Unknown {
		t.Errorf("the operator is told %d", told.Code)
	}
	s.commands.repropose(0)
	if len(s.commands.pending) != 0 || len(s.commands.proposals) != 0 {
		t.Errorf("%d commands are kept, %d are proposed", len(s.commands.pending), len(s.commands.proposals))
	}
}

func TestCommandsOfADisconnectedDispatcherAreForgotten(t *testing.T) {
	s := newIdleServer(t)
	gone, other := &dispatcher{}, &dispatcher{}
	s.dispatchers.attached[gone], s.dispatchers.attached[other] = true, true
	for range 3 {
		s.commands.submitFor(gone, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, nil, func(statemachine.Result) {})
	}
	s.commands.submitFor(other, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "b"}}, nil, func(statemachine.Result) {})
	s.removeDispatcher(gone)
	if len(s.commands.pending) != 1 {
		t.Errorf("%d commands are kept, want that of the other dispatcher", len(s.commands.pending))
	}
}

// TestPendingCommandsAreReproposedInOrder keeps that commands without an outcome go out again in the order in which they came.
func TestPendingCommandsAreReproposedInOrder(t *testing.T) {
	s := newIdleServer(t)
	for i := range 50 {
		s.commands.submit(&statemachine.Command{CancelJob: &statemachine.CancelJob{Job: fmt.Sprint(i)}}, func(statemachine.Result) {})
	}
	s.commands.proposals = nil
	s.commands.repropose(0)
	for i := 1; i < len(s.commands.proposals); i++ {
		if s.commands.proposals[i-1].Tag >= s.commands.proposals[i].Tag {
			t.Fatalf("tag %d before %d", s.commands.proposals[i-1].Tag, s.commands.proposals[i].Tag)
		}
	}
	if len(s.commands.proposals) != 50 {
		t.Errorf("%d of 50 go out again", len(s.commands.proposals))
	}
}

// TestUnreadableSnapshotKeepsTheMemberOut keeps a fault that a reading found: the member counted as complete with the
// state that it had before.
func TestUnreadableSnapshotKeepsTheMemberOut(t *testing.T) {
	s := newIdleServer(t)
	s.state.fsm.ClockTicks = 7
	s.installSnapshot(snapshotOf(9, []byte("no state")))
	if s.state.appliedIndex == 9 || s.state.fsm.ClockTicks != 7 || !s.isUnhealthy() {
		t.Errorf("applied %d, stalled %v", s.state.appliedIndex, s.isUnhealthy())
	}
}

// TestDivergedMemberStaysOut keeps that a member whose log is contradicted asks to be left out of the chain, serves
// nobody, and says so once.
func TestDivergedMemberStaysOut(t *testing.T) {
	s := newIdleServer(t)
	logs := bytes.Buffer{}
	s.logger = zerolog.New(&logs)
	const me, other = 2, 1
	s.replica = chain.New(me, 1, chain.Snapshot{}, []chain.Entry{{Index: 1, Epoch: 1}}, 1)
	s.replica.SetView(chain.View{Epoch: 3, Members: []chain.MemberID{other, me}})
	s.tick()
	if s.isUnhealthy() || logs.Len() > 0 {
		t.Fatalf("stalled before anything came; logged: %s", logs.String())
	}
	s.replica.Receive(other, &chain.Message{Append: &chain.Append{Epoch: 3, PrevIndex: 1, PrevEpoch: 2}})
	s.tick()
	s.tick()
	if !s.isUnhealthy() || s.isMemberWithQuorum() || s.canServe() {
		t.Errorf("stalled %v, standing %v, in touch %v", s.isUnhealthy(), s.isMemberWithQuorum(), s.canServe())
	}
	if told := strings.Count(logs.String(), "contradicts"); told != 1 {
		t.Errorf("said %d times: %s", told, logs.String())
	}
}

func TestConfigHistorySince(t *testing.T) {
	changes := configHistory{}
	versions := func(since int64) string {
		text := ""
		for _, update := range changes.since(since) {
			text += fmt.Sprint(update.Config.Version, " ")
		}
		return text
	}
	for _, version := range []int64{4, 7, 9} {
		base := map[int64]int64{4: 2, 7: 4, 9: 7}[version]
		changes.add(&statemachine.ConfigUpdate{Version: version, BaseVersion: base})
	}
	if versions(4) != "7 9 " || versions(2) != "4 7 9 " || versions(3) != "" || versions(9) != "" {
		t.Errorf("since 4: %s; since 2: %s; since 3: %s", versions(4), versions(2), versions(3))
	}
	changes.add(&statemachine.ConfigUpdate{Version: 20, BaseVersion: 15}) // behind a snapshot
	if versions(4) != "" || versions(15) != "20 " {
		t.Error("changes with a gap between them are told")
	}
	for version := int64(20); version < 500; version++ {
		changes.add(&statemachine.ConfigUpdate{Version: version + 1, BaseVersion: version})
	}
	if len(changes.changes) != maxConfigHistory {
		t.Errorf("%d changes are kept", len(changes.changes))
	}
}

func snapshotOf(index uint64, data []byte) *chain.Snapshot {
	return &chain.Snapshot{Epoch: 1, Index: index, IndexEpoch: 1, Data: data}
}

// TestAnswerForAnotherIncarnationIsIgnored keeps that an answer for a former life of a member, which has the same name, meets no
// command of the present one. Planted: both lives begin at the same tag.
func TestAnswerForAnotherIncarnationIsIgnored(t *testing.T) {
	folder := t.TempDir()
	life := func() *Server {
		s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"}, Limits: settings.Limits{DiskMb: 16}}
		server, err := Open(s, frame.TCP{}, segment.Dir(folder), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.disk.close)
		return server
	}
	// answered reports whether the present life's read is answered by one of the former life.
	answered := func(sameTags bool) bool {
		former := life()
		first := former.commands.lastTag
		former.commands.submit(&statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(statemachine.Result) {})
		present := life()
		if present.membership.self().ID != former.membership.self().ID {
			t.Fatal("the member has another name in its next life")
		}
		if sameTags {
			present.commands.lastTag = first
		}
		taken := false
		present.commands.submit(&statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(statemachine.Result) { taken = true })
		present.completeRead(chain.Read{Origin: present.membership.self().ID, Tag: former.commands.lastTag})
		return taken
	}
	if answered(false) {
		t.Error("an answer for a former life is taken")
	}
	if !answered(true) {
		t.Error("tags that two lives share were not found")
	}
}
