package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/internal/gateway/haproxy"
	"yardflow/internal/platform/console"
)

const job = "POST /issue-loan HTTP/1.1\nHost: h\nX-Request-ID: %s\nX-Priority-Class: issue-loan\nX-Tenant-Id: univ-vltava\nX-Timeout: 5\n\nx"

// answer reads a complete answer and returns its status, and whether the connection ends.
func (c *client) answer(t *testing.T) (int, bool) {
	t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Close
}

// nextDispatch waits for the next dispatch.
func (s *testbed) nextDispatch() *dispatchedJob {
	s.t.Helper()
	select {
	case d := <-s.arrivals:
		return d
	case <-time.After(patience):
		s.t.Fatal("no dispatch came")
		return nil
	}
}

// answerDone answers a dispatch as its loan worker.
func (d *dispatchedJob) answerDone(id string) {
	body := fmt.Sprintf(`{"id":%q,"state":"done","result":"ok"}`, id) + "\n"
	fmt.Fprintf(d.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// On SIGTERM the node goes on listening while the front has not noticed, answers
// all it has taken, and then is gone.
func TestStopAnswersAllThatWasTaken(t *testing.T) {
	s := newTestbed(t)
	s.step("list", "s-1 SERVING\ns-2 SERVING")
	s.step("client a sends", fmt.Sprintf(job, "r1"))
	first := s.nextDispatch()
	s.dispatches["A"] = first
	stopped := make(chan error)
	n, began := s.node, time.Now()
	go func() { stopped <- n.stop() }()
	waitUntil(t, "the node drains", n.frontend.Draining)
	s.step("client b sends", fmt.Sprintf(job, "r2")) // a new connection behind the signal
	second := s.nextDispatch()
	s.dispatches["B"] = second
	select {
	case err := <-stopped:
		t.Fatal("stopped with requests unanswered", err)
	case <-time.After(3 * lameDuck / 2):
	}
	for name, d := range s.dispatches {
		id := map[string]string{"A": "r1", "B": "r2"}[name]
		d.answerDone(id)
	}
	for _, name := range []string{"a", "b"} {
		if status, last := s.clients[name].answer(t); status != 200 || last {
			t.Errorf("client %s got %d, connection ends: %v", name, status, last)
		}
	}
	if conn, err := net.Dial("tcp", n.addr.String()); err == nil {
		conn.Close()
		t.Error("still listens")
	}
	// Who has a connection may go on using it, while there is time to answer: the
	// kill would lose what it finds, so a silent loan worker is not waited for.
	s.step("list", "s-3 SERVING")
	s.step("client a sends", fmt.Sprintf(job, "r3"))
	s.dispatches["C"] = s.nextDispatch()
	if status, last := s.clients["a"].answer(t); status != 504 || !last {
		t.Errorf("at the end client a got %d, connection ends: %v", status, last)
	}
	if took := time.Since(began); took > killAfter(5*time.Second) {
		t.Errorf("the answer came %v after the signal", took)
	}
	s.step("client b sees close", "")
	wantStopInOrder(t, stopped)
}

// waitUntil waits for a condition, and fails the test where it does not hold within patience.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// wantStopInOrder waits for a stop that has begun, and fails where it ends in an error or not at all.
func wantStopInOrder(t *testing.T, stopped <-chan error) {
	t.Helper()
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("does not stop")
	}
}

// Clients may hold their part of the sockets and no more. Room is made by the
// connection idle longest; without one, the request is denied and its socket
// given back. What was accepted is always answered.
func TestSocketBudget(t *testing.T) {
	s := newTestbed(t)
	s.limits = map[string]any{"sockets": 64}
	s.step("list", "s-1 DRAINING")
	n := s.node
	room := 64 - 64/3 - reservedSockets - console.MaxSockets
	dial := func() *client {
		conn, err := net.Dial("tcp", n.addr.String())
		s.must(err)
		t.Cleanup(func() { conn.Close() })
		return &client{conn: conn, in: bufio.NewReader(conn)}
	}
	get := func(c *client) (int, bool) {
		io.WriteString(c.conn, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
		return c.answer(t)
	}
	var all []*client
	for range room + 10 {
		c := dial()
		if status, last := get(c); status != 200 || last {
			t.Fatalf("got %d, connection ends: %v", status, last)
		}
		all = append(all, c)
	}
	all[0].conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := all[0].in.ReadByte(); err != io.EOF {
		t.Error("the oldest idle connection stands:", err)
	}
	// Ten have made room. Which is the oldest is the server's to say: it counts from when it
	// has done with an answer, a moment after the client has it.
	all = slices.DeleteFunc(all, func(c *client) bool {
		c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err := c.in.ReadByte()
		return !errors.Is(err, os.ErrDeadlineExceeded)
	})
	if len(all) != room {
		t.Fatalf("%d connections stand, want %d", len(all), room)
	}
	// Now all are busy: they wait for a worker that never comes.
	for i, c := range all {
		io.WriteString(c.conn, wire(strings.Replace(fmt.Sprintf(job, fmt.Sprint("r", i)), "\n\nx", "\nContent-Length: 1\n\nx", 1)))
	}
	for limit := time.Now().Add(patience); n.broker.Stats().Open < room; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d of %d requests are open", n.broker.Stats().Open, room)
		}
	}
	c := dial()
	io.WriteString(c.conn, wire(strings.Replace(fmt.Sprintf(job, "over"), "\n\nx", "\nContent-Length: 1\n\nx", 1)))
	if status, last := c.answer(t); status != 503 || !last {
		t.Errorf("past the budget: got %d, connection ends: %v", status, last)
	}
	for _, c := range all { // the others leave; their sockets are free again
		c.conn.Close()
	}
	for limit := time.Now().Add(patience); n.connLimiter.OverLimit() || n.broker.Stats().Open > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d requests stay open", n.broker.Stats().Open)
		}
	}
	if status, _ := get(dial()); status != 200 {
		t.Errorf("with room again: got %d", status)
	}
}

// Silent and half-sent connections make room before any client's at work does,
// and one whose request waits unread is not closed.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newTestbed(t)
	s.limits = map[string]any{"sockets": 64}
	s.step("list", "s-1 SERVING\ns-2 SERVING\ns-3 SERVING\ns-4 SERVING")
	s.step("client a sends", fmt.Sprintf(job, "r1"))
	d := s.nextDispatch()
	d.answerDone("r1")
	if status, _ := s.clients["a"].answer(t); status != 200 {
		t.Fatal("got", status)
	}
	s.step("client b sends", fmt.Sprintf(job, "r2"))
	s.dispatches["B"] = s.nextDispatch() // stays out
	for i := range 200 {
		conn, err := net.Dial("tcp", s.node.addr.String())
		s.must(err)
		t.Cleanup(func() { conn.Close() })
		if i%2 == 0 {
			io.WriteString(conn, "POST /issue-loan HTTP/1.1\r\nX-")
		}
	}
	for name, id := range map[string]string{"a": "r3", "c": "r4"} { // idle since its answer, and new
		s.step("client "+name+" sends", fmt.Sprintf(job, id))
		d := s.nextDispatch()
		d.answerDone(id)
		if status, _ := s.clients[name].answer(t); status != 200 {
			t.Errorf("client %s got %d", name, status)
		}
	}
	s.dispatches["B"].answerDone("r2")
	if status, _ := s.clients["b"].answer(t); status != 200 {
		t.Errorf("the request that was out got %d", status)
	}
}

// A new configuration names another address of discovery, with a history of its
// own. Open requests stay, a faulty file changes nothing, and more may follow.
func TestReload(t *testing.T) {
	s := newTestbed(t)
	s.step("list", "s-1 SERVING")
	s.step("list", "s-1 SERVING") // the old history is ahead of the new one
	s.step("client a sends", fmt.Sprintf(job, "r1"))
	first := s.nextDispatch()
	calls, addr := make(chan string, 16), s.worker("s-2") // here: calls come side by side
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.RawQuery
		if r.FormValue("since") != "" {
			<-r.Context().Done()
		}
		// No "reset": the first answer of another history is the complete list all the same.
		fmt.Fprintf(w, `{"generation":1,"instances":[{"instanceId":"s-2","hostPort":%q,"lifecycle":"SERVING"}]}`, addr)
	}))
	defer func() { other.CloseClientConnections(); other.Close() }()
	n := s.node
	n.reload(func() (*config.Config, error) { return nil, errors.New("no such file") })
	next := *n.cfg
	next.Discovery = other.Listener.Addr().String()
	for range 2 { // again at once
		n.reload(func() (*config.Config, error) { return &next, nil })
	}
	for got, limit := "", time.After(patience); !strings.HasPrefix(got, "since=1&"); {
		if got != "" {
			t.Errorf("asks the new address for %q, not for the whole list", got)
		}
		select {
		case got = <-calls:
		case <-limit:
			t.Fatal("never asks the new address for what follows its list")
		}
	}
	for limit := time.Now().Add(patience); n.broker.Stats().Ready != 1 || n.broker.Stats().Workers != 2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("the list is not the new one: %+v", n.broker.Stats())
		}
	}
	s.step("client b sends", fmt.Sprintf(job, "r2"))
	second := s.nextDispatch()
	if got := second.conn.LocalAddr().String(); got != s.workers["s-2"] {
		t.Error("went to", got)
	}
	for id, d := range map[string]*dispatchedJob{"r1": first, "r2": second} {
		d.answerDone(id)
	}
	for _, name := range []string{"a", "b"} {
		if status, _ := s.clients[name].answer(t); status != 200 {
			t.Errorf("client %s got %d", name, status)
		}
	}
}

// useHAProxyServers runs a node on what is imported from HAProxy's format; servers are those
// of the backend loans, and may be followed by other backends.
func (s *testbed) useHAProxyServers(servers string) {
	text, _, err := haproxy.Import(strings.NewReader("defaults\n timeout connect 250ms\n timeout server 5s\n" +
		"frontend f\n bind 127.0.0.1:0\nbackend loans\n " + servers + "\n"))
	s.must(err)
	path := filepath.Join(s.t.TempDir(), "config.json")
	s.must(os.WriteFile(path, text, 0o600))
	cfg, err := config.Load(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, filepath.Join(s.t.TempDir(), "yardflow.toml"))
	s.must(err)
	s.run(cfg)
}

// An imported HAProxy configuration is one that serves: each class goes to its
// backend's servers alone, and what may have run is not repeated.
func TestImportedConfigurationServes(t *testing.T) {
	s := newTestbed(t)
	s.useHAProxyServers(fmt.Sprintf("server one %s\nbackend files\n server two %s\n server three %s disabled",
		s.worker("loans/one"), s.worker("files/two"), s.worker("files/three")))
	for i, class := range []string{"loans", "files", "files", "loans"} {
		id := fmt.Sprint("r", i)
		s.step("client a sends", fmt.Sprintf("POST /%s HTTP/1.1\nHost: h\nX-Request-ID: %s\nX-Priority-Class: %s\n\nx", class, id, class))
		d := s.nextDispatch()
		if want := s.workers[map[string]string{"loans": "loans/one", "files": "files/two"}[class]]; d.conn.LocalAddr().String() != want {
			t.Errorf("%s went to %s, want %s", class, d.conn.LocalAddr(), want)
		}
		d.answerDone(id)
		if status, _ := s.clients["a"].answer(t); status != 200 {
			t.Errorf("got %d", status)
		}
	}
}

// An upgrade: both processes have the platform's listening socket, the new one
// starts on the old one's list, the old one answers all that it took, each answer
// its connection's last, and what operators took out stays out in both.
func TestUpgrade(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	s := newTestbed(t)
	s.dir = t.TempDir()
	inherit := func() {
		file, err := socket.(*net.TCPListener).File()
		s.must(err)
		defer file.Close()
		fd, err := syscall.Dup(int(file.Fd()))
		s.must(err)
		s.must(syscall.SetNonblock(fd, true))
		s.fd = fmt.Sprint(fd)
	}
	inherit()
	spare, err := net.Listen("tcp", "127.0.0.1:0") // a port for the second front, the same for both
	s.must(err)
	s.sse = "enabled = true\nlisten = \"" + spare.Addr().String() + "\"\n[[contract]]\nteam = \"t\"\ntenant = \"univ-vltava\"\nclasses = [\"issue-loan\"]\nrate = 9.0\nburst = 9\nmax_open = 9\n"
	spare.Close()
	s.step("list", "s-1 SERVING\ns-2 SERVING\ns-3 SERVING")
	old := s.node
	for _, name := range []string{"a", "b"} { // b is idle when the new one comes
		s.step("client "+name+" sends", fmt.Sprintf(job, name))
		s.dispatches[name] = s.nextDispatch()
	}
	s.dispatches["b"].answerDone("b")
	if status, last := s.clients["b"].answer(t); status != 200 || last {
		t.Fatal("got", status, last)
	}
	s.step("console exclude s-3", "SUCCESS exclude s-3")
	inherit()
	s.start()
	if next := s.node; next == old || next.broker.Stats().Workers != 3 || next.broker.Stats().Ready != 2 || next.addr.String() != socket.Addr().String() {
		t.Fatalf("the next one starts on %+v at %v", next.broker.Stats(), next.addr)
	}
	s.step("console readyz", "SUCCESS ready")
	s.step("console exclude s-2", "SUCCESS exclude s-2")
	for limit := time.Now().Add(patience); old.broker.Stats().Ready != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("a ban does not reach the old process: %+v", old.broker.Stats())
		}
	}
	s.step("console include s-2", "SUCCESS include s-2")
	stopped := make(chan error)
	go func() { stopped <- old.stop() }()
	waitUntil(t, "the old node drains", old.frontend.Draining)
	if err := (operations{old}).Ready(); err == nil {
		t.Error("the old one is ready while it stops")
	}
	time.Sleep(10 * time.Millisecond) // its listener closes at once; no need to be exact
	s.step("client c sends", fmt.Sprintf(job, "c"))
	s.step("client b sends", fmt.Sprintf(job, "b2"))
	for range 2 {
		d := s.nextDispatch()
		for _, id := range []string{"c", "b2"} {
			if strings.Contains(d.head, "X-Request-Id: "+id) {
				d.answerDone(id)
			}
		}
	}
	s.dispatches["a"].answerDone("a")
	for name, want := range map[string]bool{"a": true, "b": true, "c": false} {
		if status, last := s.clients[name].answer(t); status != 200 || last != want {
			t.Errorf("client %s got %d, connection ends: %v", name, status, last)
		}
	}
	select {
	case err := <-stopped:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("the old one does not stop")
	}
	client := &http.Client{Timeout: patience}
	for limit := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		resp, err := client.Get("http://" + spare.Addr().String() + "/healthz")
		if err == nil {
			resp.Body.Close()
		}
		if s.node.siblings.Count() == 0 && err == nil {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the new one does not take over all:", s.node.siblings.Count(), err)
		}
	}
}

// What is out when the kill comes near is answered then, not left to a reset.
func TestExpireAllAnswersRequestsInFlight(t *testing.T) {
	s := newTestbed(t)
	s.step("list", "s-1 SERVING")
	s.step("client a sends", fmt.Sprintf(job, "r1"))
	s.dispatches["A"] = s.nextDispatch()
	s.node.broker.ExpireAll()
	if status, _ := s.clients["a"].answer(t); status != 504 {
		t.Errorf("got %d", status)
	}
	s.step("dispatch A sees close", "")
}

// New settings at SIGHUP: a class that appears is served, one whose name is gone
// is unknown at the door, and a job of it that was open goes on as it was: what
// may be sent again then still may, though no class allows it now.
func TestReconfigure(t *testing.T) {
	s := newTestbed(t)
	s.step("list", "s-1 SERVING 1\ns-2 SERVING 1")
	keyed := strings.ReplaceAll(job, "issue-loan", "package-file")
	s.step("client a sends", fmt.Sprintf(keyed, "r1"))
	first := s.nextDispatch()
	s.dispatches["A"] = first
	classes := s.settings["Classes"].([]any)
	gone := classes[1].(map[string]any)
	gone["Name"], gone["Semantics"] = "package-file-next", "fragile"
	reload := func() {
		text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "console": "127.0.0.1:0", "limits": s.limits,
			"discovery": s.roster.Addr, "settings": s.settings})
		s.must(err)
		path := filepath.Join(t.TempDir(), "config.json")
		s.must(os.WriteFile(path, text, 0o600))
		s.node.reload(func() (*config.Config, error) {
			return config.Reload(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, "none")
		})
	}
	delete(s.settings["Limits"].(map[string]any), "MaxAttempts") // a broken file first
	reload()
	if got := s.node.inForce.Get().Classes[1]; got != "package-file" {
		t.Fatal("a broken file changed the classes:", got)
	}
	s.settings["Limits"].(map[string]any)["MaxAttempts"] = 2
	reload()
	first.conn.Close() // it may have run
	again := s.nextDispatch()
	if again.answerDone("r1"); !strings.Contains(again.head, "X-Request-Id: r1") {
		t.Errorf("not r1:\n%s", again.head)
	}
	if status, _ := s.clients["a"].answer(t); status != 200 {
		t.Errorf("the open job got %d", status)
	}
	s.step("client a sends", fmt.Sprintf(keyed, "r2"))
	if status, _ := s.clients["a"].answer(t); status != 400 {
		t.Errorf("a class that is gone got %d", status)
	}
	s.step("client b sends", fmt.Sprintf(strings.ReplaceAll(job, "issue-loan", "package-file-next"), "r3"))
	s.dispatches["B"] = s.nextDispatch()
	s.dispatches["B"].conn.Close() // the new class may run once
	if status, _ := s.clients["b"].answer(t); status != 502 {
		t.Errorf("the new class got %d", status)
	}
	s.step("dispatch C gets none", "")
}
