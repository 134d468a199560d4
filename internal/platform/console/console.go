// Package console takes operators' calls: one line to a connection, one line back, and
// the end of the connection.
//
// It owns callers' connections and the syntax of calls and answers; what a call does is
// the Operations'. It never waits for one caller to serve another, never holds more than
// MaxSockets descriptors, and never acts on a line whose end it has not seen.
package console

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	maxLine     = 512                    // bytes of a call; a longer one is refused
	maxCallers  = 8                      // at once; beyond it the oldest is closed
	lineTimeout = 5 * time.Second        // for a caller to send its line
	lingerTime  = 500 * time.Millisecond // for a caller to read the answer and close
	maxLinger   = 64 << 10               // bytes read and dropped in that time
	acceptDelay = 5 * time.Millisecond   // after an accept that failed
)

// MaxSockets is the most descriptors that a console holds: its listener, its callers, and
// one more that is being admitted.
const MaxSockets = maxCallers + 2

// Operations are what operators may ask for. An error is the answer no, and says why.
// Calls of several operators may come at once.
type Operations interface {
	Ready() error
	Exclude(worker string) error
	Include(worker string) error
	DescribeSources() (string, error)           // what each source of loan workers reports, in one line
	DescribeWorker(name string) (string, error) // what each source reports of one, in one line
	DescribeReservations() (string, error)      // what is reserved for large jobs, in one line
	DescribePolicy() (string, error)            // which policy is in force here, and for how long yet
}

// Console answers callers on one listener.
type Console struct {
	operations Operations
	listener   net.Listener

	mu      sync.Mutex
	callers []net.Conn // the oldest first
}

// New makes a console; Serve answers until Close. The console owns the listener.
func New(l net.Listener, operations Operations) *Console {
	return &Console{operations: operations, listener: l}
}

// Serve takes callers until the listener is closed.
func (c *Console) Serve() {
	for {
		conn, err := c.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, or the caller has gone: neither may end the console.
			time.Sleep(acceptDelay)
			continue
		}
		c.admit(conn)
		go c.handle(conn)
	}
}

// Close ends the console and its callers' connections.
func (c *Console) Close() {
	_ = c.listener.Close() // it fails only if it is closed already
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.callers {
		_ = conn.Close()
	}
}

// admit makes room for a caller: others that connect and send nothing must not keep it
// out.
func (c *Console) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.callers) >= maxCallers {
		_ = c.callers[0].Close()
		c.callers = c.callers[1:]
	}
	c.callers = append(c.callers, conn)
}

func (c *Console) release(conn net.Conn) {
	_ = conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.callers {
		if other == conn {
			c.callers = append(c.callers[:i:i], c.callers[i+1:]...)
			return
		}
	}
}

// handle reads one call and answers it. Errors of the connection end it: there is nobody
// to report them to.
func (c *Console) handle(conn net.Conn) {
	defer c.release(conn)
	_ = conn.SetDeadline(time.Now().Add(lineTimeout))
	line, err := readLine(conn)
	if err != nil && !errors.Is(err, errTooLong) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return // no call came, or not in time
	}
	answer := ""
	if err == nil {
		answer, err = c.execute(line)
	}
	_ = conn.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(conn, answerLine(answer, err)); err != nil {
		return
	}
	// A close while something of the caller's is unread would be a reset, which can
	// overtake the answer: close our side, and read until the caller has closed its own.
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxLinger))
}

var oneLine = strings.NewReplacer("\r", " ", "\n", " ")

// answerLine is the line that answers a call.
func answerLine(text string, err error) string {
	switch {
	case err != nil:
		return "FAILURE " + oneLine.Replace(err.Error()) + "\n"
	case text != "":
		return "SUCCESS " + text + "\n"
	}
	return "SUCCESS\n"
}

var errTooLong = errors.New("the line is too long")

// readLine reads one line ended by LF or CRLF, in whatever pieces it comes.
func readLine(r io.Reader) (string, error) {
	buf := make([]byte, 0, maxLine)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if line, _, complete := bytes.Cut(buf, []byte("\n")); complete {
			return strings.TrimSuffix(string(line), "\r"), nil
		}
		switch {
		case len(buf) == cap(buf):
			return "", errTooLong
		case err == io.EOF && len(buf) > 0:
			return "", io.ErrUnexpectedEOF // a part of an id could be another's id
		case err != nil:
			return "", err
		}
	}
}
