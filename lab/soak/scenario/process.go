package scenario

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"yardflow/internal/platform/settings"
)

// Bounds of processes.
const (
	graceS        = 6                      // between SIGTERM and SIGKILL
	lateEnd       = 4 * time.Second        // beyond that, for a busy machine, before the end counts as late
	memoryMb      = 284                    // as the machines of the smaller deployments have it
	mostFiles     = 600                    // descriptors of a dispatcher that serves few clients and workers
	reservedFiles = 200                    // of the settings' descriptors, which stay kept for files outside of the disk folder
	unplannedIn   = 3 * time.Second        // in which a kill or a freeze excuses calls that are cut off
	askWithin     = 500 * time.Millisecond // for the platform's check
)

// process is one machine of the cluster with its program.
type process struct {
	soak   *soak
	name   string
	zone   string
	role   string
	folder string

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{} // closed once cmd has ended
	asked     bool          // somebody has asked for its end
	frozen    bool
	unplanned time.Time // of the last kill or freeze, or of its end
	planned   time.Time // of the last SIGTERM or SIGHUP
	starts    int
}

func newProcess(s *soak, name, zone, role string) *process {
	return &process{soak: s, name: name, zone: zone, role: role, folder: filepath.Join(s.config.Folder, name)}
}

// writeSettings writes the settings file as the platform does: another file, renamed over the former one.
func (p *process) writeSettings(first bool) {
	content := p.soak.cluster.Settings(p.name, p.zone)
	content.Role, content.Bootstrap, content.Bounds.GraceS = p.role, first, graceS
	content.Limits = settings.Limits{Cores: 1, MemoryMb: memoryMb, MaxFds: p.soak.mostDescriptors() + reservedFiles, DiskMb: 16}
	if p.role == "control" {
		content.Listen.Control, content.DataDir = p.soak.block.address(p.name), filepath.Join(p.folder, "data")
	} else {
		content.Listen.Front, content.Listen.Ready = p.soak.block.address(p.name), p.soak.block.readyAddress(p.name)
	}
	text, err := toml.Marshal(content)
	if err != nil {
		panic(err) // settings can always be written
	}
	temporary := filepath.Join(p.folder, "settings.new")
	if os.WriteFile(temporary, text, 0o644) != nil || os.Rename(temporary, p.settingsPath()) != nil {
		p.soak.breaks("FAULT", "%s: the settings file can't be written", p.name)
	}
}

func (p *process) settingsPath() string { return filepath.Join(p.folder, "settings.toml") }

// start starts the program.
func (p *process) start(first bool) {
	p.writeSettings(first)
	p.soak.cluster.RecordStart(p.name)
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		p.soak.breaks("FAULT", "%s: %v", p.name, err)
		return
	}
	defer log.Close()
	cmd := exec.Command(p.program(), p.role)
	cmd.Env = []string{settings.PathVariable + "=" + p.settingsPath(), "PATH=/usr/bin:/bin", "GOMAXPROCS=1"} // as Limits.Cores
	cmd.Stdout, cmd.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		p.soak.breaks("FAULT", "%s: %v", p.name, err)
		return
	}
	p.cmd, p.ended, p.asked, p.frozen = cmd, make(chan struct{}), false, false
	go p.watch(cmd, p.ended)
}

// program returns the program to start. Where there is a former one, each start of a control process takes another one of the
// two, as a rolling upgrade and its way back do.
func (p *process) program() string {
	p.starts++
	if p.soak.config.Former == "" || p.role != "control" || (p.starts+len(p.name)+int(p.name[len(p.name)-1]))%2 == 0 {
		return p.soak.config.Program
	}
	p.soak.count("starts of the former program")
	return p.soak.config.Former
}

// watch waits for the process's end. One that nobody has asked for is a fault, and so is an exit code: a panic, say, or
// what the race detector found.
func (p *process) watch(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !p.asked:
		p.unplanned = time.Now()
		p.soak.breaks("FAULT", "%s ended by itself: %v", p.name, cmd.ProcessState)
	case cmd.ProcessState.Exited() && !cmd.ProcessState.Success():
		p.soak.breaks("FAULT", "%s was stopped and ended with %v", p.name, cmd.ProcessState)
	}
	if p.cmd == cmd {
		p.cmd = nil
	}
	close(ended)
}

// signal sends a signal to the process, where it runs; asks says that it asks for its end.
func (p *process) signal(signal syscall.Signal, asks bool) (ended chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	p.asked = p.asked || asks
	switch signal {
	case syscall.SIGKILL, syscall.SIGSTOP, syscall.SIGCONT:
		p.unplanned = time.Now()
	default:
		p.planned = time.Now()
	}
	_ = p.cmd.Process.Signal(signal)
	return p.ended
}

func (p *process) kill() {
	if ended := p.signal(syscall.SIGKILL, true); ended != nil {
		<-ended
	}
}

// terminate stops the process in order. It has its time to end, and gets SIGKILL after that; with killAfter, sooner.
func (p *process) terminate(killAfter time.Duration) {
	ended := p.signal(syscall.SIGTERM, true)
	if ended == nil {
		return
	}
	patience := graceS*time.Second + lateEnd
	if killAfter > 0 {
		patience = killAfter
	}
	select {
	case <-ended:
	case <-time.After(patience):
		if killAfter == 0 && !p.excused(time.Now()) {
			p.soak.breaks("FAULT", "%s runs on %v after SIGTERM", p.name, patience)
		}
		p.kill()
	}
}

func (p *process) freeze() {
	if p.signal(syscall.SIGSTOP, false) != nil {
		p.mu.Lock()
		p.frozen = true
		p.mu.Unlock()
	}
}

func (p *process) thaw() {
	p.mu.Lock()
	frozen := p.frozen
	p.frozen = false
	p.mu.Unlock()
	if frozen {
		p.signal(syscall.SIGCONT, false)
	}
}

// back starts the process again, where it does not run.
func (p *process) back() {
	if !p.runs() {
		p.start(false)
	}
}

func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// wipe empties the disk of a process that does not run.
func (p *process) wipe() {
	data := filepath.Join(p.folder, "data")
	if os.RemoveAll(data) != nil || os.MkdirAll(data, 0o755) != nil {
		p.soak.breaks("FAULT", "%s: the disk can't be emptied", p.name)
	}
}

// excused reports whether something unplanned befell the process so shortly before that calls may be cut off.
func (p *process) excused(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen || !p.unplanned.IsZero() && at.Sub(p.unplanned) < unplannedIn
}

// stops reports whether the process was content to stop, or has ended.
func (p *process) stops() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked || p.cmd == nil
}

// ready asks as the platform does whether new connections should come here.
func (p *process) ready() bool {
	client := http.Client{Timeout: askWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + p.soak.block.readyAddress(p.name) + "/-/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// checkProcesses checks that no process has grown beyond its machine, and returns the largest one's memory in MB.
func (s *soak) checkProcesses() int {
	largest := 0
	for _, p := range append(s.cores, s.fronts...) {
		p.mu.Lock()
		cmd := p.cmd
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		used := peakMemoryMb(cmd.Process.Pid)
		largest = max(largest, used)
		if used > memoryMb {
			s.breaks("FAULT", "%s has used %d MB", p.name, used)
		}
		files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", cmd.Process.Pid))
		if most := s.mostDescriptors(); len(files) > most {
			s.breaks("FAULT", "%s holds %d descriptors, %d at most are expected", p.name, len(files), most)
		}
	}
	return largest
}

// mostDescriptors returns how many descriptors a process may hold.
func (s *soak) mostDescriptors() int {
	return mostFiles + 8*s.config.Shape.Workers + 2*s.config.Shape.Dispatchers
}

// peakMemoryMb reads the most memory that a process has had.
func peakMemoryMb(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes / 1024
		}
	}
	return 0
}

// chainHasAll reports whether every control machine says that all of them are in the chain.
func (s *soak) chainHasAll() bool {
	for _, core := range s.cores {
		if status, ok := s.status(core); !ok || len(status.Chain) != len(s.cores) {
			return false
		}
	}
	return true
}
