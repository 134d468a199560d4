package hotrestart

// This file holds the socket over which the processes of one dispatcher know of each other. A connection stands for as
// long as both processes live.
//
// The protocol, which processes of two versions speak with each other: the newer process writes "join\n"; the older one
// takes the smaller share of the machine, and answers the length of its state in digits, "\n" and the state. From then on
// both send lines: "bans" (the ban list has changed) and "said HEX" (a datagram of another dispatcher, or one sent to
// them). Lines that are not known are skipped.

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
	// handshakeTimeout is how long the older process may take to shrink and to send its state. Beyond it the newer one
	// starts without the state.
	handshakeTimeout = 1500 * time.Millisecond
	// writeTimeout bounds the write of a line: a process that hangs must not hold up the other.
	writeTimeout = 100 * time.Millisecond
	// acceptRetryPause is the pause after an error of accept, such as no descriptor left.
	acceptRetryPause = 10 * time.Millisecond
	// maxStateBytes bounds the state.
	maxStateBytes = 8 << 20
	// maxLengthDigits bounds the digits of the state's length.
	maxLengthDigits = 10
	// maxSocketPath bounds the path of a Unix socket; the kernel's bound is 108 bytes.
	maxSocketPath = 100
)

// Messages of the protocol.
const (
	messageJoin        = "join\n"
	messageBansChanged = "bans"
	messagePeer        = "said " // and the datagram in hexadecimal
)

// Hooks are what a process does on messages of another.
type Hooks struct {
	State           func() []byte // returns what the next process starts with
	SiblingsChanged func(n int)   // so many processes share the machine now, this one included; the change is made when it returns
	BansChanged     func()        // the ban list has changed
	PeerMessage     func([]byte)  // a datagram from or to the other dispatchers; nil: there are none
}

// Siblings are the other processes of this dispatcher; mostly there is none.
type Siblings struct {
	path  string // of the socket; empty: no other process can be found
	hooks Hooks
	log   func(string)

	mu       sync.Mutex
	siblings map[net.Conn]bool // by connection, whether the process is newer than this one
	listener *net.UnixListener
	closed   bool
}

// Join calls the process that runs already, if there is one, and returns its state. When it returns, that process keeps to
// its share of the machine. With an empty dir there is no other process.
func Join(dir, name string, log func(string)) (*Siblings, []byte) {
	s := &Siblings{siblings: map[net.Conn]bool{}, log: log}
	if dir == "" {
		return s, nil
	}
	s.path = filepath.Join(dir, filePrefix(name)+".sock")
	conn, err := s.dial()
	if err != nil {
		return s, nil // nobody listens, or a killed process left the socket
	}
	s.siblings[conn] = false
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	io.WriteString(conn, messageJoin)
	state, err := readState(conn)
	if err != nil {
		log(fmt.Sprintf("the process before does not tell its state: %v", err))
	}
	conn.SetDeadline(time.Time{})
	return s, state
}

// socketAddress returns an address of at most maxSocketPath bytes for a path: a longer one goes through a descriptor of
// its folder, which release closes.
func socketAddress(path string) (addr string, release func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

func (s *Siblings) dial() (net.Conn, error) {
	addr, release, err := socketAddress(s.path)
	if err != nil {
		return nil, err
	}
	defer release()
	return net.DialTimeout("unix", addr, handshakeTimeout)
}

// readState reads the state and nothing behind it: one byte at a time up to the end of the length.
func readState(r io.Reader) ([]byte, error) {
	var digits []byte
	for b := make([]byte, 1); ; {
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		if b[0] == '\n' {
			break
		}
		digits = append(digits, b[0])
		if len(digits) > maxLengthDigits {
			return nil, errors.New("no length")
		}
	}
	length, err := strconv.Atoi(string(digits))
	if err != nil || length < 0 || length > maxStateBytes {
		return nil, fmt.Errorf("length %q", digits)
	}
	state := make([]byte, length)
	_, err = io.ReadFull(r, state)
	return state, err
}

// Serve lets the next process call, and reads the messages of the one that was joined. The error is that of the socket,
// which the next process won't find then.
func (s *Siblings) Serve(h Hooks) error {
	s.hooks = h
	if s.path == "" {
		return nil
	}
	s.mu.Lock()
	for conn := range s.siblings {
		go s.readMessages(conn)
	}
	s.mu.Unlock()
	return s.claimSocket()
}

// Count returns how many other processes there are.
func (s *Siblings) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.siblings)
}

// HasSuccessor reports whether a newer process runs beside this one.
func (s *Siblings) HasSuccessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, newer := range s.siblings {
		if newer {
			return true
		}
	}
	return false
}

// claimSocket makes this process the one that the next one finds. The socket's name passes to it in one step, whichever
// process had it.
func (s *Siblings) claimSocket() error {
	own := fmt.Sprintf("%s.%d", s.path, os.Getpid())
	_ = os.Remove(own) // a killed process of the same number may have left it
	addr, release, err := socketAddress(own)
	if err != nil {
		return err
	}
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: addr, Net: "unix"})
	if err != nil {
		return err
	}
	listener.SetUnlinkOnClose(false) // by then the name may be another process's
	if err := os.Rename(own, s.path); err != nil {
		_ = listener.Close()
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return nil
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	s.listener = listener
	go s.acceptLoop(listener)
	return nil
}

// acceptLoop ends when the listener is closed.
func (s *Siblings) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryPause)
			continue
		}
		go s.handleJoin(conn)
	}
}

// handleJoin lets one process join. One that only looks whether somebody listens does not join, and is not counted.
func (s *Siblings) handleJoin(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	message := make([]byte, len(messageJoin))
	if _, err := io.ReadFull(conn, message); err != nil || string(message) != messageJoin {
		conn.Close()
		return
	}
	s.mu.Lock()
	s.siblings[conn] = true
	processes := 1 + len(s.siblings)
	s.mu.Unlock()
	// This process shrinks first and answers then: the other takes its share of the machine when it has the answer.
	s.hooks.SiblingsChanged(processes)
	state := s.hooks.State()
	if _, err := fmt.Fprintf(conn, "%d\n%s", len(state), state); err != nil {
		s.log("the next process does not take the state: " + err.Error())
	}
	conn.SetDeadline(time.Time{})
	s.readMessages(conn)
}

// readMessages handles another process's messages until that process ends.
func (s *Siblings) readMessages(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		s.handleMessage(lines.Text())
	}
	conn.Close()
	s.mu.Lock()
	newer := s.siblings[conn]
	delete(s.siblings, conn)
	processes, closed := 1+len(s.siblings), s.closed
	s.mu.Unlock()
	if closed {
		return
	}
	s.log("the other process has ended")
	s.hooks.SiblingsChanged(processes)
	if newer {
		s.reclaimSocket()
	}
}

func (s *Siblings) handleMessage(line string) {
	if line == messageBansChanged {
		s.hooks.BansChanged()
		return
	}
	datagram, ok := strings.CutPrefix(line, messagePeer)
	if !ok || s.hooks.PeerMessage == nil {
		return
	}
	if msg, err := hex.DecodeString(datagram); err == nil {
		s.hooks.PeerMessage(msg)
	}
}

// reclaimSocket takes the socket's name back from a newer process that has failed: where nobody listens there, that
// process has left it behind.
func (s *Siblings) reclaimSocket() {
	if conn, err := s.dial(); err == nil {
		conn.Close()
		return
	}
	if err := s.claimSocket(); err != nil {
		s.log("the next process can't meet this one: " + err.Error())
	}
}

// NotifyBans has the other processes read the ban list again.
func (s *Siblings) NotifyBans() { s.broadcast(messageBansChanged + "\n") }

// ForwardPeerMessage hands a datagram on to the other processes: only one socket gets it, and all processes are meant.
func (s *Siblings) ForwardPeerMessage(msg []byte) {
	if s.Count() > 0 {
		s.broadcast(messagePeer + hex.EncodeToString(msg) + "\n")
	}
}

func (s *Siblings) broadcast(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.siblings {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(conn, line)
	}
}

// Close leaves the other processes, and ends the goroutines here.
func (s *Siblings) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.siblings {
		conn.Close()
	}
}
