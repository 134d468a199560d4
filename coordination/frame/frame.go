// Package frame carries messages over long-lived connections that begin as HTTP/1.1 requests and are upgraded (RFC
// 9110, 7.8): each message is its length, 4 bytes big-endian, and its bytes. Messages that wait are written together.
//
// A side that takes or sends nothing for a while is given up: its connection is closed. Messages keep their order, and
// each comes once or not at all. The package never reconnects and knows nothing of what a message says.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Bounds of a connection.
const (
	// headerBytes are those of a message's length.
	headerBytes = 4
	// maxMessageBytes bounds what one message makes the receiver allocate; a longer one ends the connection. The
	// longest is the snapshot of a state.
	maxMessageBytes = 64 << 20
	// maxQueuedBytes is how many bytes may wait for a side that does not read; beyond it the connection is closed.
	// The longest message fits in with some to spare.
	maxQueuedBytes = 96 << 20
	// writeTimeout is how long a side may take nothing before it is given up.
	writeTimeout = 2 * time.Second
	// chunkBytes is what is written under one writeTimeout: so much that a slow link carries it in a fraction of it.
	chunkBytes = 16 << 10
	// maxSpareBytes is the largest buffer that is kept for the next batch: one grown by a snapshot is given back.
	maxSpareBytes = 1 << 20
)

// MessageTooLongError says that the other side announced a message beyond maxMessageBytes: it is not one of ours, or
// the connection's bytes are garbled.
type MessageTooLongError struct {
	Bytes uint32
}

// Error names the length.
func (e *MessageTooLongError) Error() string { return fmt.Sprintf("a message of %d bytes", e.Bytes) }

// Conn is one connection. Send and Close may be called by any goroutine, Receive by one. It has one goroutine of its
// own, which writes and ends with Close; whoever got the Conn has to close it.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader

	mu      sync.Mutex
	wake    chan struct{} // holds a token while something may be queued
	queue   []byte        // encoded messages that wait
	spare   []byte        // a buffer for the next queue
	closed  bool
	onClose chan struct{}
}

func newConn(raw net.Conn, reader *bufio.Reader) *Conn {
	c := &Conn{raw: raw, reader: reader, wake: make(chan struct{}, 1), onClose: make(chan struct{})}
	go c.writeQueued()
	return c
}

// Send queues a message and reports whether the connection still stands. It never waits for the other side; a queue
// beyond maxQueuedBytes closes the connection.
func (c *Conn) Send(message []byte) bool {
	queued, closed := c.enqueue(message)
	if closed {
		return false
	}
	if queued > maxQueuedBytes {
		c.Close()
		return false
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// enqueue appends a message to the queue, and returns how many bytes are queued then.
func (c *Conn) enqueue(message []byte) (queued int, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, true
	}
	c.queue = binary.BigEndian.AppendUint32(c.queue, uint32(len(message)))
	c.queue = append(c.queue, message...)
	return len(c.queue), false
}

// writeQueued writes what is queued until the connection is closed. It closes it where the other side takes nothing.
func (c *Conn) writeQueued() {
	for {
		select {
		case <-c.wake:
		case <-c.onClose:
			return
		}
		batch := c.takeQueue()
		if !c.writeBatch(batch) {
			c.Close()
			return
		}
		c.keepSpare(batch)
	}
}

func (c *Conn) takeQueue() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.queue
	c.queue, c.spare = c.spare[:0], nil
	return batch
}

func (c *Conn) keepSpare(batch []byte) {
	if cap(batch) >= maxSpareBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spare = batch
}

// writeBatch writes what was queued, and reports whether the other side has taken all of it. A large batch may take
// long on a slow link: what counts is that each chunk of it goes out in time.
func (c *Conn) writeBatch(batch []byte) bool {
	for len(batch) > 0 {
		size := min(len(batch), chunkBytes)
		c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.raw.Write(batch[:size]); err != nil {
			return false
		}
		batch = batch[size:]
	}
	return true
}

// Receive returns the next message. It fails once no byte has come for the given time: a large message on a slow link
// is no silence. It fails with a MessageTooLongError where the message would be one.
func (c *Conn) Receive(within time.Duration) ([]byte, error) {
	header := [headerBytes]byte{}
	if err := c.readFull(header[:], within); err != nil {
		return nil, errors.Trace(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return nil, errors.Trace(&MessageTooLongError{length})
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

// Close ends the connection; what is queued is lost. It may be called more than once.
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

// Closed returns a channel that is closed once the connection is.
func (c *Conn) Closed() <-chan struct{} { return c.onClose }
