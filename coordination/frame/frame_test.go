package frame

import (
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// serve starts a server that upgrades every request and sends the connection on the channel.
func serve(t *testing.T) (address string, conns <-chan *Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan *Conn, 4)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := Upgrade(w, r); err == nil {
			accepted <- conn
		}
	})}
	serveUntilCleanup(t, server, listener)
	return listener.Addr().String(), accepted
}

// serveUntilCleanup runs the server until the test ends, and fails the test if the server ends for another reason.
func serveUntilCleanup(t *testing.T, server *http.Server, listener net.Listener) {
	t.Helper()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}

func dial(t *testing.T, address string) *Conn {
	t.Helper()
	conn, err := Dial(TCP{}, address, "/x", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.Close)
	return conn
}

func TestMessagesGoBothWaysInOrder(t *testing.T) {
	address, conns := serve(t)
	client := dial(t, address)
	server := <-conns
	t.Cleanup(server.Close)
	large := strings.Repeat("x", 1<<20)
	var sending sync.WaitGroup
	for _, side := range []*Conn{client, server} {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for _, message := range []string{"a", "", large, "b"} {
				side.Send([]byte(message))
			}
		}()
	}
	for _, side := range []*Conn{client, server} {
		for _, want := range []string{"a", "", large, "b"} {
			got, err := side.Receive(5 * time.Second)
			if err != nil || string(got) != want {
				t.Fatalf("received %d bytes and error %v, want %d bytes", len(got), err, len(want))
			}
		}
	}
	sending.Wait()
}

func TestClosedConnectionIsNoticed(t *testing.T) {
	address, conns := serve(t)
	client := dial(t, address)
	server := <-conns
	server.Close()
	if _, err := client.Receive(5 * time.Second); err == nil {
		t.Error("received a message from a closed connection")
	}
	client.Close()
	client.Close()
	if client.Send([]byte("x")) {
		t.Error("sent on a closed connection")
	}
}

func TestReceiveFailsOnSilence(t *testing.T) {
	address, conns := serve(t)
	client := dial(t, address)
	t.Cleanup((<-conns).Close)
	if _, err := client.Receive(time.Millisecond); err == nil {
		t.Error("received a message from a silent peer")
	}
}

func TestDialFailsWithoutUpgrade(t *testing.T) {
	address, _ := serve(t)
	response, err := http.Post("http://"+address+"/x", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusUpgradeRequired {
		t.Errorf("a request without an upgrade is answered with %s", response.Status)
	}
	plain := &http.Server{Handler: http.NotFoundHandler()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serveUntilCleanup(t, plain, listener)
	var refused *UpgradeRefusedError
	if _, err := Dial(TCP{}, listener.Addr().String(), "/x", time.Second); !errors.As(err, &refused) {
		t.Errorf("a server that does not upgrade: error %v, want an UpgradeRefusedError", err)
	}
}

func TestTooLongMessageIsRefused(t *testing.T) {
	address, conns := serve(t)
	client := dial(t, address)
	server := <-conns
	t.Cleanup(server.Close)
	if _, err := client.raw.Write([]byte{0xff, 0xff, 0xff, 0xff}); err != nil {
		t.Fatal(err)
	}
	var tooLong *MessageTooLongError
	if _, err := server.Receive(5 * time.Second); !errors.As(err, &tooLong) {
		t.Errorf("announced message of 4 GB: error %v, want a MessageTooLongError", err)
	}
}
