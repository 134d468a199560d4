// Package consensus keeps the keepers' state (package keeper) the same at 1, 3 or 5 of them: it
// hosts the raft library on a log in bbolt, tells the state's time while it leads, and hands
// each command's answer to whoever asked. What it has answered is kept by a majority's folders.
//
// It owns the folder, the connections between keepers and the loop that no other goroutine may
// enter. It must never apply a command outside the log, answer by a state that may be old, or
// go on after its folder could not be written.
package consensus

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"yardflow/internal/fleet/statemachine"
)

// Config is one keeper's.
type Config struct {
	Fleet          string            // whose keepers these are; another's are not spoken to
	MemberID       uint64            // this one's number, 1 and up
	InitialMembers map[uint64]string // of the first keepers, with their addresses
	Dir            string
	Bootstrap      bool // this member never was one, and begins with the others that never were
	Join           bool // this member never was one, and is taken in by those that are
	State          statemachine.Config
	Log            func(string)

	TickInterval    time.Duration // of raft; a leader is missed after ten
	SnapshotEntries uint64        // entries after which the log gives way to a snapshot; 0: 2000
}

// keepEntries are left behind a snapshot for followers a little behind.
const keepEntries = 200

// maxMessage bounds what one keeper takes from another, in bytes: a snapshot of the state.
const maxMessage = 64 << 20

// ErrClosed is returned once the keeper has stopped.
var ErrClosed = errors.New("quorum: closed")

// Node is one keeper's part.
type Node struct {
	cfg   Config
	store *store
	node  raft.Node
	conf  *raftpb.ConfState // the loop's alone
	life  uint64            // marks this process's proposals

	mu      sync.Mutex
	state   *statemachine.State
	applied uint64
	waiting map[uint64]chan statemachine.Result
	last    uint64
	changed chan struct{} // closed at each new revision
	moved   chan struct{} // closed at the next entry that is applied; nil: nobody waits for it
	reads   map[uint64]chan uint64
	term    uint64           // the one this keeper is in, as its folder has it; the loop's alone
	told    uint64           // term of the latest entry that the state has; the loop's alone
	held    []raft.ReadState // answered before anything of the term was agreed on; the loop's alone
	leader  uint64
	failed  error
	seen    map[uint64]mark      // by member: how far it was at the least, by what it said
	spoke   map[uint64]time.Time // and when it last said anything

	peers  map[uint64]*peer // the loop's alone
	done   chan struct{}
	ended  chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
}

// Open opens the folder, and begins to take part.
func Open(cfg Config) (*Node, error) {
	if cfg.SnapshotEntries == 0 {
		cfg.SnapshotEntries = 2000
	}
	if cfg.InitialMembers[cfg.MemberID] == "" {
		return nil, fmt.Errorf("quorum: member %d is not among the members", cfg.MemberID)
	}
	s, err := open(cfg.Dir, cfg.Fleet, cfg.MemberID, cfg.Bootstrap || cfg.Join, cfg.Bootstrap)
	if err != nil {
		return nil, err
	}
	q := &Node{cfg: cfg, store: s, life: rand.Uint64(), state: statemachine.New(cfg.State), waiting: map[uint64]chan statemachine.Result{},
		reads: map[uint64]chan uint64{}, seen: map[uint64]mark{}, spoke: map[uint64]time.Time{}, changed: make(chan struct{}), peers: map[uint64]*peer{}, done: make(chan struct{}), ended: make(chan struct{})}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	snap, err := s.mem.Snapshot()
	if err != nil {
		s.close()
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if q.state, err = statemachine.Restore(snap.GetData()); err != nil {
			s.close()
			return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
		}
		q.applied = snap.GetMetadata().GetIndex()
	}
	hard, conf, _ := s.mem.InitialState()
	q.conf, q.term = conf, hard.GetTerm()
	if !cfg.Bootstrap && !cfg.Join {
		if err := q.askOthers(); err != nil {
			s.close()
			return nil, fmt.Errorf("%s: %w", cfg.Dir, err)
		}
	}
	rc := &raft.Config{ID: cfg.MemberID, ElectionTick: 10, HeartbeatTick: 1, Storage: s.mem, Applied: q.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: DiscardLogger{}}
	for id := range cfg.InitialMembers {
		q.meet(id)
	}
	q.follow()
	if cfg.Bootstrap {
		var first []raft.Peer
		for id := range cfg.InitialMembers { // without addresses: each may reach the others by its own
			first = append(first, raft.Peer{ID: id})
		}
		// Each writes the same first entries, so in the same order.
		slices.SortFunc(first, func(a, b raft.Peer) int { return cmp.Compare(a.ID, b.ID) })
		q.node = raft.StartNode(rc, first)
	} else {
		q.node = raft.RestartNode(rc)
	}
	go q.run()
	return q, nil
}

// run is the one loop that raft and the state are driven from.
func (q *Node) run() {
	defer close(q.ended)
	tick := time.NewTicker(q.cfg.TickInterval)
	defer tick.Stop()
	var since reign
	for {
		select {
		case <-tick.C:
			q.node.Tick()
			since = q.tellTime(since)
		case rd := <-q.node.Ready():
			if err := q.handle(rd); err != nil {
				q.fail(err)
				return
			}
			q.node.Advance()
		case <-q.done:
			return
		}
	}
}

// reign is the term in which this one leads, and until when it has told time in it.
type reign struct {
	term uint64
	told time.Time
	no   uint64 // how often
}

// tellTime proposes what has passed since this one began to lead in this term, or told last:
// what passed between two terms another may have told. It reads its clock after it has looked
// which leases were given, as the state wants it.
func (q *Node) tellTime(since reign) reign {
	st := q.node.Status()
	if st.RaftState != raft.StateLeader {
		return reign{}
	}
	q.mu.Lock()
	seen := q.state.GrantCount
	idle := q.state.Idle()
	q.mu.Unlock()
	now := time.Now()
	if since.term != st.GetTerm() || idle { // or nobody waits for time
		return reign{st.GetTerm(), now, since.no + 1} // one that is missing says that time was not told
	}
	text, err := q.word(0, statemachine.Command{Tick: &statemachine.Tick{Elapsed: now.Sub(since.told), GrantsSeen: seen, LeaderTerm: st.GetTerm(), Number: since.no + 1}})
	if err != nil {
		return since
	}
	ctx, stop := context.WithTimeout(q.ctx, q.cfg.TickInterval)
	defer stop()
	// Whatever comes of it, this stretch is not told again: told twice, leases would be over
	// here before they are over at their holders.
	q.node.Propose(ctx, text)
	return reign{st.GetTerm(), now, since.no + 1}
}

// word is an entry: the process's mark, the number of its proposal, and the command.
func (q *Node) word(n uint64, cmd statemachine.Command) ([]byte, error) {
	text, err := statemachine.Encode(cmd)
	out := binary.LittleEndian.AppendUint64(nil, q.life)
	out = binary.LittleEndian.AppendUint64(out, n)
	return append(out, text...), err
}

// Leader is who leads as far as this keeper knows; 0: nobody.
func (q *Node) Leader() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader
}

func (q *Node) err() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failed != nil {
		return q.failed
	}
	return ErrClosed
}

func (q *Node) fail(err error) {
	q.mu.Lock()
	q.failed = err
	q.mu.Unlock()
	q.cfg.Log("stopped: " + err.Error())
}

// Done is closed once the keeper takes part no more; the error says why.
func (q *Node) Done() <-chan struct{} { return q.ended }

// Err is why it stopped.
func (q *Node) Err() error { return q.err() }

// Close leaves the others; what was answered stands.
func (q *Node) Close() error {
	select {
	case <-q.done:
		return nil
	default:
	}
	close(q.done)
	<-q.ended
	q.cancel()
	q.node.Stop()
	return q.store.close()
}
