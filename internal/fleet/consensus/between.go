package consensus

// This file owns what keepers say to each other: messages of raft in order, how far each has been
// heard to be, and whose fleet and generation they are. It must never take a stranger's word.

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protodelim"
)

// PeerPath is where keepers call each other.
const PeerPath = "/v1/raft"

// mark is how far a member was: the term it was in, and the last entry that it said it has. In
// one term the log of a keeper only grows, but for what it had not said it has.
type mark struct{ term, index uint64 }

func (m mark) before(o mark) bool { return m.term < o.term || m.term == o.term && m.index < o.index }

// heard notes how far a member is by its message, which it has sent after it had it in its folder.
func (q *Node) heard(m *raftpb.Message) {
	q.mu.Lock()
	q.spoke[m.GetFrom()] = time.Now()
	q.mu.Unlock()
	at := mark{term: m.GetTerm()}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp:
		at.index = m.GetIndex() + uint64(len(m.GetEntries()))
	case raftpb.MessageType_MsgAppResp:
		if !m.GetReject() {
			at.index = m.GetIndex()
		}
	case raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgHeartbeatResp, raftpb.MessageType_MsgVote, raftpb.MessageType_MsgVoteResp:
	default: // others bear terms that nobody is in
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.seen[m.GetFrom()].before(at) {
		q.seen[m.GetFrom()] = at
	}
}

// askOthers asks the other keepers how far this one was, as they know it: a folder that is
// behind that is an older copy, by which it would go back on what it has acknowledged. Who does
// not answer knows nothing.
func (q *Node) askOthers() error {
	hard, _, _ := q.store.mem.InitialState()
	last, _ := q.store.mem.LastIndex()
	own := mark{hard.GetTerm(), last}
	ctx, stop := context.WithTimeout(q.ctx, askWithin)
	defer stop()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var worst error
	for id, addr := range q.addresses() {
		wg.Go(func() {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?of=%d", addr, PeerPath, q.cfg.MemberID), nil)
			if err != nil {
				return
			}
			q.sign(r.Header)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			var at mark
			if n, _ := fmt.Fscan(io.LimitReader(resp.Body, 64), &at.term, &at.index); resp.StatusCode == http.StatusOK && n == 2 && own.before(at) {
				mu.Lock()
				defer mu.Unlock()
				worst = fmt.Errorf("%w: it ends with entry %d in term %d, and keeper %d has had entry %d in term %d of it", ErrOutdatedCopy, own.index, own.term, id, at.index, at.term)
			}
		})
	}
	wg.Wait()
	return worst
}

// askWithin bounds what a start waits for the other keepers.
const askWithin = 400 * time.Millisecond

// addresses are the other members', as the file has them, and else as they were taken in.
func (q *Node) addresses() map[uint64]string {
	out := map[uint64]string{}
	q.mu.Lock()
	for id, addr := range q.state.Members {
		out[id] = addr
	}
	for id, addr := range q.cfg.InitialMembers {
		if !q.state.RemovedMembers[id] {
			out[id] = addr
		}
	}
	q.mu.Unlock()
	delete(out, q.cfg.MemberID)
	return out
}

// meet begins to speak to a member.
func (q *Node) meet(id uint64) {
	if addr := q.addresses()[id]; addr != "" && q.peers[id] == nil {
		q.peers[id] = q.newPeer(id, addr)
	}
}

// leave ends speaking to one.
func (q *Node) leave(id uint64) {
	if p := q.peers[id]; p != nil {
		p.stop()
		delete(q.peers, id)
	}
}

// follow speaks to just those that a snapshot has as members.
func (q *Node) follow() {
	all := slices.Concat(q.conf.GetVoters(), q.conf.GetLearners())
	if len(all) == 0 { // at the start of a first one, or of one that joins
		return
	}
	for id := range q.peers {
		if !slices.Contains(all, id) {
			q.leave(id)
		}
	}
	for _, id := range all {
		q.meet(id)
	}
}

// sign marks a message as one of this fleet's keepers, and of which generation of them.
func (q *Node) sign(h http.Header) {
	h.Set("X-Fleet", q.cfg.Fleet)
	h.Set("X-Generation", strconv.FormatUint(q.store.generation.Load(), 10))
}

// ServeHTTP takes a message of another keeper.
func (q *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if fleet := r.Header.Get("X-Fleet"); fleet != q.cfg.Fleet {
		http.Error(w, fmt.Sprintf("fleet %q; this keeper's is %q", fleet, q.cfg.Fleet), http.StatusForbidden)
		return
	}
	generation, err := strconv.ParseUint(r.Header.Get("X-Generation"), 10, 64)
	if own := q.store.generation.Load(); err == nil && own == 0 {
		err = q.store.belong(generation) // one that joins belongs to whoever takes it in
	} else if generation != own {
		http.Error(w, fmt.Sprintf("generation %d of the keepers; this one is of %d: they were restored from a folder since", generation, own), http.StatusForbidden)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodGet {
		id, _ := strconv.ParseUint(r.FormValue("of"), 10, 64)
		q.mu.Lock()
		at := q.seen[id]
		q.mu.Unlock()
		fmt.Fprintln(w, at.term, at.index)
		return
	}
	in := bufio.NewReader(http.MaxBytesReader(w, r.Body, maxMessage))
	for {
		m := &raftpb.Message{}
		err := protodelim.UnmarshalOptions{MaxSize: maxMessage}.UnmarshalFrom(in, m)
		if err == io.EOF {
			return
		}
		if err == nil && (m.GetTo() != q.cfg.MemberID || raft.IsLocalMsg(m.GetType())) {
			err = fmt.Errorf("a message of kind %v to %d", m.GetType(), m.GetTo())
		}
		if err == nil {
			q.heard(m)
			err = q.node.Step(r.Context(), m)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
}

// peer carries messages to one other keeper, in order, and drops them where they pile up:
// raft sends again.
type peer struct {
	q    *Node
	id   uint64
	addr string
	out  chan *raftpb.Message
	http *http.Client
	ctx  context.Context
	stop func()
}

func (q *Node) newPeer(id uint64, addr string) *peer {
	p := &peer{q: q, id: id, addr: addr, out: make(chan *raftpb.Message, 256),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: 20 * q.cfg.TickInterval}}
	p.ctx, p.stop = context.WithCancel(q.ctx)
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

// run sends what there is, what has come up meanwhile in one call.
func (p *peer) run() {
	var all []*raftpb.Message
	for {
		select {
		case m := <-p.out:
			all = append(all[:0], m)
			for more := true; more && len(all) < cap(p.out); {
				select {
				case m := <-p.out:
					all = append(all, m)
				default:
					more = false
				}
			}
			err := p.post(all)
			if err != nil {
				p.q.node.ReportUnreachable(p.id)
			}
			for _, m := range all {
				if err != nil {
					p.lost(m)
				} else if m.GetType() == raftpb.MessageType_MsgSnap {
					p.q.node.ReportSnapshot(p.id, raft.SnapshotFinish)
				}
			}
		case <-p.ctx.Done():
			p.http.CloseIdleConnections()
			return
		}
	}
}

func (p *peer) post(all []*raftpb.Message) error {
	var text bytes.Buffer
	for _, m := range all {
		if _, err := protodelim.MarshalTo(&text, m); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.addr+PeerPath, &text)
	if err != nil {
		return err
	}
	p.q.sign(r.Header)
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

// DiscardLogger is raft's logger: what staff should know of, the quorum says itself.
type DiscardLogger struct{}

func (DiscardLogger) Debug(...any)            {}
func (DiscardLogger) Debugf(string, ...any)   {}
func (DiscardLogger) Error(...any)            {}
func (DiscardLogger) Errorf(string, ...any)   {}
func (DiscardLogger) Info(...any)             {}
func (DiscardLogger) Infof(string, ...any)    {}
func (DiscardLogger) Warning(...any)          {}
func (DiscardLogger) Warningf(string, ...any) {}
func (DiscardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (DiscardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (DiscardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (DiscardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
