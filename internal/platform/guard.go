package platform

// This file owns clients' connections below the HTTP server: how many there may
// be, how long one may take to say its first request, which one makes room for
// another, and what net/http hides of a request's framing. It must never change
// a byte, never answer a session, and never close a connection whose request is
// out or waits unread.

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
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

// framing follows the requests on a connection just far enough to know where
// each begins and ends, and to see what net/http takes away before a handler
// runs: it drops a Content-Length beside a Transfer-Encoding, joins folded
// lines, and forgives a doubled length. A front before us that reads such a
// request otherwise than we do would let one request hide in another's body.
type framing struct {
	fault  string // once found, it holds for the connection
	within bool   // inside a request

	line    []byte // the start of the present line of the head
	begun   bool   // the request line is over
	coded   bool
	lengths int   // how many were given
	length  int64 // the last of them
	left    int64 // bytes of the body to come
	blind   bool  // the rest is in chunks: nothing after it is served
}

const lineStart = 96 // no header that counts here needs more

// read takes in bytes and tells how many requests came to their end in them.
func (f *framing) read(p []byte) (ended int) {
	for len(p) > 0 && !f.blind {
		f.within = true
		if f.left > 0 {
			n := min(f.left, int64(len(p)))
			p, f.left = p[n:], f.left-n
			if f.left == 0 {
				f.within = false
				ended++
			}
			continue
		}
		part, rest, whole := bytes.Cut(p, []byte("\n"))
		f.line = append(f.line, part[:min(len(part), lineStart-len(f.line))]...)
		p = rest
		if !whole {
			break
		}
		line := bytes.TrimSuffix(f.line, []byte("\r"))
		f.line = f.line[:0]
		switch {
		case !f.begun:
			f.begun = true
		case len(line) > 0:
			f.header(line)
		default: // the head is over
			if f.coded && f.lengths > 0 {
				f.fault = "Content-Length beside Transfer-Encoding"
			}
			f.blind = f.coded
			if !f.blind {
				f.left = f.length
			}
			if !f.blind && f.left == 0 {
				f.within = false
				ended++
			}
			f.begun, f.coded, f.lengths, f.length = false, false, 0, 0
		}
	}
	return ended
}

func (f *framing) header(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		f.fault = "a folded header"
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.coded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.lengths++; f.lengths > 1 {
			f.fault = "Content-Length twice"
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if err != nil {
			f.fault = "Content-Length: not a length"
		}
		f.length = int64(n)
	}
}
