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
	heard, beside := make(chan string, 100), make(chan string, 100)
	l, err := Open(listen, "", peers, func(m []byte) { heard <- string(m) }, func(m []byte) { beside <- string(m) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l, heard, beside
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

// Datagrams of a peer's are heard, whole ones of at most 256 bytes; a stranger's are not.
// The other process of the dispatcher is handed what is heard and what is told.
func TestDatagramsOfPeersAreReceived(t *testing.T) {
	free := func() string { // two addresses that know of each other before either is open
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		return c.LocalAddr().String()
	}
	a, b := free(), free()
	one, _, toldBeside := open(t, a, []string{b})
	_, heard, heardBeside := open(t, b, []string{a})
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
	next(t, heard, "hello")
	next(t, heardBeside, "hello")
	next(t, toldBeside, strings.Repeat("x", 257))
	next(t, toldBeside, "hello")
}

// The process that takes over listens at the same address, while the one before still does
// and after it has gone.
func TestBothProcessesOfHotRestartListen(t *testing.T) {
	before, heard, _ := open(t, "127.0.0.1:0", nil)
	_, after, _ := open(t, before.Addr().String(), nil)
	sender, err := net.Dial("udp4", before.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	sender.Write([]byte("to either"))
	select {
	case <-heard:
	case <-after:
	case <-time.After(patience):
		t.Fatal("neither hears")
	}
	before.Close()
	sender.Write([]byte("to the second"))
	next(t, after, "to the second")
}

// What can't go out waits for nobody.
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
