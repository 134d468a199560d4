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

// sentCommands returns the commands that the next flush would send, by tag, and clears the outgoing queue as the flush does.
func (u *uplink) sentCommands(t *testing.T) map[uint64]*statemachine.Command {
	t.Helper()
	commands := map[uint64]*statemachine.Command{}
	u.commands.addFenceIfDue()
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
	u := newDispatcherWithoutLoop().uplink
	u.attach(&frame.Conn{}, 7)
	first := u.submit(cancelCommand("a"), func(statemachine.Result) {})
	second := u.submit(cancelCommand("b"), func(statemachine.Result) {})
	sent := u.sentCommands(t)
	if sent[first].Session != 7 || sent[second].Sequence != second || sent[first].AcknowledgedThrough != first-1 {
		t.Errorf("the sent commands are %+v and %+v", sent[first], sent[second])
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

// TestOutcomeOfAFormerConnectionIsIgnored checks that an outcome received on a former connection, which may be to another
// incarnation of the control machine, does not count as an outcome of the present connection.
func TestOutcomeOfAFormerConnectionIsIgnored(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	former, present := &frame.Conn{}, &frame.Conn{}
	u.attach(former, 7)
	answered := false
	tag := u.submit(cancelCommand("a"), func(statemachine.Result) { answered = true })
	u.attach(present, 7)
	u.receive(former, &protocol.ControlMessage{
		Outcomes: []protocol.Outcome{{Tag: tag, Result: statemachine.Result{Code: statemachine.NotFound}}}}, 0)
	if answered || u.commands.pending[tag] == nil {
		t.Error("the outcome received on the former connection is accepted")
	}
	u.receive(present, &protocol.ControlMessage{Outcomes: []protocol.Outcome{{Tag: tag}, {Tag: tag + 1}, {Tag: tag}}}, 0)
	if !answered {
		t.Error("the outcome received on the present connection is not accepted")
	}
}

// TestCommandOfAnEndedSessionIsSentAgain checks that a command that was rejected as Stale, because its session had ended, is
// sent again with the next session's ID.
func TestCommandOfAnEndedSessionIsSentAgain(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	u.attach(&frame.Conn{}, 7)
	answered := false
	tag := u.submit(cancelCommand("a"), func(statemachine.Result) { answered = true })
	u.sentCommands(t)
	u.conn = nil // as after detach; reconnect could not close this zero Conn
	u.receiveOutcome(protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Stale}})
	if answered {
		t.Fatal("the outcome Stale is passed to the caller")
	}
	u.attach(&frame.Conn{}, 9)
	if sent := u.sentCommands(t); sent[tag] == nil || sent[tag].Session != 9 {
		t.Errorf("sent again: %+v, want it under session 9", sent[tag])
	}
}

// TestAbandonedCommandIsNotSentAgain checks that an abandoned command is not sent over a later connection. Otherwise a job
// could be submitted a second time, long after its client has gone and after the job has ended and been forgotten.
func TestAbandonedCommandIsNotSentAgain(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	u.attach(&frame.Conn{}, 7)
	abandoned := u.submit(cancelCommand("a"), func(statemachine.Result) {})
	retained := u.submit(cancelCommand("b"), func(statemachine.Result) {})
	u.sentCommands(t)
	u.abandon(abandoned)
	u.attach(&frame.Conn{}, 7)
	sent := u.sentCommands(t)
	if sent[abandoned] != nil || sent[retained] == nil || sent[retained].AcknowledgedThrough < abandoned {
		t.Errorf("sent again: %+v, want the retained command only", sent)
	}
}

// TestAbandonedCommandIsFencedThoughNoOtherCommandFollows guards against orders that take effect after their callers were
// told otherwise: a copy of an abandoned command could be applied at any later time while its dispatcher sent no other one.
func TestAbandonedCommandIsFencedThoughNoOtherCommandFollows(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	u.attach(&frame.Conn{}, 7)
	earlier := u.submit(cancelCommand("a"), func(statemachine.Result) {})
	abandoned := u.submit(cancelCommand("b"), func(statemachine.Result) {})
	u.sentCommands(t)
	u.abandon(abandoned)
	if notified := u.commands.takeAbandoned(); len(notified) != 1 || notified[0] != abandoned {
		t.Errorf("the control machine is notified of %v, want %d", notified, abandoned)
	}
	if sent := u.sentCommands(t); len(sent) != 0 {
		t.Errorf("%d commands are sent while an earlier one is pending: they would fence nothing", len(sent))
	}
	u.receiveOutcome(protocol.Outcome{Tag: earlier})
	for tag, fence := range u.sentCommands(t) {
		if fence.Acknowledge == nil || fence.AcknowledgedThrough < abandoned || fence.Sequence <= fence.AcknowledgedThrough {
			t.Errorf("the fence is %+v", fence)
		}
		u.receiveOutcome(protocol.Outcome{Tag: tag, Result: statemachine.Result{Code: statemachine.Invalid}}) // of an earlier build
	}
	if u.commands.fencedThrough < abandoned {
		t.Error("no fence is sent")
	}
	if sent := u.sentCommands(t); len(sent) != 0 {
		t.Errorf("another %d commands are sent behind the fence", len(sent))
	}
}

// TestOnlyChangesThatWereSentAreFenced checks that no fence is sent for a command that never left, or that was a read.
func TestOnlyChangesThatWereSentAreFenced(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	u.attach(&frame.Conn{}, 7)
	u.abandon(u.submit(cancelCommand("a"), func(statemachine.Result) {}))
	read := u.submit(&statemachine.Command{ReadJob: &statemachine.ReadJob{Job: "a"}}, func(statemachine.Result) {})
	u.sentCommands(t)
	u.abandon(read)
	if sent := u.sentCommands(t); len(sent) != 0 {
		t.Errorf("%d commands are sent", len(sent))
	}
}

// TestReceivedBytesAreAcknowledged checks that received bytes are acknowledged at once when they reach acknowledgeThreshold,
// because the control machine waits for the acknowledgement, that a smaller number is acknowledged with the next heartbeat,
// and that a new connection starts counting at 0.
func TestReceivedBytesAreAcknowledged(t *testing.T) {
	u := newDispatcherWithoutLoop().uplink
	first, second := &frame.Conn{}, &frame.Conn{}
	now := time.Duration(0)
	flushAcknowledges := func() bool {
		before := u.acknowledgedBytes
		u.flush(now)
		return u.acknowledgedBytes > before
	}
	u.receive(first, &protocol.ControlMessage{Session: 7}, 1000)
	u.flush(now)
	u.receive(first, &protocol.ControlMessage{}, acknowledgeThreshold/2)
	if flushAcknowledges() {
		t.Error("bytes below the threshold are acknowledged before a heartbeat")
	}
	u.receive(first, &protocol.ControlMessage{}, acknowledgeThreshold+1000)
	if !flushAcknowledges() || u.acknowledgedBytes != acknowledgeThreshold+1000 {
		t.Errorf("%d bytes are acknowledged after the threshold was reached", u.acknowledgedBytes)
	}
	u.receive(first, &protocol.ControlMessage{}, acknowledgeThreshold+2000)
	if now += heartbeatInterval; !flushAcknowledges() {
		t.Error("the heartbeat does not acknowledge the received bytes")
	}
	u.receive(second, &protocol.ControlMessage{Session: 7}, 500)
	if u.receivedBytes != 500 || u.acknowledgedBytes != 0 {
		t.Errorf("on a new connection %d bytes are received and %d acknowledged, want 500 and 0",
			u.receivedBytes, u.acknowledgedBytes)
	}
}
