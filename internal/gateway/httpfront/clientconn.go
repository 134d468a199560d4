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

const (
	// firstRequestTimeout is how long a connection's first request may take to arrive whole: the protocol owes a client
	// an answer or a close within 3 s of connecting.
	firstRequestTimeout = 2400 * time.Millisecond
	// bodyReadTimeout is how long the body of a later request may take: a slow line is no fault of its client.
	bodyReadTimeout = 10 * time.Second
)

// clientConn is one client's connection. The HTTP server reads from it on one goroutine at a time.
type clientConn struct {
	*net.TCPConn // embedded by type: the server wants its CloseWrite
	limiter      *ConnLimiter
	readAhead    *readAheadBuffer // nil: the client has sent nothing beside a request that is under way

	// Under limiter.mu.
	idleSince     time.Time // accepted, or last answered
	served        bool      // it has brought a whole request: an active client
	unanswered    int       // requests that were read whole and not answered
	framing       requestFraming
	closing       bool   // closed here: nothing that comes from now on is served
	clientClosed  bool   // closed by the client, or broken
	cancelRequest func() // ends the request that is under way; nil: none is
}

// hasRequest reports whether a request is under way. The caller holds limiter.mu.
func (c *clientConn) hasRequest() bool { return c.unanswered > 0 }

// idle reports whether no byte of a request is unanswered. The caller holds limiter.mu.
func (c *clientConn) idle() bool { return c.unanswered == 0 && !c.framing.inRequest }

// hasUnreadBytes reports whether bytes wait in the kernel: a request may be among them.
func (c *clientConn) hasUnreadBytes() (unread bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) { // not raw.Read: the server's reader holds that lock
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = err == nil && n > 0
	})
	return unread
}

// Read gives the server what the client sent. The server itself reads no further than the request that is under way, and
// would not notice that the client leaves: once more has come, a goroutine reads ahead.
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

// receive reads from the socket. beside says that the bytes came while a request is under way.
func (c *clientConn) receive(p []byte) (n int, beside bool, err error) {
	n, err = c.TCPConn.Read(p)
	if c.limiter.onRead != nil {
		c.limiter.onRead()
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.closing {
		return 0, false, io.EOF // the end was sent to the client before these bytes were counted
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

// Close closes the connection gracefully: the end is sent to the client, and what it had sent by then is read away and not
// served. The client sends such a request again on another connection.
func (c *clientConn) Close() error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if !c.closing {
		c.limiter.closeConn(c)
	}
	return nil
}

// clientLeft ends the request that is under way, because its client has closed the connection.
func (c *clientConn) clientLeft() {
	c.limiter.mu.Lock()
	c.clientClosed = true
	cancel := c.cancelRequest
	c.limiter.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// requestRead notes that a handler has read a request whole. The framing of one in chunks does not show that.
func (c *clientConn) requestRead() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.served = true
	c.unanswered = max(c.unanswered, 1)
}

// framingFault returns what is wrong with the framing so far, empty for nothing, and by when the request is to be read.
func (c *clientConn) framingFault() (fault string, readBy time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.served {
		return c.framing.fault, time.Now().Add(bodyReadTimeout)
	}
	return c.framing.fault, c.idleSince.Add(firstRequestTimeout)
}

// ClientContext returns a context for a request that ends when its client leaves, also behind further bytes that the
// client had sent. stop frees what it holds.
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

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
