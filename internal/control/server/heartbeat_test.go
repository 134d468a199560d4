package server

import (
	"testing"
	"time"
)

// countingSender counts the messages that it is given.
type countingSender int

func (s *countingSender) Send([]byte) bool { *s++; return true }

// A busy engine's heartbeat is repeated when it is overdue, and for no longer than maxHeartbeatAge.
func TestLateHeartbeatsAreRepeated(t *testing.T) {
	var peer, dispatcher countingSender
	repeater := newHeartbeatRepeater()
	if repeater.repeatIfOverdue(time.Second) {
		t.Error("a heartbeat before the first one")
	}
	repeater.last.Store(&sentHeartbeat{sentAt: time.Second, peerMessage: []byte("heartbeat"),
		peers: []sender{&peer}, dispatchers: []sender{&dispatcher}})
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{tickInterval, false}, {heartbeatOverdue, true}, {450 * time.Millisecond, true}, {maxHeartbeatAge, true}, {maxHeartbeatAge + 1, false}} {
		before := peer
		if got := repeater.repeatIfOverdue(time.Second + step.after); got != step.want || (peer > before) != step.want || peer != dispatcher {
			t.Errorf("after %v: repeated %v, %d to the peer, %d to the dispatcher", step.after, got, peer, dispatcher)
		}
	}
}
