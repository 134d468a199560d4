package httpfront

// This file limits clients' connections below the HTTP server: how many there may be, and which one is closed to make
// room for another.

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxOverflow is how many connections past the limit still get their request read and rejected. Beyond it the
	// rejection is sent before any request has come.
	maxOverflow = 6
	// maxReaderWaits is how often, and readerWait how long, an accept waits for the readers of unread bytes; see
	// awaitReaders. On an idle machine the first wait is enough. Where other processes held the processors, a reader was
	// seen to be later than 5 of them.
	maxReaderWaits = 100
	readerWait     = time.Millisecond
)

// ConnLimiter limits the connections of clients. All fronts share one.
type ConnLimiter struct {
	mu        sync.Mutex
	max       int // as many as clients may hold
	conns     map[*clientConn]struct{}
	lingering []*clientConn // closed here and still held, the oldest first

	// For tests, which force an order by them; nil otherwise. onClose runs just before the end of a connection is sent,
	// with mu held; onRead between a read from a socket and its accounting; onReaderWait in place of each readerWait.
	onClose      func(*clientConn)
	onRead       func()
	onReaderWait func()
}

// NewConnLimiter returns a limiter for at most max connections of clients.
func NewConnLimiter(max int) *ConnLimiter {
	return &ConnLimiter{max: max, conns: map[*clientConn]struct{}{}}
}

// Resize sets how many connections clients may hold from now on, and closes idle ones past that.
func (g *ConnLimiter) Resize(max int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.max = max
	for len(g.conns) > g.max && g.evict() {
	}
}

// OverLimit reports whether clients hold more connections than they may.
func (g *ConnLimiter) OverLimit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.max
}

// OpenConnections returns on how many connections requests may still come.
func (g *ConnLimiter) OpenConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// CloseIdleConnections closes every connection that waits for a request, when another process takes over. One whose
// request is already in the kernel stays, which spares its client a retry; one whose request comes at this very moment
// ends as clientConn.Close says.
func (g *ConnLimiter) CloseIdleConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.served && c.idle() && !c.hasUnreadBytes() {
			g.closeConn(c)
		}
	}
}

// wouldEvictActiveClient reports whether the next connection would evict an active client's only because the bytes of
// clients that never had a request are still unread.
func (g *ConnLimiter) wouldEvictActiveClient() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < g.max {
		return false
	}
	unread := false
	for c := range g.conns {
		if c.served || c.hasRequest() {
			continue
		}
		if !c.hasUnreadBytes() {
			return false
		}
		unread = true
	}
	return unread
}

// awaitReaders gives the readers of unread bytes some time where an active client would be evicted for want of it. In a
// flood of connections the newest bytes are not read yet, and a connection with unread bytes is not closed: without the
// wait it would be the idle connections of active clients that make room.
func (g *ConnLimiter) awaitReaders() {
	for range maxReaderWaits {
		if !g.wouldEvictActiveClient() {
			return
		}
		if g.onReaderWait != nil {
			g.onReaderWait()
			continue
		}
		time.Sleep(readerWait)
	}
}

// admit makes room for a connection and counts it; false past the limit and its overflow.
func (g *ConnLimiter) admit(c *clientConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// More than one may have to go: those that were admitted past the limit, while nothing could be evicted for them,
	// must not keep it exceeded for all who come after.
	for len(g.conns) >= g.max && g.evict() {
	}
	if len(g.conns) >= g.max+maxOverflow {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// evictionRank orders connections by what closing them costs, the least first: one that has brought no request yet,
// silent or half-sent; a half-sent one of an active client; an idle one. Hundreds of silent connections must not evict
// the active clients. The caller holds the limiter's mu.
func (c *clientConn) evictionRank() int {
	switch {
	case !c.served:
		return 0
	case !c.idle():
		return 1
	}
	return 2
}

// evict closes the oldest connection of the lowest rank that has no unread bytes; false where there is none. The caller
// holds mu.
func (g *ConnLimiter) evict() bool {
	var candidates []*clientConn
	for c := range g.conns {
		if !c.hasRequest() {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *clientConn) int {
		return cmp.Or(cmp.Compare(a.evictionRank(), b.evictionRank()), a.idleSince.Compare(b.idleSince))
	})
	for _, c := range candidates {
		if !c.hasUnreadBytes() {
			g.closeConn(c)
			return true
		}
	}
	return false
}

// onConnState is the server's ConnState hook: an answered request leaves its connection idle.
func (g *ConnLimiter) onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.unanswered = max(c.unanswered-1, 0)
		c.idleSince = time.Now()
	}
}
