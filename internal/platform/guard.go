package platform

// This file holds the budget of clients' connections below the HTTP server: how many
// there may be, and which one is closed to make room for another.

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// A client is owed an answer or a close within 3 s of connecting, so its first
	// request has this long to arrive whole. One that was served before may take
	// readWithin for a body: slow lines are no fault.
	firstWithin = 2400 * time.Millisecond
	readWithin  = 10 * time.Second
	// overflow is how many connections past the budget still get their request
	// read and denied; beyond it the deny goes out unasked.
	overflow = 6
)

// Guard keeps the budget of sockets that all fronts share.
type Guard struct {
	mu    sync.Mutex
	max   int // as many as clients may hold
	conns map[*conn]struct{}
}

// NewGuard makes a guard for at most max clients' connections.
func NewGuard(max int) *Guard { return &Guard{max: max, conns: map[*conn]struct{}{}} }

// Resize bounds how many connections clients may hold from now on, and closes
// idle ones past that.
func (g *Guard) Resize(max int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.max = max
	for len(g.conns) > g.max && g.evict() {
	}
}

// Full tells whether clients hold more sockets than they may.
func (g *Guard) Full() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns) > g.max
}

// Open counts the connections.
func (g *Guard) Open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// CloseIdle closes every connection that waits for a request, at a planned
// restart. One whose request already stands in the kernel stays: it was taken.
func (g *Guard) CloseIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.served && c.idle() && !c.unread() {
			g.drop(c)
		}
	}
}

// Listen wraps a listener of this machine's.
func (g *Guard) Listen(l net.Listener) net.Listener { return &listener{l.(*net.TCPListener), g} }

type listener struct {
	*net.TCPListener
	g *Guard
}

// Accept takes the next connection and makes room for it. Accepting never
// stops: what the kernel has accepted counts as taken.
func (l *listener) Accept() (net.Conn, error) {
	for {
		tcp, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: tcp, g: l.g, since: time.Now()}
		// In a flood the newest bytes are not read yet, and what has unread bytes is
		// not closed: their readers get a moment, so that it is not the idle
		// connections of clients at work that make room.
		for range 5 {
			if !l.g.crowded() {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if l.g.admit(c) {
			return c, nil
		}
		tcp.SetWriteDeadline(time.Now().Add(time.Millisecond))
		io.WriteString(tcp, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		tcp.CloseWrite()
		tcp.Close()
	}
}

// crowded tells whether the next to be let in would push out a client at work
// only because strangers' bytes wait to be read.
func (g *Guard) crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < g.max {
		return false
	}
	waiting := false
	for c := range g.conns {
		if !c.served && !c.out() {
			if !c.unread() {
				return false
			}
			waiting = true
		}
	}
	return waiting
}

func (g *Guard) admit(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	// More than one may be due: those let in past the budget, while nothing could
	// make room for them, must not keep it full for all who come after.
	for len(g.conns) >= g.max && g.evict() {
	}
	if len(g.conns) >= g.max+overflow {
		return false
	}
	g.conns[c] = struct{}{}
	return true
}

// evict closes the connection that costs least: first one that has brought no
// request yet, silent or half-sent, then a half-sent one that did, then an idle
// one; the oldest of each. Hundreds of silent connections must not push out the
// clients at work. The caller holds mu.
func (g *Guard) evict() bool {
	rank := func(c *conn) int {
		switch {
		case !c.served:
			return 0
		case !c.idle():
			return 1
		}
		return 2
	}
	var found []*conn
	for c := range g.conns {
		if !c.out() {
			found = append(found, c)
		}
	}
	slices.SortFunc(found, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), a.since.Compare(b.since))
	})
	for _, c := range found {
		if !c.unread() {
			g.drop(c)
			return true
		}
	}
	return false
}

// drop closes c and frees its place; the server finds it closed. mu is held.
func (g *Guard) drop(c *conn) {
	delete(g.conns, c)
	c.TCPConn.Close()
}

// state is the server's hook: an answered session leaves its connection idle.
func (g *Guard) state(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		g.mu.Lock()
		defer g.mu.Unlock()
		c.whole = max(c.whole-1, 0)
		c.since = time.Now()
	}
}
