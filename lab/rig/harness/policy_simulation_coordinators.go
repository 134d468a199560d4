package harness

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"yardflow/internal/fleet/consensus"
	"yardflow/internal/fleet/statemachine"
)

// neverTicks is an election time-out that the library does not reach: the simulation calls elections itself.
const neverTicks = 1 << 30

// proposalNumberBytes precede the command in an entry.
const proposalNumberBytes = 8

// simulatedCoordinator is one coordinator of a PolicySimulation: a raft node with the state machine.
type simulatedCoordinator struct {
	id              uint64
	node            *raft.RawNode
	storage         *raft.MemoryStorage
	state           *statemachine.State
	up              bool
	incarnation     int                                  // events of an earlier one are void
	pending         map[uint64]func(statemachine.Result) // by the number of the proposal
	leaderTerm      uint64                               // its term at its last tick as a leader; 0: it did not lead then
	timeRecordedAt  time.Duration
	heardAt         time.Duration // from a leader
	electionTimeout time.Duration
}

// startCoordinator begins a new incarnation of a coordinator; peers are given at its first alone.
func (r *policyRun) startCoordinator(c *simulatedCoordinator, peers []raft.Peer) {
	c.incarnation++
	c.up, c.pending = true, map[uint64]func(statemachine.Result){}
	c.leaderTerm, c.heardAt, c.electionTimeout = 0, r.now, r.drawElectionTimeout()
	c.state = statemachine.New(statemachine.Config{LeaseDuration: policyLeaseDuration, VoteTimeout: policyVoteTimeout, OnLeaseLoss: r.OnLeaseLoss, PolicyHistory: 8})
	node, err := raft.NewRawNode(&raft.Config{ID: c.id, ElectionTick: neverTicks, HeartbeatTick: 1, Storage: c.storage,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, PreVote: true, Logger: consensus.DiscardLogger{}})
	if err != nil {
		panic(err)
	}
	c.node = node
	if peers != nil {
		if err := node.Bootstrap(peers); err != nil {
			panic(err)
		}
	}
	incarnation := c.incarnation
	r.after(r.between(0, policyTick), func() { r.tickCoordinator(c, incarnation) })
	r.processReady(c)
}

// drawElectionTimeout returns how long a coordinator waits for a leader before it calls an election.
func (r *policyRun) drawElectionTimeout() time.Duration {
	return r.between(10*policyTick, 20*policyTick)
}

// tickCoordinator advances an incarnation's clock, and calls an election where no leader is heard.
func (r *policyRun) tickCoordinator(c *simulatedCoordinator, incarnation int) {
	if c.incarnation != incarnation || !c.up {
		return
	}
	c.node.Tick()
	status := c.node.BasicStatus()
	if status.RaftState == raft.StateLeader {
		c.heardAt = r.now
		r.recordTime(c, status.GetTerm())
	} else if c.leaderTerm = 0; r.now-c.heardAt > c.electionTimeout {
		c.heardAt, c.electionTimeout = r.now, r.drawElectionTimeout()
		_ = c.node.Campaign()
	}
	r.processReady(c)
	r.after(policyTick, func() { r.tickCoordinator(c, incarnation) })
}

// recordTime has a leader record how much time has passed, as package consensus does.
func (r *policyRun) recordTime(c *simulatedCoordinator, term uint64) {
	if c.leaderTerm == term {
		r.propose(c, statemachine.Command{Tick: &statemachine.Tick{Elapsed: r.now - c.timeRecordedAt, GrantsSeen: c.state.GrantCount}}, nil)
	}
	c.leaderTerm, c.timeRecordedAt = term, r.now
}

// propose has a coordinator propose a command; done gets the result if it is committed while this incarnation lives.
func (r *policyRun) propose(c *simulatedCoordinator, command statemachine.Command, done func(statemachine.Result)) {
	encoded, err := statemachine.Encode(command)
	if err != nil {
		panic(err)
	}
	r.serial++
	number := r.serial
	if done != nil {
		c.pending[number] = done
	}
	if c.node.Propose(append(binary.LittleEndian.AppendUint64(nil, number), encoded...)) != nil {
		delete(c.pending, number)
	}
}

// processReady does what the library asks for: it stores, sends and applies.
func (r *policyRun) processReady(c *simulatedCoordinator) {
	for c.up && c.node.HasReady() {
		ready := c.node.Ready()
		if !raft.IsEmptyHardState(ready.HardState) {
			_ = c.storage.SetHardState(ready.HardState)
		}
		_ = c.storage.Append(ready.Entries)
		for _, message := range ready.Messages {
			r.sendRaftMessage(message)
		}
		for _, entry := range ready.CommittedEntries {
			r.applyEntry(c, entry)
		}
		c.node.Advance(ready)
	}
}

func (r *policyRun) sendRaftMessage(message *raftpb.Message) {
	to := r.coordinators[message.GetTo()-1]
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	r.deliver(func() {
		if !to.up {
			return
		}
		received := &raftpb.Message{}
		if err := proto.Unmarshal(encoded, received); err != nil {
			panic(err)
		}
		if kind := received.GetType(); kind == raftpb.MessageType_MsgHeartbeat || kind == raftpb.MessageType_MsgApp {
			to.heardAt = r.now
		}
		_ = to.node.Step(received)
		r.processReady(to)
	})
}

// applyEntry applies a committed entry, and sends the result to whoever waits for it.
func (r *policyRun) applyEntry(c *simulatedCoordinator, entry *raftpb.Entry) {
	if entry.GetType() == raftpb.EntryType_EntryConfChange {
		change := &raftpb.ConfChange{}
		if err := proto.Unmarshal(entry.GetData(), change); err != nil {
			panic(err)
		}
		c.node.ApplyConfChange(change)
		return
	}
	if len(entry.GetData()) < proposalNumberBytes {
		return
	}
	var command statemachine.Command
	if err := statemachine.Decode(entry.GetData()[proposalNumberBytes:], &command); err != nil {
		panic(err)
	}
	result := c.state.Apply(command)
	fmt.Fprint(r.digest, r.now, c.id, entry.GetIndex(), result.Err, result.Revision, result.CurrentVersion)
	number := binary.LittleEndian.Uint64(entry.GetData())
	if done := c.pending[number]; done != nil {
		delete(c.pending, number)
		r.sendResult(result, done)
	}
}

func (r *policyRun) sendResult(result statemachine.Result, receive func(statemachine.Result)) {
	encoded, err := statemachine.Encode(result)
	if err != nil {
		panic(err)
	}
	r.deliver(func() {
		var received statemachine.Result
		if err := statemachine.Decode(encoded, &received); err != nil {
			panic(err)
		}
		receive(received)
	})
}
