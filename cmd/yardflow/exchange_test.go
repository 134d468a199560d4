package main

// Recorded byte exchanges (testdata/*.txt) run against the program: stand-in clients in
// front, stand-in loan workers and a stand-in discovery behind, all on loopback ports of
// the system's choice. The exchanges check only what went over a socket.
//
// An exchange is a list of steps, each a line that begins with "== " and the
// text below it:
//
//	set PATH JSON             a settings key, before the start
//	sse                       the second front is on, with sse.toml below
//	list                      discovery tells: "ID LIFECYCLE [CELL]" a line; ID dead refuses connections
//	client NAME sends         bytes of a request; "client NAME sends sse" for the second front
//	client NAME gets          the whole answer, or its head, "an event" or "the end"
//	console CALL              an operator's call, and the answer
//	client NAME closes, opens (a connection, silent), sees close
//	dispatch NAME gets        the next request at any loan worker; "on NAME": over its connection; "none"
//	dispatch NAME sends       bytes of an answer; "a chunk": of a chunked body; "the end": its end
//	dispatch NAME closes      or "sees close": the dispatcher has closed it
//
// Figures that vary are written as *.

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"yardflow/internal/gateway/config"
	"yardflow/internal/platform/invariant"
	"yardflow/internal/testing/standin/listservice"
)

const (
	patience = 10 * time.Second       // for what must come
	silence  = 150 * time.Millisecond // for what must not
)

func TestExchanges(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no exchanges", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			newTestbed(t).play(string(text))
		})
	}
	t.Cleanup(func() {
		if b := invariant.Violations(); len(b) > 0 {
			t.Errorf("broken invariants: %v", b)
		}
	})
}

// testbed is the world around one node.
type testbed struct {
	t          *testing.T
	settings   map[string]any
	dir        string // TMPDIR; empty: none
	fd         string // NODE_LISTEN_FD; empty: none
	limits     map[string]any
	sse        string
	configFile string
	operator   string // the operator's file
	node       *node

	workers    map[string]string // address by id
	arrivals   chan *dispatchedJob
	dispatches map[string]*dispatchedJob
	clients    map[string]*client

	roster *listservice.Roster
}

type dispatchedJob struct {
	head, rest string
	conn       net.Conn
	closed     chan struct{}
}

type client struct {
	conn net.Conn
	in   *bufio.Reader
	resp *http.Response
	body *bufio.Reader
}

func newTestbed(t *testing.T) *testbed {
	s := &testbed{t: t, workers: map[string]string{}, arrivals: make(chan *dispatchedJob, 16), dispatches: map[string]*dispatchedJob{},
		clients: map[string]*client{}, roster: listservice.Start()}
	t.Cleanup(s.roster.Close)
	text, err := os.ReadFile("testdata/settings.json")
	s.must(err)
	s.must(json.Unmarshal(text, &s.settings))
	return s
}

func (s *testbed) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// worker starts a stand-in loan worker and returns its address.
func (s *testbed) worker(id string) string {
	if s.workers[id] == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		s.must(err)
		s.workers[id] = l.Addr().String()
		if id == "dead" {
			l.Close()
			return s.workers[id]
		}
		s.t.Cleanup(func() { l.Close() })
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				go s.serve(conn)
			}
		}()
	}
	return s.workers[id]
}

func (s *testbed) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	closed := make(chan struct{})
	defer close(closed)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		var lines []string
		for name, v := range req.Header {
			lines = append(lines, name+": "+strings.Join(v, ", "))
		}
		slices.Sort(lines)
		s.arrivals <- &dispatchedJob{conn: conn, closed: closed, rest: string(body),
			head: req.Method + " " + req.RequestURI + "\n" + strings.Join(lines, "\n")}
	}
}

var many = regexp.MustCompile(`\{x\d+\}`) // {x9}: nine times x

var steps = regexp.MustCompile(`(?m)^== (.*)\n`)

func (s *testbed) play(text string) {
	at := steps.FindAllStringSubmatchIndex(text, -1)
	for i, m := range at {
		end := len(text)
		if i+1 < len(at) {
			end = at[i+1][0]
		}
		var body []string
		for line := range strings.Lines(text[m[1]:end]) {
			if !strings.HasPrefix(line, "#") {
				body = append(body, line)
			}
		}
		s.step(text[m[2]:m[3]], strings.TrimSuffix(strings.Join(body, ""), "\n"))
		if s.t.Failed() {
			s.t.Fatalf("at step %d: %s", i+1, text[m[2]:m[3]])
		}
	}
}

func (s *testbed) step(step, text string) {
	text = many.ReplaceAllStringFunc(text, func(m string) string {
		n, _ := strconv.Atoi(strings.Trim(m, "{x}"))
		return strings.Repeat("x", n)
	})
	word := append(strings.Fields(step), "", "", "", "")
	rest := strings.Join(word[3:], " ")
	switch word[0] {
	case "set":
		var v any
		s.must(json.Unmarshal([]byte(word[2]), &v))
		set(s.settings, strings.Split(word[1], "."), v)
	case "sse":
		s.sse = text
	case "list":
		s.publishList(text)
	case "console":
		conn, err := net.Dial("tcp", s.node.consoleAddr.String())
		s.must(err)
		defer conn.Close()
		s.must(conn.SetDeadline(time.Now().Add(patience)))
		fmt.Fprintln(conn, strings.TrimPrefix(step, "console "))
		answer, err := io.ReadAll(conn)
		s.must(err)
		s.wantExchange(string(answer), text)
	case "client":
		s.client(word[1], word[2], strings.TrimSpace(rest), text)
	case "dispatch":
		s.dispatch(word[1], word[2], strings.TrimSpace(rest), text)
	default:
		s.t.Fatalf("no such step: %s", step)
	}
}

func set(in any, path []string, v any) {
	switch in := in.(type) {
	case map[string]any:
		if len(path) == 1 {
			in[path[0]] = v
			return
		}
		set(in[path[0]], path[1:], v)
	case []any:
		i, _ := strconv.Atoi(path[0])
		set(in[i], path[1:], v)
	}
}

// start runs the node under the settings so far.
func (s *testbed) start() {
	dir := s.t.TempDir()
	write := func(name string, text []byte) string {
		s.must(os.WriteFile(filepath.Join(dir, name), text, 0o600))
		return filepath.Join(dir, name)
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "seed": "01", "settings": s.settings, "limits": s.limits, "listen": "127.0.0.1:0",
		"console": "127.0.0.1:0", "discovery": s.roster.Addr, "known": map[string]any{"generation": 0, "instances": []any{}}})
	s.must(err)
	s.configFile = write("config.json", text)
	env := map[string]string{"NODE_CONFIG": s.configFile, "NODE_LISTEN_FD": s.fd}
	if s.sse != "" { // the old file, which is still read where the operator's has no [sse]
		write("sse.toml", []byte(s.sse))
	}
	if s.operator != "" {
		write("yardflow.toml", []byte(s.operator))
	}
	cfg, err := config.Load(func(k string) string { return env[k] }, filepath.Join(dir, "yardflow.toml"))
	s.must(err)
	s.run(cfg)
}

func (s *testbed) run(cfg *config.Config) {
	var err error
	s.node, err = startNode(cfg, s.dir, func(int64) {})
	s.must(err)
	s.t.Cleanup(func() {
		for _, c := range s.clients {
			c.conn.Close()
		}
		for _, d := range s.dispatches {
			d.conn.Close()
		}
		if err := s.node.stop(); err != nil {
			s.t.Error("stop:", err)
		}
	})
}

// publishList changes the list and waits until the node has it: its next watch asks
// from the new generation.
func (s *testbed) publishList(text string) {
	var list []listservice.Entry
	for line := range strings.Lines(text) {
		f := append(strings.Fields(line), "1")
		cell, err := strconv.Atoi(f[2])
		s.must(err)
		list = append(list, listservice.Entry{ID: f[0], Addr: s.worker(f[0]), Zone: "praha-holesovice", Kind: "dual-fast", Cell: cell, Lifecycle: f[1], Weight: 1})
	}
	generation := s.roster.Set(list...)
	if s.node == nil {
		s.start()
	}
	s.must(s.roster.Taken(generation, patience))
}

// wire turns a text into bytes: lines of the head end in CRLF, and what follows
// the first empty line is as written.
func wire(text string) string {
	head, body, _ := strings.Cut(text+"\n", "\n\n")
	return strings.ReplaceAll(strings.TrimSuffix(head, "\n"), "\n", "\r\n") + "\r\n\r\n" + strings.TrimSuffix(body, "\n")
}

var varying = regexp.MustCompile(`(?m)^(X-Timeout|Retry-After): [0-9.]+$`)

func (s *testbed) wantExchange(got, want string) {
	s.t.Helper()
	got = varying.ReplaceAllString(strings.ReplaceAll(got, "\r", `\r`), "$1: *")
	got = regexp.MustCompile(`"retry_after":[0-9.]+`).ReplaceAllString(got, `"retry_after":*`)
	if diff := cmp.Diff(strings.TrimSpace(want), strings.TrimSpace(got)); diff != "" {
		s.t.Errorf("-want +got:\n%s", diff)
	}
}

func (s *testbed) client(name, verb, rest, text string) {
	c := s.clients[name]
	switch verb {
	case "sends":
		if c == nil {
			addr := s.node.addr
			if rest == "sse" {
				addr = s.node.sseAddr
			}
			conn, err := net.Dial("tcp", addr.String())
			s.must(err)
			c = &client{conn: conn, in: bufio.NewReader(conn)}
			s.clients[name] = c
		}
		bytes := strings.ReplaceAll(wire(text), `\r`, "\r") // \r: a CR inside a body
		if head, body, _ := strings.Cut(bytes, "\r\n\r\n"); !strings.Contains(head, "Content-Length") && !strings.Contains(head, "chunked") {
			bytes = fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		}
		_, err := io.WriteString(c.conn, bytes)
		s.must(err)
	case "opens":
		conn, err := net.Dial("tcp", s.node.addr.String())
		s.must(err)
		s.clients[name] = &client{conn: conn, in: bufio.NewReader(conn)}
	case "sees":
		s.must(c.conn.SetReadDeadline(time.Now().Add(patience)))
		if b, err := c.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			s.t.Errorf("no close: %q, %v", b, err)
		}
	case "closes":
		c.conn.Close()
	case "gets":
		s.must(c.conn.SetReadDeadline(time.Now().Add(patience)))
		if c.resp == nil {
			resp, err := http.ReadResponse(c.in, nil)
			s.must(err)
			resp.Header.Del("Date")
			c.resp, c.body = resp, bufio.NewReader(resp.Body)
		}
		head := strconv.Itoa(c.resp.StatusCode)
		if c.resp.Close {
			head += "\nConnection: close"
		}
		for _, name := range []string{"Content-Type", "Retry-After"} {
			if v := c.resp.Header.Get(name); v != "" && (name != "Content-Type" || !strings.HasPrefix(v, "text/plain")) {
				head += "\n" + name + ": " + v
			}
		}
		switch rest {
		case "the head":
			s.wantExchange(head, text)
		case "an event":
			event := ""
			for {
				line, err := c.body.ReadString('\n')
				s.must(err)
				if line == "\n" {
					break
				}
				event += line
			}
			s.wantExchange(event, text)
		default: // the whole answer, or "the end"
			body, err := io.ReadAll(c.body)
			s.must(err)
			if rest == "the end" {
				head, text = "", ""
			}
			c.resp = nil
			s.wantExchange(head+"\n\n"+string(body), text)
		}
	default:
		s.t.Fatalf("no such step: client %s", verb)
	}
}

func (s *testbed) dispatch(name, verb, rest, text string) {
	if verb == "gets" {
		limit := patience
		if rest == "none" {
			limit = silence
		}
		select {
		case d := <-s.arrivals:
			if rest == "none" {
				s.t.Fatalf("a dispatch that must not be:\n%s", d.head)
			}
			s.dispatches[name] = d
			if first, ok := strings.CutPrefix(rest, "on "); ok && d.conn != s.dispatches[first].conn {
				s.t.Errorf("not on the connection of dispatch %s", first)
			}
			s.wantExchange(d.head+"\n\n"+d.rest, text)
		case <-time.After(limit):
			if rest != "none" {
				s.t.Fatal("no dispatch came")
			}
		}
		return
	}
	d := s.dispatches[name]
	switch verb + " " + rest {
	case "sends ":
		_, err := io.WriteString(d.conn, wire(text))
		s.must(err)
	case "sends a chunk":
		// A text in Go's quotes is bytes to the letter; others are whole lines.
		if quoted, err := strconv.Unquote(text); err == nil {
			text = quoted
		} else {
			text += "\n"
		}
		chunks := httputil.NewChunkedWriter(d.conn)
		_, err := io.WriteString(chunks, text)
		s.must(err)
	case "sends the end":
		_, err := io.WriteString(d.conn, "0\r\n\r\n")
		s.must(err)
		s.node.workerConns.AwaitDrained() // the connection is free again
	case "closes ":
		d.conn.Close()
	case "sees close":
		select {
		case <-d.closed:
		case <-time.After(patience):
			s.t.Fatal("the connection stands")
		}
	default:
		s.t.Fatalf("no such step: dispatch %s %s", verb, rest)
	}
}
