package dispatcher

import (
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// pendingCommand is a command without an outcome. It is resent on each new connection.
type pendingCommand struct {
	command *statemachine.Command
	done    func(statemachine.Result)
}

// commandQueue holds the commands without an outcome, by the tags under which they are sent. Tags increase from 1. A tag is
// also the command's sequence number in its session, by which the replicated state distinguishes late copies from new
// commands.
type commandQueue struct {
	lastTag  uint64
	pending  map[uint64]*pendingCommand
	order    []uint64 // tags in increasing order; some may no longer be in pending
	outgoing []uint64 // tags of the commands to be sent with the next flush
}

// add appends a command to the pending and the outgoing commands and returns its tag.
func (q *commandQueue) add(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	q.lastTag++
	q.pending[q.lastTag] = &pendingCommand{command, done}
	q.order = append(q.order, q.lastTag)
	q.outgoing = append(q.outgoing, q.lastTag)
	return q.lastTag
}

// resendAll makes all pending commands outgoing again, in the order of their tags.
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

// acknowledgedThrough returns the highest tag up to which no command is pending.
func (q *commandQueue) acknowledgedThrough() uint64 {
	for len(q.order) > 0 && q.pending[q.order[0]] == nil {
		q.order = q.order[1:]
	}
	if len(q.order) == 0 {
		return q.lastTag
	}
	return q.order[0] - 1
}

// takeOutgoing encodes the outgoing commands for a session and clears the list. The session, the sequence number and
// AcknowledgedThrough fence a command against late copies; reads change nothing and carry none of them.
func (q *commandQueue) takeOutgoing(session statemachine.SessionID) []protocol.TaggedCommand {
	var encoded []protocol.TaggedCommand
	through := q.acknowledgedThrough()
	for _, tag := range q.outgoing {
		pending := q.pending[tag]
		if pending == nil {
			continue
		}
		command := pending.command
		if !command.IsRead() {
			command.Session, command.Sequence, command.AcknowledgedThrough = session, tag, through
		}
		encoded = append(encoded, protocol.TaggedCommand{Tag: tag, Command: protocol.Encode(command)})
	}
	q.outgoing = nil
	return encoded
}
