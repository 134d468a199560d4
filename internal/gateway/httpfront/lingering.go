package httpfront

// This file closes clients' connections gracefully (a "lingering close"): a close over unread bytes makes the kernel
// send a reset, and an answer that is on its way would be lost with it.

import (
	"slices"
	"time"
)

const (
	// lingerTimeout is how long a connection that was closed here is still read from, for what its client sent before it
	// saw the end. What comes later is answered by a reset.
	lingerTimeout = time.Second
	// maxLingering is how many such connections may be held past the limit of clients' connections; beyond it the oldest
	// is closed at once.
	maxLingering = 2 * maxOverflow
)

// LingeringConnections returns how many connections were closed here and are still read from.
func (g *ConnLimiter) LingeringConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.lingering)
}

// closeConn closes a connection and frees its place; the server finds it closed. What has come on it by now was counted,
// or else is never served: the end is sent to the client first, and then everything up to the client's own end is read
// away. The caller holds mu.
func (g *ConnLimiter) closeConn(c *clientConn) {
	delete(g.conns, c)
	c.closing = true
	if c.clientClosed {
		_ = c.TCPConn.Close()
		return
	}
	if g.onClose != nil {
		g.onClose(c)
	}
	_ = c.CloseWrite()
	g.lingering = append(g.lingering, c)
	for len(g.lingering) > 0 && len(g.conns)+len(g.lingering) > g.max+maxLingering {
		_ = g.lingering[0].TCPConn.Close()
		g.lingering = g.lingering[1:]
	}
	go g.linger(c)
}

// linger reads away what still comes on a connection that was closed here, until its client closes it too or
// lingerTimeout has passed.
func (g *ConnLimiter) linger(c *clientConn) {
	defer time.AfterFunc(lingerTimeout, func() { _ = c.TCPConn.Close() }).Stop()
	var discarded [512]byte
	for {
		_ = c.SetReadDeadline(time.Time{}) // the server may have left one that has passed
		if _, err := c.TCPConn.Read(discarded[:]); err != nil && !isTimeout(err) {
			break
		}
	}
	_ = c.TCPConn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.lingering, c); i >= 0 {
		g.lingering = slices.Delete(g.lingering, i, i+1)
	}
}
