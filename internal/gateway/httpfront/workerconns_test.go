package httpfront

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/discovery/backoff"
	"yardflow/internal/discovery/membership"
	"yardflow/internal/gateway/broker"
	"yardflow/internal/platform/config"
	"yardflow/scheduling/dispatch"
)

func testConfig() *config.Config {
	return &config.Config{Classes: []string{"unsafe"}, Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"},
		LoadColumns: []string{"cpu", "err_rps", "x0"}, ConnectTimeout: time.Second, IdleTimeout: time.Minute,
		Dispatch: dispatch.Settings{DispatcherCount: 1, MaxAttempts: 4, MustSubscribe: true, ListRefreshInterval: 10 * time.Second,
			Classes: []dispatch.Class{{Name: "unsafe", LatencyTarget: 20 * time.Second, Deadline: 5 * time.Second, Value: 1,
				Semantics: dispatch.AtMostOnce, WorkerKind: -1}}}}
}

func newTestBroker(t *testing.T, cfg *config.Config) *broker.Broker {
	b, err := broker.New(cfg.Dispatch, 1, nil, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// A worker that starts to drain while a connection to it is being made gets
// nothing over it: a send counts from its first byte, and a slow connect could
// take it past the time that the rule allows.
func TestDrainDuringConnectPreventsSend(t *testing.T) {
	cfg := testConfig()
	b := newTestBroker(t, cfg)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a send to a draining worker") }))
	defer server.Close()
	w := broker.Worker{ID: "s", Addr: server.Listener.Addr().String()}
	b.UpdateWorkers(dispatch.ListFull, []broker.Worker{w})
	lines := NewWorkerConns(config.NewInForce(cfg), 8)
	dial := lines.transport.DialContext
	lines.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		w.State = dispatch.Draining
		b.UpdateWorkers(dispatch.ListDelta, []broker.Worker{w})
		return dial(ctx, network, addr)
	}
	s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{}, body: []byte("x"),
		Request: broker.Request{Slots: 1, Deadline: time.Now().Add(500 * time.Millisecond)}}
	if got := b.Serve(t.Context(), s.Request, lines.AttemptFunc(s)); got.Kind != broker.AnswerRejected {
		t.Errorf("got %+v, want a refusal: nothing has run", got)
	}
	if n := lines.sockets; n != 0 {
		t.Error(n, "sockets are still counted")
	}
}

// A dispatch is told as ended only once its connection is closed: told before,
// the next attempt could be out beside it, a second copy.
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
				conn.Read(make([]byte, 1024)) // an answer before its request would not count
				conn.Write([]byte(answer))
				<-t.Context().Done()
				conn.Close()
			}
		}()
		b.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: l.Addr().String()}})
		lines := NewWorkerConns(config.NewInForce(cfg), 8)
		var conn net.Conn
		dial := lines.transport.DialContext
		lines.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			conn = c
			return c, err
		}
		s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{},
			Request: broker.Request{Slots: 1, Deadline: time.Now().Add(1500 * time.Millisecond)}}
		b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
			o := lines.AttemptFunc(s)(ctx, a)
			if _, err := conn.(*workerConn).Conn.Write([]byte("x")); o.Code != broker.TimedOut && o.Code != broker.ConnectionLost || !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s: told %+v while a write gives %v", name, o, err)
			}
			return o
		})
	}
}

// The transport's own settings that the rules or the loan workers' cost rest on.
func TestWorkerTransportSettings(t *testing.T) {
	cfg := testConfig()
	tr := NewWorkerConns(config.NewInForce(cfg), 300).transport
	switch {
	case tr.IdleConnTimeout <= 0 || tr.IdleConnTimeout >= cfg.IdleTimeout:
		t.Errorf("idle connections stay %v; loan workers close theirs after %v", tr.IdleConnTimeout, cfg.IdleTimeout)
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
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	cfg.ConnectTimeout = 100 * time.Millisecond
	lines := NewWorkerConns(config.NewInForce(cfg), 16)
	for range 8 {
		conn, err := lines.transport.DialContext(t.Context(), "tcp", addr)
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

// Past its sockets a dispatch does not wait: it was never sent.
func TestAttemptWithoutFreeSocketIsNotSent(t *testing.T) {
	cfg := testConfig()
	b := newTestBroker(t, cfg)
	b.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: "127.0.0.1:1"}})
	lines := NewWorkerConns(config.NewInForce(cfg), 1)
	lines.acquireSocket()
	s := &JobRequest{cfg: cfg, ID: "r", method: "POST", uri: "/unsafe", header: http.Header{},
		Request: broker.Request{Slots: 1, Deadline: time.Now().Add(300 * time.Millisecond)}}
	got := b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
		o := lines.AttemptFunc(s)(ctx, a)
		if o.Code != broker.NotSent {
			t.Errorf("got %+v", o)
		}
		return o
	})
	if got.Kind != broker.AnswerRejected {
		t.Errorf("got %+v", got)
	}
}

// The settings name a report's values by the simulator's words, workers by their own.
func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string][]float64{
		`{"util":0.5,"eps":2,"x0":1,"more":9}`: {0.5, 2, 1},
		`{"cpu":0.5,"err_rps":2,"x0":1}`:       {0.5, 2, 1},
		`{"util":0.5,"x0":1}`:                  nil,
		`{"util":"a","eps":2,"x0":1}`:          nil,
		`[]`:                                   nil,
		``:                                     nil,
	} {
		if diff := cmp.Diff(want, parseLoad(testConfig().LoadColumns, []byte(text))); diff != "" {
			t.Errorf("%s: %s", text, diff)
		}
	}
}

// The table takes up the known list, asks from its generation, chains its watches, and after a
// failed call asks again soon, for what there is to tell now: its word is due.
func TestServerTableFollowsDiscovery(t *testing.T) {
	calls := make(chan string)
	answers := make(chan string)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case calls <- r.URL.RawQuery:
		case <-r.Context().Done():
			return
		}
		select {
		case text := <-answers:
			if text == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			fmt.Fprint(w, text)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	cfg := testConfig()
	cfg.Discovery = server.Listener.Addr().String()
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"instanceId":%q,"hostPort":"h:1","zone":"b","machineType":"m2","cell":3,"lifecycle":%q,"weight":1,"startedAtMs":1700000000123.5}`, id, state)
	}
	cfg.KnownList = json.RawMessage(`{"generation":41,"reset":true,"instances":[` + entry("s1", "SERVING") + `]}`)
	cfg.Membership = config.DefaultMembership()
	var mu sync.Mutex
	var said []string
	table, b := newTestTable(t, cfg, func(line string) {
		mu.Lock()
		defer mu.Unlock()
		said = append(said, line)
	})
	want := []membership.Worker{{ID: "s1", Addr: "h:1", Zone: "b", Kind: "m2", Cell: 3, Weight: 1, StartedAt: time.UnixMicro(1700000000123500)}}
	var known listResponse
	if err := json.Unmarshal(cfg.KnownList, &known); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, workersFrom(known.Instances)); diff != "" {
		t.Error(diff)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go table.Run(ctx)
	ready := func() [2]int { s := b.Stats(); return [2]int{s.Workers, s.Ready} }
	for i, step := range []struct {
		since int
		text  string
		ready [2]int // workers and ready ones, once the call is made
	}{
		{41, `{"generation":42,"reset":false,"instances":[` + entry("s2", "SERVING") + `]}`, [2]int{1, 0}},
		{42, `{"generation":43,"reset":false,"instances":[` + entry("s1", "DRAINING") + "," + entry("s3", "ODD") + `]}`, [2]int{2, 2}},
		{43, ``, [2]int{3, 1}},
		{43, `{"instances":[]}`, [2]int{3, 1}}, // a list without generation is none
		{43, `{"generation":44,"reset":true,"instances":[` + entry("s1", "SERVING") + `]}`, [2]int{3, 1}},
		{44, `{"generation":45,"reset":false,"instances":[` + entry("s1", "DELETED") + `]}`, [2]int{3, 1}},
		{45, `{"generation":45,"reset":false,"instances":[]}`, [2]int{3, 0}},
		// An id told twice: its last word counts. Then an outage: lists cut off, of nobody, none.
		{45, `{"generation":46,"reset":false,"instances":[` + entry("s4", "DRAINING") + "," + entry("s4", "SERVING") + `]}`, [2]int{3, 0}},
		{46, `{"generation":47,"reset":true,"instances":[` + entry("s4", "SERV")[:60], [2]int{4, 1}},
		{46, `{"generation":47,"reset":true,"instances":[]}`, [2]int{4, 1}},
		{46, ``, [2]int{4, 1}},
		{46, `{"generation":47,"reset":false,"instances":[` + strings.Replace(entry("s4", "SERVING"), "h:1", "h:2", 1) + `]}`, [2]int{4, 1}},
		{47, `{"generation":47,"reset":false,"instances":[]}`, [2]int{4, 1}},
	} {
		select {
		case got := <-calls:
			wait := backoff.LongPollTimeout(1, 0, 0)
			if slices.Contains([]int{0, 3, 4, 9, 10, 11}, i) { // the first one, or the call before failed
				wait = time.Millisecond
			}
			if want := fmt.Sprintf("since=%d&timeout_ms=%d", step.since, wait.Milliseconds()); got != want {
				t.Fatalf("call %d: got %s, want %s", i, got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("call %d never came", i)
		}
		if got := ready(); got != step.ready {
			t.Errorf("at call %d: workers and ready %v, want %v", i, got, step.ready)
		}
		answers <- step.text
	}
	mu.Lock()
	defer mu.Unlock()
	lines := []string{"first told", "it answers 503", "told again after 2 ", "unexpected end", "told again after 3 "}
	if !slices.EqualFunc(said, lines, strings.Contains) {
		t.Errorf("logged %q, want lines with %q", said, lines)
	}
}

// A kept connection that was reset unseen costs the request that finds it, and no
// other that has one life: those get connections of their own for a while. A
// request that may be repeated goes on using kept ones.
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
					io.Copy(io.Discard, req.Body)
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
	lines := NewWorkerConns(config.NewInForce(cfg), 16)
	for i, c := range []struct {
		class, conn int
		code        broker.Code
	}{{0, 0, broker.OK}, {0, 0, broker.StaleConnection}, {0, 1, broker.OK}, {1, 2, broker.OK}, {1, 2, broker.OK}, {0, 3, broker.OK}} {
		s := &JobRequest{cfg: cfg, ID: fmt.Sprint("r", i), method: "POST", uri: "/x", header: http.Header{}, body: []byte("x"),
			Request: broker.Request{Class: c.class, Slots: 1, Deadline: time.Now().Add(5 * time.Second)}}
		b.Serve(t.Context(), s.Request, func(ctx context.Context, a *broker.Attempt) broker.Outcome {
			o := lines.AttemptFunc(s)(ctx, a)
			lines.AwaitDrained()
			if n := <-served; n != c.conn || o.Code != c.code {
				t.Errorf("session %d: connection %d, code %d, want %d and %d", i, n, o.Code, c.conn, c.code)
			}
			return o
		})
	}
}
