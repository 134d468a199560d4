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

// waiting is how many messages may wait to be sent.
const waiting = 16

// Conn is the way to the other dispatchers.
type Conn struct {
	conn   *net.UDPConn
	to     []netip.AddrPort
	from   map[netip.AddrPort]bool // empty: from anywhere
	hear   func(msg []byte)
	beside func(msg []byte)
	out    chan []byte
	done   chan struct{}
	over   sync.Once
}

// Open listens at listen and sends to all, or to each of peers where all is empty. hear is
// given each message that comes from one of peers; beside is given those, and those told,
// for another process of this dispatcher. Addresses are host:port; the error names the one
// that can't be used.
func Open(listen, all string, peers []string, hear, beside func(msg []byte)) (*Conn, error) {
	l := &Conn{hear: hear, beside: beside, from: map[netip.AddrPort]bool{}, out: make(chan []byte, waiting), done: make(chan struct{})}
	for _, p := range peers {
		at, err := netip.ParseAddrPort(p)
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		l.from[at] = true
		if all == "" {
			l.to = append(l.to, at)
		}
	}
	if all != "" {
		at, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		l.to = append(l.to, at)
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
	go l.read()
	go l.write()
	return l, nil
}

// Addr is where datagrams come.
func (l *Conn) Addr() net.Addr { return l.conn.LocalAddr() }

// Broadcast sends a message to all others. It waits for nobody.
func (l *Conn) Broadcast(msg []byte) {
	select {
	case l.out <- msg:
	default:
	}
}

// Close ends both ways.
func (l *Conn) Close() error {
	l.over.Do(func() { close(l.done) })
	return l.conn.Close()
}

func (l *Conn) write() {
	for {
		select {
		case <-l.done:
			return
		case msg := <-l.out:
			for _, to := range l.to {
				l.conn.WriteToUDPAddrPort(msg, to) // lost: the next one says as much
			}
			l.beside(msg)
		}
	}
}

func (l *Conn) read() {
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
		if n > gossip.MaxMessageBytes || len(l.from) > 0 && !l.from[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())] {
			continue
		}
		msg := append([]byte(nil), buf[:n]...)
		l.hear(msg)
		l.beside(msg)
	}
}
