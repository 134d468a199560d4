package server

import (
	"sync/atomic"
	"time"

	"yardflow/coordination/frame"
	"yardflow/internal/control/protocol"
)

// Spans of heartbeats.
const (
	// heartbeatLate is how old the engine's last heartbeat is when another goroutine repeats it.
	heartbeatLate = tickEvery * 3 / 2
	// heartbeatMost is how long heartbeats go on without the engine: longer than it takes to apply a log
	// that was fetched, short enough that an engine that is stuck counts as silent.
	heartbeatMost = 2 * time.Second
)

// heartbeat is what the engine last told its peers and dispatchers.
type heartbeat struct {
	at          time.Duration
	ping        []byte
	peers       []sender
	dispatchers []sender
}

// sender is a connection to which heartbeats go.
type sender interface{ Send(message []byte) bool }

// heartbeats repeats the engine's last heartbeat while the engine is busy with a long piece of work, such as
// a snapshot or a log that was fetched: a member at work isn't taken for one that is gone.
type heartbeats struct {
	last  atomic.Pointer[heartbeat]
	empty []byte // for dispatchers
}

func newHeartbeats() *heartbeats {
	return &heartbeats{empty: protocol.Encode(protocol.ControlMessage{})}
}

// repeat sends the last heartbeat again where the next one is late, and reports whether it did.
func (h *heartbeats) repeat(now time.Duration) bool {
	last := h.last.Load()
	if last == nil || now-last.at < heartbeatLate || now-last.at > heartbeatMost {
		return false
	}
	for _, peer := range last.peers {
		peer.Send(last.ping)
	}
	for _, dispatcher := range last.dispatchers {
		dispatcher.Send(h.empty)
	}
	return true
}

// run repeats late heartbeats until the server has ended.
func (h *heartbeats) run(now func() time.Duration, ended <-chan struct{}) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.repeat(now())
		case <-ended:
			return
		}
	}
}

// beat sends a heartbeat to all peers, and keeps it for the time that the engine is busy.
func (s *Server) beat() {
	next := &heartbeat{at: s.now(), ping: protocol.Encode(s.ping())}
	s.peers.broadcast(next.ping)
	for _, other := range s.peers.byAddress {
		if other.conn != nil {
			next.peers = append(next.peers, other.conn)
		}
	}
	for d := range s.dispatchers {
		if d.session != 0 && !d.snapshot {
			next.dispatchers = append(next.dispatchers, d.conn)
		}
	}
	s.heartbeats.last.Store(next)
}

var _ sender = (*frame.Conn)(nil)
