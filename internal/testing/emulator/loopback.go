package emulator

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"yardflow/coordination/frame"
)

// Loopback connects the machines of a cluster by real TCP on the loopback address, for demonstrations. It
// plays no cuts, and a loss of power looks like the end of a process.
type Loopback struct {
	fixed     bool // the cluster's addresses are real ones
	mu        sync.Mutex
	real      map[string]string // addresses of the cluster, and the real ones
	listeners map[string][]net.Listener
	conns     map[string][]net.Conn
}

// NewLoopback returns links without machines.
func NewLoopback() *Loopback {
	return &Loopback{real: map[string]string{}, listeners: map[string][]net.Listener{}, conns: map[string][]net.Conn{}}
}

// NewFixedLoopback returns links without machines, for a cluster whose addresses are real ones of the loopback range:
// processes that run elsewhere reach the machines there.
func NewFixedLoopback() *Loopback {
	l := NewLoopback()
	l.fixed = true
	return l
}

// Machine returns the network as the named machine sees it.
func (l *Loopback) Machine(name string) frame.Network { return &loopbackMachine{l, name} }

// Kill closes all that the machine has open.
func (l *Loopback) Kill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, listener := range l.listeners[name] {
		listener.Close()
	}
	for _, conn := range l.conns[name] {
		conn.Close()
	}
	delete(l.listeners, name)
	delete(l.conns, name)
	for address := range l.real {
		if machineOf(address) == name {
			delete(l.real, address)
		}
	}
}

// PowerOff is Kill.
func (l *Loopback) PowerOff(name string) { l.Kill(name) }

// PowerOn does nothing: a machine is back once its processes listen.
func (l *Loopback) PowerOn(string) {}

// Reset does nothing.
func (l *Loopback) Reset() {}

// Cut does nothing.
func (l *Loopback) Cut(string, string, bool) {}

type loopbackMachine struct {
	links *Loopback
	name  string
}

// Dial opens a connection to an address of the cluster.
func (m *loopbackMachine) Dial(address string, within time.Duration) (net.Conn, error) {
	m.links.mu.Lock()
	target := m.links.real[address]
	m.links.mu.Unlock()
	if m.links.fixed {
		target = address
	}
	if target == "" {
		return nil, refused(syscall.ECONNREFUSED)
	}
	conn, err := net.DialTimeout("tcp", target, within)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.links.mu.Lock()
	m.links.conns[m.name] = append(m.links.conns[m.name], conn)
	m.links.mu.Unlock()
	return conn, nil
}

// Listen listens at an address of the cluster.
func (m *loopbackMachine) Listen(address string) (net.Listener, error) {
	real := "127.0.0.1:0"
	if m.links.fixed {
		real = address
	}
	listener, err := net.Listen("tcp", real)
	if err != nil {
		return nil, errors.Trace(err)
	}
	m.links.mu.Lock()
	m.links.real[address] = listener.Addr().String()
	m.links.listeners[m.name] = append(m.links.listeners[m.name], listener)
	m.links.mu.Unlock()
	return listener, nil
}
