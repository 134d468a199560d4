package server

import (
	"testing"
	"time"
)

type sentTo int

func (s *sentTo) Send([]byte) bool { *s++; return true }

// A busy engine's heartbeat is repeated, neither too early nor for longer than it may be stuck.
func TestLateHeartbeatsAreRepeated(t *testing.T) {
	var peer, dispatcher sentTo
	beats := newHeartbeats()
	if beats.repeat(time.Second) {
		t.Error("a heartbeat before the first one")
	}
	beats.last.Store(&heartbeat{at: time.Second, ping: []byte("ping"), peers: []sender{&peer}, dispatchers: []sender{&dispatcher}})
	for _, step := range []struct {
		after time.Duration
		want  bool
	}{{tickEvery, false}, {heartbeatLate, true}, {450 * time.Millisecond, true}, {heartbeatMost, true}, {heartbeatMost + 1, false}} {
		before := peer
		if got := beats.repeat(time.Second + step.after); got != step.want || (peer > before) != step.want || peer != dispatcher {
			t.Errorf("after %v: repeated %v, %d to the peer, %d to the dispatcher", step.after, got, peer, dispatcher)
		}
	}
}
