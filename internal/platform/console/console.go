// Package console is the operators' door: one line to a connection, one line
// back, and the end.
//
// It owns callers' connections and the wording of calls and answers. It must
// never wait for the module or for another caller, never hold more than a few
// descriptors, and never act on a line whose end it has not seen.
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

// MaxSockets is the most that a console holds: its listener, its callers, and one
// more that is being let in.
const MaxSockets = maxCallers + 2

const (
	maxLine    = 512
	maxCallers = 8               // at once; past it the one silent longest makes room
	lineWithin = 5 * time.Second // a line must be whole by then
	lingers    = 500 * time.Millisecond
)

// Operations is what operators may ask for. An error is a no, and says why.
type Operations interface {
	Ready() error
	Exclude(worker string) error
	Include(worker string) error
	DescribeSources() (string, error)           // what each source of loan workers says, in one line
	DescribeWorker(name string) (string, error) // who says what of one, in one line
	DescribeReservations() (string, error)      // what is held for large jobs, in one line
	DescribePolicy() (string, error)            // which policy is in force here, and for how long yet
}

// Console answers callers on one listener.
type Console struct {
	door Operations
	l    net.Listener

	mu      sync.Mutex
	callers []net.Conn // the oldest first
}

// New makes a console; Serve answers until Close.
func New(l net.Listener, d Operations) *Console { return &Console{l: l, door: d} }

// Serve takes callers until the listener is closed.
func (c *Console) Serve() error {
	for {
		conn, err := c.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Out of descriptors, or the caller left: neither may end the door.
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c.admit(conn)
		go c.serve(conn)
	}
}

// Close ends the door and its callers.
func (c *Console) Close() {
	c.l.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.callers {
		conn.Close()
	}
}

// admit makes room: callers that connect and say nothing must not keep others out.
func (c *Console) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.callers) >= maxCallers {
		c.callers[0].Close()
		c.callers = c.callers[1:]
	}
	c.callers = append(c.callers, conn)
}

func (c *Console) leave(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.callers {
		if other == conn {
			c.callers = append(c.callers[:i:i], c.callers[i+1:]...)
			return
		}
	}
}

func (c *Console) serve(conn net.Conn) {
	defer c.leave(conn)
	conn.SetDeadline(time.Now().Add(lineWithin))
	line, err := readLine(conn)
	answer := "SUCCESS"
	switch text, err := "", err; {
	case errors.Is(err, errTooLong), errors.Is(err, io.ErrUnexpectedEOF):
		answer = "FAILURE " + err.Error()
	case err != nil:
		return // nobody asked anything, or it took too long
	default:
		if text, err = c.call(line); err != nil {
			answer = "FAILURE " + oneLine.Replace(err.Error())
		} else if text != "" {
			answer += " " + text
		}
	}
	conn.SetDeadline(time.Now().Add(lingers))
	if _, err := io.WriteString(conn, answer+"\n"); err != nil {
		return
	}
	// A close while something of the caller's waits unread would be a reset, which
	// can overtake the answer.
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	io.Copy(io.Discard, io.LimitReader(conn, 64<<10))
}

var (
	errTooLong = errors.New("the line is too long")
	oneLine    = strings.NewReplacer("\r", " ", "\n", " ")
)

// readLine reads one line ended by LF or CRLF, in whatever pieces it comes.
func readLine(r io.Reader) (string, error) {
	buf := make([]byte, 0, maxLine)
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if line, _, whole := bytes.Cut(buf, []byte("\n")); whole {
			return strings.TrimSuffix(string(line), "\r"), nil
		}
		switch {
		case len(buf) == cap(buf):
			return "", errTooLong
		case err == io.EOF && len(buf) > 0:
			return "", io.ErrUnexpectedEOF // a cut id could be another's
		case err != nil:
			return "", err
		}
	}
}

func (c *Console) call(line string) (string, error) {
	word := strings.Fields(line)
	if len(word) == 0 {
		return "", errors.New("no call; readyz, exclude ID, include ID, sources, worker ID, room and policy are known")
	}
	var do func(string) error
	switch word[0] {
	case "sources", "room", "policy":
		if len(word) != 1 {
			return "", errors.New(word[0] + " takes nothing more")
		}
		ask := c.door.DescribeSources
		switch word[0] {
		case "room":
			ask = c.door.DescribeReservations
		case "policy":
			ask = c.door.DescribePolicy
		}
		text, err := ask()
		return oneLine.Replace(text), err
	case "worker":
		if len(word) != 2 {
			return "", errors.New("worker takes one id")
		}
		text, err := c.door.DescribeWorker(word[1])
		return oneLine.Replace(text), err
	case "readyz":
		if len(word) != 1 {
			return "", errors.New("readyz takes nothing more")
		}
		return "ready", c.door.Ready()
	case "exclude":
		do = c.door.Exclude
	case "include":
		do = c.door.Include
	default:
		return "", errors.New("unknown call; readyz, exclude ID, include ID, sources, worker ID, room and policy are known")
	}
	if len(word) != 2 {
		return "", errors.New(word[0] + " takes one id")
	}
	return word[0] + " " + word[1], do(word[1])
}
