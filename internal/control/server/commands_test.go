package server

import (
	"errors"
	"fmt"
	"testing"
	"yardflow/internal/control/protocol"
	"yardflow/scheduling/job"

	"github.com/rs/zerolog"

	"yardflow/coordination/chain"
	"yardflow/coordination/frame"
	"yardflow/coordination/segment"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/platform/settings"
)

// submit submits a command of a dispatcher or, where issuer is nil, of this machine.
func submit(t *testing.T, s *Server, issuer *dispatcher, command *statemachine.Command, onResult func(statemachine.Result)) {
	t.Helper()
	if err := s.commands.submitFor(issuer, command, protocol.Encode(command), onResult); err != nil {
		t.Fatal(err)
	}
}

// TestMemberWithoutMajorityAbandonsPendingCommands checks that a member on the wrong side of a network partition proposes
// nothing obsolete on its return: operators get the outcome Unknown, dispatchers submit again by themselves.
func TestMemberWithoutMajorityAbandonsPendingCommands(t *testing.T) {
	s := newIdleServer(t)
	outcome := statemachine.Result{}
	submit(t, s, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(result statemachine.Result) { outcome = result })
	submit(t, s, &dispatcher{}, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, func(statemachine.Result) {
		t.Error("a dispatcher that is not connected gets an outcome")
	})
	s.tick()
	if outcome.Code != statemachine.Unknown {
		t.Errorf("the operator gets the outcome %d", outcome.Code)
	}
	s.commands.repropose(0)
	if len(s.commands.pending) != 0 || len(s.commands.proposals) != 0 {
		t.Errorf("%d commands are pending, %d are proposed", len(s.commands.pending), len(s.commands.proposals))
	}
}

func TestCommandsOfADisconnectedDispatcherAreForgotten(t *testing.T) {
	s := newIdleServer(t)
	disconnected, other := &dispatcher{}, &dispatcher{}
	s.dispatchers.attached[disconnected], s.dispatchers.attached[other] = true, true
	for range 3 {
		submit(t, s, disconnected, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}}, func(statemachine.Result) {})
	}
	submit(t, s, other, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "b"}}, func(statemachine.Result) {})
	s.removeDispatcher(disconnected)
	if len(s.commands.pending) != 1 {
		t.Errorf("%d commands are pending, want that of the other dispatcher", len(s.commands.pending))
	}
}

// TestPendingCommandsAreReproposedInOrder checks that commands without an outcome are proposed again in the order in which
// they were submitted.
func TestPendingCommandsAreReproposedInOrder(t *testing.T) {
	s := newIdleServer(t)
	for i := range 50 {
		submit(t, s, nil, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: fmt.Sprint(i)}}, func(statemachine.Result) {})
	}
	s.commands.proposals = nil
	s.commands.repropose(0)
	for i := 1; i < len(s.commands.proposals); i++ {
		if s.commands.proposals[i-1].Tag >= s.commands.proposals[i].Tag {
			t.Fatalf("tag %d before %d", s.commands.proposals[i-1].Tag, s.commands.proposals[i].Tag)
		}
	}
	if len(s.commands.proposals) != 50 {
		t.Errorf("%d of 50 are proposed again", len(s.commands.proposals))
	}
}

// TestAnswerForAnotherIncarnationIsIgnored checks that an answer for a former incarnation of a member, which has the same
// member ID, completes no command of the present one. The planted fault, both begin at the same tag, shows that the test
// would find it.
func TestAnswerForAnotherIncarnationIsIgnored(t *testing.T) {
	folder := t.TempDir()
	newIncarnation := func() *Server {
		s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"}, Limits: settings.Limits{DiskMb: 16}}
		server, err := Open(s, frame.TCP{}, segment.Dir(folder), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.disk.close)
		return server
	}
	// answered reports whether the present incarnation's read is completed by the former one's.
	answered := func(sameTags bool) bool {
		former := newIncarnation()
		first := former.commands.lastTag
		submit(t, former, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(statemachine.Result) {})
		present := newIncarnation()
		if present.membership.self().ID != former.membership.self().ID {
			t.Fatal("the member has another ID in its next incarnation")
		}
		if sameTags {
			present.commands.lastTag = first
		}
		taken := false
		submit(t, present, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(statemachine.Result) { taken = true })
		present.completeRead(chain.Read{Origin: present.membership.self().ID, Tag: former.commands.lastTag})
		return taken
	}
	if answered(false) {
		t.Error("an answer for a former incarnation is taken")
	}
	if !answered(true) {
		t.Error("the planted fault, tags that two incarnations share, was not found")
	}
}

// A command that is longer than a record of the log may be gets no outcome and is not proposed; its error says what to do.
func TestTooLongCommandIsNotProposed(t *testing.T) {
	s := newIdleServer(t)
	body := make([]byte, s.commands.maxBytes)
	err := s.commands.submit(&statemachine.Command{Configure: &statemachine.Configure{Version: 1, Body: body}}, func(statemachine.Result) {
		t.Error("it gets an outcome")
	})
	var tooLong *CommandTooLongError
	if !errors.As(err, &tooLong) || tooLong.Max != s.commands.maxBytes || tooLong.Bytes <= tooLong.Max || tooLong.Advice() == "" {
		t.Errorf("error %v", err)
	}
	if len(s.commands.pending)+len(s.commands.proposals) != 0 {
		t.Error("it is proposed")
	}
	d := &dispatcher{}
	encoded := protocol.Encode(&statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: job.Job{ID: string(body)}}})
	s.receiveCommand(d, &protocol.TaggedCommand{Tag: 7, Command: encoded})
	if len(d.outcomes) != 1 || d.outcomes[0].Tag != 7 || d.outcomes[0].Result.Code != statemachine.Invalid {
		t.Errorf("a dispatcher's outcomes: %+v", d.outcomes)
	}
}
