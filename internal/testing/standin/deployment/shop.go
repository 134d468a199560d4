// Package deployment is a whole installation on loopback: the real program as a child
// process, with a stand-in roster, name servers, loan workers and clients.
//
// It serves proofs and the demonstration. It owns every process and socket that it
// starts, and ends them. It must never listen anywhere but on loopback, and every
// load it makes is bounded in rate and time.
package deployment

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"yardflow/internal/testing/standin/dnsserver"
	"yardflow/internal/testing/standin/listservice"
	"yardflow/internal/testing/standin/worker"
)

// Shop is one installation.
type Shop struct {
	Roster  *listservice.Roster
	DNS     []*dnsserver.Server
	Workers map[string]*worker.Worker
	Listen  string // where clients connect
	Console string
	Log     *Log
	Pid     int

	dir     string
	program *exec.Cmd
	client  *http.Client
	ended   chan error
}

// Open starts the stand-ins, without the program: so many name servers, all with
// the same zone.
func Open(nameServers int) (*Shop, error) {
	dir, err := os.MkdirTemp("", "yardflow-shop-")
	if err != nil {
		return nil, err
	}
	s := &Shop{Roster: listservice.Start(), Workers: map[string]*worker.Worker{}, dir: dir, Log: &Log{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	for range nameServers {
		d, err := dnsserver.Start()
		if err != nil {
			_ = s.Close()
			return nil, err
		}
		s.DNS = append(s.DNS, d)
	}
	return s, nil
}

// Worker starts a loan worker.
func (s *Shop) Worker(id string, slots int, work func(class string) time.Duration) (*worker.Worker, error) {
	w, err := worker.Start(id, slots, work)
	if err == nil {
		s.Workers[id] = w
	}
	return w, err
}

// Entry is a worker as the roster would name it.
func (s *Shop) Entry(id string) listservice.Entry {
	return listservice.Entry{ID: id, Addr: s.Workers[id].Addr, Zone: "north", Kind: "standard", Lifecycle: "SERVING", Weight: 1}
}

// Record is a worker's lines in a zone file.
func (s *Shop) Record(id, service string, ttl, priority int) string {
	_, port, _ := net.SplitHostPort(s.Workers[id].Addr)
	return fmt.Sprintf("%s. %d IN SRV %d 10 %s %s.example.test.\n%s.example.test. %d IN A 127.0.0.1\n", service, ttl, priority, port, id, id, ttl)
}

// Zone puts a zone in force at every name server.
func (s *Shop) Zone(text string) error {
	for _, d := range s.DNS {
		if err := d.Zone(text); err != nil {
			return err
		}
	}
	return nil
}

var serversLine = regexp.MustCompile(`(?m)^servers *=.*$`)

// Run starts the program on a configuration and an operator's file, with the
// addresses in both replaced by the shop's own, and waits until it is ready.
func (s *Shop) Run(binary, config, operator string) error {
	var cfg map[string]any
	if err := json.Unmarshal([]byte(config), &cfg); err != nil {
		return err
	}
	cfg["listen"], cfg["console"], cfg["discovery"] = "127.0.0.1:0", "127.0.0.1:0", s.Roster.Addr
	text, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	var servers []string
	for _, d := range s.DNS {
		servers = append(servers, fmt.Sprintf("%q", d.Addr))
	}
	operator = serversLine.ReplaceAllString(operator, "servers = ["+strings.Join(servers, ", ")+"]")
	path := filepath.Join(s.dir, "config.json")
	err = errors.Join(os.WriteFile(path, text, 0o600), os.MkdirAll(filepath.Join(s.dir, "deploy"), 0o700),
		os.WriteFile(filepath.Join(s.dir, "deploy", "yardflow.toml"), []byte(operator), 0o600))
	if err != nil {
		return err
	}
	if binary, err = filepath.Abs(binary); err != nil {
		return err
	}
	s.program = exec.Command(binary)
	s.program.Dir, s.program.Env = s.dir, []string{"NODE_CONFIG=" + path, "TMPDIR=" + s.dir}
	s.program.Stderr = s.Log
	if err := s.program.Start(); err != nil {
		return err
	}
	s.Pid, s.ended = s.program.Process.Pid, make(chan error, 1)
	go func() { s.ended <- s.program.Wait() }()
	for _, x := range []struct {
		to   *string
		line string
	}{{&s.Console, "takes operators' calls on "}, {&s.Listen, "serves on "}} {
		line, err := s.Log.Await(x.line, 20*time.Second)
		if err != nil {
			return fmt.Errorf("%w; its log:\n%s", err, s.Log)
		}
		*x.to = strings.TrimSpace(line[strings.Index(line, x.line)+len(x.line):])
	}
	return s.Until(10*time.Second, func() bool { _, err := s.Call("readyz"); return err == nil })
}

// Until asks again and again until ok, for so long.
func (s *Shop) Until(within time.Duration, ok func() bool) error {
	for limit := time.Now().Add(within); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("not within %v; the log:\n%s", within, s.Log)
		}
	}
	return nil
}

// Call makes one call at the console; a FAILURE is an error.
func (s *Shop) Call(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", s.Console, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(conn, line)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return "", err
	}
	text := strings.TrimSpace(string(answer))
	if rest, ok := strings.CutPrefix(text, "SUCCESS"); ok {
		return strings.TrimSpace(rest), nil
	}
	return "", errors.New(text)
}

// Reload sends SIGHUP.
func (s *Shop) Reload() error { return s.program.Process.Signal(syscall.SIGHUP) }

// Close ends the program as a planned restart does, then all else.
func (s *Shop) Close() error {
	var err error
	if s.program != nil && s.program.Process != nil {
		_ = s.program.Process.Signal(syscall.SIGTERM)
		select {
		case err = <-s.ended:
		case <-time.After(10 * time.Second):
			_ = s.program.Process.Kill()
			err = errors.New("the program does not stop")
		}
	}
	s.client.CloseIdleConnections()
	for _, w := range s.Workers {
		w.Close()
	}
	for _, d := range s.DNS {
		d.Close()
	}
	s.Roster.Close()
	return errors.Join(err, os.RemoveAll(s.dir))
}

// Result is one job's end as its client saw it.
type Result struct {
	ID, Class string
	Worker    string // who served it
	Status    int    // of the answer; 0: none came
	Took      time.Duration
	Err       error
}

// Submit hands in one job and waits for its answer.
func (s *Shop) Submit(id, class string, timeout time.Duration) Result {
	r := Result{ID: id, Class: class}
	ctx, stop := context.WithTimeout(context.Background(), timeout+200*time.Millisecond)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Listen+"/"+class, strings.NewReader(class))
	if err != nil {
		r.Err = err
		return r
	}
	for k, v := range map[string]string{"X-Request-ID": id, "X-Priority-Class": class, "X-Tenant-Id": "university",
		"X-Timeout": fmt.Sprintf("%.3f", timeout.Seconds()), "Idempotency-Key": id} {
		q.Header.Set(k, v)
	}
	began := time.Now()
	resp, err := s.client.Do(q)
	if err != nil {
		r.Took, r.Err = time.Since(began), err
		return r
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	r.Took, r.Status, r.Err = time.Since(began), resp.StatusCode, err
	if _, by, ok := strings.Cut(string(text), " by "); ok && r.Status == http.StatusOK {
		r.Worker = by
	}
	return r
}

// Job is what a load is made of.
type Job struct {
	Class   string
	Timeout time.Duration
}

// Load hands in jobs at an even rate, each at its own time whether the others have
// ended or not, until ctx ends, and returns all their ends.
func (s *Shop) Load(ctx context.Context, perSecond float64, job func(n int) Job) []Result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var all []Result
	began := time.Now()
	for n := 0; ; n++ {
		at := began.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			wg.Wait()
			return all
		}
		wg.Go(func() {
			j := job(n)
			r := s.Submit(fmt.Sprintf("job-%06d", n), j.Class, j.Timeout)
			mu.Lock()
			all = append(all, r)
			mu.Unlock()
		})
	}
}

// Twice names the jobs of a class that more than one worker, or one worker more
// than once, was given to run.
func (s *Shop) Twice(class string) (ids []string) {
	seen := map[string]int{}
	for _, w := range s.Workers {
		for _, a := range w.Arrivals() {
			if a.Class == class {
				if seen[a.ID]++; seen[a.ID] == 2 {
					ids = append(ids, a.ID)
				}
			}
		}
	}
	return ids
}

// Latest is how long after a moment the last first byte of a request came to a
// worker; 0 if none came after it.
func (s *Shop) Latest(id string, after time.Time) (d time.Duration) {
	for _, a := range s.Workers[id].Arrivals() {
		d = max(d, a.First.Sub(after))
	}
	return d
}

// Log keeps what the program writes.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write takes what the program writes.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Lines is the log so far, a line each.
func (l *Log) Lines() []string {
	var out []string
	in := bufio.NewScanner(strings.NewReader(l.String()))
	for in.Scan() {
		out = append(out, in.Text())
	}
	return out
}

// Await waits for a line with a text in it, and returns that line.
func (l *Log) Await(text string, within time.Duration) (string, error) {
	for limit := time.Now().Add(within); ; time.Sleep(2 * time.Millisecond) {
		for _, line := range l.Lines() {
			if strings.Contains(line, text) {
				return line, nil
			}
		}
		if time.Now().After(limit) {
			return "", fmt.Errorf("no line %q in the log within %v", text, within)
		}
	}
}
