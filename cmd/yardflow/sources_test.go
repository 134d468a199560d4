package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"yardflow/internal/gateway/config"
	"yardflow/internal/testing/standin/dnsserver"
)

// startDNS gives the testbed a DNS server, and an operator's file that follows it.
func (s *testbed) startDNS(more string) *dnsserver.Server {
	d, err := dnsserver.Start()
	s.must(err)
	s.t.Cleanup(d.Close)
	s.operator = fmt.Sprintf(`
[[source.srv]]
name = "loans"
service = "_loans._tcp.shop.test"
servers = [%q]
zone = "praha-holesovice"
kind = "dual-fast"
identity = "target-label"
timeout = "200ms"
floor = "100ms"
%s`, d.Addr, more)
	return d
}

// setZone puts a list of workers in DNS, each as id or id=address.
func (s *testbed) setZone(d *dnsserver.Server, ttl int, workers ...string) {
	text := ""
	for _, w := range workers {
		id, addr, other := strings.Cut(w, "=")
		if !other {
			addr = s.worker(id)
		}
		host, port, err := net.SplitHostPort(addr)
		s.must(err)
		text += fmt.Sprintf("_loans._tcp.shop.test. %d IN SRV 0 10 %s %s.shop.test.\n%s.shop.test. %d IN A %s\n", ttl, port, id, id, ttl, host)
	}
	s.must(d.Zone(text))
}

// waitForConsole waits for the console to say a text of a worker, or of the sources.
func (s *testbed) waitForConsole(call, text string) {
	s.t.Helper()
	got := ""
	for limit := time.Now().Add(patience); !strings.Contains(got, text); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("%s says %q, and never %q", call, got, text)
		}
		name, is := strings.CutPrefix(call, "worker ")
		var err error
		if got = s.node.sources.Describe(); is {
			if got, err = s.node.sources.DescribeWorker(name); err != nil {
				got = err.Error()
			}
		}
	}
}

// wantServedBy submits a job, which must go to that worker, and checks that it is answered.
func (s *testbed) wantServedBy(id, worker string) *dispatchedJob {
	s.t.Helper()
	s.step("client a sends", fmt.Sprintf(job, id))
	d := s.nextDispatch()
	if addr := d.conn.LocalAddr().String(); addr != s.workers[worker] {
		s.t.Errorf("went to %s, want %s at %s", addr, worker, s.workers[worker])
	}
	d.answerDone(id)
	if status, _ := s.clients["a"].answer(s.t); status != 200 {
		s.t.Error("got", status)
	}
	return d
}

// slowWorker listens with no room for a connection: the next connect waits until
// free is called.
func (s *testbed) slowWorker() (addr string, free func()) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	s.must(err)
	s.must(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	s.must(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "slow")
	l, err := net.FileListener(file)
	file.Close()
	s.must(err)
	s.t.Cleanup(func() { l.Close() })
	addr = l.Addr().String()
	fill, err := net.Dial("tcp", addr)
	s.must(err)
	s.t.Cleanup(func() { fill.Close() })
	return addr, func() {
		go func() {
			for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
				go s.serve(conn)
			}
		}()
	}
}

// DNS still names a worker, with 300 s to live, that the roster reports as draining
// while an attempt at it is connecting: once the connection is up nothing is
// written to it, and the job goes to another worker.
func TestDrainWinsOverDNSWhileConnecting(t *testing.T) {
	for _, lifecycle := range []string{"DRAINING", "DELETED"} {
		t.Run(lifecycle, func(t *testing.T) {
			t.Parallel()
			s := newTestbed(t)
			set(s.settings, strings.Split("Limits.ConnectTimeoutMs", "."), 5000.0)
			d := s.startDNS("")
			slow, free := s.slowWorker()
			s.workers["s-1"] = slow
			s.setZone(d, 300, "s-1")
			s.step("list", "s-1 SERVING")
			s.waitForConsole("worker s-1", "loans: serving")
			s.step("client a sends", fmt.Sprintf(job, "r1"))
			for limit := time.Now().Add(patience); s.node.broker.Stats().Open == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("the job never came")
				}
			}
			time.Sleep(20 * time.Millisecond) // its connect is under way; too early would prove less, not fail
			if lifecycle == "DELETED" {
				s.step("list", "s-2 SERVING")
			} else {
				s.step("list", "s-1 DRAINING\ns-2 SERVING")
			}
			s.waitForConsole("worker s-1", "draining, by roster")
			s.setZone(d, 300, "s-1", "s-2") // DNS goes on naming it
			free()
			got := s.nextDispatch()
			if addr := got.conn.LocalAddr().String(); addr != s.workers["s-2"] {
				t.Fatalf("went to %s, which drains", addr)
			}
			got.answerDone("r1")
			if status, _ := s.clients["a"].answer(t); status != 200 {
				t.Error("got", status)
			}
		})
	}
}

// A target's address changes while a connection to the old one is kept: the next
// job goes to the new address, and the old connection is closed.
func TestAddressChangeRetiresPooledConnections(t *testing.T) {
	s := newTestbed(t)
	d := s.startDNS("")
	s.setZone(d, 0, "s-1")
	s.step("list", "")
	s.waitForConsole("worker s-1", "serving")
	s.dispatches["A"] = s.wantServedBy("r1", "s-1")
	s.setZone(d, 0, "s-1="+s.worker("elsewhere"))
	s.waitForConsole("worker s-1", s.workers["elsewhere"])
	s.step("dispatch A sees close", "")
	s.wantServedBy("r2", "elsewhere")
}

// The resolver falls silent, the process is upgraded, and the next one goes on
// with what was known; the roster's tombstone and the ban go over too. Back again,
// no worker counts as newly started.
func TestSourcesSurviveAnUpgrade(t *testing.T) {
	s := newTestbed(t)
	s.dir = t.TempDir()
	d := s.startDNS("")
	s.setZone(d, 1, "s-1", "s-2", "s-3")
	s.step("list", "s-1 SERVING\ns-2 SERVING")
	s.waitForConsole("sources", "loans: 3 serving")
	s.step("list", "s-2 SERVING")
	s.waitForConsole("worker s-1", "draining, by roster: gone")
	s.step("console exclude s-2", "SUCCESS exclude s-2")
	d.Behave(dnsserver.Always(dnsserver.Fault{Drop: true}))
	s.waitForConsole("worker s-3", "serving, by loans: lapsed")
	s.start()
	s.waitForConsole("worker s-3", "serving, by loans: lapsed")
	s.waitForConsole("worker s-1", "draining, by roster: gone")
	s.waitForConsole("worker s-2", "draining, by operator: called out")
	d.Behave(nil)
	s.waitForConsole("worker s-3", "serving, by loans: serving")
	s.waitForConsole("worker s-1", "draining, by roster: gone")
	if n := s.node.broker.Stats(); n.Ready != 1 {
		t.Errorf("%+v", n)
	}
	s.wantServedBy("r1", "s-3")
}

// The operator's file takes effect at SIGHUP, whole or not at all.
func TestOperatorFileAtReload(t *testing.T) {
	s := newTestbed(t)
	d := s.startDNS("")
	with := s.operator
	s.operator = ""
	s.setZone(d, 300, "s-7")
	s.step("list", "s-1 SERVING")
	reload := func(operator string) {
		dir := t.TempDir()
		text, err := os.ReadFile(s.configFile)
		s.must(err)
		path := filepath.Join(dir, "config.json")
		s.must(os.WriteFile(path, text, 0o600))
		s.must(os.WriteFile(filepath.Join(dir, "yardflow.toml"), []byte(operator), 0o600))
		s.node.reload(func() (*config.Config, error) {
			return config.Reload(func(k string) string { return map[string]string{"NODE_CONFIG": path}[k] }, filepath.Join(dir, "yardflow.toml"))
		})
	}
	reload(strings.Replace(with, `"200ms"`, `"200 years"`, 1))
	if got := s.node.sources.Describe(); strings.Contains(got, "loans") {
		t.Error("a faulty file is taken:", got)
	}
	reload(with)
	s.waitForConsole("worker s-7", "serving, by loans")
	reload("[membership]\nrule = \"some\"\n")
	s.waitForConsole("worker s-7", "serving, by loans")
	reload("")
	s.waitForConsole("worker s-7", "no such loan worker")
	if n := s.node.broker.Stats(); n.Ready != 1 {
		t.Errorf("%+v", n)
	}
}

// A backup of a fixed list gets work while the others can't be reached, and none
// before.
func TestBackupServesWhenOthersCant(t *testing.T) {
	s := newTestbed(t)
	s.useHAProxyServers(fmt.Sprintf("server one %s\n server two %s backup", s.worker("dead"), s.worker("loans/two")))
	s.waitForConsole("worker loans/two", "draining, by standby")
	// Connects fail until the first is known to be out, then the backup takes over.
	for n := 0; ; n++ {
		s.step("client a sends", fmt.Sprintf("POST /loans HTTP/1.1\nHost: h\nX-Request-ID: r%d\nX-Priority-Class: loans\nX-Timeout: 0.5\n\nx", n))
		status := make(chan int, 1)
		go func() { code, _ := s.clients["a"].answer(t); status <- code }()
		select {
		case d := <-s.arrivals:
			d.answerDone(fmt.Sprint("r", n))
			if got := <-status; got != 200 {
				t.Error("got", got)
			}
			s.waitForConsole("worker loans/two", "serving")
			return
		case got := <-status:
			if n > 12 { // at half a second each
				t.Fatal("the backup never serves; got", got)
			}
		}
	}
}
