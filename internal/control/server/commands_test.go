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

// submit submits a command of a dispatcher, or of this machine if issuer is nil.
func submit(t *testing.T, s *Server, issuer *dispatcher, command *statemachine.Command,
	onResult func(statemachine.Result)) {
	t.Helper()
	if err := s.commands.submitFor(issuer, command, protocol.Encode(command), onResult); err != nil {
		t.Fatal(err)
	}
}

// TestMemberWithoutMajorityAbandonsPendingCommands checks that a member on the minority side of a network partition
// proposes no obsolete commands after its return: operators get the outcome Unknown, and dispatchers submit their
// commands again.
func TestMemberWithoutMajorityAbandonsPendingCommands(t *testing.T) {
	s := newIdleServer(t)
	outcome := statemachine.Result{}
	submit(t, s, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}},
		func(result statemachine.Result) { outcome = result })
	submit(t, s, &dispatcher{}, &statemachine.Command{
		CancelJob: &statemachine.CancelJob{Job: "a"}}, func(statemachine.Result) {
		t.Error("a disconnected dispatcher received an outcome")
	})
	s.tick()
	if outcome.Code != statemachine.Unknown {
		t.Errorf("operator received outcome %d, want Unknown", outcome.Code)
	}
	s.commands.repropose(0)
	if len(s.commands.pending) != 0 || len(s.commands.proposals) != 0 {
		t.Errorf("%d commands pending and %d proposed, want none", len(s.commands.pending), len(s.commands.proposals))
	}
}

// TestCommandsOfADisconnectedDispatcherAreForgotten checks that the pending commands of a disconnected dispatcher, which
// submits them again over its next connection, are dropped, and that another dispatcher's command stays.
func TestCommandsOfADisconnectedDispatcherAreForgotten(t *testing.T) {
	s := newIdleServer(t)
	disconnected, other := &dispatcher{}, &dispatcher{}
	s.dispatchers.attached[disconnected], s.dispatchers.attached[other] = true, true
	for range 3 {
		submit(t, s, disconnected, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}},
			func(statemachine.Result) {})
	}
	submit(t, s, other, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "b"}}, func(statemachine.Result) {})
	s.removeDispatcher(disconnected)
	if len(s.commands.pending) != 1 {
		t.Errorf("%d commands pending, want only the other dispatcher's", len(s.commands.pending))
	}
}

// TestAbandonedCommandOfADispatcherIsNotProposedAgain guards against orders that take effect after their callers were told
// otherwise: the command table proposed an abandoned command again with each view, until it had an outcome.
func TestAbandonedCommandOfADispatcherIsNotProposedAgain(t *testing.T) {
	s := newIdleServer(t)
	one, other := &dispatcher{}, &dispatcher{}
	s.dispatchers.attached[one], s.dispatchers.attached[other] = true, true
	command := protocol.Encode(&statemachine.Command{CancelJob: &statemachine.CancelJob{Job: "a"}})
	for _, d := range []*dispatcher{one, other} {
		s.receiveFromDispatcher(d, &protocol.DispatcherMessage{
			Commands: []protocol.TaggedCommand{{Tag: 1, Command: command}, {Tag: 2, Command: command}}})
	}
	s.receiveFromDispatcher(one, &protocol.DispatcherMessage{Abandoned: []uint64{2, 3}})
	s.commands.proposals = nil
	s.commands.repropose(0)
	if len(s.commands.proposals) != 3 {
		t.Errorf("%d commands are proposed again, want the three that were not abandoned", len(s.commands.proposals))
	}
}

// TestPendingCommandsAreReproposedInOrder checks that commands without an outcome are proposed again in the order in which
// they were submitted.
func TestPendingCommandsAreReproposedInOrder(t *testing.T) {
	s := newIdleServer(t)
	for i := range 50 {
		submit(t, s, nil, &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: fmt.Sprint(i)}},
			func(statemachine.Result) {})
	}
	s.commands.proposals = nil
	s.commands.repropose(0)
	for i := 1; i < len(s.commands.proposals); i++ {
		if s.commands.proposals[i-1].Tag >= s.commands.proposals[i].Tag {
			t.Fatalf("tag %d is proposed before tag %d", s.commands.proposals[i-1].Tag, s.commands.proposals[i].Tag)
		}
	}
	if len(s.commands.proposals) != 50 {
		t.Errorf("%d of 50 commands proposed again", len(s.commands.proposals))
	}
}

// TestAnswerForAnotherIncarnationIsIgnored checks that the answer to a command of a previous incarnation of a member,
// which has the same member ID, completes no command of the present one. To show that the test can fail, it also lets
// both incarnations start with the same tag, which must complete the command.
func TestAnswerForAnotherIncarnationIsIgnored(t *testing.T) {
	folder := t.TempDir()
	newIncarnation := func() *Server {
		s := &settings.Settings{Node: "core-1", Listen: settings.Listen{Control: "core-1:1"},
			Limits: settings.Limits{DiskMb: 16}}
		server, err := Open(s, frame.TCP{}, segment.Dir(folder), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.disk.close)
		return server
	}
	// formerCompletes reports whether the answer to the previous incarnation's read completes the read of the present one.
	formerCompletes := func(sameTags bool) bool {
		former := newIncarnation()
		first := former.commands.lastTag
		submit(t, former, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}}, func(statemachine.Result) {})
		present := newIncarnation()
		if present.membership.self().ID != former.membership.self().ID {
			t.Fatal("the member ID differs between incarnations")
		}
		if sameTags {
			present.commands.lastTag = first
		}
		completed := false
		submit(t, present, nil, &statemachine.Command{ReadConfig: &statemachine.ReadConfig{}},
			func(statemachine.Result) { completed = true })
		present.completeRead(chain.Read{Origin: present.membership.self().ID, Tag: former.commands.lastTag})
		return completed
	}
	if formerCompletes(false) {
		t.Error("the answer for the previous incarnation completes a command of the present one")
	}
	if !formerCompletes(true) {
		t.Error("the answer completes no command although both incarnations use the same tags")
	}
}

// TestTooLongCommandIsNotProposed checks that a command that is longer than the maximum log record gets no outcome and is
// not proposed, and that its error includes advice.
func TestTooLongCommandIsNotProposed(t *testing.T) {
	s := newIdleServer(t)
	body := make([]byte, s.commands.maxBytes)
	err := s.commands.submit(&statemachine.Command{
		Configure: &statemachine.Configure{Version: 1, Body: body}}, func(statemachine.Result) {
		t.Error("the command received an outcome")
	})
	var tooLong *CommandTooLongError
	if !errors.As(err, &tooLong) || tooLong.Max != s.commands.maxBytes ||
		tooLong.Bytes <= tooLong.Max || tooLong.Advice() == "" {
		t.Errorf("submit returns error %v, want a CommandTooLongError with both lengths", err)
	}
	if len(s.commands.pending)+len(s.commands.proposals) != 0 {
		t.Error("the command is pending or proposed")
	}
	d := &dispatcher{}
	encoded := protocol.Encode(&statemachine.Command{SubmitJob: &statemachine.SubmitJob{Job: job.Job{ID: string(body)}}})
	s.receiveCommand(d, &protocol.TaggedCommand{Tag: 7, Command: encoded})
	if len(d.outcomes) != 1 || d.outcomes[0].Tag != 7 || d.outcomes[0].Result.Code != statemachine.Invalid {
		t.Errorf("outcomes of the dispatcher: %+v, want Invalid for tag 7", d.outcomes)
	}
}
