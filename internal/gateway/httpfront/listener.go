package httpfront

// This file accepts clients' connections, within the guard's budget.

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// tooManyResponse is the rejection of a connection that is past the budget and its overflow.
const tooManyResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

const (
	rejectWriteTimeout = 100 * time.Millisecond
	// acceptTimeout is how long a close waits for the goroutine in Accept, which a busy machine
	// may keep from running.
	acceptTimeout = time.Second
)

// Listen wraps a listener of this machine's, which must be a TCP listener.
func (g *ConnLimiter) Listen(l net.Listener) *Listener {
	return &Listener{TCPListener: l.(*net.TCPListener), limiter: g, closed: make(chan struct{})}
}

// Listener accepts clients' connections within a guard's budget.
type Listener struct {
	*net.TCPListener
	limiter *ConnLimiter
	closing atomic.Bool
	once    sync.Once
	closed  chan struct{} // closed once the socket is
}

// Accept takes the next connection and makes room for it. Accepting never
// stops: what the kernel has accepted counts as taken.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		closing := l.closing.Load()
		if closing { // what waits now is taken, however late this goroutine comes to it
			l.SetDeadline(time.Now().Add(backlogTimeout))
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
		tcp.SetWriteDeadline(time.Now().Add(rejectWriteTimeout)) // the socket is new: this never waits
		io.WriteString(tcp, tooManyResponse)
		c.Close()
	}
}

// Close stops listening once the connections that the kernel has accepted are taken: closed
// over them, the socket would reset each, and requests may have been written to them. The
// goroutine in Accept does it, within backlogTimeout of the last one.
func (l *Listener) Close() error {
	if !l.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	l.SetDeadline(time.Now().Add(backlogTimeout))
	select {
	case <-l.closed:
	case <-time.After(acceptTimeout):
		l.closeSocket()
	}
	return nil
}

// CloseNow stops listening at once, on a socket that another process listens on too: what the kernel
// has accepted waits for that one.
func (l *Listener) CloseNow() error {
	if !l.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	l.closeSocket()
	return nil
}

func (l *Listener) closeSocket() error {
	l.once.Do(func() {
		l.TCPListener.Close()
		close(l.closed)
	})
	return net.ErrClosed
}
