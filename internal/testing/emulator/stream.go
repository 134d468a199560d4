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
	fin      bool      // the sender has closed
	broken   error     // what the receiver gets at once
	silent   bool      // the receiver's own process is gone
	freeAt   time.Time // when all that was written has left the sender
	changed  chan struct{}
}

type chunk struct {
	at   time.Time
	data []byte
}

func (n *Network) stream(from, to string) *stream {
	s := &stream{network: n, from: from, to: to, changed: make(chan struct{})}
	n.mu.Lock()
	n.streams[s] = true
	n.mu.Unlock()
	return s
}

func (s *stream) wake() {
	s.mu.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *stream) reset(own bool) {
	s.mu.Lock()
	s.broken, s.silent = syscall.ECONNRESET, s.silent || own
	s.chunks = nil
	s.mu.Unlock()
	s.wake()
}

// take returns what can be read now; with none, it returns until when to wait (0: for a change).
func (s *stream) take(p []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	blocked := s.network.blocked(s.from, s.to)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil && (s.silent || !blocked) {
		return 0, 0, nil, s.broken
	}
	if blocked {
		return 0, 0, s.changed, nil
	}
	if len(s.chunks) == 0 {
		if s.fin {
			return 0, 0, nil, io.EOF
		}
		return 0, 0, s.changed, nil
	}
	if left := time.Until(s.chunks[0].at); left > 0 {
		return 0, left, s.changed, nil
	}
	n = copy(p, s.chunks[0].data)
	if s.chunks[0].data = s.chunks[0].data[n:]; len(s.chunks[0].data) == 0 {
		s.chunks = s.chunks[1:]
	}
	return n, 0, nil, nil
}

type conn struct {
	in, out       *stream
	local, remote string
	mu            sync.Mutex
	deadline      time.Time
	closed        bool
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, wait, changed, err := c.in.take(p)
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
		if wait == 0 {
			<-changed
			continue
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (c *conn) Write(p []byte) (int, error) {
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

func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil
	}
	c.closed = true
	c.mu.Unlock()
	c.out.mu.Lock()
	c.out.fin = true
	c.out.mu.Unlock()
	c.out.wake()
	c.in.wake()
	c.in.network.mu.Lock()
	delete(c.in.network.streams, c.in)
	c.in.network.mu.Unlock()
	return nil
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
