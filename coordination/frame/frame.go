// Package frame carries length-prefixed messages over long-lived connections that start as HTTP/1.1 requests and are
// upgraded (RFC 9110, section 7.8). Each message is preceded by its length, 4 bytes big-endian. Queued messages are written
// in one batch.
//
// A connection is closed when the peer accepts no data for writeTimeout; Receive fails when the peer sends none for
// the timeout that the caller passes. Messages arrive in order, each at most once. The package never reconnects, and it does
// not interpret messages.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/buffer"
)

// Limits of a connection.
const (
	// headerBytes is the size of the length that precedes a message.
	headerBytes = 4
	// maxMessageBytes is the longest message that Receive accepts. It bounds the memory allocated for one message. The
	// longest messages are snapshots of a state.
	maxMessageBytes = 64 << 20
	// maxQueuedBytes is the number of bytes that may be queued for a peer that does not read. Beyond it the connection
	// is closed. It leaves room for the longest message and more.
	maxQueuedBytes = 96 << 20
	// writeTimeout is the time within which the peer must accept a chunk; otherwise the connection is closed.
	writeTimeout = 2 * time.Second
	// chunkBytes is the number of bytes written under one writeTimeout. A slow link carries them in a fraction of it.
	chunkBytes = 16 << 10
	// maxSpareBytes is the capacity from which a buffer is not reused for a later batch, so that a buffer that a snapshot
	// has grown is freed.
	maxSpareBytes = 1 << 20
)

// MessageTooLongError reports that the peer announced a message longer than maxMessageBytes: the peer is another program or
// the received bytes are corrupt.
type MessageTooLongError struct {
	Bytes uint32
}

// Error includes the announced length.
func (e *MessageTooLongError) Error() string { return fmt.Sprintf("%d byte message too long", e.Bytes) }

// Conn is a connection. Send and Close are safe for concurrent use; only one goroutine may call Receive. A Conn starts a
// goroutine that writes and that ends with Close, so the caller of Dial or Upgrade must close the Conn.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	quota  buffer.Quota // nil: none
	held   int          // bytes of the last message, granted by quota; belongs to Receive

	mu     sync.Mutex
	wake   chan struct{} // holds a token while something may be queued
	queue  []byte        // encoded messages to be written
	spare  []byte        // reusable buffer for the next queue
	closed bool
	done   chan struct{}
}

func newConn(raw net.Conn, reader *bufio.Reader) *Conn {
	c := &Conn{raw: raw, reader: reader, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go c.writeQueued()
	return c
}

// Send queues a message and reports whether the connection is still open. It never blocks on the peer; if the queue exceeds
// maxQueuedBytes, it closes the connection.
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

// enqueue appends a message to the queue unless the connection is closed, and returns the number of bytes queued.
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

// writeQueued writes queued messages until the connection is closed. It closes the connection if a write fails.
func (c *Conn) writeQueued() {
	for {
		select {
		case <-c.wake:
		case <-c.done:
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

// writeBatch writes a batch of queued messages, and reports whether all of it was written. A large batch may take long on a
// slow link, so writeTimeout applies to each chunk of it.
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

// SetQuota makes Receive ask a quota before it allocates memory for a message. It is called before Receive.
func (c *Conn) SetQuota(quota buffer.Quota) { c.quota = quota }

// Receive returns the next message, whose memory counts against the quota until the next call. It fails if no byte arrives for
// the timeout; a large message on a slow link may take longer than that in total. It fails with a MessageTooLongError if the
// message exceeds maxMessageBytes, and with a buffer.RefusedError if the quota does not grant it.
func (c *Conn) Receive(timeout time.Duration) ([]byte, error) {
	c.releaseLastMessage()
	header := [headerBytes]byte{}
	if err := c.readFull(header[:], timeout); err != nil {
		return nil, errors.Trace(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxMessageBytes {
		return nil, errors.Trace(&MessageTooLongError{length})
	}
	message, err := buffer.Read(func(p []byte) (int, error) {
		c.raw.SetReadDeadline(time.Now().Add(timeout))
		return c.reader.Read(p)
	}, int(length), c.quota)
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.held = cap(message)
	return message, nil
}

// releaseLastMessage gives the memory of the last message back to the quota.
func (c *Conn) releaseLastMessage() {
	if c.quota != nil && c.held > 0 {
		c.quota.Release(c.held)
	}
	c.held = 0
}

// readFull fills p. Each read restarts the timeout.
func (c *Conn) readFull(p []byte, timeout time.Duration) error {
	for len(p) > 0 {
		c.raw.SetReadDeadline(time.Now().Add(timeout))
		n, err := c.reader.Read(p)
		p = p[n:]
		if err != nil && len(p) > 0 {
			return err // the caller adds the trace
		}
	}
	return nil
}

// Close closes the connection and discards queued messages. It may be called more than once.
func (c *Conn) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	close(c.done)
	c.raw.Close()
}

// Closed returns a channel that is closed when the connection is closed.
func (c *Conn) Closed() <-chan struct{} { return c.done }
