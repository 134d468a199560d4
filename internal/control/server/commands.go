package server

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"yardflow/coordination/chain"
	"yardflow/internal/control/protocol"
	"yardflow/internal/control/statemachine"
)

// resubmitAfter is how long a command may be without an outcome before it is proposed again: a proposal may get lost on
// its way to the head, or when the head fails.
const resubmitAfter = 500 * time.Millisecond

// pendingCommand is a command that was proposed and has no outcome yet.
type pendingCommand struct {
	command    *statemachine.Command
	encoded    []byte // the command as CBOR
	isRead     bool
	issuer     *dispatcher // nil: this machine itself or an operator
	issuerTag  uint64      // the issuer's own tag of the command; 0: it is not the issuer's, but made on its behalf
	headEpoch  uint64      // epoch of the view in which this machine made the command as the head; 0: any other command
	onResult   func(statemachine.Result)
	proposedAt time.Duration
}

// commandTable holds the commands that this machine has proposed, by tag, until they have an outcome. It belongs to the
// engine, which also calls the onResult functions.
type commandTable struct {
	origin    chain.MemberID
	now       func() time.Duration
	maxBytes  int64 // of an encoded command: the maximum size of one record of the log on disk
	pending   map[uint64]*pendingCommand
	lastTag   uint64
	proposals []chain.Proposal // not sent to the head yet
}

// newCommandTable returns an empty table for proposals of a member. Tags start at a random number, so that an outcome for
// a previous incarnation, which had the same member ID, matches no command of this one. The upper 8 bits of the start are
// 0, so that the tags never overflow.
func newCommandTable(origin chain.MemberID, maxBytes int64, now func() time.Duration) *commandTable {
	return &commandTable{origin: origin, now: now, maxBytes: maxBytes, pending: map[uint64]*pendingCommand{},
		lastTag: rand.Uint64() >> 8}
}

// submit proposes a command of this machine or of an operator. The command is proposed again until it has an outcome, so
// every command must be idempotent. For a command that is too long, submit returns a CommandTooLongError, and onResult is
// never called.
func (t *commandTable) submit(command *statemachine.Command, onResult func(statemachine.Result)) error {
	return t.submitFor(nil, command, protocol.Encode(command), onResult)
}

// submitAsHead proposes a command that this machine has decided on as the head of a view. Its outcome is ignored. The
// command is dropped when the view ends: a head that was paused, and replaced in the meantime, may have decided on
// outdated information.
func (t *commandTable) submitAsHead(epoch uint64, command *statemachine.Command) {
	_ = t.submit(command, func(statemachine.Result) {}) // commands of the head are never too long
	t.pending[t.lastTag].headEpoch = epoch
}

// dropHeadCommands drops the commands that this machine proposed as the head, unless it did so in the view of the given
// epoch.
func (t *commandTable) dropHeadCommands(epoch uint64) {
	maps.DeleteFunc(t.pending, func(_ uint64, command *pendingCommand) bool {
		return command.headEpoch != 0 && command.headEpoch != epoch
	})
}

// submitTagged proposes a command that a dispatcher has sent under a tag.
func (t *commandTable) submitTagged(issuer *dispatcher, tagged *protocol.TaggedCommand, command *statemachine.Command,
	onResult func(statemachine.Result)) error {
	if err := t.submitFor(issuer, command, tagged.Command, onResult); err != nil {
		return err
	}
	t.pending[t.lastTag].issuerTag = tagged.Tag
	return nil
}

// submitFor proposes a command of a dispatcher or, if issuer is nil, of this machine or an operator. The command of a
// dispatcher is dropped when the dispatcher's connection ends: the dispatcher submits it again over another connection.
func (t *commandTable) submitFor(issuer *dispatcher, command *statemachine.Command, encoded []byte,
	onResult func(statemachine.Result)) error {
	if length := int64(len(encoded)); length > t.maxBytes {
		return &CommandTooLongError{Bytes: length, Max: t.maxBytes}
	}
	t.lastTag++
	submitted := &pendingCommand{command: command, encoded: encoded, isRead: command.IsRead(),
		issuer: issuer, onResult: onResult}
	t.pending[t.lastTag] = submitted
	t.propose(t.lastTag, submitted)
	return nil
}

// CommandTooLongError reports that an encoded command is longer than the maximum record of the log.
type CommandTooLongError struct {
	Bytes int64 // of the command, encoded
	Max   int64 // maximum bytes of a record of the log on disk
}

// Error returns both lengths and the advice.
func (e *CommandTooLongError) Error() string {
	return fmt.Sprintf("too large: %d bytes in the log, %d is the most that the control machines' disks take at once; %s",
		e.Bytes, e.Max, e.Advice())
}

// Advice returns what an operator can do about the error.
func (e *CommandTooLongError) Advice() string {
	return "send less at once, or give the control machines larger disks (Limits.DiskMb)"
}

// propose queues a proposal for the head. The proposal of a read carries no data, since the read is answered here.
func (t *commandTable) propose(tag uint64, command *pendingCommand) {
	proposal := chain.Proposal{Origin: t.origin, Tag: tag, Read: command.isRead}
	if !command.isRead {
		proposal.Data = command.encoded
	}
	command.proposedAt = t.now()
	t.proposals = append(t.proposals, proposal)
}

// repropose proposes again, in the order of submission, the commands without an outcome that were last proposed at least
// minAge ago. A command that changes the rules comes first, since the other ones are to be applied by the new rules.
func (t *commandTable) repropose(minAge time.Duration) {
	var others []uint64
	for _, tag := range slices.Sorted(maps.Keys(t.pending)) {
		switch command := t.pending[tag]; {
		case t.now()-command.proposedAt < minAge:
		case command.command.SetRules != nil:
			t.propose(tag, command)
		default:
			others = append(others, tag)
		}
	}
	for _, tag := range others {
		t.propose(tag, t.pending[tag])
	}
}

// takeProposals removes and returns the proposals that wait to be sent to the head.
func (t *commandTable) takeProposals() []chain.Proposal {
	proposals := t.proposals
	t.proposals = nil
	return proposals
}

// complete passes a command's outcome to its submitter. If a command gets two outcomes, the first one counts.
func (t *commandTable) complete(tag uint64, result statemachine.Result) {
	if command := t.pending[tag]; command != nil {
		delete(t.pending, tag)
		command.onResult(result)
	}
}

// abandon drops all commands, because this member has lost the quorum or its position in the chain. Operators get the
// outcome Unknown; dispatchers submit their commands again. Otherwise the member would, after its return, propose
// commands that have become obsolete.
func (t *commandTable) abandon() {
	abandoned := t.pending
	t.pending, t.proposals = map[uint64]*pendingCommand{}, nil
	for _, command := range abandoned {
		if command.issuer == nil {
			command.onResult(statemachine.Result{Code: statemachine.Unknown})
		}
	}
}

// abandonFor drops commands whose outcomes a dispatcher no longer waits for, by the dispatcher's tags. Copies that were
// proposed before may still be applied; the dispatcher's next command fences them.
func (t *commandTable) abandonFor(d *dispatcher, tags []uint64) {
	maps.DeleteFunc(t.pending, func(_ uint64, command *pendingCommand) bool {
		return command.issuer == d && command.issuerTag != 0 && slices.Contains(tags, command.issuerTag)
	})
}

// removeIssuer drops the commands of a dispatcher that is no longer connected here.
func (t *commandTable) removeIssuer(d *dispatcher) {
	for tag, command := range t.pending {
		if command.issuer == d {
			delete(t.pending, tag)
		}
	}
}
