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
// its way to the head, or with a head that fails.
const resubmitAfter = 500 * time.Millisecond

// pendingCommand is a command that was proposed and has no outcome yet.
type pendingCommand struct {
	command    *statemachine.Command
	encoded    []byte // the command as CBOR
	isRead     bool
	issuer     *dispatcher // nil: this machine itself or an operator
	headEpoch  uint64      // of the view as whose head this machine made the command; 0: it is no judgement of a head's
	onResult   func(statemachine.Result)
	proposedAt time.Duration
}

// commandTable holds the commands that this machine has proposed, by tag, until they have an outcome. It belongs to the
// engine, which also calls the functions that take outcomes.
type commandTable struct {
	origin    chain.MemberID
	now       func() time.Duration
	maxBytes  int64 // of an encoded command: what the log on disk takes as one record
	pending   map[uint64]*pendingCommand
	lastTag   uint64
	proposals []chain.Proposal // not handed to the head yet
}

// newCommandTable returns an empty table for proposals of a member. Tags begin at a random number, so that an outcome
// for a former incarnation, which had the same member ID, meets no command of this one. The upper 8 bits are 0: counting up never overflows.
func newCommandTable(origin chain.MemberID, maxBytes int64, now func() time.Duration) *commandTable {
	return &commandTable{origin: origin, now: now, maxBytes: maxBytes, pending: map[uint64]*pendingCommand{}, lastTag: rand.Uint64() >> 8}
}

// submit proposes a command of this machine or an operator. It is proposed again until it has an outcome, so every
// command must be idempotent. One that is too long gets a CommandTooLongError and no outcome.
func (t *commandTable) submit(command *statemachine.Command, onResult func(statemachine.Result)) error {
	return t.submitFor(nil, command, protocol.Encode(command), onResult)
}

// submitAsHead proposes what this machine has judged as the head of a view, and has no outcome for anybody. It is given up
// with the view: a head that was held up and replaced meanwhile has judged by what it had not heard.
func (t *commandTable) submitAsHead(epoch uint64, command *statemachine.Command) {
	_ = t.submit(command, func(statemachine.Result) {}) // a judgement is never too long
	t.pending[t.lastTag].headEpoch = epoch
}

// giveUpJudgements forgets what was judged as the head of another view than that of an epoch.
func (t *commandTable) giveUpJudgements(epoch uint64) {
	maps.DeleteFunc(t.pending, func(_ uint64, command *pendingCommand) bool {
		return command.headEpoch != 0 && command.headEpoch != epoch
	})
}

// submitFor proposes a dispatcher's command. Once its connection has ended the command is forgotten here: the dispatcher
// submits it again itself, over another connection.
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

// CommandTooLongError says that a command is longer than a record of the log may be.
type CommandTooLongError struct {
	Bytes int64 // of the command, encoded
	Max   int64 // bytes that the log on disk takes as one record
}

// Error names both lengths, with the advice.
func (e *CommandTooLongError) Error() string {
	return fmt.Sprintf("too large: %d bytes in the log, %d is the most that the control machines' disks take at once; %s", e.Bytes, e.Max, e.Advice())
}

// Advice says what an operator can do.
func (e *CommandTooLongError) Advice() string {
	return "send less at once, or give the control machines larger disks (Limits.DiskMb)"
}

// propose appends a proposal to those for the head. A read travels without data: it is answered here.
func (t *commandTable) propose(tag uint64, command *pendingCommand) {
	proposal := chain.Proposal{Origin: t.origin, Tag: tag, Read: command.isRead}
	if !command.isRead {
		proposal.Data = command.encoded
	}
	command.proposedAt = t.now()
	t.proposals = append(t.proposals, proposal)
}

// repropose proposes again what was proposed at least so long ago and has no outcome, in the order of submission.
func (t *commandTable) repropose(minAge time.Duration) {
	for _, tag := range slices.Sorted(maps.Keys(t.pending)) {
		if command := t.pending[tag]; t.now()-command.proposedAt >= minAge {
			t.propose(tag, command)
		}
	}
}

// takeProposals returns what is to be handed to the head.
func (t *commandTable) takeProposals() []chain.Proposal {
	proposals := t.proposals
	t.proposals = nil
	return proposals
}

// complete reports a command's outcome to whoever submitted it. Of two outcomes the first one counts.
func (t *commandTable) complete(tag uint64, result statemachine.Result) {
	if command := t.pending[tag]; command != nil {
		delete(t.pending, tag)
		command.onResult(result)
	}
}

// abandon gives all commands up: this member has lost the majority, or its position in the chain. Operators get the
// outcome Unknown; dispatchers submit again by themselves. Without this the member would, on its return, propose
// commands that have become obsolete meanwhile.
func (t *commandTable) abandon() {
	abandoned := t.pending
	t.pending, t.proposals = map[uint64]*pendingCommand{}, nil
	for _, command := range abandoned {
		if command.issuer == nil {
			command.onResult(statemachine.Result{Code: statemachine.Unknown})
		}
	}
}

// forgetIssuer forgets the commands of a dispatcher that is not connected here any more.
func (t *commandTable) forgetIssuer(d *dispatcher) {
	for tag, command := range t.pending {
		if command.issuer == d {
			delete(t.pending, tag)
		}
	}
}
