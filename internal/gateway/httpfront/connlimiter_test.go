package httpfront

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The bytes of a new client stay unread for 20 waits, as on a machine whose processors others hold: the connection of an
// active client is not the one that is evicted.
func TestLateReaderDoesNotEvictActiveClient(t *testing.T) {
	limiter := NewConnLimiter(2)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := &Listener{TCPListener: tcp, limiter: limiter, closed: make(chan struct{})}
	t.Cleanup(func() { _ = tcp.Close() })
	connect := func(bytes string) *clientConn {
		client, err := net.Dial("tcp", tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { client.Close() })
		if _, err := io.WriteString(client, bytes); err != nil {
			t.Fatal(err)
		}
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return accepted.(*clientConn)
	}
	active := connect("")
	active.requestRead()
	limiter.onConnState(active, http.StateIdle) // its request was answered
	newcomer := connect("POST /issue-loan HTTP/1.1\r\nX-")
	for limit := time.Now().Add(10 * time.Second); !newcomer.hasUnreadBytes(); {
		if time.Now().After(limit) {
			t.Fatal("the new client's bytes never came")
		}
	}
	waits := 0
	limiter.onReaderWait = func() {
		if waits++; waits == 20 {
			_, _ = newcomer.Read(make([]byte, 64)) // half a request: its error is not the subject
		}
	}
	connect("")
	if active.closing {
		t.Error("the active client was evicted for a newcomer")
	}
	if !newcomer.closing {
		t.Error("the new client with half a request stayed")
	}
}
