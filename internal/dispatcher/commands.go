package dispatcher

import (
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// pendingCommand is a command without an outcome. It is sent again on each new connection.
type pendingCommand struct {
	command *statemachine.Command
	done    func(statemachine.Result)
}

// commandQueue holds the commands that have no outcome, by the tags under which they are sent. Tags rise from 1; they are
// the commands' sequence numbers in their session too, by which the replicated state tells a late copy from a new one.
type commandQueue struct {
	lastTag  uint64
	pending  map[uint64]*pendingCommand
	order    []uint64 // tags of pending, rising; some may have left pending
	outgoing []uint64 // tags of those to be sent with the next flush
}

// add appends a command and returns its tag.
func (q *commandQueue) add(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	q.lastTag++
	q.pending[q.lastTag] = &pendingCommand{command, done}
	q.order = append(q.order, q.lastTag)
	q.outgoing = append(q.outgoing, q.lastTag)
	return q.lastTag
}

// resendAll makes all pending commands outgoing, in their order.
func (q *commandQueue) resendAll() {
	q.outgoing = nil
	order := q.order[:0]
	for _, tag := range q.order {
		if q.pending[tag] != nil {
			order = append(order, tag)
			q.outgoing = append(q.outgoing, tag)
		}
	}
	q.order = order
}

// acknowledgedThrough returns the tag up to which no command waits for its outcome.
func (q *commandQueue) acknowledgedThrough() uint64 {
	for len(q.order) > 0 && q.pending[q.order[0]] == nil {
		q.order = q.order[1:]
	}
	if len(q.order) == 0 {
		return q.lastTag
	}
	return q.order[0] - 1
}

// takeOutgoing encodes the outgoing commands under a session. A read carries no fence: it changes nothing.
func (q *commandQueue) takeOutgoing(session statemachine.SessionID) []protocol.TaggedCommand {
	var encoded []protocol.TaggedCommand
	through := q.acknowledgedThrough()
	for _, tag := range q.outgoing {
		waiting := q.pending[tag]
		if waiting == nil {
			continue
		}
		command := waiting.command
		if !command.IsRead() {
			command.Session, command.Sequence, command.AcknowledgedThrough = session, tag, through
		}
		encoded = append(encoded, protocol.TaggedCommand{Tag: tag, Command: protocol.Encode(command)})
	}
	q.outgoing = nil
	return encoded
}
