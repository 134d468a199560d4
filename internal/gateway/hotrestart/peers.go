package hotrestart

// This file owns the socket over which processes of one dispatcher know of each
// other. A connection stands for as long as both live. It must never block a
// start: a socket that a killed process left is replaced, and a process that
// does not answer is counted and left alone.

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	handshakeTimeout = 1500 * time.Millisecond // for the old process to shrink and tell its state
	maxStateBytes    = 8 << 20
	maxSocketPath    = 100 // of a Unix socket's address, by the system's bound of 108
)

// Hooks are what a process does when another tells it something.
type Hooks struct {
	State           func() []byte // what the next process starts on
	SiblingsChanged func(n int)   // so many processes share the machine now; done when it returns
	BansChanged     func()        // the banned ids have changed
	PeerMessage     func([]byte)  // what it says to the other dispatchers, or heard of them
}

// Siblings are the other processes of this dispatcher, mostly none.
type Siblings struct {
	path  string // empty: none can be met
	hooks Hooks
	log   func(string)

	mu       sync.Mutex
	siblings map[net.Conn]bool // whether it is a newer one's
	listener *net.UnixListener
	closed   bool
}

// Join calls the process that runs already, if there is one, and returns its
// state. After that, that process uses its part of the machine alone.
func Join(dir, name string, log func(string)) (*Siblings, []byte) {
	p := &Siblings{siblings: map[net.Conn]bool{}, log: log}
	if dir == "" {
		return p, nil
	}
	p.path = filepath.Join(dir, filePrefix(name)+".sock")
	conn, err := p.dial()
	if err != nil {
		return p, nil // nobody there, or what a killed process left
	}
	p.siblings[conn] = false
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	io.WriteString(conn, "join\n")
	state, err := readState(conn)
	if err != nil {
		log(fmt.Sprintf("the process before does not tell its state: %v", err))
	}
	conn.SetDeadline(time.Time{})
	return p, state
}

// socketAddress makes an address of at most maxSocketPath bytes for a path, through a
// descriptor of its folder where it must be; done gives that back.
func socketAddress(path string) (addr string, done func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

func (p *Siblings) dial() (net.Conn, error) {
	addr, done, err := socketAddress(p.path)
	if err != nil {
		return nil, err
	}
	defer done()
	return net.DialTimeout("unix", addr, handshakeTimeout)
}

// readState reads one byte at a time up to the length's end, so that nothing
// behind the state is taken.
func readState(r io.Reader) ([]byte, error) {
	var line []byte
	for b := make([]byte, 1); ; {
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		if b[0] == '\n' {
			break
		}
		if line = append(line, b[0]); len(line) > 10 {
			return nil, errors.New("no length")
		}
	}
	n, err := strconv.Atoi(string(line))
	if err != nil || n < 0 || n > maxStateBytes {
		return nil, fmt.Errorf("length %q", line)
	}
	state := make([]byte, n)
	_, err = io.ReadFull(r, state)
	return state, err
}

// Serve lets the next process call, and listens to the one that was met.
func (p *Siblings) Serve(h Hooks) error {
	p.hooks = h
	if p.path == "" {
		return nil
	}
	p.mu.Lock()
	for conn := range p.siblings {
		go p.readMessages(conn)
	}
	p.mu.Unlock()
	return p.claimSocket()
}

// Count counts the other processes.
func (p *Siblings) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.siblings)
}

// HasSuccessor tells whether a newer process runs beside this one.
func (p *Siblings) HasSuccessor() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, newer := range p.siblings {
		if newer {
			return true
		}
	}
	return false
}

// claimSocket makes this process the one that the next one meets. The name goes over
// in one step, whoever held it.
func (p *Siblings) claimSocket() error {
	own := fmt.Sprintf("%s.%d", p.path, os.Getpid())
	os.Remove(own) // a killed process of the same number may have left it
	addr, done, err := socketAddress(own)
	if err != nil {
		return err
	}
	defer done()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: addr, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the name is another's
	if err := os.Rename(own, p.path); err != nil {
		l.Close()
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		l.Close()
		return nil
	}
	if p.listener != nil {
		p.listener.Close()
	}
	p.listener = l
	go p.acceptLoop(l)
	return nil
}

func (p *Siblings) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go p.handleJoin(conn)
	}
}

// handleJoin lets one process join. One that only looks whether somebody is here has
// not joined, and is not counted.
func (p *Siblings) handleJoin(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	word := make([]byte, len("join\n"))
	if _, err := io.ReadFull(conn, word); err != nil || string(word) != "join\n" {
		conn.Close()
		return
	}
	p.mu.Lock()
	p.siblings[conn] = true
	n := 1 + len(p.siblings)
	p.mu.Unlock()
	// First smaller, then the answer: the other takes its part once it has it.
	p.hooks.SiblingsChanged(n)
	state := p.hooks.State()
	if _, err := fmt.Fprintf(conn, "%d\n%s", len(state), state); err != nil {
		p.log("the next process does not take the state: " + err.Error())
	}
	conn.SetDeadline(time.Time{})
	p.readMessages(conn)
}

// readMessages hears the other out; the end of the connection is the other's end.
func (p *Siblings) readMessages(conn net.Conn) {
	in := bufio.NewScanner(conn)
	for in.Scan() {
		if in.Text() == "bans" {
			p.hooks.BansChanged()
		} else if said, ok := strings.CutPrefix(in.Text(), "said "); ok && p.hooks.PeerMessage != nil {
			if msg, err := hex.DecodeString(said); err == nil {
				p.hooks.PeerMessage(msg)
			}
		}
	}
	conn.Close()
	p.mu.Lock()
	newer := p.siblings[conn]
	delete(p.siblings, conn)
	n, closed := 1+len(p.siblings), p.closed
	p.mu.Unlock()
	if closed {
		return
	}
	p.log("the other process has ended")
	p.hooks.SiblingsChanged(n)
	if !newer {
		return
	}
	// A newer one that failed: if nobody answers at the name, it was left behind.
	if conn, err := p.dial(); err == nil {
		conn.Close()
	} else if err := p.claimSocket(); err != nil {
		p.log("the next process can't meet this one: " + err.Error())
	}
}

// NotifyBans lets the others read the banned ids again.
func (p *Siblings) NotifyBans() { p.broadcast("bans\n") }

// ForwardPeerMessage hands a datagram on: one socket gets it, and both processes are meant.
func (p *Siblings) ForwardPeerMessage(msg []byte) {
	if p.Count() > 0 {
		p.broadcast("said " + hex.EncodeToString(msg) + "\n")
	}
}

func (p *Siblings) broadcast(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.siblings {
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		io.WriteString(conn, line)
	}
}

// Close leaves the others.
func (p *Siblings) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		p.listener.Close()
	}
	for conn := range p.siblings {
		conn.Close()
	}
}
