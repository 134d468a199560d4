package consensus

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// progressQueryTimeout bounds how long a start waits for the peers' answers about this member's log. A peer that is
// slower is taken to know nothing, so that members which start together do not wait for each other.
const progressQueryTimeout = 400 * time.Millisecond

// maxProgressAnswerBytes bounds an answer to a progress query: two decimal numbers.
const maxProgressAnswerBytes = 64

// logPosition is how far a member's log reaches: the term that it was in, and the latest entry that it said it has.
// Within a term a member's log never shrinks by what it has acknowledged.
type logPosition struct{ term, index uint64 }

func (p logPosition) before(o logPosition) bool {
	return p.term < o.term || p.term == o.term && p.index < o.index
}

// acknowledgedPosition returns how far its sender's log reaches by a message, which raft sends only after it has
// stored what the message acknowledges; false: the message says nothing of that.
func acknowledgedPosition(m *raftpb.Message) (logPosition, bool) {
	position := logPosition{term: m.GetTerm()}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp:
		position.index = m.GetIndex() + uint64(len(m.GetEntries()))
	case raftpb.MessageType_MsgAppResp:
		if !m.GetReject() {
			position.index = m.GetIndex()
		}
	case raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgHeartbeatResp, raftpb.MessageType_MsgVote, raftpb.MessageType_MsgVoteResp:
	default: // other messages may carry terms that their sender has not entered, as those of a pre-vote do
		return logPosition{}, false
	}
	return position, true
}

// recordProgress notes that a member is alive, and how far its log reaches by its message.
func (n *Node) recordProgress(m *raftpb.Message) {
	position, ok := acknowledgedPosition(m)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observeSilence(m.GetFrom(), time.Now())
	if ok && n.progress[m.GetFrom()].before(position) {
		n.progress[m.GetFrom()] = position
	}
}

// observeSilence notes that a member is heard now. Where that is the leader, or the last one, which may have been taken for
// dead while it was only held up, its silence counts as a delay unless it was as long as a restart. The caller holds mu.
func (n *Node) observeSilence(id uint64, now time.Time) {
	heard, known := n.lastHeard[id]
	n.lastHeard[id] = now
	silence := now.Sub(heard) - n.cfg.TickInterval
	if known && id == n.lastLeader && silence < maxSlowdown*electionIntervals*n.cfg.TickInterval {
		n.pace.observe(now, silence)
	}
}

// checkOutdated asks the peers how far this member's log reached as they know it. A folder that ends before that is an
// older copy: a node that started from it would take back what it has acknowledged, and votes that it has cast. A peer
// that does not answer knows nothing, so the check finds an older copy only while a peer runs that knows better.
func (n *Node) checkOutdated() error {
	hardState, _, _ := n.store.memory.InitialState() // a memory store returns no errors here
	last, _ := n.store.memory.LastIndex()
	own := logPosition{hardState.GetTerm(), last}
	ctx, cancel := context.WithTimeout(n.ctx, progressQueryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex // guards outdated
	var outdated error
	for id, addr := range n.peerAddresses() {
		wg.Go(func() {
			if known, ok := n.queryProgress(ctx, addr); ok && own.before(known) {
				mu.Lock()
				defer mu.Unlock()
				outdated = fmt.Errorf("%w: it ends with entry %d in term %d, and member %d has had entry %d in term %d of it", ErrOutdatedCopy, own.index, own.term, id, known.index, known.term)
			}
		})
	}
	wg.Wait()
	return outdated
}

// queryProgress asks one peer how far this member's log reached; false: it does not say.
func (n *Node) queryProgress(ctx context.Context, addr string) (position logPosition, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?of=%d", addr, PeerPath, n.cfg.MemberID), nil)
	if err != nil {
		return position, false
	}
	n.setHeaders(request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return position, false
	}
	defer response.Body.Close()
	read, _ := fmt.Fscan(io.LimitReader(response.Body, maxProgressAnswerBytes), &position.term, &position.index)
	return position, response.StatusCode == http.StatusOK && read == 2
}
