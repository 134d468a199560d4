package httpfront

// This file holds the connection pool to workers: how many connections there may be, which are kept for reuse, and which
// are not trusted with a request that may run only once.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

const (
	// staleConnDistrust is how long kept connections are not trusted with a request that may run only once, after one of
	// them was found closed. A network device that drops idle connections drops many at once.
	staleConnDistrust = 30 * time.Second
	// maxWorkerHeaderBytes bounds the head of a worker's response.
	maxWorkerHeaderBytes = 64 << 10
	// drainPoll is how often AwaitDrained looks.
	drainPoll = time.Millisecond
)

// errNoSocket is the error of a dial past the sockets that may be held: the request was not sent.
var errNoSocket = errors.New("no socket left for a loan worker")

// WorkerConns is the connection pool to workers, and sends requests over it.
type WorkerConns struct {
	live          *config.InForce
	transport     *http.Transport // keeps connections
	oneShot       *http.Transport // a connection for each request, closed after it
	distrustUntil atomic.Int64    // Unix nanoseconds up to which kept connections are not trusted

	mu         sync.Mutex
	draining   int // responses whose outcome is known, and which are read to their end
	maxSockets int
	sockets    int // open, or being opened
	open       map[*workerConn]struct{}
}

// NewWorkerConns returns a pool that holds at most so many sockets.
func NewWorkerConns(live *config.InForce, sockets int) *WorkerConns {
	l := &WorkerConns{live: live, maxSockets: sockets, open: map[*workerConn]struct{}{}}
	l.transport, l.oneShot = l.newTransports()
	return l
}

// idleTimeout is how long a connection is kept without a request. A worker closes it after IdleTimeout at the latest, and
// what is written to it from then on is lost, so it is closed here well before.
func (l *WorkerConns) idleTimeout() time.Duration { return l.live.Get().IdleTimeout * 3 / 4 }

func (l *WorkerConns) newTransports() (kept, oneShot *http.Transport) {
	kept = &http.Transport{
		DialContext:        l.dial,
		DisableCompression: true,
		// net/http keeps two idle connections a host. Every one beyond them would be opened anew, which costs the worker
		// work; so one worker may keep a quarter of the sockets, and all of them half.
		MaxIdleConns:           l.maxSockets / 2,
		MaxIdleConnsPerHost:    l.maxSockets / 4,
		IdleConnTimeout:        l.idleTimeout(),
		MaxResponseHeaderBytes: maxWorkerHeaderBytes,
	}
	oneShot = kept.Clone()
	oneShot.DisableKeepAlives = true
	return kept, oneShot
}

// Reconfigure applies the settings in force. Connections that were kept under another IdleTimeout may be closed by their
// workers sooner than was known, so they are not used again.
func (l *WorkerConns) Reconfigure() {
	l.mu.Lock()
	former := l.transport
	if former.IdleConnTimeout != l.idleTimeout() {
		l.transport, l.oneShot = l.newTransports()
	}
	changed := former != l.transport
	l.mu.Unlock()
	if changed {
		former.CloseIdleConnections() // those that carry a request are closed after it
	}
}

// transportFor chooses the transport of a request. A kept connection may have been closed since its last use without a
// sign, and what is written to it then may have run: a request that may run only once is not risked on one for a while
// after that was seen.
func (l *WorkerConns) transportFor(job *JobRequest) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if job.cfg.Dispatch.Classes[job.Request.Class].Semantics == dispatch.AtMostOnce && time.Now().UnixNano() < l.distrustUntil.Load() {
		return l.oneShot
	}
	return l.transport
}

// CloseIdleConnections closes the connections that carry no request.
func (l *WorkerConns) CloseIdleConnections() {
	l.mu.Lock()
	t := l.transport
	l.mu.Unlock()
	t.CloseIdleConnections()
}

// AwaitDrained blocks until all responses whose outcome is known are read to their end. Others may end meanwhile, which a
// sync.WaitGroup does not allow.
func (l *WorkerConns) AwaitDrained() {
	for {
		l.mu.Lock()
		n := l.draining
		l.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(drainPoll)
	}
}

func (l *WorkerConns) addDraining(n int) {
	l.mu.Lock()
	l.draining += n
	l.mu.Unlock()
}

// Resize bounds how many sockets may be held from now on.
func (l *WorkerConns) Resize(sockets int) {
	l.mu.Lock()
	fewer := sockets < l.maxSockets
	l.maxSockets = sockets
	l.mu.Unlock()
	if fewer {
		l.CloseIdleConnections()
	}
}

// acquireSocket takes one of the sockets that may be held; false where all are.
func (l *WorkerConns) acquireSocket() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sockets >= l.maxSockets {
		return false
	}
	l.sockets++
	return true
}

// releaseSocket gives a socket back; c is its connection, or nil where none came up.
func (l *WorkerConns) releaseSocket(c *workerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != nil {
		delete(l.open, c)
	}
	l.sockets--
}

// workerConn is one connection. Closing it is complete when Close returns, on which the end of an attempt rests.
type workerConn struct {
	net.Conn
	addr    string
	written atomic.Int64 // bytes

	busy  bool // carries a request; under WorkerConns.mu
	stale bool // is closed once it carries none; under WorkerConns.mu

	once    sync.Once
	release func()
}

func (c *workerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

func (c *workerConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}

// RetireConnections closes the kept connections to a worker that operators have banned: it is restarted meanwhile, and
// what is written to a connection from before may be lost. One that carries a request is closed after it.
func (l *WorkerConns) RetireConnections(addr string) {
	l.mu.Lock()
	var idle []*workerConn
	for c := range l.open {
		if c.addr != addr {
			continue
		}
		c.stale = true
		if !c.busy {
			idle = append(idle, c)
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// setBusy says whether a connection carries a request; c may be nil.
func (l *WorkerConns) setBusy(c *workerConn, busy bool) {
	if c == nil {
		return
	}
	l.mu.Lock()
	c.busy = busy
	retired := c.stale && !busy
	l.mu.Unlock()
	if retired {
		_ = c.Close()
	}
}

// dial opens a connection. Past the sockets that may be held, idle connections are closed to free one.
func (l *WorkerConns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !l.acquireSocket() {
		l.CloseIdleConnections()
		if !l.acquireSocket() {
			return nil, errNoSocket
		}
	}
	conn, err := (&net.Dialer{Timeout: l.live.Get().ConnectTimeout, KeepAlive: -1}).DialContext(ctx, network, addr)
	if err != nil {
		l.releaseSocket(nil)
		return nil, err
	}
	c := &workerConn{Conn: conn, addr: addr}
	c.release = func() { l.releaseSocket(c) }
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}
