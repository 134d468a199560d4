package emulator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// stream carries bytes from one machine to another.
type stream struct {
	network  *Network
	from, to string
	mu       sync.Mutex
	chunks   []chunk
	fin      bool          // the sender has closed
	broken   error         // what the receiver gets at once
	silent   bool          // the receiver's own process is gone
	freeAt   time.Time     // when all that was written has left the sender
	waiting  bool          // the reader waits for a change, or is about to
	changed  chan struct{} // holds one token: something has changed since the reader last looked
}

type chunk struct {
	at   time.Time
	data []byte
}

func (n *Network) stream(from, to string) *stream {
	s := &stream{network: n, from: from, to: to, changed: make(chan struct{}, 1)}
	n.mu.Lock()
	n.streams[s] = true
	n.mu.Unlock()
	return s
}

// wake has the reader look again, if it waits. A connection has one reader at a time.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.waiting {
		return
	}
	s.waiting = false
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *stream) reset(own bool) {
	s.mu.Lock()
	s.broken, s.silent = syscall.ECONNRESET, s.silent || own
	s.chunks = nil
	s.mu.Unlock()
	s.wake()
}

// take returns what can be read now; with none, it returns how long to wait (0: for a change), which a change cuts short.
func (s *stream) take(p []byte) (n int, wait time.Duration, err error) {
	s.mu.Lock()
	s.waiting = true // before the look at the network: a change right after it is not missed
	s.mu.Unlock()
	blocked := s.network.blocked(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil && (s.silent || !blocked) {
		return 0, 0, s.broken
	}
	if blocked {
		return 0, 0, nil
	}
	if len(s.chunks) == 0 {
		if s.fin {
			return 0, 0, io.EOF
		}
		return 0, 0, nil
	}
	if left := time.Until(s.chunks[0].at); left > 0 {
		return 0, left, nil
	}
	n = copy(p, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, 0, nil
}

type conn struct {
	in, out       *stream
	local, remote string
	mu            sync.Mutex
	deadline      time.Time
	closed        bool
	timer         *time.Timer // of the reader, made when it is first needed
	gate          *gate       // closed while the process at this end is frozen
}

// newConn returns the end of a connection at the machine to which in leads.
func newConn(in, out *stream, local, remote string) *conn {
	return &conn{in: in, out: out, local: local, remote: remote, gate: in.network.gate(in.to)}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		c.gate.pass()
		n, wait, err := c.in.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		c.mu.Lock()
		deadline, closed := c.deadline, c.closed
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		if !deadline.IsZero() {
			left := time.Until(deadline)
			if left <= 0 {
				return 0, os.ErrDeadlineExceeded
			}
			if wait == 0 || left < wait {
				wait = left
			}
		}
		c.await(wait)
	}
}

// await waits for a change, and where wait is not 0 at the longest for that time.
func (c *conn) await(wait time.Duration) {
	if wait == 0 {
		<-c.in.changed
		return
	}
	if c.timer == nil {
		c.timer = time.NewTimer(wait)
	} else {
		c.timer.Reset(wait)
	}
	select {
	case <-c.in.changed:
	case <-c.timer.C:
	}
	c.timer.Stop()
}

func (c *conn) Write(p []byte) (int, error) {
	c.gate.pass()
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	speed := c.out.network.speed(c.out.from, c.out.to)
	c.out.mu.Lock()
	if c.out.broken != nil {
		c.out.mu.Unlock()
		return 0, syscall.EPIPE
	}
	begins := time.Now()
	if c.out.freeAt.After(begins) {
		begins = c.out.freeAt
	}
	c.out.freeAt = begins.Add(time.Duration(len(p)) * time.Second / time.Duration(speed))
	c.out.chunks = append(c.out.chunks, chunk{c.out.freeAt.Add(latency), append([]byte(nil), p...)})
	c.out.mu.Unlock()
	c.out.wake()
	return len(p), nil
}

// Close closes this end. It never waits, also in a frozen process: net/http closes connections under its locks, and virtual
// time does not pass while another goroutine waits for one of them. The other end sees it once the process goes on.
func (c *conn) Close() error {
	c.mu.Lock()
	former := c.closed
	c.closed = true
	c.mu.Unlock()
	switch {
	case former:
	case c.gate.isClosed():
		go func() {
			c.gate.pass()
			c.end()
		}()
	default:
		c.end()
	}
	return nil
}

// end ends both streams for the other end, and for readers of this one.
func (c *conn) end() {
	c.out.mu.Lock()
	c.out.fin = true
	c.out.mu.Unlock()
	c.out.wake()
	c.in.wake()
	c.in.network.mu.Lock()
	delete(c.in.network.streams, c.in)
	c.in.network.mu.Unlock()
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local) }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }

func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.in.wake()
	return nil
}

func (c *conn) SetWriteDeadline(time.Time) error { return nil }
