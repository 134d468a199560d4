package server

import (
	"sync/atomic"
	"time"

	"yardflow/coordination/frame"
	"yardflow/coordination/view"
	"yardflow/internal/control/protocol"
)

// Limits of repeated heartbeats.
const (
	// heartbeatOverdue is the age at which the engine's last heartbeat is repeated on the engine's behalf.
	heartbeatOverdue = tickInterval * 3 / 2
	// maxHeartbeatAge is how long a heartbeat is repeated without the engine: longer than it takes to apply the log after
	// a catch-up, and short enough that a stuck engine is detected as failed.
	maxHeartbeatAge = 2 * time.Second
)

// sentHeartbeat is the engine's last heartbeat, with the connections on which it was sent.
type sentHeartbeat struct {
	sentAt      time.Duration
	peerMessage []byte
	peers       []sender
	dispatchers []sender
}

// sender is a connection on which heartbeats are sent.
type sender interface{ Send(message []byte) bool }

var _ sender = (*frame.Conn)(nil)

// heartbeatRepeater repeats the engine's last heartbeat while the engine is busy with a long operation, such as a
// snapshot or a log catch-up, so that peers and dispatchers do not take a busy member for a failed one.
type heartbeatRepeater struct {
	last              atomic.Pointer[sentHeartbeat]
	dispatcherMessage []byte
}

func newHeartbeatRepeater() *heartbeatRepeater {
	return &heartbeatRepeater{dispatcherMessage: protocol.Encode(protocol.ControlMessage{})}
}

// run repeats overdue heartbeats until the server has ended.
func (r *heartbeatRepeater) run(now func() time.Duration, ended <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.repeatIfOverdue(now())
		case <-ended:
			return
		}
	}
}

// repeatIfOverdue sends the last heartbeat again if the next one is overdue and the last one is not older than
// maxHeartbeatAge. It reports whether it did.
func (r *heartbeatRepeater) repeatIfOverdue(now time.Duration) bool {
	last := r.last.Load()
	if last == nil || now-last.sentAt < heartbeatOverdue || now-last.sentAt > maxHeartbeatAge {
		return false
	}
	for _, peer := range last.peers {
		peer.Send(last.peerMessage)
	}
	for _, dispatcher := range last.dispatchers {
		dispatcher.Send(r.dispatcherMessage)
	}
	return true
}

// sendHeartbeat sends a heartbeat to all peers, and stores it for the repeater.
func (s *Server) sendHeartbeat() {
	next := &sentHeartbeat{sentAt: s.now(), peerMessage: protocol.Encode(s.heartbeatMessage())}
	s.peers.broadcast(next.peerMessage)
	for _, other := range s.peers.byAddress {
		if other.conn != nil {
			next.peers = append(next.peers, other.conn)
		}
	}
	for d := range s.dispatchers.attached {
		if d.session != 0 && !d.snapshotDue {
			next.dispatchers = append(next.dispatchers, d.conn)
		}
	}
	s.heartbeats.last.Store(next)
}

// heartbeatMessage returns the heartbeat of this machine for its peers.
func (s *Server) heartbeatMessage() *protocol.PeerMessage {
	m := &s.membership
	return &protocol.PeerMessage{ConnectedSessions: s.dispatchers.sessions(), SupportedRules: s.rules.tracker.Own(), Heartbeat: &view.Heartbeat{
		From: m.self(), Epoch: m.view().Epoch, InitialMember: m.consensus.IsInitialMember(), Unhealthy: s.isUnhealthy(),
		Restarted: m.takesNoPartInView(), LastIndex: s.replica.LastIndex(), HeardFrom: m.detector.HeardFrom(s.now()),
		Leaving: m.leaving, CompleteEpoch: m.consensus.HardState().CompleteEpoch}}
}
