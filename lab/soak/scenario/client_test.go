package scenario

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"yardflow/internal/testing/emulator"
)

// callerAt returns a client of a cluster without processes, connected to a front that answers each request by a function.
func callerAt(t *testing.T, answer func(conn net.Conn)) *caller {
	t.Helper()
	s := &soak{config: Config{Folder: t.TempDir()}, stopping: make(chan struct{}), counted: map[string]int{}}
	s.cluster = emulator.NewCluster(emulator.Shape{Cores: 1, Dispatchers: 1, Workers: 1}, emulator.NewFixedLoopback(), 1, io.Discard)
	front := newProcess(s, "front-1", "z0", "dispatcher")
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close(); server.Close() })
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			answer(server)
		}
	}()
	return &caller{soak: s, random: rand.New(rand.NewPCG(1, 1)), link: &connection{front: front, conn: client, reader: bufio.NewReader(client)}}
}

// rules returns the rules that are noted as broken.
func (s *soak) rules() []string {
	var rules []string
	for _, broken := range s.cluster.Checker.Violations() {
		rule, _, _ := strings.Cut(broken, " ")
		rules = append(rules, rule)
	}
	return rules
}

func expectRules(t *testing.T, s *soak, want ...string) {
	t.Helper()
	if got := s.rules(); !slices.Equal(got, want) {
		t.Errorf("broken: %v, want %v", got, want)
	}
}

// TestChecksOfCallsFail shows that each check of a client's calls fails where a process does what it must not.
func TestChecksOfCallsFail(t *testing.T) {
	refuse := func(conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	c := callerAt(t, refuse)
	if c.handIn("a1", "{}") {
		t.Error("a refused job counts as taken")
	}
	expectRules(t, c.soak, "REFUSED")

	hangUp := func(conn net.Conn) { conn.Close() }
	c = callerAt(t, hangUp)
	c.call(http.MethodGet, "a1", "")
	expectRules(t, c.soak, "LOST")
	if c.link != nil {
		t.Error("the connection that has ended is used again")
	}

	c = callerAt(t, hangUp)
	c.link.front.unplanned = time.Now()
	c.call(http.MethodGet, "a1", "")
	expectRules(t, c.soak)

	c = callerAt(t, hangUp)
	c.soak.config.LossSlack = time.Minute
	c.call(http.MethodGet, "a1", "")
	expectRules(t, c.soak)

	c = callerAt(t, hangUp)
	c.judgeCut(c.link, http.MethodGet, "a1", time.Now().Add(-answerWithin), os.ErrDeadlineExceeded)
	expectRules(t, c.soak, "HELD")
}

// program writes a shell script that stands for the system's program.
func program(t *testing.T, s *soak, text string) {
	t.Helper()
	s.config.Program = filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(s.config.Program, []byte("#!/bin/bash\n"+text), 0o755); err != nil {
		t.Fatal(err)
	}
}

// TestChecksOfProcessesFail shows the same of the checks of processes.
func TestChecksOfProcessesFail(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		after func(p *process)
		want  string // what the one broken rule says; "": none is broken
	}{
		"ends by itself":       {"exit 0\n", func(p *process) { <-p.ended }, "ended by itself"},
		"ends with a code":     {"trap 'exit 3' TERM; echo up; while :; do sleep 0.01; done\n", awaitAndStop, "ended with exit status 3"},
		"ends when it is told": {"trap 'exit 0' TERM; echo up; while :; do sleep 0.01; done\n", awaitAndStop, ""},
		"many descriptors": {"for i in {1..700}; do exec {file}</dev/null; done; echo up; trap 'exit 0' TERM; while :; do sleep 0.01; done\n",
			func(p *process) {
				awaitUp(p)
				p.soak.checkProcesses()
				p.terminate(0)
			}, "descriptors"},
	} {
		t.Run(name, func(t *testing.T) {
			s := callerAt(t, func(net.Conn) {}).soak
			reserved, err := reserveBlock(1)
			if err != nil {
				t.Fatal(err)
			}
			defer reserved.release()
			s.block = reserved
			program(t, s, c.text)
			p := newProcess(s, "front-1", "z0", "dispatcher")
			s.fronts = []*process{p}
			if err := os.MkdirAll(p.folder, 0o755); err != nil {
				t.Fatal(err)
			}
			p.start(true)
			c.after(p)
			broken := s.cluster.Checker.Violations()
			if c.want == "" && len(broken) > 0 || c.want != "" && (len(broken) != 1 || !strings.Contains(broken[0], c.want)) {
				t.Errorf("broken: %q, want one with %q", broken, c.want)
			}
			p.kill()
		})
	}
}

// awaitUp waits until the process has written a line.
func awaitUp(p *process) {
	for range 500 {
		if text, _ := os.ReadFile(filepath.Join(p.folder, "log")); len(text) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func awaitAndStop(p *process) {
	awaitUp(p)
	p.terminate(0)
}
