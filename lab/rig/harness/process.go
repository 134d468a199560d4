package harness

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns one process of the stage: its start, its log, its signals and its end. It must
// never touch one that it has not started.

// Process is one program that can be killed, stopped and started again.
type Process struct {
	Name string
	Addr string // it serves on

	rig  *Rig
	args []string
	env  []string
	dir  string
	most int64 // bytes of a file that it may write; 0: as many as there is room for
	mu   sync.Mutex
	cmd  *exec.Cmd
	log  []string
	more chan struct{}
	over chan struct{}
}

// Program has a dispatcher be another build of the program from its next start on.
func (p *Process) Program(name string) { p.args[0] = filepath.Join(p.rig.Bin, name) }

// Start starts the process, or starts it again, and waits until it serves.
func (p *Process) Start(more ...string) error {
	p.mu.Lock()
	words := append(p.args[:len(p.args):len(p.args)], more...)
	if p.most > 0 { // in the shell's blocks of 512 bytes
		words = append([]string{"sh", "-c", fmt.Sprintf("ulimit -f %d; exec \"$@\"", p.most/512), "sh"}, words...)
	}
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Dir, cmd.Env = p.dir, append(os.Environ(), p.env...)
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		p.mu.Unlock()
		return err
	}
	from := len(p.log)
	p.cmd, p.over = cmd, make(chan struct{})
	over := p.over
	if p.more == nil {
		p.more = make(chan struct{})
	}
	p.mu.Unlock()
	go func() {
		in := bufio.NewScanner(out)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			p.line(in.Text())
		}
		_ = cmd.Wait()
		p.line("ended: " + cmd.ProcessState.String()) // first: whoever starts it again looks from there on
		close(over)
	}()
	line, err := p.Await(from, " serves on ")
	if err != nil {
		return err
	}
	p.Addr = line[strings.LastIndex(line, " ")+1:]
	p.rig.mu.Lock()
	defer p.rig.mu.Unlock()
	for ends, l := range p.rig.relays {
		if ends[1] == p.Name {
			l.Target(p.Addr)
		}
	}
	return nil
}

func (p *Process) line(text string) {
	p.mu.Lock()
	p.log = append(p.log, text)
	close(p.more)
	p.more = make(chan struct{})
	p.mu.Unlock()
	if _, rest, ok := strings.Cut(text, " arrive "); ok {
		a := Admission{Dispatcher: p.Name}
		for _, f := range strings.Fields(rest) {
			if v, ok := strings.CutPrefix(f, "policy="); ok {
				a.Version, _ = strconv.ParseUint(v, 10, 64)
			} else if v, ok := strings.CutPrefix(f, "at="); ok {
				a.At, _ = strconv.ParseInt(v, 10, 64)
			} else if v, ok := strings.CutPrefix(f, "in="); ok {
				a.In, _ = strconv.ParseInt(v, 10, 64)
			}
		}
		p.rig.mu.Lock()
		p.rig.history = append(p.rig.history, a)
		p.rig.mu.Unlock()
	}
}

// Mark is the place in the log that is reached now.
func (p *Process) Mark() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.log)
}

// Await waits for a line that holds a text, from a place in the log on.
func (p *Process) Await(from int, text string) (string, error) {
	limit := time.After(Patience)
	for {
		p.mu.Lock()
		for ; from < len(p.log); from++ {
			if strings.Contains(p.log[from], text) {
				defer p.mu.Unlock()
				return p.log[from], nil
			}
			if strings.HasPrefix(p.log[from], "ended: ") && text != "ended: " {
				defer p.mu.Unlock()
				return "", fmt.Errorf("%s has ended before %q: %s", p.Name, text, strings.Join(lastLines(p.log[:from+1]), "\n"))
			}
		}
		more := p.more
		p.mu.Unlock()
		select {
		case <-more:
		case <-limit:
			return "", fmt.Errorf("%s does not say %q", p.Name, text)
		}
	}
}

// lastLines are the lines of a log that tell why its process has ended: from the panic on, where there was one.
func lastLines(log []string) []string {
	const tail, most = 5, 60
	from := max(0, len(log)-tail)
	for i := max(0, len(log)-1000); i < from; i++ {
		if strings.HasPrefix(log[i], "panic: ") || strings.HasPrefix(log[i], "fatal error: ") {
			return log[i:min(len(log), i+most)]
		}
	}
	return log[from:]
}

// Limit bounds the files that it may write from its next start on, as a full disk would.
func (p *Process) Limit(bytes int64) { p.most = bytes }

// Beside starts a second process of a dispatcher, as an upgrade does: the same name and folder.
func (r *Rig) Beside(p *Process) (*Process, error) {
	next := &Process{Name: p.Name, rig: r, dir: p.dir, args: p.args, env: p.env}
	r.Dispatchers = append(r.Dispatchers, next)
	return next, next.Start()
}

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) { p.signal(s) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Pid is the running process's number.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Kill ends it at once, and waits until it has.
func (p *Process) Kill() {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over != nil {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-over
	}
}

// Stop has it stand still, knowing nothing of it; Go lets it go on.
func (p *Process) Stop() { p.signal(syscall.SIGSTOP) }

// Go lets a process go on that was stopped.
func (p *Process) Go() { p.signal(syscall.SIGCONT) }
