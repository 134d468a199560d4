package httpfront

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yardflow/internal/gateway/broker"
	"yardflow/internal/gateway/config"
	"yardflow/internal/testing/standin/script"
	"yardflow/scheduling/dispatch"
)

// frontTest is a front on real connections, with one scripted worker behind it.
type frontTest struct {
	*testing.T
	limiter  *ConnLimiter
	front    *Frontend
	server   *http.Server
	listener *Listener
	worker   *script.Worker
	workers  *WorkerConns
	broker   *broker.Broker
	reads    atomic.Int64           // from clients' sockets; counted before their bytes are
	onRead   atomic.Pointer[func()] // runs then
}

func newFrontTest(t *testing.T, change func(*config.Config)) *frontTest {
	cfg := testConfig()
	if change != nil {
		change(cfg)
	}
	e := &frontTest{T: t, limiter: NewConnLimiter(8), worker: script.NewWorker(t), broker: newTestBroker(t, cfg)}
	live := config.NewInForce(cfg)
	e.broker.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: e.worker.Addr}})
	e.workers = NewWorkerConns(live, 8)
	e.front = NewFrontend(e.broker, e.workers, NewRequestReader(live, e.limiter))
	e.server = e.front.Server()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.listener = e.limiter.Listen(l)
	e.limiter.onRead = func() {
		e.reads.Add(1)
		if f := e.onRead.Load(); f != nil {
			(*f)()
		}
	}
	t.Cleanup(func() { _ = e.server.Close() })
	return e
}

func (e *frontTest) start() *frontTest {
	go func() { _ = e.server.Serve(e.listener) }() // ends with the server
	return e
}

// idleClient has a client get one answer, so that its connection is idle.
func (e *frontTest) idleClient() *script.Client {
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("unsafe", "first"))
	e.worker.Next().Done("ok")
	if status, _ := c.Answer(); status != 200 {
		e.Fatal("status", status)
	}
	e.await("the connection is idle", func() bool {
		return e.allConns(func(c *clientConn) bool { return c.idle() })
	})
	return c
}

// allConns reports whether a condition holds for every connection.
func (e *frontTest) allConns(holds func(*clientConn) bool) bool {
	e.limiter.mu.Lock()
	defer e.limiter.mu.Unlock()
	for c := range e.limiter.conns {
		if !holds(c) {
			return false
		}
	}
	return true
}

func (e *frontTest) await(what string, holds func() bool) {
	e.Helper()
	for limit := time.Now().Add(script.Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			e.Fatal("timed out waiting until ", what)
		}
	}
}

// assertNoCall checks that no request has reached the worker. The caller has waited for an event after which none can.
func (e *frontTest) assertNoCall() {
	e.Helper()
	select {
	case call := <-e.worker.Calls:
		e.Errorf("the worker got %s, which can never be answered", call.ID)
	default:
	}
}

// sendDuringClose has the client write a request while its connection is being closed, and the close go on only once the
// bytes are there.
func (e *frontTest) sendDuringClose(c *script.Client, request string) {
	var once sync.Once
	e.limiter.onClose = func(held *clientConn) {
		if held.RemoteAddr().String() != c.Conn.LocalAddr().String() {
			return
		}
		once.Do(func() {
			before := e.reads.Load()
			c.Send(request)
			for !held.hasUnreadBytes() && e.reads.Load() == before {
				time.Sleep(100 * time.Microsecond)
			}
		})
	}
}

// Whoever closes a connection: a request that comes at that moment is neither reset, with an answer that may be on its
// way, nor served where no answer can follow.
func TestRequestDuringCloseIsNeitherResetNorServed(t *testing.T) {
	for name, end := range map[string]func(*frontTest, *script.Client){
		"a planned restart": func(e *frontTest, _ *script.Client) { e.limiter.CloseIdleConnections() },
		"room for another": func(e *frontTest, _ *script.Client) {
			e.limiter.Resize(1)
			script.Dial(e, e.listener.Addr())
		},
		"the last answer": func(e *frontTest, c *script.Client) {
			e.front.DisableKeepAlives()
			c.Send(script.Job("unsafe", "second"))
			e.worker.Next().Done("the last answer")
			if _, body := c.Answer(); body != "the last answer" {
				e.Errorf("the client got %q", body)
			}
		},
		"the server's end": func(e *frontTest, _ *script.Client) { _ = e.server.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			e := newFrontTest(t, nil).start()
			c := e.idleClient()
			e.sendDuringClose(c, script.Job("unsafe", "crossing"))
			end(e, c)
			if inOrder, rest := c.End(); !inOrder || rest != "" {
				t.Errorf("the connection ends in order: %t, after %q", inOrder, rest)
			}
			c.Close()
			e.await("the socket is released", func() bool { return e.limiter.LingeringConnections() == 0 })
			e.assertNoCall()
		})
	}
}

// The server's own time-out for idle connections closes them in the same way.
func TestIdleTimeoutDoesNotResetConcurrentRequest(t *testing.T) {
	e := newFrontTest(t, nil)
	e.server.IdleTimeout = 20 * time.Millisecond
	e.start()
	c := script.Dial(e, e.listener.Addr())
	e.sendDuringClose(c, script.Job("unsafe", "crossing"))
	c.Send(script.Job("unsafe", "first"))
	e.worker.Next().Done("ok")
	c.Answer()
	if inOrder, _ := c.End(); !inOrder {
		t.Error("the connection was reset")
	}
	e.assertNoCall()
}

// A request is read from the socket, and before it is counted its connection, which seems idle, is closed. (It was once
// forwarded to a worker, and its answer had nowhere to go.)
func TestRequestReadDuringCloseIsNotServed(t *testing.T) {
	e := newFrontTest(t, nil).start()
	c := e.idleClient()
	var once sync.Once
	closeIdle := func() { once.Do(e.limiter.CloseIdleConnections) }
	e.onRead.Store(&closeIdle)
	c.Send(script.Job("unsafe", "crossing"))
	if inOrder, rest := c.End(); !inOrder || rest != "" {
		t.Errorf("the connection ends in order: %t, after %q", inOrder, rest)
	}
	other := script.Dial(e, e.listener.Addr())
	other.Send(script.Job("unsafe", "other"))
	if call := e.worker.Next(); call.ID != "other" {
		t.Errorf("the worker got %s, which can never be answered", call.ID)
	}
}

// Past the limit and its overflow the rejection is sent before any request is read. The client's request has come already:
// the reset for it could overtake the rejection.
func TestRejectionPastLimitIsNotReset(t *testing.T) {
	e := newFrontTest(t, nil)
	for range e.limiter.max + maxOverflow {
		e.limiter.conns[&clientConn{limiter: e.limiter, unanswered: 1}] = struct{}{} // their requests are under way
	}
	var past []*script.Client
	for range 2 {
		c := script.Dial(e, e.listener.Addr())
		c.Send(script.Job("unsafe", "r"))
		past = append(past, c)
	}
	e.start()
	for _, c := range past {
		if status, _ := c.Answer(); status != http.StatusServiceUnavailable {
			t.Error("status", status)
		}
	}
	// The second of them was accepted once the first was closed.
	if inOrder, _ := past[0].End(); !inOrder || past[0].WasReset() {
		t.Error("the connection was reset")
	}
}

// Connections that the kernel has accepted when the listener is closed count as taken.
func TestListenerCloseServesBacklog(t *testing.T) {
	e := newFrontTest(t, nil)
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("unsafe", "waiting"))
	closed := make(chan error)
	go func() { closed <- e.listener.Close() }()
	for !e.listener.closing.Load() {
		time.Sleep(100 * time.Microsecond)
	}
	e.start()
	e.worker.Next().Done("ok")
	if status, _ := c.Answer(); status != 200 {
		t.Error("status", status)
	}
	if err := <-closed; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", e.listener.Addr().String()); err == nil {
		t.Error("it still listens")
	}
}

// Where another process listens on the same socket, the backlog is that process's.
func TestListenerCloseNowLeavesBacklog(t *testing.T) {
	e := newFrontTest(t, nil)
	file, err := e.listener.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	other, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c := script.Dial(e, e.listener.Addr())
	e.start()
	e.await("it is accepted", func() bool { return e.limiter.OpenConnections() == 1 })
	c.Close()
	if err := e.listener.CloseNow(); err != nil {
		t.Error(err)
	}
	next := script.Dial(e, other.Addr())
	next.Send("x")
	conn, err := other.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if n, err := conn.Read(make([]byte, 1)); n != 1 {
		t.Error("the other process gets nothing:", err)
	}
}

// A listener that nobody accepts from is closed too.
func TestListenerCloseWithoutAccept(t *testing.T) {
	e := newFrontTest(t, nil)
	if err := e.listener.Close(); err != nil || !errors.Is(e.listener.Close(), net.ErrClosed) {
		t.Error(err)
	}
}

// answerCounts counts the broker's answers by their kind.
func (e *frontTest) answerCounts() func(broker.AnswerKind) int {
	var mu sync.Mutex
	count := map[string]int{}
	e.broker.SetTrace(func(line string) {
		mu.Lock()
		defer mu.Unlock()
		var id, kind int
		if n, _ := fmt.Sscanf(line, "answer %d verdict=%d", &id, &kind); n == 2 {
			count[strconv.Itoa(kind)]++
		}
	})
	return func(v broker.AnswerKind) int {
		mu.Lock()
		defer mu.Unlock()
		return count[strconv.Itoa(int(v))]
	}
}

// A client sends more behind its request and leaves. The server reads no further than the first byte of that until it has
// answered. (Without reading ahead the request waited on, and was sent when a worker came.)
func TestClientDisconnectBehindFurtherBytesIsNoticed(t *testing.T) {
	for name, further := range map[string]string{"a request": script.Job("unsafe", "second"), "half a request": "POST /unsafe HT", "more than is kept": strings.Repeat("x", 3*maxReadAheadBytes)} {
		t.Run(name, func(t *testing.T) {
			e := newFrontTest(t, nil)
			answers := e.answerCounts()
			e.broker.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: e.worker.Addr, State: dispatch.Draining}})
			e.start()
			c := script.Dial(e, e.listener.Addr())
			c.Send(script.Job("unsafe", "first"))
			e.await("the request waits", func() bool { return e.broker.Stats().Waiting == 1 })
			c.Send(further)
			c.Close()
			e.await("all requests have ended", func() bool { return e.broker.Stats().Open == 0 })
			if answers(broker.AnswerClientGone) < 1 || answers(broker.AnswerRejected) > 0 {
				t.Errorf("%d requests ended because their client left, %d were rejected", answers(broker.AnswerClientGone), answers(broker.AnswerRejected))
			}
			e.broker.UpdateWorkers(dispatch.ListFull, []broker.Worker{{ID: "s", Addr: e.worker.Addr}})
			e.await("the connection is released", func() bool { return e.limiter.OpenConnections() == 0 })
			e.assertNoCall()
		})
	}
}

// Requests that come behind one that is under way, in pieces of any size, are served in order.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	e := newFrontTest(t, nil).start()
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("unsafe", "r0"))
	call := e.worker.Next()
	var further strings.Builder
	const more = 20
	for i := 1; i <= more; i++ {
		further.WriteString(script.Job("unsafe", "r"+strconv.Itoa(i)))
	}
	for text := further.String(); text != ""; {
		piece := min(37, len(text))
		c.Send(text[:piece])
		text = text[piece:]
	}
	for i := 0; ; i++ {
		if want := "r" + strconv.Itoa(i); call.ID != want {
			t.Fatalf("the worker got %s, want %s", call.ID, want)
		}
		call.Done(call.ID)
		if _, body := c.Answer(); body != call.ID {
			t.Fatalf("the client got %q, want %q", body, call.ID)
		}
		if i == more {
			break
		}
		call = e.worker.Next()
	}
}

// A client that sends more beside a request than is kept is served what is kept, and then sees the end of the connection
// without a reset.
func TestFloodBehindRequestEndsWithoutReset(t *testing.T) {
	e := newFrontTest(t, nil).start()
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("unsafe", "r"))
	call := e.worker.Next()
	request := script.Job("unsafe", "next")
	c.Send(strings.Repeat(request, 2*maxReadAheadBytes/len(request)))
	e.await("the flood is read", func() bool { return e.allConns(func(c *clientConn) bool { return !c.hasUnreadBytes() }) })
	call.Done("ok")
	go func() {
		for call := range e.worker.Calls {
			call.Done("ok")
		}
	}()
	if inOrder, rest := c.End(); !inOrder || strings.Count(rest, "200 OK") < maxReadAheadBytes/len(request) {
		t.Errorf("the connection ends in order: %t, after %d answers", inOrder, strings.Count(rest, "200 OK"))
	}
}

// slowDial makes every connection to a worker come up only at a given time.
func (e *frontTest) slowDial(until func() time.Time) {
	dial := e.workers.transport.DialContext
	e.workers.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		time.Sleep(time.Until(until()))
		return dial(ctx, network, addr)
	}
}

// X-Timeout says what is left once the connection to the worker has come up, not before.
func TestTimeoutHeaderIsTimeLeftAfterConnect(t *testing.T) {
	e := newFrontTest(t, nil)
	const connecting = 200 * time.Millisecond
	e.slowDial(func() time.Time { return time.Now().Add(connecting) })
	e.start()
	c := script.Dial(e, e.listener.Addr())
	begun := time.Now()
	c.Send(script.Job("unsafe", "r"))
	call := e.worker.Next()
	left, err := strconv.ParseFloat(call.Header.Get("X-Timeout"), 64)
	if took := time.Since(begun); err != nil || left > 5-connecting.Seconds() || left < 5-took.Seconds()-0.1 {
		t.Errorf("X-Timeout is %v s (%v) after %v", left, err, took)
	}
	call.Done("ok")
	c.Answer()
}

// A retry of a job with an idempotency key is decided on inside its window, and its connection comes up after it: the
// worker would no longer drop it as a duplicate, and it would run twice.
func TestRetryIsNotSentPastDedupWindow(t *testing.T) {
	const window = 400 * time.Millisecond
	e := newFrontTest(t, func(cfg *config.Config) {
		cfg.Classes, cfg.Dispatch.Classes[0].Name = []string{"keyed"}, "keyed"
		cfg.Dispatch.Classes[0].Semantics, cfg.Dispatch.Classes[0].DedupScope, cfg.Dispatch.Classes[0].DedupWindow = dispatch.Deduplicated, dispatch.ScopeCell, window
	})
	var over atomic.Int64 // when the window is, in Unix nanoseconds; 0: nothing has run
	e.slowDial(func() time.Time { return time.Unix(0, over.Load()) })
	e.start()
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("keyed", "r"))
	first := e.worker.Next()
	over.Store(time.Now().Add(window).UnixNano())
	first.Conn.Close() // it may have run
	if status, _ := c.Answer(); status != http.StatusBadGateway {
		t.Error("status", status)
	}
	e.assertNoCall()
}

// A client leaves while the connection for its request is being made: nothing is written to that.
func TestClientDisconnectDuringConnectPreventsSend(t *testing.T) {
	e := newFrontTest(t, nil)
	connecting, left := make(chan struct{}), make(chan struct{})
	dial := e.workers.transport.DialContext
	e.workers.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		close(connecting)
		<-left
		return dial(context.WithoutCancel(ctx), network, addr) // it comes up all the same
	}
	e.start()
	c := script.Dial(e, e.listener.Addr())
	c.Send(script.Job("unsafe", "r"))
	<-connecting
	c.Close()
	e.await("the request has ended", func() bool { return e.broker.Stats().Open == 0 })
	close(left)
	e.await("its connection has come up", func() bool {
		e.workers.mu.Lock()
		defer e.workers.mu.Unlock()
		return len(e.workers.open) == 1
	})
	e.assertNoCall()
}

// What a worker sends behind its final line, and how its connection ends then, changes nothing. A response that ends
// before a final line may have run, and is not retried.
func TestWorkerResponseEndings(t *testing.T) {
	line := func(state string) string { return `{"id":"r","state":"` + state + `","result":"ok"}` + "\n" }
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		status int
		body   string
	}{
		"a second last line":            {head + line("done") + line("failed"), 200, "ok"},
		"a reset behind the last line":  {head + line("done"), 200, "ok"},
		"half a last line":              {head + line("done")[:20], http.StatusBadGateway, ""},
		"a last line without its end":   {head + strings.TrimSuffix(line("done"), "\n"), http.StatusBadGateway, ""},
		"a result that is missing":      {head + `{"id":"r","state":"done"}` + "\n", http.StatusBadGateway, ""},
		"half a head":                   {"HTTP/1.1 200 OK\r\nConte", http.StatusBadGateway, ""},
		"an error without the mark":     {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway, ""},
		"an answer that is no protocol": {"hello\r\n\r\n", http.StatusBadGateway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFrontTest(t, nil).start()
			client := script.Dial(e, e.listener.Addr())
			client.Send(script.Job("unsafe", "r"))
			call := e.worker.Next()
			fmt.Fprint(call.Conn, c.answer)
			call.Conn.(*net.TCPConn).SetLinger(0)
			call.Conn.Close()
			if status, body := client.Answer(); status != c.status || c.body != "" && body != c.body {
				t.Errorf("status %d, body %q", status, body)
			}
			e.assertNoCall()
		})
	}
}

// A worker reads a body of many packets whole and resets the connection: the job may have run.
func TestResetBehindLargeBodyMayHaveRun(t *testing.T) {
	e := newFrontTest(t, nil).start()
	client := script.Dial(e, e.listener.Addr())
	request := strings.Replace(script.Job("unsafe", "r"), "Content-Length: 1\r\n\r\nx", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", maxBodyBytes, strings.Repeat("x", maxBodyBytes)), 1)
	client.Send(request)
	call := e.worker.Next()
	call.Conn.(*net.TCPConn).SetLinger(0)
	call.Conn.Close()
	if status, _ := client.Answer(); status != http.StatusBadGateway {
		t.Error("status", status)
	}
	e.assertNoCall()
}
