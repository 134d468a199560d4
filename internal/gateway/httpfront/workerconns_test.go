package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/scheduling/dispatch"
)

// A worker that starts to drain while a connection to it is being made gets nothing over it: a send counts from its first
// byte, and a slow connect could take it past the time that the rules allow.
func TestDrainDuringConnectPreventsSend(t *testing.T) {
	cfg := testConfig()
	b := newTestBroker(t, cfg)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a send to a draining worker") }))
	defer server.Close()
	w := broker.Worker{ID: "s", Addr: server.Listener.Addr().String()}
	b.UpdateWorkers(dispatch.ListFull, []broker.Worker{w})
	conns := NewWorkerConns(config.NewInForce(cfg), 8)
	dial := conns.transport.DialContext
	conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		w.State = dispatch.Draining
		b.UpdateWorkers(dispatch.ListDelta, []broker.Worker{w})
		return dial(ctx, network, addr)
	}
	s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{}, body: []byte("x"),
		Request: broker.Request{Slots: 1, Deadline: time.Now().Add(500 * time.Millisecond)}}
	if got := b.Serve(t.Context(), s.Request, conns.AttemptFunc(s)); got.Kind != broker.AnswerRejected {
		t.Errorf("got %+v, want a rejection: nothing has run", got)
	}
	if n := conns.sockets; n != 0 {
		t.Error(n, "sockets are still counted")
	}
}

// An attempt is reported as ended only once its connection is closed: reported earlier, the next attempt could be
// outstanding beside it.
func TestAttemptEndsAfterItsConnectionIsClosed(t *testing.T) {
	for name, answer := range map[string]string{"before the head": "", "mid-stream": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"another's line": "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"id\":\"other\"}\n"} {
		cfg := testConfig()
		b := newTestBroker(t, cfg)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			if conn, err := l.Accept(); err == nil {
				_, _ = conn.Read(make([]byte, 1024)) // a response before its request would not count
				_, _ = conn.Write([]byte(answer))
				<-t.Context().Done()
				conn.Close()
			}
		}()
		b.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: l.Addr().String()}})
		conns := NewWorkerConns(config.NewInForce(cfg), 8)
		var conn net.Conn
		dial := conns.transport.DialContext
		conns.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			conn = c
			return c, err
		}
		s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{},
			Request: broker.Request{Slots: 1, Deadline: time.Now().Add(1500 * time.Millisecond)}}
		b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
			o := conns.AttemptFunc(s)(ctx, a)
			if _, err := conn.(*workerConn).Conn.Write([]byte("x")); o.Code != broker.TimedOut && o.Code != broker.ConnectionLost || !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: reported as %+v while a write gives %v", name, o, err)
			}
			return o
		})
	}
}

// The transport's settings that the rules or the workers' cost rest on.
func TestWorkerTransportSettings(t *testing.T) {
	cfg := testConfig()
	tr := NewWorkerConns(config.NewInForce(cfg), 300).transport
	switch {
	case tr.IdleConnTimeout <= 0 || tr.IdleConnTimeout >= cfg.IdleTimeout:
		t.Errorf("idle connections stay %v; workers close theirs after %v", tr.IdleConnTimeout, cfg.IdleTimeout)
	case tr.MaxIdleConnsPerHost <= http.DefaultMaxIdleConnsPerHost:
		t.Errorf("%d idle connections a host", tr.MaxIdleConnsPerHost)
	case tr.Proxy != nil, !tr.DisableCompression, tr.ForceAttemptHTTP2:
		t.Error("a proxy, compression or HTTP/2 is on")
	}
	// A connection that never comes up: a listener whose queue is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	cfg.ConnectTimeout = 100 * time.Millisecond
	conns := NewWorkerConns(config.NewInForce(cfg), 16)
	for range 8 {
		conn, err := conns.transport.DialContext(t.Context(), "tcp", addr)
		if err == nil {
			defer conn.Close()
			continue
		}
		if e := net.Error(nil); !errors.As(err, &e) || !e.Timeout() {
			t.Errorf("got %v, want a time-out", err)
		}
		return
	}
	t.Error("no connect ran into its time-out")
}

// Past the sockets that may be held an attempt does not wait: it was not sent.
func TestAttemptWithoutFreeSocketIsNotSent(t *testing.T) {
	cfg := testConfig()
	b := newTestBroker(t, cfg)
	b.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: "127.0.0.1:1"}})
	conns := NewWorkerConns(config.NewInForce(cfg), 1)
	conns.acquireSocket()
	s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{},
		Request: broker.Request{Slots: 1, Deadline: time.Now().Add(300 * time.Millisecond)}}
	got := b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		o := conns.AttemptFunc(s)(ctx, a)
		if o.Code != broker.NotSent {
			t.Errorf("got %+v", o)
		}
		return o
	})
	if got.Kind != broker.AnswerRejected {
		t.Errorf("got %+v", got)
	}
}

// A kept connection that was reset unseen costs the request that finds it, and no other that may run only once: those get
// connections of their own for a while. A request that may be retried goes on using kept ones.
func TestStaleKeptConnectionDistrustsReuse(t *testing.T) {
	cfg := testConfig()
	cfg.Dispatch.Classes = append(cfg.Dispatch.Classes, dispatch.Class{Name: "keyed", LatencyTarget: 20 * time.Second, Deadline: 5 * time.Second,
		Value: 1, Semantics: dispatch.Retryable, WorkerKind: -1})
	b := newTestBroker(t, cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan int, 16) // the number of the connection that each request came over
	go func() {
		for n := 0; ; n++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(conn)
				for i := 0; ; i++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					served <- n
					if n == 0 && i == 1 { // the first connection is reset at its second request
						conn.(*net.TCPConn).SetLinger(0)
						conn.Close()
						return
					}
					line := fmt.Sprintf("{\"id\":%q,\"state\":\"done\",\"result\":\"ok\"}\n", req.Header.Get("X-Request-Id"))
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)
				}
			}()
		}
	}()
	b.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: l.Addr().String()}})
	conns := NewWorkerConns(config.NewInForce(cfg), 16)
	for i, c := range []struct {
		class, conn int
		code        broker.Code
	}{{0, 0, broker.OK}, {0, 0, broker.StaleConnection}, {0, 1, broker.OK}, {1, 2, broker.OK}, {1, 2, broker.OK}, {0, 3, broker.OK}} {
		s := &JobRequest{cfg: cfg, ID: fmt.Sprint("r", i), method: "POST", uri: "/x", header: http.Header{}, body: []byte("x"),
			Request: broker.Request{Class: c.class, Slots: 1, Deadline: time.Now().Add(5 * time.Second)}}
		b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
			o := conns.AttemptFunc(s)(ctx, a)
			conns.AwaitDrained()
			if n := <-served; n != c.conn || o.Code != c.code {
				t.Errorf("session %d: connection %d, code %d, want %d and %d", i, n, o.Code, c.conn, c.code)
			}
			return o
		})
	}
}
