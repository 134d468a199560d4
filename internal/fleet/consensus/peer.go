package consensus

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protodelim"
)

const (
	// peerQueueLength bounds the messages that wait for one peer. Beyond it they are dropped: raft sends again what
	// the peer turns out to miss.
	peerQueueLength = 256
	// peerTimeoutIntervals bounds one call: twice the election time-out, after which raft has sent anew.
	peerTimeoutIntervals = 2 * electionIntervals
	// maxIdlePeerConns are the connections kept open to a peer.
	maxIdlePeerConns = 2
	// maxErrorBytes bounds what is read of a peer's answer, which is empty unless it is an error.
	maxErrorBytes = 512
)

// peerAddresses returns the other members' addresses: as the settings file has them, and else as they were added.
func (n *Node) peerAddresses() map[uint64]string {
	out := map[uint64]string{}
	n.mu.Lock()
	for id, addr := range n.state.Members {
		out[id] = addr
	}
	for id, addr := range n.cfg.InitialMembers {
		if !n.state.RemovedMembers[id] {
			out[id] = addr
		}
	}
	n.mu.Unlock()
	delete(out, n.cfg.MemberID)
	return out
}

// connect starts sending to a member, unless its address is unknown or it is connected already.
func (n *Node) connect(id uint64) {
	if addr := n.peerAddresses()[id]; addr != "" && n.loop.peers[id] == nil {
		n.loop.peers[id] = n.newPeer(id, addr)
	}
}

// disconnect stops sending to a member.
func (n *Node) disconnect(id uint64) {
	if p := n.loop.peers[id]; p != nil {
		p.stop()
		delete(n.loop.peers, id)
	}
}

// connectMembers connects to the members of the membership in force, and disconnects from all others.
func (n *Node) connectMembers() {
	members := slices.Concat(n.loop.confState.GetVoters(), n.loop.confState.GetLearners())
	if len(members) == 0 { // nothing is known yet: an initial member, or one that joins, at its first start
		return
	}
	for id := range n.loop.peers {
		if !slices.Contains(members, id) {
			n.disconnect(id)
		}
	}
	for _, id := range members {
		n.connect(id)
	}
}

// peer sends messages to one other member, in order. Its goroutine (run) ends when stop is called or the node closes.
type peer struct {
	node  *Node
	id    uint64
	addr  string // host:port
	queue chan *raftpb.Message
	http  *http.Client
	ctx   context.Context
	stop  func()
}

func (n *Node) newPeer(id uint64, addr string) *peer {
	p := &peer{node: n, id: id, addr: addr, queue: make(chan *raftpb.Message, peerQueueLength),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePeerConns, DisableCompression: true}, Timeout: peerTimeoutIntervals * n.cfg.TickInterval}}
	p.ctx, p.stop = context.WithCancel(n.ctx)
	go p.run()
	return p
}

// send queues a message, or drops it where the queue is full. It never blocks.
func (p *peer) send(m *raftpb.Message) {
	select {
	case p.queue <- m:
	default:
		p.node.raft.ReportUnreachable(p.id)
		p.reportLost(m)
	}
}

// reportLost tells raft that a message was not delivered, where raft waits to hear it: it sends nothing to a follower
// until the snapshot under way is reported.
func (p *peer) reportLost(m *raftpb.Message) {
	if m.GetType() == raftpb.MessageType_MsgSnap {
		p.node.raft.ReportSnapshot(p.id, raft.SnapshotFailure)
	}
}

// run sends what is queued, all that has come up during a call in the next one.
func (p *peer) run() {
	var batch []*raftpb.Message
	for {
		select {
		case m := <-p.queue:
			batch = p.fillBatch(append(batch[:0], m))
			p.reportSent(batch, p.post(batch))
		case <-p.ctx.Done():
			p.http.CloseIdleConnections()
			return
		}
	}
}

// fillBatch appends what is queued to a batch, up to the length of the queue.
func (p *peer) fillBatch(batch []*raftpb.Message) []*raftpb.Message {
	for len(batch) < cap(p.queue) {
		select {
		case m := <-p.queue:
			batch = append(batch, m)
		default:
			return batch
		}
	}
	return batch
}

// reportSent tells raft what became of a batch; err: why it was not delivered.
func (p *peer) reportSent(batch []*raftpb.Message, err error) {
	if err != nil {
		p.node.raft.ReportUnreachable(p.id)
	}
	for _, m := range batch {
		if err != nil {
			p.reportLost(m)
		} else if m.GetType() == raftpb.MessageType_MsgSnap {
			p.node.raft.ReportSnapshot(p.id, raft.SnapshotFinish)
		}
	}
}

// post sends a batch in one call, each message behind its length.
func (p *peer) post(batch []*raftpb.Message) error {
	var body bytes.Buffer
	for _, m := range batch {
		if _, err := protodelim.MarshalTo(&body, m); err != nil {
			return err
		}
	}
	request, err := http.NewRequestWithContext(p.ctx, http.MethodPost, "http://"+p.addr+PeerPath, &body)
	if err != nil {
		return err
	}
	p.node.setHeaders(request.Header)
	response, err := p.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("member %d: %s", p.id, bytes.TrimSpace(answer))
	}
	return nil
}
