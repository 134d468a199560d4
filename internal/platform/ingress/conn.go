package ingress

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"yardflow/internal/platform/ingress/budget"
)

// RequestLimits are the limits of one request on a connection.
type RequestLimits struct {
	HeadBytes   int64         // of the head
	HeadTimeout time.Duration // from the head's first byte to its last
	IdleTimeout time.Duration // without a request
}

// Limits of connections that no configuration changes.
const (
	// readAheadBytes of a body, or of the next request, may arrive with a head: the HTTP server's buffer.
	readAheadBytes = 4 << 10
	// progressBytes is how much a request has to bring to count as progress.
	progressBytes = 4 << 10
	// writeBytes are written at once, under one deadline. A slow link carries them in a fraction of it.
	writeBytes = 16 << 10
	// writeTimeout is how long a caller may leave an answer unread. The deadline is renewed once half of it has passed.
	writeTimeout = 4 * time.Second
	// lingerTimeout is how long the rest of a refused request is still read, so that its caller gets the answer.
	lingerTimeout = 250 * time.Millisecond
	// lingerBytes is how much of it is read beyond what the HTTP server reads.
	lingerBytes = 256 << 10
	// refusalTimeout limits the write of an answer that this package writes itself.
	refusalTimeout = 50 * time.Millisecond
)

// phase is the phase of a connection.
type phase uint8

const (
	phaseIdle      phase = iota // no byte of the next request has arrived
	phaseHead                   // a part of a head has arrived
	phaseBody                   // the head is whole, the body is read
	phaseServing                // the request is whole
	phaseLingering              // the request is answered, the rest of its body is dropped
	phaseProcess                // taken over by the protocol between processes
)

// Conn is a caller's connection. The HTTP server reads and writes it; its handler goes through Request.
type Conn struct {
	net.Conn
	gate   *Gate
	entry  *budget.Connection
	limits func() RequestLimits

	mu             sync.Mutex
	phase          phase
	phaseAt        time.Time // begin of the phase
	bodyDeadline   time.Time // in phaseBody and phaseLingering
	serverDeadline time.Time // of reads, as the HTTP server has set it
	readDeadline   time.Time // the one in force
	writeDeadline  time.Time // the one in force, set by this package
	headBytes      int64
	headLines      int64
	headClaimed    int64
	unreported     int  // bytes since the last progress
	isRefused      bool // the request was refused before it was whole; the connection ends
}

// Read reads from the connection within the limits of the phase.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.applyReadDeadline()
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c.timedOut()
	}
	return n, err
}

// applyReadDeadline sets the deadline of the phase, or the HTTP server's where it is earlier. The caller holds mu.
func (c *Conn) applyReadDeadline() {
	deadline := c.phaseDeadline()
	if deadline.IsZero() || !c.serverDeadline.IsZero() && c.serverDeadline.Before(deadline) {
		deadline = c.serverDeadline
	}
	if !deadline.Equal(c.readDeadline) {
		c.readDeadline = deadline
		c.Conn.SetReadDeadline(deadline)
	}
}

// phaseDeadline returns the deadline of reads in the present phase, zero for none.
func (c *Conn) phaseDeadline() time.Time {
	switch c.phase {
	case phaseIdle:
		return c.phaseAt.Add(c.limits().IdleTimeout)
	case phaseHead:
		return c.phaseAt.Add(c.limits().HeadTimeout)
	case phaseBody, phaseLingering:
		return c.bodyDeadline
	default:
		return time.Time{}
	}
}

// received counts bytes that have arrived. It returns an error if the connection had to be closed.
func (c *Conn) received(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.phase, c.phaseAt = phaseHead, time.Now()
		c.headBytes, c.headLines, c.headClaimed, c.unreported = 0, 0, 0, 0
		c.gate.setStage(c, budget.Reading)
		return c.receivedHead(p)
	case phaseHead:
		c.reportProgress(len(p))
		return c.receivedHead(p)
	case phaseBody:
		c.reportProgress(len(p))
	}
	return nil
}

// reportProgress reports progress for each progressBytes.
func (c *Conn) reportProgress(n int) {
	c.unreported += n
	if c.unreported >= progressBytes {
		c.unreported = 0
		c.gate.progress(c)
	}
}

// receivedHead claims what the head costs that has arrived so far, and closes the connection if it is too large.
func (c *Conn) receivedHead(p []byte) error {
	c.headBytes += int64(len(p))
	c.headLines += int64(bytes.Count(p, []byte{'\n'}))
	if c.headBytes > c.limits().HeadBytes+readAheadBytes {
		return c.refuseHead(HeadTooLarge, "431 Request Header Fields Too Large")
	}
	cost := budget.HeadCost(c.headBytes, c.headLines)
	if !c.gate.claim(c, cost-c.headClaimed) {
		return c.refuseHead(NoBytesLeft, unavailableStatus)
	}
	c.headClaimed = max(c.headClaimed, cost)
	return nil
}

// refuseHead answers in place of the HTTP server, which has not got the whole head, and closes the connection.
func (c *Conn) refuseHead(cause Cause, status string) error {
	c.isRefused = true
	c.gate.refusals.record(c.class(), cause, c.RemoteAddr().String())
	writeRefusal(c.Conn, status)
	_ = c.Conn.Close() // nothing is lost with the rest of the head
	// An error of the network's read is one that the HTTP server does not answer.
	return &net.OpError{Op: "read", Net: "tcp", Err: &RefusedError{Class: c.class(), Cause: cause}}
}

// writeRefusal writes an answer without a body. Whether it arrives does not matter.
func writeRefusal(conn net.Conn, status string) {
	conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write([]byte("HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
}

// slowCauses are the causes for which a connection ends at the deadline of its phase. Idle ones just end.
var slowCauses = map[phase]Cause{phaseHead: HeadTooSlow, phaseBody: BodyTooSlow}

// timedOut records that the caller was too slow. The HTTP server closes the connection.
func (c *Conn) timedOut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isRefused || c.phaseDeadline().IsZero() || time.Now().Before(c.phaseDeadline()) {
		return
	}
	cause, isTooSlow := slowCauses[c.phase]
	if isTooSlow {
		c.isRefused = true // reads that follow fail in the same way
		c.gate.refusals.record(c.class(), cause, c.RemoteAddr().String())
	}
}

// Write writes an answer. A caller that takes no part of it for writeTimeout is cut off.
func (c *Conn) Write(p []byte) (written int, err error) {
	if c.isProcess() {
		return c.Conn.Write(p)
	}
	for written < len(p) {
		c.gate.setStage(c, budget.Answering)
		c.renewWriteDeadline()
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		written += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				c.gate.refusals.record(c.class(), AnswerNotRead, c.RemoteAddr().String())
				c.reset(AnswerNotRead)
			}
			return written, err
		}
	}
	return written, nil
}

// renewWriteDeadline sets the deadline of writes, unless half of writeTimeout or more is left.
func (c *Conn) renewWriteDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.writeDeadline.Sub(now) < writeTimeout/2 {
		c.writeDeadline = now.Add(writeTimeout)
		c.SetWriteDeadline(c.writeDeadline)
	}
}

func (c *Conn) isProcess() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseProcess
}

// CloseWrite ends the answers. The HTTP server calls it where it closes before it has read a request whole, and then waits
// without reading, so that its caller gets the answer. The rest of the request would fill the kernel's buffers meanwhile.
// So it is dropped here, for a bounded time and number of bytes, and then the connection is reset.
func (c *Conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	if err := half.CloseWrite(); err != nil {
		return err
	}
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends with the caller, the time or the bytes; all are fine
	c.resetBuffers()
	return nil
}

// class returns the class in which the connection counts.
func (c *Conn) class() budget.Class {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	return c.entry.Class()
}

// SetReadDeadline sets the HTTP server's deadline of reads.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	c.applyReadDeadline()
	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close closes the connection and gives back what it holds.
func (c *Conn) Close() error {
	c.gate.close(c)
	return c.Conn.Close()
}

// reset closes a connection that gives way or was refused, without its buffers. Nil is allowed and has no effect.
func (c *Conn) reset(cause Cause) {
	if c == nil {
		return
	}
	if cause == GaveWayToNewer || cause == GaveWayToActive {
		c.gate.refusals.record(c.class(), cause, c.RemoteAddr().String())
	}
	c.resetBuffers()
}

// resetBuffers closes the connection without its buffers.
func (c *Conn) resetBuffers() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0) // fails only if the connection has ended
	}
	_ = c.Close() // the caller learns of it by the reset
}

// setBuffers sets the sizes of the kernel's buffers of the connection, as far as the system allows.
func (c *Conn) setBuffers(bytes int) {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		_ = socket.SetReadBuffer(bytes)
		_ = socket.SetWriteBuffer(bytes)
	}
}

// setPhase begins a phase. The caller holds mu.
func (c *Conn) setPhase(next phase) {
	c.phase, c.phaseAt, c.unreported = next, time.Now(), 0
}
