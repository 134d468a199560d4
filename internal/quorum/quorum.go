// Package quorum keeps the keepers' state (package keeper) the same at 1, 3 or 5 of them: it
// hosts the raft library on a log in bbolt, tells the state's time while it leads, and hands
// each command's answer to whoever asked. What it has answered is kept by a majority's folders.
//
// It owns the folder, the connections between keepers and the loop that no other goroutine may
// enter. It must never apply a command outside the log, answer by a state that may be old, or
// go on after its folder could not be written.
package quorum

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"linnetlift/internal/keeper"
)

// Config is one keeper's.
type Config struct {
	Fleet   string            // whose keepers these are; another's are not spoken to
	Member  uint64            // this one's number, 1 and up
	Members map[uint64]string // of the first keepers, with their addresses
	Dir     string
	New     bool // this member never was one
	State   keeper.Config
	Log     func(string)

	Tick     time.Duration // of raft; a leader is missed after ten
	Snapshot uint64        // entries after which the log gives way to a snapshot; 0: 2000
}

// keepEntries are left behind a snapshot for followers a little behind.
const keepEntries = 200

// maxMessage bounds what one keeper takes from another, in bytes: a snapshot of the state.
const maxMessage = 64 << 20

// ErrClosed is returned once the keeper has stopped.
var ErrClosed = errors.New("quorum: closed")

// Quorum is one keeper's part.
type Quorum struct {
	cfg   Config
	store *store
	node  raft.Node
	conf  *raftpb.ConfState // the loop's alone
	life  uint64            // marks this process's proposals

	mu      sync.Mutex
	state   *keeper.State
	applied uint64
	waiting map[uint64]chan keeper.Result
	last    uint64
	changed chan struct{} // closed at each new revision
	reads   map[uint64]chan uint64
	leader  uint64
	failed  error

	peers  map[uint64]*peer
	done   chan struct{}
	ended  chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
}

// Open opens the folder, and begins to take part.
func Open(cfg Config) (*Quorum, error) {
	if cfg.Snapshot == 0 {
		cfg.Snapshot = 2000
	}
	if cfg.Members[cfg.Member] == "" {
		return nil, fmt.Errorf("quorum: member %d is not among the members", cfg.Member)
	}
	s, err := open(cfg.Dir, cfg.Fleet, cfg.Member, cfg.New)
	if err != nil {
		return nil, err
	}
	q := &Quorum{cfg: cfg, store: s, life: rand.Uint64(), state: keeper.New(cfg.State), waiting: map[uint64]chan keeper.Result{},
		reads: map[uint64]chan uint64{}, changed: make(chan struct{}), peers: map[uint64]*peer{}, done: make(chan struct{}), ended: make(chan struct{})}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	snap, err := s.mem.Snapshot()
	if err != nil {
		s.close()
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if q.state, err = keeper.Restore(snap.GetData()); err != nil {
			s.close()
			return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
		}
		q.applied = snap.GetMetadata().GetIndex()
	}
	_, q.conf, _ = s.mem.InitialState()
	rc := &raft.Config{ID: cfg.Member, ElectionTick: 10, HeartbeatTick: 1, Storage: s.mem, Applied: q.applied,
		MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: Quiet{}}
	for id, addr := range cfg.Members {
		if id != cfg.Member {
			q.peers[id] = q.newPeer(id, addr)
		}
	}
	if cfg.New {
		var first []raft.Peer
		for id := range cfg.Members { // without addresses: each may reach the others by its own
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
func (q *Quorum) run() {
	defer close(q.ended)
	tick := time.NewTicker(q.cfg.Tick)
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
}

// tellTime proposes what has passed since this one began to lead in this term, or told last:
// what passed between two terms another may have told. It reads its clock after it has looked
// which leases were given, as the state wants it.
func (q *Quorum) tellTime(since reign) reign {
	st := q.node.Status()
	if st.RaftState != raft.StateLeader {
		return reign{}
	}
	q.mu.Lock()
	seen := q.state.Grants
	idle := len(q.state.Living()) == 0 && (q.state.Change == nil || q.state.Change.Stage >= keeper.InForce)
	q.mu.Unlock()
	now := time.Now()
	if since.term != st.GetTerm() || idle { // or nobody waits for time
		return reign{st.GetTerm(), now}
	}
	text, err := q.word(0, keeper.Command{Tick: &keeper.Tick{Passed: now.Sub(since.told), Seen: seen}})
	if err != nil {
		return since
	}
	ctx, stop := context.WithTimeout(q.ctx, q.cfg.Tick)
	defer stop()
	// Whatever comes of it, this stretch is not told again: told twice, leases would be over
	// here before they are over at their holders.
	q.node.Propose(ctx, text)
	return reign{st.GetTerm(), now}
}

// word is an entry: the process's mark, the number of its proposal, and the command.
func (q *Quorum) word(n uint64, cmd keeper.Command) ([]byte, error) {
	text, err := keeper.Encode(cmd)
	out := binary.LittleEndian.AppendUint64(nil, q.life)
	out = binary.LittleEndian.AppendUint64(out, n)
	return append(out, text...), err
}

// handle does what raft asks: durable first, then sent, then applied.
func (q *Quorum) handle(rd raft.Ready) error {
	if err := q.store.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
		return fmt.Errorf("the folder can't be written: %w", err)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := keeper.Restore(rd.Snapshot.GetData())
		if err != nil {
			return err
		}
		q.mu.Lock()
		q.state, q.applied = state, rd.Snapshot.GetMetadata().GetIndex()
		q.wake()
		q.mu.Unlock()
		q.conf = rd.Snapshot.GetMetadata().GetConfState()
	}
	for _, m := range rd.Messages {
		if p := q.peers[m.GetTo()]; p != nil {
			p.send(m)
		}
	}
	for _, e := range rd.CommittedEntries {
		if err := q.apply(e); err != nil {
			return err
		}
	}
	q.mu.Lock()
	if rd.SoftState != nil {
		if q.leader = rd.SoftState.Lead; q.leader == 0 {
			q.cfg.Log("no keeper leads")
		} else {
			q.cfg.Log(fmt.Sprintf("keeper %d leads", q.leader))
		}
	}
	for _, r := range rd.ReadStates {
		id := binary.LittleEndian.Uint64(r.RequestCtx)
		if to := q.reads[id]; to != nil {
			delete(q.reads, id)
			to <- r.Index
		}
	}
	q.mu.Unlock()
	first, _ := q.store.mem.FirstIndex()
	if q.applied >= first+q.cfg.Snapshot+keepEntries {
		text, err := q.state.Snapshot()
		if err != nil {
			return err
		}
		if err := q.store.compact(q.applied, q.conf, text, keepEntries); err != nil {
			return fmt.Errorf("the folder can't be written: %w", err)
		}
	}
	return nil
}

// wake tells whoever watches that something has changed. The caller holds mu.
func (q *Quorum) wake() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *Quorum) apply(e *raftpb.Entry) error {
	switch e.GetType() {
	case raftpb.EntryType_EntryConfChange:
		cc := &raftpb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("%w: entry %d: %v", ErrDamaged, e.GetIndex(), err)
		}
		q.conf = q.node.ApplyConfChange(cc)
		if id := cc.GetNodeId(); id != q.cfg.Member && cc.GetType() != raftpb.ConfChangeType_ConfChangeRemoveNode && q.peers[id] == nil {
			q.peers[id] = q.newPeer(id, string(cc.GetContext()))
		}
	case raftpb.EntryType_EntryNormal:
		q.mu.Lock()
		defer q.mu.Unlock()
		q.applied = e.GetIndex()
		text := e.GetData()
		if len(text) == 0 {
			return nil // a leader's first
		}
		if len(text) < 16 {
			return fmt.Errorf("%w: entry %d is cut off", ErrDamaged, e.GetIndex())
		}
		var cmd keeper.Command
		if err := keeper.Decode(text[16:], &cmd); err != nil {
			return fmt.Errorf("%w: entry %d: %v", ErrDamaged, e.GetIndex(), err)
		}
		before := q.state.Revision
		r := q.state.Apply(cmd)
		if q.state.Revision != before {
			q.wake()
		}
		if n := binary.LittleEndian.Uint64(text[8:]); binary.LittleEndian.Uint64(text) == q.life && q.waiting[n] != nil {
			// What the answer points to may change at the next command; the one who waits
			// reads it later.
			q.waiting[n] <- detach(r)
			delete(q.waiting, n)
		}
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applied = e.GetIndex()
	return nil
}

// detach makes an answer that no later command changes.
func detach(r keeper.Result) (out keeper.Result) {
	text, err := keeper.Encode(r)
	if err == nil {
		err = keeper.Decode(text, &out)
	}
	if err != nil {
		out.Err = err.Error()
	}
	return out
}

// Do has a command carried out, and returns its answer once a majority has it. Any keeper
// takes commands; an error tells nothing of whether it was carried out.
func (q *Quorum) Do(ctx context.Context, cmd keeper.Command) (keeper.Result, error) {
	got := make(chan keeper.Result, 1)
	q.mu.Lock()
	if q.failed != nil {
		q.mu.Unlock()
		return keeper.Result{}, q.failed
	}
	q.last++
	n := q.last
	q.waiting[n] = got
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.waiting, n)
		q.mu.Unlock()
	}()
	text, err := q.word(n, cmd)
	if err != nil {
		return keeper.Result{}, err
	}
	if err := q.node.Propose(ctx, text); err != nil {
		return keeper.Result{}, err
	}
	select {
	case r := <-got:
		return r, nil
	case <-ctx.Done():
		return keeper.Result{}, ctx.Err()
	case <-q.ended:
		return keeper.Result{}, q.err()
	}
}

// Read gives f the state as it is at this moment or later: a majority is asked whether this
// keeper knows the newest. f must not keep it.
func (q *Quorum) Read(ctx context.Context, f func(s *keeper.State)) error {
	got := make(chan uint64, 1)
	q.mu.Lock()
	q.last++
	n := q.last
	q.reads[n] = got
	q.mu.Unlock()
	defer func() {
		q.mu.Lock()
		delete(q.reads, n)
		q.mu.Unlock()
	}()
	again := time.NewTicker(10 * q.cfg.Tick) // lost where nobody led yet
	defer again.Stop()
	var index uint64
	for index == 0 {
		if err := q.node.ReadIndex(ctx, binary.LittleEndian.AppendUint64(nil, n)); err != nil {
			return err
		}
		select {
		case index = <-got:
		case <-again.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-q.ended:
			return q.err()
		}
	}
	for {
		q.mu.Lock()
		if q.applied >= index {
			defer q.mu.Unlock()
			f(q.state)
			return nil
		}
		q.mu.Unlock()
		select {
		case <-time.After(q.cfg.Tick / 4):
		case <-ctx.Done():
			return ctx.Err()
		case <-q.ended:
			return q.err()
		}
	}
}

// Watch blocks until this keeper's state is past a revision, or ctx ends.
func (q *Quorum) Watch(ctx context.Context, past uint64) uint64 {
	for {
		q.mu.Lock()
		now, changed := q.state.Revision, q.changed
		q.mu.Unlock()
		if now > past {
			return now
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return now
		case <-q.ended:
			return now
		}
	}
}

// Leader is who leads as far as this keeper knows; 0: nobody.
func (q *Quorum) Leader() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.leader
}

func (q *Quorum) err() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.failed != nil {
		return q.failed
	}
	return ErrClosed
}

func (q *Quorum) fail(err error) {
	q.mu.Lock()
	q.failed = err
	q.mu.Unlock()
	q.cfg.Log("stopped: " + err.Error())
}

// Failed is closed once the keeper takes part no more; the error says why.
func (q *Quorum) Failed() <-chan struct{} { return q.ended }

// Err is why it stopped.
func (q *Quorum) Err() error { return q.err() }

// Close leaves the others; what was answered stands.
func (q *Quorum) Close() error {
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

// ---- between keepers

// Path is where keepers call each other.
const Path = "/v1/raft"

// ServeHTTP takes a message of another keeper.
func (q *Quorum) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fleet := r.Header.Get("X-Fleet"); fleet != q.cfg.Fleet {
		http.Error(w, fmt.Sprintf("fleet %q; this keeper's is %q", fleet, q.cfg.Fleet), http.StatusForbidden)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	m := &raftpb.Message{}
	if err == nil {
		err = proto.Unmarshal(text, m)
	}
	if err == nil && (m.GetTo() != q.cfg.Member || raft.IsLocalMsg(m.GetType())) {
		err = fmt.Errorf("a message of kind %v to %d", m.GetType(), m.GetTo())
	}
	if err == nil {
		err = q.node.Step(r.Context(), m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// peer carries messages to one other keeper, in order, and drops them where they pile up:
// raft sends again.
type peer struct {
	q    *Quorum
	id   uint64
	addr string
	out  chan *raftpb.Message
	http *http.Client
}

func (q *Quorum) newPeer(id uint64, addr string) *peer {
	p := &peer{q: q, id: id, addr: addr, out: make(chan *raftpb.Message, 256),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: 20 * q.cfg.Tick}}
	go p.run()
	return p
}

func (p *peer) send(m *raftpb.Message) {
	select {
	case p.out <- m:
	default:
		p.q.node.ReportUnreachable(p.id)
		p.lost(m)
	}
}

func (p *peer) lost(m *raftpb.Message) {
	if m.GetType() == raftpb.MessageType_MsgSnap {
		p.q.node.ReportSnapshot(p.id, raft.SnapshotFailure)
	}
}

func (p *peer) run() {
	for {
		select {
		case m := <-p.out:
			err := p.post(m)
			switch {
			case err != nil:
				p.q.node.ReportUnreachable(p.id)
				p.lost(m)
			case m.GetType() == raftpb.MessageType_MsgSnap:
				p.q.node.ReportSnapshot(p.id, raft.SnapshotFinish)
			}
		case <-p.q.ctx.Done():
			p.http.CloseIdleConnections()
			return
		}
	}
}

func (p *peer) post(m *raftpb.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(p.q.ctx, http.MethodPost, "http://"+p.addr+Path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("X-Fleet", p.q.cfg.Fleet)
	resp, err := p.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("keeper %d: %s", p.id, bytes.TrimSpace(answer))
	}
	return nil
}

// Quiet is raft's logger: what staff should know of, the quorum says itself.
type Quiet struct{}

func (Quiet) Debug(...any)            {}
func (Quiet) Debugf(string, ...any)   {}
func (Quiet) Error(...any)            {}
func (Quiet) Errorf(string, ...any)   {}
func (Quiet) Info(...any)             {}
func (Quiet) Infof(string, ...any)    {}
func (Quiet) Warning(...any)          {}
func (Quiet) Warningf(string, ...any) {}
func (Quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (Quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (Quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (Quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
