package datagram

import (
	"net"
	"strings"
	"testing"
	"time"
)

const patience = 10 * time.Second

func open(t *testing.T, listen string, peers []string) (*Conn, chan string, chan string) {
	t.Helper()
	received, forwarded := make(chan string, 100), make(chan string, 100)
	l, err := Open(listen, "", peers, func(m []byte) { received <- string(m) }, func(m []byte) { forwarded <- string(m) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, received, forwarded
}

func next(t *testing.T, from chan string, want string) {
	t.Helper()
	select {
	case m := <-from:
		if m != want {
			t.Errorf("got %.20q of %d bytes, want %q", m, len(m), want)
		}
	case <-time.After(patience):
		t.Fatalf("%q does not come", want)
	}
}

// Datagrams of a peer are received, of at most 256 bytes; a stranger's are not. The other process of the dispatcher is
// handed what is received and what is sent.
func TestDatagramsOfPeersAreReceived(t *testing.T) {
	free := func() string { // two addresses that know of each other before either is open
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		return c.LocalAddr().String()
	}
	a, b := free(), free()
	one, _, sentForwarded := open(t, a, []string{b})
	_, received, receivedForwarded := open(t, b, []string{a})
	stranger, err := net.Dial("udp4", b)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	if _, err := stranger.Write([]byte("stranger")); err != nil {
		t.Fatal(err)
	}
	one.Broadcast([]byte(strings.Repeat("x", 257)))
	one.Broadcast([]byte("hello"))
	next(t, received, "hello")
	next(t, receivedForwarded, "hello")
	next(t, sentForwarded, strings.Repeat("x", 257))
	next(t, sentForwarded, "hello")
}

// The process that takes over listens at the same address, while the former one still does and after it has ended.
func TestBothProcessesOfHotRestartListen(t *testing.T) {
	before, received, _ := open(t, "127.0.0.1:0", nil)
	_, after, _ := open(t, before.Addr().String(), nil)
	sender, err := net.Dial("udp4", before.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	send(t, sender, "to either")
	select {
	case <-received:
	case <-after:
	case <-time.After(patience):
		t.Fatal("neither process receives it")
	}
	_ = before.Close()
	send(t, sender, "to the second")
	next(t, after, "to the second")
}

func send(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := to.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// A message that can't be sent blocks nobody.
func TestBroadcastNeverBlocks(t *testing.T) {
	l := &Conn{queue: make(chan []byte, maxQueuedMessages)}
	for range 10 * maxQueuedMessages {
		l.Broadcast([]byte("x"))
	}
}

func TestOpenErrorNamesAddress(t *testing.T) {
	for _, c := range [][3]string{{"nonsense", "127.0.0.1:1", "peer_listen"}, {"127.0.0.1:0", "nonsense", "peers_all"}} {
		if _, err := Open(c[0], c[1], nil, nil, nil); err == nil || !strings.HasPrefix(err.Error(), c[2]+":") {
			t.Errorf("%v: %v", c, err)
		}
	}
}
