package dispatcher

import (
	"testing"
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

func cancelCommand(id string) *statemachine.Command {
	return &statemachine.Command{CancelJob: &statemachine.CancelJob{Job: id}}
}

// sentCommands returns the commands that the next flush would send, by tag.
func (u *uplink) sentCommands(t *testing.T) map[uint64]*statemachine.Command {
	t.Helper()
	commands := map[uint64]*statemachine.Command{}
	for _, tagged := range u.commands.takeOutgoing(u.session) {
		command := &statemachine.Command{}
		if !protocol.Decode(tagged.Command, command) {
			t.Fatal("a command can't be decoded")
		}
		commands[tagged.Tag] = command
	}
	return commands
}

func TestCommandsCarrySessionAndSequence(t *testing.T) {
	u := newStopped().uplink
	u.attach(&frame.Conn{}, 7)
	first := u.submit(cancelCommand("a"), func(statemachine.Result) {})
	second := u.submit(cancelCommand("b"), func(statemachine.Result) {})
	sent := u.sentCommands(t)
	if sent[first].Session != 7 || sent[second].Sequence != second || sent[first].AcknowledgedThrough != first-1 {
		t.Errorf("sent %+v and %+v", sent[first], sent[second])
	}
	u.receiveOutcome(protocol.Outcome{Tag: second})
	if through := u.commands.acknowledgedThrough(); through != first-1 {
		t.Errorf("acknowledged through %d while %d is pending", through, first)
	}
	u.receiveOutcome(protocol.Outcome{Tag: first})
	if through := u.commands.acknowledgedThrough(); through != second {
		t.Errorf("acknowledged through %d, want %d", through, second)
	}
}

// TestOutcomeOfAFormerConnectionIsIgnored keeps that an outcome which another connection brings, also one of another
// incarnation of the control machine, is not taken for one of this connection.
func TestOutcomeOfAFormerConnectionIsIgnored(t *testing.T) {
	u := newStopped().uplink
	former, present := &frame.Conn{}, &frame.Conn{}
	u.attach(former, 7)
	answered := false
	tag := u.submit(cancelCommand("a"), func(statemachine.Result) { answered = true })
	u.attach(present, 7)
	u.receive(former, &protocol.ControlMessage{Outcomes: []protocol.Outcome{{Tag: tag, Result: statemachine.Result{Code: statemachine.NotFound}}}}, 0)
	if answered || u.commands.pending[tag] == nil {
		t.Error("an outcome of a former connection is accepted")
	}
	u.receive(present, &protocol.ControlMessage{Outcomes: []protocol.Outcome{{Tag: tag}, {Tag: tag + 1}, {Tag: tag}}}, 0)
	if !answered {
		t.Error("the outcome is not accepted")
	}
}

// TestCommandOfAnEndedSessionIsSentAgain keeps that a command which the session's end has overtaken is sent under the
// next session, with that one's fences.
func TestCommandOfAnEndedSessionIsSentAgain(t *testing.T) {
	u := newStopped().uplink
	u.attach(&frame.Conn{}, 7)
	answered := false
	tag := u.submit(cancelCommand("a"), func(statemachine.Result) { answered = true })
	u.sentCommands(t)
	u.conn = nil // as after reconnect
	u.receiveOutcome(protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Stale}})
	if answered {
		t.Fatal("the outcome Stale reaches whoever waits")
	}
	u.attach(&frame.Conn{}, 9)
	if sent := u.sentCommands(t); sent[tag] == nil || sent[tag].Session != 9 {
		t.Errorf("sent again: %+v", sent[tag])
	}
}

// TestAbandonedCommandIsNotSentAgain keeps that a job whose client has left long ago is not submitted over a later
// connection: it may have ended and been forgotten by then.
func TestAbandonedCommandIsNotSentAgain(t *testing.T) {
	u := newStopped().uplink
	u.attach(&frame.Conn{}, 7)
	abandoned := u.submit(cancelCommand("a"), func(statemachine.Result) {})
	retained := u.submit(cancelCommand("b"), func(statemachine.Result) {})
	u.sentCommands(t)
	u.abandon(abandoned)
	u.attach(&frame.Conn{}, 7)
	sent := u.sentCommands(t)
	if sent[abandoned] != nil || sent[retained] == nil || sent[retained].AcknowledgedThrough < abandoned {
		t.Errorf("sent again: %+v", sent)
	}
}

// TestReceivedBytesAreAcknowledged keeps that many received bytes are acknowledged at once, since the control machine
// waits for that, and that a new connection counts from 0.
func TestReceivedBytesAreAcknowledged(t *testing.T) {
	u := newStopped().uplink
	first, second := &frame.Conn{}, &frame.Conn{}
	now := time.Duration(0)
	due := func() bool {
		before := u.acknowledgedBytes
		u.flush(now)
		return u.acknowledgedBytes > before
	}
	u.receive(first, &protocol.ControlMessage{Session: 7}, 1000)
	u.flush(now)
	u.receive(first, &protocol.ControlMessage{}, acknowledgeBytes/2)
	if due() {
		t.Error("little is acknowledged by a message of its own")
	}
	u.receive(first, &protocol.ControlMessage{}, acknowledgeBytes+1000)
	if !due() || u.acknowledgedBytes != acknowledgeBytes+1000 {
		t.Errorf("%d bytes are acknowledged", u.acknowledgedBytes)
	}
	u.receive(first, &protocol.ControlMessage{}, acknowledgeBytes+2000)
	if now += heartbeatInterval; !due() {
		t.Error("a heartbeat does not acknowledge what has come")
	}
	u.receive(second, &protocol.ControlMessage{Session: 7}, 500)
	if u.receivedBytes != 500 || u.acknowledgedBytes != 0 {
		t.Errorf("on a new connection %d bytes have come, %d are acknowledged", u.receivedBytes, u.acknowledgedBytes)
	}
}
