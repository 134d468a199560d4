package platform

// This file holds one client's connection as the HTTP server sees it.

import (
	"context"
	"net"
	"syscall"
	"time"
)

// conn is one client's connection.
type conn struct {
	*net.TCPConn // embedded by type: the server wants its CloseWrite
	g            *Guard

	// Under g.mu.
	since  time.Time // accepted, or last answered
	served bool      // a session was taken here: a client at work
	whole  int       // requests read whole and not answered
	frame  framing
}

func (c *conn) out() bool  { return c.whole > 0 }
func (c *conn) idle() bool { return c.whole == 0 && !c.frame.within }

// unread tells whether bytes wait in the kernel: a request may be among them.
func (c *conn) unread() (yes bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { // not Read: the server's reader holds that lock
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		yes = err == nil && n > 0
	})
	return yes
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.g.mu.Lock()
		c.whole += c.frame.read(p[:n])
		c.g.mu.Unlock()
	}
	return n, err
}

func (c *conn) Close() error {
	c.g.mu.Lock()
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.TCPConn.Close()
}

// took notes that a session was read whole; of one in chunks only its reader knows.
func (c *conn) took() {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	c.served = true
	c.whole = max(c.whole, 1)
}

// fault tells what is wrong with the framing so far, and how long a body may take.
func (c *conn) fault() (string, time.Time) {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.served {
		return c.frame.fault, time.Now().Add(readWithin)
	}
	return c.frame.fault, c.since.Add(firstWithin)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
