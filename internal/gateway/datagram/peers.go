// Package datagram carries datagrams between dispatchers, where the platform allows them: the
// socket they come to, the address that reaches all others, and the other process of the
// same dispatcher in an upgrade, since a datagram reaches one of the two sockets only.
//
// It reads no message and answers none; package gossip has their form. It must never keep
// the sender waiting: what can't go out at once is lost, as datagrams are.
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

// maxQueuedMessages is how many messages may wait to be sent.
const maxQueuedMessages = 16

// Conn is the way to the other dispatchers.
type Conn struct {
	conn         *net.UDPConn
	destinations []netip.AddrPort
	senders      map[netip.AddrPort]bool // empty: from anywhere
	receive      func(msg []byte)
	forward      func(msg []byte)
	queue        chan []byte
	done         chan struct{}
	closeOnce    sync.Once
}

// Open listens at listen and sends to all, or to each of peers where all is empty. hear is
// given each message that comes from one of peers; beside is given those, and those told,
// for another process of this dispatcher. Addresses are host:port; the error names the one
// that can't be used.
func Open(listen, all string, peers []string, hear, beside func(msg []byte)) (*Conn, error) {
	l := &Conn{receive: hear, forward: beside, senders: map[netip.AddrPort]bool{}, queue: make(chan []byte, maxQueuedMessages), done: make(chan struct{})}
	for _, p := range peers {
		at, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		l.senders[at] = true
		if all == "" {
			l.destinations = append(l.destinations, at)
		}
	}
	if all != "" {
		at, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		l.destinations = append(l.destinations, at)
	}
	// The process that takes over in an upgrade listens at the same address.
	shared := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return err
	}}
	conn, err := shared.ListenPacket(context.Background(), "udp4", listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	l.conn = conn.(*net.UDPConn)
	go l.readLoop()
	go l.writeLoop()
	return l, nil
}

// Addr is where datagrams come.
func (l *Conn) Addr() net.Addr { return l.conn.LocalAddr() }

// Broadcast sends a message to all others. It waits for nobody.
func (l *Conn) Broadcast(msg []byte) {
	select {
	case l.queue <- msg:
	default:
	}
}

// Close ends both ways.
func (l *Conn) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.conn.Close()
}

func (l *Conn) writeLoop() {
	for {
		select {
		case <-l.done:
			return
		case msg := <-l.queue:
			for _, to := range l.destinations {
				l.conn.WriteToUDPAddrPort(msg, to) // lost: the next one says as much
			}
			l.forward(msg)
		}
	}
}

func (l *Conn) readLoop() {
	buf := make([]byte, gossip.MaxMessageBytes+1) // one that is longer shows by that
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond) // such as word that nobody listens at the other end
			continue
		}
		if n > gossip.MaxMessageBytes || len(l.senders) > 0 && !l.senders[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			continue
		}
		msg := append([]byte(nil), buf[:n]...)
		l.receive(msg)
		l.forward(msg)
	}
}
