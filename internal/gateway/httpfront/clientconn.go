package httpfront

// This file holds one client's connection as the HTTP server sees it.

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// conn is one client's connection. The HTTP server reads from it on one goroutine at a time.
type conn struct {
	*net.TCPConn // embedded by type: the server wants its CloseWrite
	g            *ConnLimiter
	ahead        *readAhead // nil: the client has sent nothing beside a request that is out

	// Under g.mu.
	since  time.Time // accepted, or last answered
	served bool      // a request was taken here: a client at work
	whole  int       // requests read whole and not answered
	frame  framing
	ending bool   // ended here: nothing that comes from now on is served
	eof    bool   // ended by the client, or broken
	leave  func() // ends the request that is out; nil: none is
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

// Read gives the server what the client sent. Once more than the request that is out has come,
// a goroutine reads ahead, since the server itself reads no further until it has answered, and
// would not notice that the client leaves.
func (c *conn) Read(p []byte) (int, error) {
	if c.ahead != nil {
		if n, err, ok := c.ahead.next(p); ok {
			return n, err
		}
	}
	n, beside, err := c.receive(p)
	if beside {
		c.ahead = startReadAhead(c)
	}
	return n, err
}

// receive reads from the socket. beside tells that the bytes came while a request is out.
func (c *conn) receive(p []byte) (n int, beside bool, err error) {
	n, err = c.TCPConn.Read(p)
	if c.g.onRead != nil {
		c.g.onRead()
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.ending {
		return 0, false, io.EOF // the client was told the end before this was counted
	}
	if err != nil && !isTimeout(err) {
		c.eof = true
	}
	if n > 0 {
		beside = c.whole > 0
		c.whole += c.frame.read(p[:n])
	}
	return n, beside, err
}

// Close ends the connection in order: the client is told the end, and what it had sent by then
// is read away and not served. The client sends such a request again on another connection.
func (c *conn) Close() error {
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if !c.ending {
		c.g.drop(c)
	}
	return nil
}

// gone ends the request that is out: its client has left.
func (c *conn) gone() {
	c.g.mu.Lock()
	c.eof = true
	leave := c.leave
	c.g.mu.Unlock()
	if leave != nil {
		leave()
	}
}

// ClientContext gives a context for a request that ends when its client leaves, also behind
// further bytes that it had sent. Stop frees what it holds.
func ClientContext(r *http.Request) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(r.Context())
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return ctx, cancel
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	if c.eof {
		cancel()
	}
	c.leave = cancel
	return ctx, func() {
		c.g.mu.Lock()
		c.leave = nil
		c.g.mu.Unlock()
		cancel()
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// took notes that a request was read whole; of one in chunks only its reader knows.
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
