// Package frame carries messages over long-lived connections that begin as
// HTTP/1.1 requests and are upgraded: each message is its length and its bytes.
// Messages that wait are written together, and a side that does not read is given up.
package frame

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	protocol    = "yardflow-frames"
	maxFrame    = 64 << 20
	maxQueued   = 96 << 20 // bytes that may wait for a side that does not read
	writeWithin = 2 * time.Second
	chunk       = 16 << 10 // bytes that a slow link carries within the time that a side may make no progress
	header      = 4
)

// What Upgrade fails with before it has taken a connection over.
const (
	ErrUpgradeNotRequested = errors.ConstError("no upgrade to " + protocol + " was asked for")
	ErrUpgradeUnsupported  = errors.ConstError("the HTTP server can't give its connection up")
)

// Conn is one connection. Send may be called by any goroutine, Receive by one.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader

	mu      sync.Mutex
	wake    chan struct{}
	queue   []byte
	spare   []byte
	closed  bool
	onClose chan struct{}
}

func newConn(raw net.Conn, reader *bufio.Reader) *Conn {
	c := &Conn{raw: raw, reader: reader, wake: make(chan struct{}, 1), onClose: make(chan struct{})}
	go c.write()
	return c
}

// Network opens connections and listens for them.
type Network interface {
	Dial(address string, within time.Duration) (net.Conn, error)
	Listen(address string) (net.Listener, error)
}

// TCP is the machine's own network.
type TCP struct{}

// Dial opens a TCP connection.
func (TCP) Dial(address string, within time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", address, within)
	return conn, errors.Trace(err)
}

// Listen listens for TCP connections.
func (TCP) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Trace(err)
}

// Dial opens a connection to the path at the address.
func Dial(network Network, address, path string, within time.Duration) (*Conn, error) {
	raw, err := network.Dial(address, within)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	reader := bufio.NewReader(raw)
	raw.SetDeadline(time.Now().Add(within))
	if err := request.Write(raw); err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		raw.Close()
		return nil, errors.Errorf("%s answers %s", address, response.Status)
	}
	raw.SetDeadline(time.Time{})
	return newConn(raw, reader), nil
}

// Upgrade takes a connection over from an HTTP server.
func Upgrade(w http.ResponseWriter, r *http.Request) (*Conn, error) {
	if r.Header.Get("Upgrade") != protocol {
		http.Error(w, "upgrade to "+protocol+" expected", http.StatusUpgradeRequired)
		return nil, errors.Trace(ErrUpgradeNotRequested)
	}
	hijacker, able := w.(http.Hijacker)
	if !able {
		http.Error(w, "no upgrade here", http.StatusInternalServerError)
		return nil, errors.Trace(ErrUpgradeUnsupported)
	}
	raw, buffered, err := hijacker.Hijack()
	if err != nil {
		return nil, errors.Trace(err)
	}
	raw.SetDeadline(time.Now().Add(writeWithin))
	_, err = io.WriteString(raw, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n")
	if err != nil {
		raw.Close()
		return nil, errors.Trace(err)
	}
	raw.SetDeadline(time.Time{})
	return newConn(raw, buffered.Reader), nil
}

// Send queues a message and reports whether the connection still stands.
func (c *Conn) Send(message []byte) bool {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.queue = binary.BigEndian.AppendUint32(c.queue, uint32(len(message)))
	c.queue = append(c.queue, message...)
	full := len(c.queue) > maxQueued
	c.mu.Unlock()
	if full {
		c.Close()
		return false
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

func (c *Conn) write() {
	for {
		select {
		case <-c.wake:
		case <-c.onClose:
			return
		}
		c.mu.Lock()
		batch := c.queue
		c.queue, c.spare = c.spare[:0], nil
		c.mu.Unlock()
		if !c.writeBatch(batch) {
			c.Close()
			return
		}
		if cap(batch) < 1<<20 {
			c.mu.Lock()
			c.spare = batch
			c.mu.Unlock()
		}
	}
}

// writeBatch writes what was queued, and reports whether the other side has taken all of it. A large batch may
// take long on a slow link: what counts is that each chunk of it goes out in time.
func (c *Conn) writeBatch(batch []byte) bool {
	for len(batch) > 0 {
		size := min(len(batch), chunk)
		c.raw.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := c.raw.Write(batch[:size]); err != nil {
			return false
		}
		batch = batch[size:]
	}
	return true
}

// Receive returns the next message. It fails once no byte has come for the given time: a large message on a
// slow link is no silence.
func (c *Conn) Receive(within time.Duration) ([]byte, error) {
	size := [header]byte{}
	if err := c.readFull(size[:], within); err != nil {
		return nil, errors.Trace(err)
	}
	length := binary.BigEndian.Uint32(size[:])
	if length > maxFrame {
		return nil, errors.Errorf("a message of %d bytes", length)
	}
	message := make([]byte, length)
	if err := c.readFull(message, within); err != nil {
		return nil, errors.Trace(err)
	}
	return message, nil
}

// readFull fills p. Each read that brings something gives the next one the whole time again.
func (c *Conn) readFull(p []byte, within time.Duration) error {
	for len(p) > 0 {
		c.raw.SetReadDeadline(time.Now().Add(within))
		n, err := c.reader.Read(p)
		p = p[n:]
		if err != nil && len(p) > 0 {
			return err // the caller adds the trace
		}
	}
	return nil
}

// Close ends the connection; what is queued is lost.
func (c *Conn) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	close(c.onClose)
	c.raw.Close()
}

// Closed is closed once the connection is.
func (c *Conn) Closed() <-chan struct{} { return c.onClose }
