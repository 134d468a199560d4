package server

import (
	"sync/atomic"
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
)

// Spans of heartbeats.
const (
	// heartbeatOverdue is how old the engine's last heartbeat is when another goroutine repeats it.
	heartbeatOverdue = tickInterval * 3 / 2
	// maxHeartbeatAge is how long heartbeats go on without the engine: longer than it takes to apply a log
	// that was fetched, short enough that an engine that is stuck counts as silent.
	maxHeartbeatAge = 2 * time.Second
)

// heartbeat is what the engine last told its peers and dispatchers.
type heartbeat struct {
	sentAt      time.Duration
	peerMessage []byte
	peers       []sender
	dispatchers []sender
}

// sender is a connection to which heartbeats go.
type sender interface{ Send(message []byte) bool }

// heartbeatRepeater repeats the engine's last heartbeat while the engine is busy with a long piece of work, such as
// a snapshot or a log that was fetched: a member at work isn't taken for one that is gone.
type heartbeatRepeater struct {
	last              atomic.Pointer[heartbeat]
	dispatcherMessage []byte // for dispatchers
}

func newHeartbeatRepeater() *heartbeatRepeater {
	return &heartbeatRepeater{dispatcherMessage: protocol.Encode(protocol.ControlMessage{})}
}

// repeatIfOverdue sends the last heartbeat again where the next one is late, and reports whether it did.
func (h *heartbeatRepeater) repeatIfOverdue(now time.Duration) bool {
	last := h.last.Load()
	if last == nil || now-last.sentAt < heartbeatOverdue || now-last.sentAt > maxHeartbeatAge {
		return false
	}
	for _, peer := range last.peers {
		peer.Send(last.peerMessage)
	}
	for _, dispatcher := range last.dispatchers {
		dispatcher.Send(h.dispatcherMessage)
	}
	return true
}

// run repeats late heartbeats until the server has ended.
func (h *heartbeatRepeater) run(now func() time.Duration, ended <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.repeatIfOverdue(now())
		case <-ended:
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to all peers, and keeps it for the time that the engine is busy.
func (s *Server) sendHeartbeat() {
	next := &heartbeat{sentAt: s.now(), peerMessage: protocol.Encode(s.heartbeatMessage())}
	s.peers.broadcast(next.peerMessage)
	for _, other := range s.peers.byAddress {
		if other.conn != nil {
			next.peers = append(next.peers, other.conn)
		}
	}
	for d := range s.dispatchers {
		if d.session != 0 && !d.snapshotDue {
			next.dispatchers = append(next.dispatchers, d.conn)
		}
	}
	s.heartbeats.last.Store(next)
}

var _ sender = (*frame.Conn)(nil)
