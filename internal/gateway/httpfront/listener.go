package httpfront

// This file accepts clients' connections, within the connection limiter's limit.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// tooManyResponse is the rejection of a connection past the limit and its overflow.
const tooManyResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

const (
	// backlogTimeout is how long a listener that is being closed waits for further connections that the kernel has
	// accepted and that nobody has taken yet.
	backlogTimeout = 5 * time.Millisecond
	// acceptTimeout is how long a close waits for the goroutine in Accept, which a busy machine may keep from running.
	// Beyond it the socket is closed over whatever waits there.
	acceptTimeout = time.Second
	// rejectWriteTimeout bounds the write of tooManyResponse. The socket is new and its buffer empty: it never waits.
	rejectWriteTimeout = 100 * time.Millisecond
)

// Listen wraps a listener, which must be a *net.TCPListener.
func (g *ConnLimiter) Listen(l net.Listener) *Listener {
	return &Listener{TCPListener: l.(*net.TCPListener), limiter: g, closed: make(chan struct{})}
}

// Listener accepts clients' connections within a connection limiter's limit.
type Listener struct {
	*net.TCPListener
	limiter *ConnLimiter
	closing atomic.Bool
	once    sync.Once
	closed  chan struct{} // closed once the socket is
}

// Accept takes the next connection and makes room for it. Accepting never stops at the limit: a connection that the kernel
// has accepted counts as taken, and gets at least a rejection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		closing := l.closing.Load()
		if closing { // the backlog is taken, however late this goroutine comes to it
			_ = l.SetDeadline(time.Now().Add(backlogTimeout))
		}
		tcp, err := l.AcceptTCP()
		switch {
		case err == nil:
		case closing:
			return nil, l.closeSocket()
		case l.closing.Load():
			continue // it was waiting when the close began
		default:
			return nil, err
		}
		c := &clientConn{TCPConn: tcp, limiter: l.limiter, idleSince: time.Now()}
		l.limiter.awaitReaders()
		if l.limiter.admit(c) {
			return c, nil
		}
		_ = tcp.SetWriteDeadline(time.Now().Add(rejectWriteTimeout))
		io.WriteString(tcp, tooManyResponse)
		_ = c.Close()
	}
}

// Close stops listening once the backlog is taken: closed over connections that the kernel has accepted, the socket would
// reset each of them, and requests may have been written to them. The goroutine in Accept does it, within backlogTimeout
// of the last one.
func (l *Listener) Close() error {
	if !l.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	_ = l.SetDeadline(time.Now().Add(backlogTimeout))
	select {
	case <-l.closed:
	case <-time.After(acceptTimeout):
		_ = l.closeSocket()
	}
	return nil
}

// CloseNow stops listening at once, on a socket that another process listens on too: the backlog is that process's.
func (l *Listener) CloseNow() error {
	if !l.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	_ = l.closeSocket()
	return nil
}

// closeSocket closes the socket and returns net.ErrClosed, which ends the server's loop.
func (l *Listener) closeSocket() error {
	l.once.Do(func() {
		_ = l.TCPListener.Close()
		close(l.closed)
	})
	return net.ErrClosed
}
