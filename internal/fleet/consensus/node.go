// Package consensus replicates the coordinators' state (package statemachine) over 1, 3 or 5 processes. It hosts the
// etcd raft library on a log in bbolt, advances the state's clock while it leads, and returns each command's result to
// whoever proposed it.
//
// Invariants:
//   - a result is returned only once a majority has the command on disk;
//   - Read never sees a state older than what was acknowledged before it was called; only ReadStale and
//     WaitForRevision answer from the local state, which may lag;
//   - the state changes by committed entries of the log and by snapshots, never otherwise;
//   - a node whose folder could not be written stops: what it would acknowledge might be lost.
//
// A Node owns its folder, the connections to its peers and one goroutine (run), from which raft and the state are
// driven; no other goroutine changes either.
package consensus

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"

	"yardflow/internal/fleet/statemachine"
)

// Config configures one coordinator.
type Config struct {
	Fleet          string            // name of the fleet; messages of another fleet's coordinators are rejected
	MemberID       uint64            // this member's number, 1 and up
	InitialMembers map[uint64]string // addresses, host:port, of the members that the settings file names, this one among them
	Dir            string            // folder of the log
	Bootstrap      bool              // the fleet is new: make the folder, and begin with the other initial members
	Join           bool              // this member is new: make the folder, and wait until a running fleet adds it
	State          statemachine.Config
	Log            func(string)

	TickInterval    time.Duration // the time between two heartbeats; see electionIntervals
	SnapshotEntries uint64        // entries of the log after which a snapshot replaces them; 0: defaultSnapshotEntries
}

// openMode returns what the folder is expected to hold. Bootstrap comes before Join, where both are set.
func (c *Config) openMode() openMode {
	switch {
	case c.Bootstrap:
		return createBootstrap
	case c.Join:
		return createJoining
	}
	return openExisting
}

// Sizes of the log and of messages.
const (
	defaultSnapshotEntries = 2000
	// retainedEntries stay in memory behind a snapshot, so that a follower that is a little behind gets entries and
	// not the whole state.
	retainedEntries = 200
	// maxMessageBytes bounds what is read of one message of a peer. The largest is a snapshot of the state; a larger
	// one is rejected.
	maxMessageBytes = 64 << 20
	// maxAppendBytes bounds the entries in one message of raft.
	maxAppendBytes = 1 << 20
	// maxInflightAppends bounds the unacknowledged messages of raft to one follower.
	maxInflightAppends = 64
)

// ErrClosed is returned by calls on a node that was closed.
var ErrClosed = errors.New("consensus: node is closed")

// Node is one coordinator's part in the replication. It is safe for concurrent use.
type Node struct {
	cfg         Config
	store       *store
	raft        raft.Node
	incarnation uint64 // random; tells this process's proposals from those of others in the log

	loop loopState // owned by run

	mu              sync.Mutex // guards all below down to lastHeard
	state           *statemachine.State
	applied         uint64        // index of the latest entry in state
	revisionChanged chan struct{} // closed at each new revision of state
	appliedChanged  chan struct{} // closed when the next entry is applied; nil: nobody waits
	leader          uint64        // 0: none known
	lastLeader      uint64        // the latest that was known
	pace            electionPace
	failure         error // why run has ended; nil: it has not, or Close was called
	requests        pendingRequests
	progress        map[uint64]logPosition // by member: how far its log is known to reach
	lastHeard       map[uint64]time.Time   // by member: when it last sent a message

	stop    chan struct{} // closed by Close
	stopped chan struct{} // closed by run when it returns
	ctx     context.Context
	cancel  context.CancelFunc
}

// Open opens the folder, or makes it where cfg says that it is new, and starts to take part. The caller has to call
// Close. A folder that is missing, damaged, out of date or another member's is a FolderError.
func Open(cfg Config) (*Node, error) {
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = defaultSnapshotEntries
	}
	if cfg.InitialMembers[cfg.MemberID] == "" {
		return nil, fmt.Errorf("consensus: member %d is not among the initial members", cfg.MemberID)
	}
	s, err := openStore(cfg.Dir, cfg.Fleet, cfg.MemberID, cfg.openMode())
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, store: s, incarnation: rand.Uint64(), state: statemachine.New(cfg.State),
		loop: loopState{peers: map[uint64]*peer{}}, requests: newPendingRequests(),
		pace: electionPace{interval: cfg.TickInterval}, progress: map[uint64]logPosition{}, lastHeard: map[uint64]time.Time{},
		revisionChanged: make(chan struct{}), stop: make(chan struct{}), stopped: make(chan struct{})}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	err = n.restoreState()
	if err == nil && cfg.openMode() == openExisting {
		if err = n.checkOutdated(); err != nil {
			err = fmt.Errorf("%s: %w", cfg.Dir, err)
		}
	}
	if err != nil {
		n.cancel()
		_ = s.close() // nothing was written
		return nil, err
	}
	n.startRaft()
	go n.run()
	return n, nil
}

// restoreState sets the state to that of the folder's snapshot. The entries behind it come from raft once it knows
// which of them are committed.
func (n *Node) restoreState() error {
	snapshot, err := n.store.memory.Snapshot()
	if err != nil {
		return err
	}
	if !raft.IsEmptySnap(snapshot) {
		if n.state, err = statemachine.Restore(snapshot.GetData()); err != nil {
			return fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		n.applied = snapshot.GetMetadata().GetIndex()
	}
	hardState, confState, _ := n.store.memory.InitialState()
	n.loop.confState, n.loop.term = confState, hardState.GetTerm()
	return nil
}

// startRaft connects to the known members and starts the raft library on the store.
func (n *Node) startRaft() {
	config := &raft.Config{ID: n.cfg.MemberID, ElectionTick: electionIntervals * ticksPerInterval, HeartbeatTick: heartbeatIntervals * ticksPerInterval, Storage: n.store.memory, Applied: n.applied,
		MaxSizePerMsg: maxAppendBytes, MaxInflightMsgs: maxInflightAppends, CheckQuorum: true, PreVote: true, Logger: DiscardLogger{}}
	for id := range n.cfg.InitialMembers {
		n.connect(id)
	}
	n.connectMembers()
	if !n.cfg.Bootstrap {
		n.raft = raft.RestartNode(config)
		return
	}
	var initial []raft.Peer
	for id := range n.cfg.InitialMembers { // without addresses: the members' settings may name each other differently
		initial = append(initial, raft.Peer{ID: id})
	}
	// Each member writes these as the first entries of its log, so they have to be in the same order everywhere.
	slices.SortFunc(initial, func(a, b raft.Peer) int { return cmp.Compare(a.ID, b.ID) })
	n.raft = raft.StartNode(config, initial)
}

// Leader returns the member that leads as far as this node knows; 0: none is known.
func (n *Node) Leader() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader
}

// Done returns a channel that is closed once the node takes part no more; Err says why.
func (n *Node) Done() <-chan struct{} { return n.stopped }

// Err returns why the node has stopped: what it failed at, or ErrClosed.
func (n *Node) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failure != nil {
		return n.failure
	}
	return ErrClosed
}

// fail records why run ends.
func (n *Node) fail(err error) {
	n.mu.Lock()
	n.failure = err
	n.mu.Unlock()
	n.cfg.Log("stopped: " + err.Error())
}

// Close ends the node and closes its folder. What was acknowledged stays committed. It must not be called concurrently
// with itself; a second call does nothing.
func (n *Node) Close() error {
	select {
	case <-n.stop:
		return nil
	default:
	}
	close(n.stop)
	<-n.stopped
	n.cancel()
	n.raft.Stop()
	return n.store.close()
}
