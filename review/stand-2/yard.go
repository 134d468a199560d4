//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  map[string][]runLine // by job
}

type runLine struct {
	worker, task string
	run          uint64
	began, ended time.Time
	how          string
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineLocked(format, args...)
}

func (r *record) lineLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) runStarted(worker, task string, run, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	r.runs[id] = append(r.runs[id], runLine{worker: worker, task: task, run: run, began: time.Now()})
	r.lineLocked("start %s run %d at %s fence %d", task, run, worker, fence)
}

func (r *record) runEnded(worker, task string, run uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	lines := r.runs[id]
	for i := range lines {
		if lines[i].worker == worker && lines[i].task == task && lines[i].run == run && lines[i].how == "" {
			lines[i].ended, lines[i].how = time.Now(), how
		}
	}
	r.lineLocked("end   %s run %d at %s %s", task, run, worker, how)
}

func (r *record) runsOf(id string) []runLine {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]runLine(nil), r.runs[id]...)
}

// process is one process of the system.
type process struct {
	yard           *yard
	name, role     string
	zone           string
	control        string // address, of a control process
	front, ready   string // addresses, of a dispatcher
	folder         string
	cmd            *exec.Cmd
	ended          chan struct{}
	askedToEnd     bool
	endedByItself  bool
	frozenAtLeast  bool
	extraArguments []string
}

// yard is a small deployment of the system's own processes with stand-ins beside them.
type yard struct {
	root, folder string
	rec          *record
	block        int
	guard        net.Listener
	cores        []*process
	fronts       []*process
	workers      []*worker
	cloud        *http.Server
	cloudAddr    string
	listed       func() []map[string]any
	version      int64
	diskMb       int
	started      int
	closing      sync.Mutex
	closed       atomic.Bool // no process is started any more
	attempts     int         // MaxAttempts of the queue
	kinds        []string
	perRack      int
	mu           sync.Mutex
}

const (
	service  = "roundmaker"
	host     = "ficu95.example"
	prefix   = "/lohu930/"
	finishS  = 14 * time.Second
	patience = 3000
)

func (y *yard) ip(kind, number int) string { return fmt.Sprintf("127.%d.%d.%d", y.block, kind, number) }

func newYard(root, out string) (*yard, error) {
	file, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "yard-case-")
	if err != nil {
		return nil, err
	}
	y := &yard{root: root, folder: folder, diskMb: 128, attempts: 3, perRack: 6, kinds: []string{"a", "a", "b"},
		rec: &record{file: file, began: time.Now(), runs: map[string][]runLine{}}}
	for range 50 {
		y.block = 30 + rand.IntN(180)
		if y.guard, err = net.Listen("tcp", y.ip(250, 1)+":7999"); err == nil {
			break
		}
	}
	return y, err
}

func (y *yard) zones() []string { return []string{"suva-hall", "nadi-hall", "lautoka-hall"} }

// lay prepares the processes and starts the workers and the platform's list.
func (y *yard) lay(cores, fronts, workers int, cpu, mem int64) error {
	zones := y.zones()
	for i := range cores {
		y.cores = append(y.cores, &process{yard: y, name: fmt.Sprintf("core-%d", i+1), role: "control", zone: zones[i%3],
			control: y.ip(1, i+1) + ":8146"})
	}
	for i := range fronts {
		y.fronts = append(y.fronts, &process{yard: y, name: fmt.Sprintf("front-%d", i+1), role: "dispatcher", zone: zones[i%3],
			front: y.ip(2, i+1) + ":8144", ready: y.ip(2, i+1) + ":8140"})
	}
	for i := range workers {
		w, err := startWorker(fmt.Sprintf("i-%08x", 0x1000+i), fmt.Sprintf("%s:8366", y.ip(3, i+1)), y.kinds[i%len(y.kinds)],
			fmt.Sprintf("r%d", i/y.perRack), cpu, mem, y.rec)
		if err != nil {
			return err
		}
		y.workers = append(y.workers, w)
	}
	y.listed = func() []map[string]any {
		list := []map[string]any{}
		for i, w := range y.workers {
			list = append(list, w.entry(service, zones[i%3]))
		}
		return list
	}
	y.cloudAddr = y.ip(4, 1) + ":8142"
	l, err := net.Listen("tcp", y.cloudAddr)
	if err != nil {
		return err
	}
	y.cloud = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		y.mu.Lock()
		list := y.listed()
		y.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"Instances": list, "NextToken": nil})
	})}
	go func() { _ = y.cloud.Serve(l) }()
	return nil
}

func (p *process) settings(first bool) string {
	y := p.yard
	seeds := []string{}
	for _, core := range y.cores[:min(3, len(y.cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", core.control))
	}
	b := &strings.Builder{}
	class, limits := "front", "CpuShare = 0.4\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0"
	if p.role == "control" {
		class = "core"
		limits = fmt.Sprintf("CpuShare = 0.8\nCores = 1\nMemoryMb = 280\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = %d", y.diskMb)
	}
	fmt.Fprintf(b, "Node = %q\nRole = %q\nClass = %q\nServes = [%q]\nZone = %q\nRegion = \"viti-levu\"\n", p.name, p.role, class,
		map[string]string{"front": "front", "core": "control"}[class], p.zone)
	fmt.Fprintf(b, "Seeds = [%s]\nBootstrap = %v\nCountsForQuorum = %v\nDiscovery = \"cloud\"\nEntry = \"vip\"\nHeartbeatMs = 1400\n",
		strings.Join(seeds, ","), first, p.role == "control")
	fmt.Fprintf(b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\nOrders = \"request\"\n")
	if p.role == "control" {
		fmt.Fprintf(b, "DataDir = %q\n", filepath.Join(p.folder, "data"))
	}
	b.WriteString("[Zones]\nsuva-hall = \"viti-levu\"\nnadi-hall = \"viti-levu\"\nlautoka-hall = \"viti-levu\"\n[Listen]\n")
	if p.role == "control" {
		fmt.Fprintf(b, "Control = %q\n", p.control)
	} else {
		fmt.Fprintf(b, "Front = %q\nReady = %q\n", p.front, p.ready)
	}
	fmt.Fprintf(b, "[Limits]\n%s\n[Tolerate]\nMachines = 1\nZones = 0\nRegions = 0\n", limits)
	b.WriteString("[Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 3000\n" +
		"GraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2000\nRollbackSlackMs = 250\nMaxStretchMs = 5000\nRecoveryS = 12\n" +
		"HoldMaxMs = 6000\nstop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n" +
		"status_s = 120\nfar_x = 3\nsave_s = 1\nrestore_ms = 600\n")
	fmt.Fprintf(b, "[Cloud]\nAddress = %q\nRatePerS = 50.0\nDuties = []\nLagMs = 800\n", y.cloudAddr)
	return b.String()
}

// start starts the process with the command of the deploy file.
func (p *process) start(first bool) error {
	y := p.yard
	if y.closed.Load() {
		return errors.New("the case has ended")
	}
	p.folder = filepath.Join(y.folder, p.name)
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o755); err != nil {
		return err
	}
	settings := filepath.Join(p.folder, "settings.toml")
	if err := os.WriteFile(settings, []byte(p.settings(first)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(y.root, "target", "scheduler"), append(p.extraArguments, p.role)...)
	cmd.Dir = y.root
	cmd.Env = []string{"YARDFLOW_BOOT=" + settings, "PATH=/usr/bin:/bin", "HOME=" + y.folder, "LANG=C"}
	cmd.Stdout, cmd.Stderr = log, log
	if err := startOnOneCore(cmd, y.nextCore()); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.askedToEnd = cmd, ended, false
	go func() {
		_ = cmd.Wait()
		if !p.askedToEnd {
			p.endedByItself = true
			y.rec.line("process %s ended by itself: %v", p.name, cmd.ProcessState)
		}
		close(ended)
	}()
	return nil
}

// nextCore spreads the processes over the processors.
func (y *yard) nextCore() int {
	y.started++
	return y.started % runtime.NumCPU()
}

// startOnOneCore starts a command on one processor, as the machines of the deployment have one core.
func startOnOneCore(cmd *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var former, one [16]uint64
	size := uintptr(len(one) * 8)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&former))); e != 0 {
		return cmd.Start()
	}
	for i, seen := 0, 0; i < len(former)*64; i++ {
		if former[i/64]&(1<<(i%64)) == 0 {
			continue
		}
		if seen == core {
			one[i/64] = 1 << (i % 64)
		}
		seen++
	}
	syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one)))
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&former)))
	return cmd.Start()
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.askedToEnd = true
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (y *yard) close() {
	y.closing.Lock() // never unlocked: the process ends with it
	y.closed.Store(true)
	for _, p := range append(append([]*process{}, y.cores...), y.fronts...) {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(y.folder)
	} else {
		fmt.Println(y.folder)
	}
	_ = y.rec.file.Close()
}

func (y *yard) config(version int64, timeoutMs int, routes int) []byte {
	list := []map[string]any{{"Name": "r-a", "Host": host, "PathPrefix": prefix, "Kind": "unsafe", "TimeoutMs": timeoutMs,
		"TargetLatencyMs": 250, "Priority": 0, "Service": service, "MaxAttempts": y.attempts, "Stretch": 2.2}}
	for i := range routes {
		list = append(list, map[string]any{"Name": fmt.Sprintf("r-%d", i), "Host": host, "PathPrefix": fmt.Sprintf("/idle%d/", i),
			"Kind": "unsafe", "TimeoutMs": timeoutMs, "TargetLatencyMs": 250, "Priority": 1, "Service": service, "MaxAttempts": 3, "Stretch": 2.2})
	}
	text, _ := json.Marshal(map[string]any{"Version": version, "Routes": list,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "Guards": true}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return text
}

var operatorClient = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}

func (y *yard) put(at *process, body []byte, match int64) (status int, text string) {
	q, _ := http.NewRequest(http.MethodPut, "http://"+at.control+"/-/config", bytes.NewReader(body))
	q.Header.Set("If-Match", fmt.Sprint(match))
	q.Header.Set("Content-Type", "application/json")
	response, err := operatorClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// up starts all processes, puts the first configuration in force and waits until the dispatchers are ready.
func (y *yard) up() error {
	for _, p := range append(append([]*process{}, y.cores...), y.fronts...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; ; i++ {
		status, _ := y.put(y.cores[i%len(y.cores)], y.config(1, 3000, 0), 0)
		if status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the first configuration is not taken: %d", status)
		}
		time.Sleep(200 * time.Millisecond)
	}
	y.version = 1
	for _, front := range y.fronts {
		for {
			response, err := operatorClient.Get("http://" + front.ready + "/-/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", front.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

type status struct {
	Chain      []string
	Serves     bool
	Dispatched int
	Epoch      uint64
	Committed  uint64
}

func (y *yard) status(p *process) (s status, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.control+"/-/status", nil)
	response, err := operatorClient.Do(q)
	if err != nil {
		return s, false
	}
	defer response.Body.Close()
	return s, json.NewDecoder(response.Body).Decode(&s) == nil
}

func (y *yard) core(name string) *process {
	for _, p := range y.cores {
		if p.name == name {
			return p
		}
	}
	return nil
}

var clientTransport = &http.Transport{MaxIdleConnsPerHost: 64}

// call makes a client's call at a dispatcher; status 0: no whole answer.
func (y *yard) call(front *process, method, id, body string) (code int, text string) {
	ctx, cancel := context.WithTimeout(context.Background(), (patience+500)*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, method, "http://"+front.front+prefix+id, strings.NewReader(body))
	q.Host = host
	q.GetBody = nil
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Yardflow-Deadline-Remaining", fmt.Sprint(patience))
	response, err := (&http.Client{Transport: clientTransport}).Do(q)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// handIn sends a job until it is accepted, at one dispatcher after the other.
func (y *yard) handIn(first int, id, body string) bool {
	for try := range 5 {
		sent := time.Now()
		code, _ := y.call(y.fronts[(first+try)%len(y.fronts)], http.MethodPost, id, body)
		y.rec.line("POST %s at %s: %d after %v", id, y.fronts[(first+try)%len(y.fronts)].name, code, time.Since(sent).Round(time.Millisecond/10))
		if code == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (y *yard) state(front *process, id string) string {
	code, text := y.call(front, http.MethodGet, id, "")
	answer := struct{ State string }{}
	if code == http.StatusOK && json.Unmarshal([]byte(text), &answer) == nil {
		return answer.State
	}
	return fmt.Sprint(code)
}
