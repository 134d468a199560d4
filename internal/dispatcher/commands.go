package dispatcher

import (
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// pendingCommand is a command without an outcome. It is resent on each new connection.
type pendingCommand struct {
	command *statemachine.Command
	done    func(statemachine.Result)
	isSent  bool
}

// commandQueue holds the commands without an outcome, by the tags under which they are sent. Tags increase from 1. A tag is
// also the command's sequence number in its session, by which the replicated state distinguishes late copies from new
// commands.
type commandQueue struct {
	lastTag  uint64
	pending  map[uint64]*pendingCommand
	order    []uint64 // tags in increasing order; some may no longer be in pending
	outgoing []uint64 // tags of the commands to be sent with the next flush

	// A copy of an abandoned command may still be applied, until a later command of the session has advanced the session's
	// AcknowledgedThrough beyond it.
	abandoned        []uint64 // tags of abandoned commands that the control machine has not been notified of
	abandonedThrough uint64   // the highest tag of an abandoned command that was sent
	fencedThrough    uint64   // the highest AcknowledgedThrough that was sent in this session
	fenceTag         uint64   // tag of the latest Acknowledge command
}

// add appends a command to the pending and the outgoing commands and returns its tag.
func (q *commandQueue) add(command *statemachine.Command, done func(statemachine.Result)) uint64 {
	q.lastTag++
	q.pending[q.lastTag] = &pendingCommand{command: command, done: done}
	q.order = append(q.order, q.lastTag)
	q.outgoing = append(q.outgoing, q.lastTag)
	return q.lastTag
}

// abandon drops a command: it is not sent again, and copies of it are fenced with a following flush.
func (q *commandQueue) abandon(tag uint64) {
	pending := q.pending[tag]
	if pending == nil {
		return
	}
	delete(q.pending, tag)
	if !pending.isSent {
		return
	}
	q.abandoned = append(q.abandoned, tag)
	if !pending.command.IsRead() {
		q.abandonedThrough = max(q.abandonedThrough, tag)
	}
}

// resendAll makes all pending commands outgoing again, in the order of their tags.
func (q *commandQueue) resendAll() {
	q.outgoing = nil
	q.abandoned = nil // the control machine knows only commands of the new connection
	order := q.order[:0]
	for _, tag := range q.order {
		if q.pending[tag] != nil {
			order = append(order, tag)
			q.outgoing = append(q.outgoing, tag)
		}
	}
	q.order = order
}

// beginSession forgets what was sent in a former session, whose commands are rejected as it has ended.
func (q *commandQueue) beginSession() { q.abandonedThrough, q.fencedThrough = 0, 0 }

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

// addFenceIfDue adds an Acknowledge command if copies of abandoned commands are not fenced yet, and no other outgoing
// command does so. One such command is pending at a time.
func (q *commandQueue) addFenceIfDue() {
	if q.abandonedThrough <= q.fencedThrough || q.acknowledgedThrough() <= q.fencedThrough ||
		q.pending[q.fenceTag] != nil || q.hasOutgoingChange() {
		return
	}
	q.fenceTag = q.add(&statemachine.Command{Acknowledge: &statemachine.Acknowledge{}}, func(statemachine.Result) {})
}

// hasOutgoingChange reports whether a command is outgoing that is not a read.
func (q *commandQueue) hasOutgoingChange() bool {
	for _, tag := range q.outgoing {
		if pending := q.pending[tag]; pending != nil && !pending.command.IsRead() {
			return true
		}
	}
	return false
}

// takeAbandoned returns the tags of the commands abandoned since the last call.
func (q *commandQueue) takeAbandoned() []uint64 {
	abandoned := q.abandoned
	q.abandoned = nil
	return abandoned
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
		pending.isSent = true
		command := pending.command
		if !command.IsRead() {
			command.Session, command.Sequence, command.AcknowledgedThrough = session, tag, through
			q.fencedThrough = max(q.fencedThrough, through)
		}
		encoded = append(encoded, protocol.TaggedCommand{Tag: tag, Command: protocol.Encode(command)})
	}
	q.outgoing = nil
	return encoded
}
