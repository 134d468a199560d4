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

// clientConn is one client's connection. The HTTP server reads from it on one goroutine at a time.
type clientConn struct {
	*net.TCPConn // embedded by type: the server wants its CloseWrite
	limiter      *ConnLimiter
	readAhead    *readAheadBuffer // nil: the client has sent nothing beside a request that is out

	// Under g.mu.
	idleSince     time.Time // accepted, or last answered
	served        bool      // a request was taken here: a client at work
	unanswered    int       // requests read whole and not answered
	framing       requestFraming
	closing       bool   // ended here: nothing that comes from now on is served
	clientClosed  bool   // ended by the client, or broken
	cancelRequest func() // ends the request that is out; nil: none is
}

func (c *clientConn) hasRequest() bool { return c.unanswered > 0 }
func (c *clientConn) idle() bool       { return c.unanswered == 0 && !c.framing.inRequest }

// hasUnreadBytes tells whether bytes wait in the kernel: a request may be among them.
func (c *clientConn) hasUnreadBytes() (yes bool) {
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
func (c *clientConn) Read(p []byte) (int, error) {
	if c.readAhead != nil {
		if n, err, ok := c.readAhead.next(p); ok {
			return n, err
		}
	}
	n, beside, err := c.receive(p)
	if beside {
		c.readAhead = startReadAhead(c)
	}
	return n, err
}

// receive reads from the socket. beside tells that the bytes came while a request is out.
func (c *clientConn) receive(p []byte) (n int, beside bool, err error) {
	n, err = c.TCPConn.Read(p)
	if c.limiter.onRead != nil {
		c.limiter.onRead()
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closing {
		return 0, false, io.EOF // the client was told the end before this was counted
	}
	if err != nil && !isTimeout(err) {
		c.clientClosed = true
	}
	if n > 0 {
		beside = c.unanswered > 0
		c.unanswered += c.framing.read(p[:n])
	}
	return n, beside, err
}

// Close ends the connection in order: the client is told the end, and what it had sent by then
// is read away and not served. The client sends such a request again on another connection.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.closing {
		c.limiter.closeConn(c)
	}
	return nil
}

// clientLeft ends the request that is out: its client has left.
func (c *clientConn) clientLeft() {
	c.limiter.mu.Lock()
	c.clientClosed = true
	leave := c.cancelRequest
	c.limiter.mu.Unlock()
	if leave != nil {
		leave()
	}
}

// ClientContext gives a context for a request that ends when its client leaves, also behind
// further bytes that it had sent. Stop frees what it holds.
func ClientContext(r *http.Request) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancel(r.Context())
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return ctx, cancel
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.clientClosed {
		cancel()
	}
	c.cancelRequest = cancel
	return ctx, func() {
		c.limiter.mu.Lock()
		c.cancelRequest = nil
		c.limiter.mu.Unlock()
		cancel()
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// requestRead notes that a request was read whole; of one in chunks only its reader knows.
func (c *clientConn) requestRead() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.served = true
	c.unanswered = max(c.unanswered, 1)
}

// framingFault tells what is wrong with the framing so far, and how long a body may take.
func (c *clientConn) framingFault() (string, time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.served {
		return c.framing.fault, time.Now().Add(bodyReadTimeout)
	}
	return c.framing.fault, c.idleSince.Add(firstRequestTimeout)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
