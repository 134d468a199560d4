package httpfront

// This file holds the budget of clients' connections below the HTTP server: how many
// there may be, and which one is closed to make room for another.

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// A client is owed an answer or a close within 3 s of connecting, so its first
	// request has this long to arrive whole. One that was served before may take
	// bodyReadTimeout for a body: slow lines are no fault.
	firstRequestTimeout = 2400 * time.Millisecond
	bodyReadTimeout     = 10 * time.Second
	// maxOverflow is how many connections past the budget still get their request
	// read and rejected; beyond it the rejection goes out unasked.
	maxOverflow = 6
	// lingerTimeout is how long a connection that was closed here stays readable, for
	// what its client sent before it saw the end: see conn.Close. maxLingering is how many
	// such connections may be held past the budget; beyond it the oldest is let go.
	lingerTimeout = time.Second
	maxLingering  = 2 * maxOverflow
	// backlogTimeout is how long a listener that is being closed looks for connections that
	// the kernel has accepted and nobody has taken yet.
	backlogTimeout = 5 * time.Millisecond
	// maxReaderWaits is how often, and readerWait how long, an accept waits for the readers of
	// unread bytes: see awaitReaders. On an idle machine the first turn is enough; where other
	// processes hold the processors a reader was seen to be later than 5 turns.
	maxReaderWaits = 100
	readerWait     = time.Millisecond
)

// ConnLimiter keeps the budget of sockets that all fronts share.
type ConnLimiter struct {
	mu        sync.Mutex
	max       int // as many as clients may hold
	conns     map[*clientConn]struct{}
	lingering []*clientConn // closed here and still held, the oldest first

	// For tests, which force an order by them; nil otherwise. onClose runs just before the
	// end of a connection is sent, with mu held; onRead between a read from a socket and its
	// accounting; onReaderWait in place of each readerWait.
	onClose      func(*clientConn)
	onRead       func()
	onReaderWait func()
}

// NewConnLimiter makes a guard for at most max clients' connections.
func NewConnLimiter(max int) *ConnLimiter {
	return &ConnLimiter{max: max, conns: map[*clientConn]struct{}{}}
}

// Resize bounds how many connections clients may hold from now on, and closes
// idle ones past that.
func (g *ConnLimiter) Resize(max int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.max = max
	for len(g.conns) > g.max && g.evict() {
	}
}

// OverLimit tells whether clients hold more sockets than they may.
func (g *ConnLimiter) OverLimit() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.max
}

// LingeringConnections counts the connections that were closed here and are still read from.
func (g *ConnLimiter) LingeringConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.lingering)
}

// OpenConnections counts the connections that requests may still come on.
func (g *ConnLimiter) OpenConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// CloseIdleConnections closes every connection that waits for a request, at a planned
// restart. One whose request already stands in the kernel stays, which spares its
// client another try; one whose request comes in this very moment ends as Close says.
func (g *ConnLimiter) CloseIdleConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.served && c.idle() && !c.hasUnreadBytes() {
			g.closeConn(c)
		}
	}
}

// wouldEvictActiveClient tells whether the next to be let in would push out a client at work
// only because strangers' bytes wait to be read.
func (g *ConnLimiter) wouldEvictActiveClient() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < g.max {
		return false
	}
	waiting := false
	for c := range g.conns {
		if !c.served && !c.hasRequest() {
			if !c.hasUnreadBytes() {
				return false
			}
			waiting = true
		}
	}
	return waiting
}

// awaitReaders gives the readers of unread bytes a moment while crowded. In a flood the newest
// bytes are not read yet, and what has unread bytes is not closed: without the wait it would be
// the idle connections of clients at work that make room.
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

func (g *ConnLimiter) admit(c *clientConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// More than one may be due: those let in past the budget, while nothing could
	// make room for them, must not keep it full for all who come after.
	for len(g.conns) >= g.max && g.evict() {
	}
	if len(g.conns) >= g.max+maxOverflow {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// evict closes the connection that costs least: first one that has brought no
// request yet, silent or half-sent, then a half-sent one that did, then an idle
// one; the oldest of each. Hundreds of silent connections must not push out the
// clients at work. The caller holds mu.
func (g *ConnLimiter) evict() bool {
	rank := func(c *clientConn) int {
		switch {
		case !c.served:
			return 0
		case !c.idle():
			return 1
		}
		return 2
	}
	var found []*clientConn
	for c := range g.conns {
		if !c.hasRequest() {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *clientConn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.idleSince.Compare(b.idleSince))
	})
	for _, c := range found {
		if !c.hasUnreadBytes() {
			g.closeConn(c)
			return true
		}
	}
	return false
}

// closeConn ends c and frees its place; the server finds it closed. What has come on c by now
// was counted, or else is never served: the client is told the end first and reads to it.
// mu is held.
func (g *ConnLimiter) closeConn(c *clientConn) {
	delete(g.conns, c)
	c.closing = true
	if c.clientClosed {
		c.TCPConn.Close()
		return
	}
	if g.onClose != nil {
		g.onClose(c)
	}
	c.TCPConn.CloseWrite()
	g.lingering = append(g.lingering, c)
	for len(g.lingering) > 0 && len(g.conns)+len(g.lingering) > g.max+maxLingering {
		g.lingering[0].TCPConn.Close()
		g.lingering = g.lingering[1:]
	}
	go g.linger(c)
}

// linger reads away what still comes on a connection that was ended here, until its client
// closes it too or lingerTimeout is over. A close over unread bytes would reset the connection,
// and an answer that is on its way would be lost with it.
func (g *ConnLimiter) linger(c *clientConn) {
	defer time.AfterFunc(lingerTimeout, func() { c.TCPConn.Close() }).Stop()
	var scrap [512]byte
	for {
		c.TCPConn.SetReadDeadline(time.Time{}) // the server may have left one that is over
		if _, err := c.TCPConn.Read(scrap[:]); err != nil && !isTimeout(err) {
			break
		}
	}
	c.TCPConn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.lingering, c); i >= 0 {
		g.lingering = slices.Delete(g.lingering, i, i+1)
	}
}

// onConnState is the server's hook: an answered request leaves its connection idle.
func (g *ConnLimiter) onConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*clientConn); ok && state == http.StateIdle {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.unanswered = max(c.unanswered-1, 0)
		c.idleSince = time.Now()
	}
}
