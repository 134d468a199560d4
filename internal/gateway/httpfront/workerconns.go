package httpfront

// This file holds the connections to loan workers: how many there may be, which are kept, and
// which are not trusted with a request that may be sent once.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

// staleConnDistrust is how long kept connections are not trusted with a request that
// may be sent once, after one was found gone.
const staleConnDistrust = 30 * time.Second

// WorkerConns carries dispatches to loan workers.
type WorkerConns struct {
	live          *config.InForce
	transport     *http.Transport
	oneShot       *http.Transport // a connection for each dispatch, closed after it
	distrustUntil atomic.Int64    // Unix nanoseconds up to which kept connections are in doubt

	mu         sync.Mutex
	draining   int // answers that have ended and are read to their end
	maxSockets int // sockets to loan workers
	sockets    int // of them, open or being opened
	open       map[*workerConn]struct{}
}

// NewWorkerConns makes the connections' owner; sockets bounds how many it may hold.
func NewWorkerConns(live *config.InForce, sockets int) *WorkerConns {
	l := &WorkerConns{live: live, maxSockets: sockets, open: map[*workerConn]struct{}{}}
	l.transport, l.oneShot = l.newTransports()
	return l
}

func (l *WorkerConns) newTransports() (kept, once *http.Transport) {
	kept = &http.Transport{
		DialContext:        l.dial,
		DisableCompression: true,
		// The library keeps two idle connections a host; every one beyond them
		// would be opened anew, and opening costs the loan worker work.
		MaxIdleConns:        l.maxSockets / 2,
		MaxIdleConnsPerHost: l.maxSockets / 4,
		// A loan worker closes an idle connection at IdleCloseMs at the latest;
		// what is written to it from then on is lost. Close well before.
		IdleConnTimeout:        l.live.Get().IdleTimeout * 3 / 4,
		MaxResponseHeaderBytes: 64 << 10,
	}
	once = kept.Clone()
	once.DisableKeepAlives = true
	return kept, once
}

// Reconfigure takes up the settings in force. Connections kept under the old ones may
// be closed by their loan workers sooner than was known: they are not used again.
func (l *WorkerConns) Reconfigure() {
	l.mu.Lock()
	old := l.transport
	if old.IdleConnTimeout != l.live.Get().IdleTimeout*3/4 {
		l.transport, l.oneShot = l.newTransports()
	}
	changed := old != l.transport
	l.mu.Unlock()
	if changed {
		old.CloseIdleConnections() // those that carry a dispatch are closed after it
	}
}

// transportFor chooses how a request goes. A kept connection may have been closed or
// reset since its last use without our knowing, and what is written to it then
// may have run: a request with one life is not risked on it once that was seen.
func (l *WorkerConns) transportFor(s *JobRequest) *http.Transport {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.cfg.Dispatch.Classes[s.Request.Class].Semantics == dispatch.AtMostOnce && time.Now().UnixNano() < l.distrustUntil.Load() {
		return l.oneShot
	}
	return l.transport
}

// CloseIdleConnections closes the connections that carry nothing.
func (l *WorkerConns) CloseIdleConnections() {
	l.mu.Lock()
	t := l.transport
	l.mu.Unlock()
	t.CloseIdleConnections()
}

// AwaitDrained waits until answers that have ended are read to their end. Others may end
// meanwhile, which a WaitGroup does not allow.
func (l *WorkerConns) AwaitDrained() {
	for {
		l.mu.Lock()
		n := l.draining
		l.mu.Unlock()
		if n == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (l *WorkerConns) addDraining(by int) {
	l.mu.Lock()
	l.draining += by
	l.mu.Unlock()
}

// Resize bounds how many sockets may be held from now on.
func (l *WorkerConns) Resize(sockets int) {
	l.mu.Lock()
	less := sockets < l.maxSockets
	l.maxSockets = sockets
	l.mu.Unlock()
	if less {
		l.CloseIdleConnections()
	}
}

// acquireSocket takes one socket of those that may be held.
func (l *WorkerConns) acquireSocket() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sockets >= l.maxSockets {
		return false
	}
	l.sockets++
	return true
}

// workerConn is one connection. Closing it is complete when Close returns, which is
// what lets a dispatch be told as ended.
type workerConn struct {
	net.Conn
	addr    string
	busy    bool // carries a dispatch; under WorkerConns.mu
	stale   bool // to be closed once it carries none; under WorkerConns.mu
	written atomic.Int64
	once    sync.Once
	release func()
}

// RetireConnections closes the kept connections to a loan worker that was taken out: it is
// restarted meanwhile, and what is written to one from before may be lost. One
// that carries a dispatch is closed after it.
func (l *WorkerConns) RetireConnections(addr string) {
	l.mu.Lock()
	var idle []*workerConn
	for c := range l.open {
		if c.addr == addr {
			if c.stale = true; !c.busy {
				idle = append(idle, c)
			}
		}
	}
	l.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// setBusy notes whether a dispatch is on c.
func (l *WorkerConns) setBusy(c *workerConn, busy bool) {
	if c == nil {
		return
	}
	l.mu.Lock()
	c.busy = busy
	over := c.stale && !busy
	l.mu.Unlock()
	if over {
		c.Close()
	}
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

func (l *WorkerConns) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if !l.acquireSocket() {
		l.CloseIdleConnections()
		if !l.acquireSocket() {
			return nil, errNoSocket
		}
	}
	conn, err := (&net.Dialer{Timeout: l.live.Get().ConnectTimeout, KeepAlive: -1}).DialContext(ctx, network, addr)
	if err != nil {
		l.mu.Lock()
		l.sockets--
		l.mu.Unlock()
		return nil, err
	}
	c := &workerConn{Conn: conn, addr: addr}
	c.release = func() {
		l.mu.Lock()
		delete(l.open, c)
		l.sockets--
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	return c, nil
}
