package server

import (
	"testing"
	"time"
)

// countingSender counts the messages sent on it.
type countingSender int

func (s *countingSender) Send([]byte) bool { *s++; return true }

// TestOverdueHeartbeatsAreRepeated checks that a busy engine's heartbeat is repeated once the next one is overdue, and no
// longer than maxHeartbeatAge.
func TestOverdueHeartbeatsAreRepeated(t *testing.T) {
	var peer, dispatcher countingSender
	repeater := newHeartbeatRepeater()
	if repeater.repeatIfOverdue(time.Second) {
		t.Error("a heartbeat is repeated before the first one was sent")
	}
	repeater.last.Store(&sentHeartbeat{sentAt: time.Second, peerMessage: []byte("heartbeat"),
		peers: []sender{&peer}, dispatchers: []sender{&dispatcher}})
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{tickInterval, false}, {heartbeatOverdue, true}, {450 * time.Millisecond, true},
		{maxHeartbeatAge, true}, {maxHeartbeatAge + 1, false}} {
		before := peer
		if got := repeater.repeatIfOverdue(time.Second + step.after); got != step.want ||
			(peer > before) != step.want || peer != dispatcher {
			t.Errorf("after %v: repeated %v; total messages: %d to the peer, %d to the dispatcher",
				step.after, got, peer, dispatcher)
		}
	}
}
