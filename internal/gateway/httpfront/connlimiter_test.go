package httpfront

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A stranger's bytes stay unread for 20 turns, as on a machine whose processors others hold:
// the connection of a client at work is not the one that makes room.
func TestLateReaderDoesNotEvictActiveClient(t *testing.T) {
	guard := NewConnLimiter(2)
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	listener := &Listener{TCPListener: tcp, limiter: guard, closed: make(chan struct{})}
	t.Cleanup(func() { tcp.Close() })
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
	atWork := connect("")
	atWork.requestRead()
	guard.onConnState(atWork, http.StateIdle) // its request was answered
	stranger := connect("POST /issue-loan HTTP/1.1\r\nX-")
	for limit := time.Now().Add(10 * time.Second); !stranger.hasUnreadBytes(); {
		if time.Now().After(limit) {
			t.Fatal("the stranger's bytes never came")
		}
	}
	turns := 0
	guard.onReaderWait = func() {
		if turns++; turns == 20 {
			stranger.Read(make([]byte, 64))
		}
	}
	connect("")
	if atWork.closing {
		t.Error("the client at work made room for a newcomer")
	}
	if !stranger.closing {
		t.Error("the stranger with half a request stayed")
	}
}
