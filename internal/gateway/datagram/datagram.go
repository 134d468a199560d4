// Package datagram carries the dispatchers' messages to each other, where the platform allows that: the UDP socket that
// they come to, the addresses that reach the others, and the other process of the same dispatcher in a hot restart, since
// a datagram reaches one of the two sockets only.
//
// It reads no message and answers none; package gossip has their form. It never blocks the sender: what can't be sent at
// once is lost, as datagrams are.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"yardflow/coordination/gossip"
)

const (
	// maxQueuedMessages is how many messages may wait to be sent. Those beyond it are dropped: the next one says as much.
	maxQueuedMessages = 16
	// readRetryPause is the pause after an error of a read, such as an ICMP message that nobody listens at a peer.
	readRetryPause = 10 * time.Millisecond
)

// Conn is the way to the other dispatchers. Open starts its two goroutines, and Close ends them.
type Conn struct {
	socket       *net.UDPConn
	destinations []netip.AddrPort
	senders      map[netip.AddrPort]bool // that messages are received from; empty: from any
	receive      func(msg []byte)
	forward      func(msg []byte)
	queue        chan []byte
	done         chan struct{}
	closeOnce    sync.Once
}

// Open listens at an address and sends to all, or to each of peers where all is empty. receive gets each message that
// comes from one of peers; forward gets those, and those that are sent, for another process of this dispatcher. Addresses
// are host:port; the error names the setting with the one that can't be used.
func Open(listen, all string, peers []string, receive, forward func(msg []byte)) (*Conn, error) {
	c := &Conn{receive: receive, forward: forward, senders: map[netip.AddrPort]bool{},
		queue: make(chan []byte, maxQueuedMessages), done: make(chan struct{})}
	if err := c.setPeers(all, peers); err != nil {
		return nil, err
	}
	// The process that takes over in a hot restart listens at the same address.
	reusePort := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { // fails for a closed socket only
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return err
	}}
	socket, err := reusePort.ListenPacket(context.Background(), "udp4", listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	c.socket = socket.(*net.UDPConn)
	go c.readLoop()
	go c.writeLoop()
	return c, nil
}

// setPeers reads the addresses to receive from and to send to.
func (c *Conn) setPeers(all string, peers []string) error {
	for _, peer := range peers {
		addr, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		c.senders[addr] = true
		if all == "" {
			c.destinations = append(c.destinations, addr)
		}
	}
	if all != "" {
		addr, err := netip.ParseAddrPort(all)
		if err != nil {
			return fmt.Errorf("peers_all: %w", err)
		}
		c.destinations = append(c.destinations, addr)
	}
	return nil
}

// Addr returns the address that datagrams come to.
func (c *Conn) Addr() net.Addr { return c.socket.LocalAddr() }

// Broadcast sends a message to all other dispatchers. It never blocks.
func (c *Conn) Broadcast(msg []byte) {
	select {
	case c.queue <- msg:
	default:
	}
}

// Close ends both directions.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { close(c.done) })
	return c.socket.Close()
}

// writeLoop ends with Close.
func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case msg := <-c.queue:
			for _, to := range c.destinations {
				_, _ = c.socket.WriteToUDPAddrPort(msg, to) // one that is lost is made up for by the next
			}
			c.forward(msg)
		}
	}
}

// readLoop ends when the socket is closed.
func (c *Conn) readLoop() {
	buf := make([]byte, gossip.MaxMessageBytes+1) // a message that fills it is too long
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readRetryPause)
			continue
		}
		if n > gossip.MaxMessageBytes || !c.accepts(from) {
			continue
		}
		msg := append([]byte(nil), buf[:n]...)
		c.receive(msg)
		c.forward(msg)
	}
}

// accepts reports whether messages of a sender are received.
func (c *Conn) accepts(from netip.AddrPort) bool {
	return len(c.senders) == 0 || c.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
}
