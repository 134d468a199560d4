package crowds

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/internal/platform/settings"
)

// Limits of each process in its settings. They are lower than those of the deployments, so that a small crowd goes over
// them.
const (
	memoryMb      = 96
	maxFds        = 600
	reservedFds   = 200 // of maxFds, which stay kept for files outside of the disk folder
	diskMb        = 16
	maxBodyBytes  = 262144 // as in the pages' example of a configuration, like the limits below
	maxHeadBytes  = 16384
	headTimeoutMs = 3000
	idleTimeoutMs = 15000
)

// The cluster.
const (
	coreCount   = 3
	controlPort = 8146
	frontPort   = 8144
	readyPort   = 8140
	guardPort   = 7999
	firstBlock  = 221 // above the blocks of the soak
	blockCount  = 30
	queuePrefix = "/q/"
	queueHost   = "crowd.example"
	patience    = 60 * time.Second // until a wait counts as a hang
	retryPause  = 50 * time.Millisecond
	callTimeout = 5 * time.Second
)

// process is one process of the system.
type process struct {
	name    string
	address string // of its clients, or of its callers at a control process
	ready   string // of readiness checks; "" at a control process
	cmd     *exec.Cmd
	ended   chan struct{} // closed once the process has ended
}

// cluster is three control processes and one dispatcher on the loopback range.
type cluster struct {
	t          *testing.T
	controls   []*process
	dispatcher *process
	jobs       int // handed in so far
}

// startCluster builds the program once, starts the processes with a configuration and waits until the dispatcher serves.
func startCluster(t *testing.T) *cluster {
	t.Helper()
	block := reserveBlock(t)
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"Instances":[],"NextToken":null}`)
	}))
	t.Cleanup(platform.Close)
	c := &cluster{t: t}
	seeds := []string{}
	for i := range coreCount {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:%d", block, i+1, controlPort))
	}
	common := settings.Settings{Zone: "z0", Seeds: seeds, Bootstrap: true, Zones: map[string]string{"z0": "r"},
		Tolerate: settings.Tolerate{Machines: 1},
		Bounds:   settings.Bounds{HoldMaxMs: 6000, StopMs: 400, GraceS: 6, StatusRetentionS: 120, FarFactor: 1.5},
		Cloud:    settings.Cloud{Address: platform.Listener.Addr().String(), RatePerS: 30}}
	for i, address := range seeds {
		s := common
		s.Node, s.Listen.Control = fmt.Sprint("core-", i), address
		c.controls = append(c.controls, startProcess(t, "control", &s))
	}
	s := common
	s.Node = "front-0"
	s.Listen.Front = fmt.Sprintf("127.%d.2.1:%d", block, frontPort)
	s.Listen.Ready = fmt.Sprintf("127.%d.2.1:%d", block, readyPort)
	c.dispatcher = startProcess(t, "dispatcher", &s)
	c.configure(1, 0)
	c.awaitReady()
	return c
}

// reserveBlock reserves the addresses 127.BLOCK.x.y for this test.
func reserveBlock(t *testing.T) int {
	t.Helper()
	for block := firstBlock; block < firstBlock+blockCount; block++ {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, guardPort))
		if err == nil {
			t.Cleanup(func() { guard.Close() })
			return block
		}
	}
	t.Fatal("no block of the loopback range is free")
	return 0
}

// program builds the system's program.
var program = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "crowds")
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "scheduler")
	output, err := exec.Command("go", "build", "-tags", "nethttpomithttp2", "-ldflags=-linkmode=external", "-o", path,
		"yardflow/cmd/scheduler").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return path, nil
})

// rawSettings adds to the settings what the program may not read yet.
type rawSettings struct {
	settings.Settings
	Limits rawLimits
}

type rawLimits struct {
	Cores, MemoryMb, DiskMb, MaxFds int
}

// startProcess starts a process, which is killed at the end of the test.
func startProcess(t *testing.T, role string, s *settings.Settings) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if role == "control" {
		s.DataDir = folder
	}
	text, err := toml.Marshal(rawSettings{*s, rawLimits{Cores: 1, MemoryMb: memoryMb, DiskMb: diskMb, MaxFds: maxFds}})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{name: s.Node, address: s.Listen.Front + s.Listen.Control, ready: s.Listen.Ready, ended: make(chan struct{})}
	log := &bytes.Buffer{}
	p.cmd = exec.Command(path, role)
	p.cmd.Env = []string{settings.PathVariable + "=" + file, "PATH=/usr/bin:/bin"}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait() // the test judges whether the process lives
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails where the process has ended
		<-p.ended
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, lastBytes(log.Bytes(), 2000))
		}
	})
	return p
}

func lastBytes(text []byte, count int) []byte { return text[max(0, len(text)-count):] }

// alive reports whether the process runs.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// configuration returns a configuration with one queue, padded with further queues of another host.
func configuration(version, padding int) string {
	routes := &bytes.Buffer{}
	for i := range padding {
		fmt.Fprintf(routes, `,{"Name":"p%d","Host":"padding.example","PathPrefix":"/padding-%d/","Kind":"unsafe","TimeoutMs":3000,`+
			`"TargetLatencyMs":1000,"Priority":1,"Service":"s","MaxAttempts":3,"Stretch":2}`, i, i)
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[{"Name":"q","Host":"%s","PathPrefix":"%s","Kind":"unsafe","TimeoutMs":3000,`+
		`"TargetLatencyMs":1000,"Priority":1,"Service":"s","MaxAttempts":3,"Stretch":2}%s],"Services":[{"Name":"s",`+
		`"HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"Guards":true}],"Limits":{"MaxHeaderBytes":%d,`+
		`"MaxBodyBytes":%d,"HeaderTimeoutMs":%d,"IdleTimeoutMs":%d}}`, version, queueHost, queuePrefix, routes, maxHeadBytes,
		maxBodyBytes, headTimeoutMs, idleTimeoutMs)
}

// configure puts a configuration in force.
func (c *cluster) configure(version, padding int) {
	c.t.Helper()
	body := configuration(version, padding)
	c.await("a configuration", func() bool {
		return c.call(http.MethodPut, c.controls[0].address, "/-/config", body, "If-Match", fmt.Sprint(version-1)) == http.StatusOK
	})
}

func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await("readiness", func() bool {
		return c.call(http.MethodGet, c.dispatcher.ready, "/-/readiness", "", "", "") == http.StatusOK
	})
}

// await repeats a call until it succeeds. A test whose processes hang fails here.
func (c *cluster) await(what string, try func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); !try(); time.Sleep(retryPause) {
		if time.Now().After(deadline) {
			c.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// call makes one call on a connection of its own and returns the status, 0 where no answer came.
func (c *cluster) call(method, address, path, body, header, value string) int {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		c.t.Fatal(err)
	}
	request.Host = queueHost
	if header != "" {
		request.Header.Set(header, value)
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode
}

// checkOrdinaryCalls checks that a job of an ordinary client is accepted and its state told, that the readiness check
// succeeds and that each control process answers its status.
func (c *cluster) checkOrdinaryCalls() {
	c.t.Helper()
	c.jobs++
	path := fmt.Sprintf("%s%016x", queuePrefix, c.jobs)
	const body = `{"Spec":"ordinary","Steps":[{"Count":1,"Cpu":100,"EstimateMs":10}]}`
	c.await("an ordinary job", func() bool {
		return c.call(http.MethodPost, c.dispatcher.address, path, body, "", "") == http.StatusOK
	})
	c.await("the state of an ordinary job", func() bool {
		return c.call(http.MethodGet, c.dispatcher.address, path, "", "", "") == http.StatusOK
	})
	c.awaitReady()
	for _, control := range c.controls {
		c.await("the status of "+control.name, func() bool {
			return c.call(http.MethodGet, control.address, "/-/status", "", "", "") == http.StatusOK
		})
	}
}
