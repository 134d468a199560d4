package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"yardflow/internal/platform/ingress/budget"
)

// Limits of the tests' listener.
const (
	testHeadBytes   = 8 << 10
	testHeadTimeout = 3 * time.Second
	testIdleTimeout = 15 * time.Second
	testBodyTimeout = 2 * time.Second
	testBodyBytes   = 100_000
)

// pipeListener is a listener whose connections are pipes, so that all of a test runs in virtual time.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), ended: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ended:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.ended) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// fixture is a gate with a server that answers a body's length.
type fixture struct {
	*testing.T
	gate     *Gate
	listener *pipeListener
	log      *bytes.Buffer
}

// serve runs a test against a gate in virtual time.
func serve(t *testing.T, limits budget.ClassLimits, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		log := &bytes.Buffer{}
		f := &fixture{T: t, gate: New(budget.Limits{budget.Clients: limits}, zerolog.New(log)), listener: newPipeListener(), log: log}
		server := f.gate.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(r, BodyLimits{Bytes: testBodyBytes, Timeout: testBodyTimeout})
			if err != nil {
				AnswerBodyError(w, err, "the job")
				return
			}
			fmt.Fprint(w, len(body))
		}))
		served := make(chan error, 1)
		go func() {
			served <- server.Serve(f.gate.Listen(f.listener, budget.Clients, func() RequestLimits {
				return RequestLimits{HeadBytes: testHeadBytes, HeadTimeout: testHeadTimeout, IdleTimeout: testIdleTimeout}
			}))
		}()
		test(f)
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
		time.Sleep(time.Minute) // until all connections have ended
		if usage := f.gate.budget.Usage(budget.Clients); usage != (budget.Usage{}) {
			t.Errorf("in the end %+v is held", usage)
		}
	})
}

var ample = budget.ClassLimits{Connections: 4, Bytes: 1 << 20, SmallBytes: 16 << 10, LargeBytes: 768 << 10}

// exchange writes a text and returns the status of the answer, or 0 if the connection ends without one.
func exchange(conn net.Conn, text string) int {
	go func() { _, _ = io.WriteString(conn, text) }() // fails where the request is refused before its end
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode
}

// lifetime returns how long a connection on which a text was written lasts without a further byte.
func lifetime(conn net.Conn, text string) time.Duration {
	startedAt := time.Now()
	_, _ = io.WriteString(conn, text) // the wait shows whether the connection has ended
	_, _ = io.Copy(io.Discard, conn)
	return time.Since(startedAt)
}

// logged returns the log once all goroutines wait.
func (f *fixture) logged() string {
	synctest.Wait()
	return f.log.String()
}

func (f *fixture) expectRefusals(cause Cause, want uint64) {
	f.Helper()
	log := f.logged()
	if got := f.gate.refusals.count(budget.Clients, cause); got != want {
		f.Errorf("%d refusals of cause %v, want %d", got, cause, want)
	}
	if want > 0 && !strings.Contains(log, `"cause":"`+cause.String()+`"`) {
		f.Errorf("no log line of cause %v: %s", cause, log)
	}
}

func post(field, body string) string {
	return "POST / HTTP/1.1\r\nHost: x\r\n" + field + "\r\n\r\n" + body
}

func TestHeadOverTheLimitIsAnswered431(t *testing.T) {
	serve(t, ample, func(f *fixture) {
		head := "GET / HTTP/1.1\r\nHost: x\r\nX-Long: "
		if status := exchange(f.listener.dial(), head+strings.Repeat("x", testHeadBytes-200)+"\r\n\r\n"); status != http.StatusOK {
			t.Errorf("a head under the limit is answered %d", status)
		}
		if status := exchange(f.listener.dial(), head+strings.Repeat("x", 4*testHeadBytes)); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a head over the limit is answered %d", status)
		}
		f.expectRefusals(HeadTooLarge, 1)
	})
}

func TestConnectionsEndAfterTheTimeOfTheirPhase(t *testing.T) {
	cases := []struct {
		name, text string
		lasts      time.Duration
		cause      Cause
		refusals   uint64
	}{
		{"no byte at all", "", testIdleTimeout, HeadTooSlow, 0},
		{"a part of a head", "GET / HTTP/1.1\r\n", testHeadTimeout, HeadTooSlow, 1},
		{"a part of a body", post("Content-Length: 10", "x"), testBodyTimeout, BodyTooSlow, 1},
		{"a part of a chunk", post("Transfer-Encoding: chunked", "a\r\nx"), testBodyTimeout, BodyTooSlow, 1},
		{"no byte after a request", "GET / HTTP/1.1\r\nHost: x\r\n\r\n", testIdleTimeout, HeadTooSlow, 0},
		{"a part of the next head", "GET / HTTP/1.1\r\nHost: x\r\n\r\nGET ", testIdleTimeout, HeadTooSlow, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serve(t, ample, func(f *fixture) {
				lasted := lifetime(f.listener.dial(), c.text)
				if lasted < c.lasts || lasted > c.lasts+lingerTimeout {
					t.Errorf("lasted %v, want %v", lasted, c.lasts)
				}
				f.expectRefusals(c.cause, c.refusals)
			})
		})
	}
}

func TestBodyOverTheLimitIsAnswered413(t *testing.T) {
	serve(t, ample, func(f *fixture) {
		if status := exchange(f.listener.dial(), post("Content-Length: 100001", strings.Repeat("x", testBodyBytes+1))); status != http.StatusRequestEntityTooLarge {
			t.Errorf("a body over the limit is answered %d", status)
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", testBodyBytes+1, strings.Repeat("x", testBodyBytes+1))
		if status := exchange(f.listener.dial(), post("Transfer-Encoding: chunked", chunk)); status != http.StatusRequestEntityTooLarge {
			t.Errorf("a chunked body over the limit is answered %d", status)
		}
		f.expectRefusals(BodyTooLarge, 2)
	})
}

func TestBodyThatDoesNotFitIsAnswered503(t *testing.T) {
	limits := budget.ClassLimits{Connections: 4, Bytes: 200_000, SmallBytes: 1000, LargeBytes: 150_000}
	serve(t, limits, func(f *fixture) {
		stopsShort := f.listener.dial()
		if _, err := io.WriteString(stopsShort, post("Content-Length: 100000", strings.Repeat("x", testBodyBytes-1))); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		large, small := post("Content-Length: 100000", strings.Repeat("x", testBodyBytes)), post("Content-Length: 5", "small")
		if status := exchange(f.listener.dial(), large); status != http.StatusServiceUnavailable {
			t.Errorf("a large body beside another one is answered %d", status)
		}
		if status := exchange(f.listener.dial(), small); status != http.StatusOK {
			t.Errorf("a small body beside a large one is answered %d", status)
		}
		f.expectRefusals(NoBytesLeft, 1)
		time.Sleep(budget.DefaultStallAfter)
		if status := exchange(f.listener.dial(), large); status != http.StatusOK {
			t.Errorf("a large body beside one that stands still is answered %d", status)
		}
		f.expectRefusals(GaveWayToActive, 1)
		if lasted := lifetime(stopsShort, ""); lasted > 0 {
			t.Errorf("the connection that gave way lasts %v", lasted)
		}
	})
}

func TestSilentConnectionGivesWayToNewOne(t *testing.T) {
	limits := ample
	limits.Connections = 2
	serve(t, limits, func(f *fixture) {
		silent := []net.Conn{f.listener.dial(), f.listener.dial()}
		if status := exchange(f.listener.dial(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); status != http.StatusOK {
			t.Errorf("a request behind silent connections is answered %d", status)
		}
		f.expectRefusals(GaveWayToNewer, 1)
		if lasted := lifetime(silent[0], ""); lasted > 0 {
			t.Errorf("the oldest silent connection lasts %v", lasted)
		}
	})
}

func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	serve(t, ample, func(f *fixture) {
		conn := f.listener.dial()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(writeTimeout + time.Second)
		f.expectRefusals(AnswerNotRead, 1)
		if usage := f.gate.budget.Usage(budget.Clients); usage.Connections != 0 {
			t.Errorf("%d connections are open", usage.Connections)
		}
	})
}

func TestRefusalsOfOneCauseAreLoggedOnceAnInterval(t *testing.T) {
	serve(t, ample, func(f *fixture) {
		for range 5 {
			exchange(f.listener.dial(), "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 4*testHeadBytes))
		}
		if lines := strings.Count(f.logged(), "\n"); lines != 1 {
			t.Errorf("%d log lines for 5 refusals at once", lines)
		}
		time.Sleep(logInterval)
		exchange(f.listener.dial(), "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 4*testHeadBytes))
		if log := f.logged(); !strings.Contains(log, `"count":5`) {
			t.Errorf("the refusals between two lines are not counted: %s", log)
		}
	})
}

func TestMetricsHaveALineForEachCause(t *testing.T) {
	serve(t, ample, func(f *fixture) {
		exchange(f.listener.dial(), "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 4*testHeadBytes))
		synctest.Wait()
		found := map[string]int64{}
		for _, metric := range f.gate.Metrics(budget.Clients) {
			found[metric.Name] = metric.Value
		}
		if found["yardflow_clients_refused_head_too_large"] != 1 || found["yardflow_clients_connections_limit"] != 4 {
			t.Errorf("metrics %v", found)
		}
		if len(found) != 4+int(causeCount) {
			t.Errorf("%d metrics", len(found))
		}
	})
}

func TestProcessThatHasNotSaidWhoItIsSendsShortMessagesOnly(t *testing.T) {
	gate := New(budget.Limits{budget.Operators: ample, budget.Processes: ample}, zerolog.Nop())
	raw, _ := net.Pipe()
	process := &ProcessConn{conn: gate.admit(raw, budget.Operators, nil)}
	if !gate.move(process.conn, budget.Processes) {
		t.Fatal("not moved")
	}
	if process.Claim(maxFirstMessageBytes + 1) {
		t.Error("a long first message is granted")
	}
	process.Identified()
	if !process.Claim(maxFirstMessageBytes + 1) {
		t.Error("a long message of a known process is refused")
	}
	process.Release(maxFirstMessageBytes + 1)
	if usage := gate.budget.Usage(budget.Processes); usage != (budget.Usage{Connections: 1}) {
		t.Errorf("in the end %+v is held", usage)
	}
}
