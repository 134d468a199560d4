// Package script holds the two ends that tests put around a dispatcher: a client and a loan
// worker that do what a test tells them, one step at a time, over real connections on loopback.
// Nothing happens by itself, so a test can force one order of events and see what follows.
// A step that does not come about in Patience fails the test.
package script

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Patience is how long a step may take that has to come about.
const Patience = 10 * time.Second

// Client is one client's connection to a dispatcher.
type Client struct {
	Conn *net.TCPConn
	t    testing.TB
	in   *bufio.Reader
}

// Dial connects a client; the test's end closes it.
func Dial(t testing.TB, addr net.Addr) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &Client{Conn: conn.(*net.TCPConn), t: t, in: bufio.NewReader(conn)}
}

// Job words a request of a class with a body of one byte. Its client waits for 5 s.
func Job(class, id string) string {
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout: 5\r\nContent-Length: 1\r\n\r\nx", class, id, class)
}

// Send writes bytes.
func (c *Client) Send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatalf("the client can't send: %v", err)
	}
}

// Answer reads one whole answer and gives its status and body.
func (c *Client) Answer() (status int, body string) {
	c.t.Helper()
	_ = c.Conn.SetReadDeadline(time.Now().Add(Patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("the client gets no answer: %v", err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("the client gets half an answer: %v", err)
	}
	return resp.StatusCode, string(text)
}

// End reads to the end of the connection. It tells whether that was in order (a FIN) rather
// than a reset, and what else came before it.
func (c *Client) End() (inOrder bool, rest string) {
	c.t.Helper()
	_ = c.Conn.SetReadDeadline(time.Now().Add(Patience))
	text, err := io.ReadAll(c.in)
	if err != nil && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Fatalf("the connection does not end: %v", err)
	}
	return err == nil, string(text)
}

// WasReset tells whether a reset has come, also behind an end in order.
func (c *Client) WasReset() bool {
	c.t.Helper()
	raw, err := c.Conn.SyscallConn()
	if err != nil {
		c.t.Fatal(err)
	}
	pending := 0
	_ = raw.Control(func(fd uintptr) { pending, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	if err != nil {
		c.t.Fatal(err)
	}
	return pending != 0
}

// Close closes the client's end.
func (c *Client) Close() { _ = c.Conn.Close() }

// Worker is a loan worker. Each request that reaches it whole becomes a Call.
type Worker struct {
	Addr  string
	Calls chan *Call
	t     testing.TB
}

// Call is one request at a worker.
type Call struct {
	ID     string // X-Request-ID
	Header http.Header
	Conn   net.Conn
}

// NewWorker starts a worker; the test's end stops it.
func NewWorker(t testing.TB) *Worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	w := &Worker{Addr: l.Addr().String(), Calls: make(chan *Call, 64), t: t}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			t.Cleanup(func() { conn.Close() })
			go w.read(conn)
		}
	}()
	return w
}

func (w *Worker) read(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		w.Calls <- &Call{ID: r.Header.Get("X-Request-Id"), Header: r.Header, Conn: conn}
	}
}

// Next waits for the next call.
func (w *Worker) Next() *Call {
	w.t.Helper()
	select {
	case c := <-w.Calls:
		return c
	case <-time.After(Patience):
		w.t.Fatal("no call comes to the worker")
		return nil
	}
}

// Done answers the call with a result.
func (c *Call) Done(result string) {
	line := fmt.Sprintf("{\"id\":%q,\"state\":\"done\",\"result\":%q}\n", c.ID, result)
	fmt.Fprintf(c.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
}
