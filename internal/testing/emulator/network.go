// Package emulator plays the whole system in virtual time: machines that lose
// power or their disks, a network with delays and cuts, disks with syncs, workers,
// the platform's list, clients and operators, and one judge of the rules over what
// clients and workers have seen. It runs inside a testing/synctest bubble.
package emulator

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"yardflow/coordination/frame"
)

// latency is the one-way delay between any two machines.
const latency = 700 * time.Microsecond

// bytesPerSecond is what a connection carries: 200 Mbit/s. Without such a bound two members that disagree without end,
// as with disks that lie, exchange logs forever in no time.
const bytesPerSecond = 25_000_000

// Network connects emulated machines by their addresses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	streams   map[*stream]bool
	cuts      map[[2]string]bool // machines, from and to
	dark      map[string]bool    // machines without power
	speeds    map[string]int     // machines on links of their own, bytes a second
	gates     map[string]*gate   // of machines whose processes may be frozen
}

// NewNetwork returns a network without machines.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*listener{}, streams: map[*stream]bool{}, cuts: map[[2]string]bool{},
		dark: map[string]bool{}, speeds: map[string]int{}, gates: map[string]*gate{}}
}

// SetSpeed gives a machine a link that carries so many bytes a second on each connection.
func (n *Network) SetSpeed(machine string, speed int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.speeds[machine] = speed
}

// speed returns what a connection between two machines carries, in bytes a second.
func (n *Network) speed(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	slowest := bytesPerSecond
	for _, machine := range []string{from, to} {
		if speed, set := n.speeds[machine]; set {
			slowest = min(slowest, speed)
		}
	}
	return slowest
}

// Machine returns the network as one machine sees it.
func (n *Network) Machine(name string) frame.Network { return &Machine{n, name} }

// Machine is one machine's view of the network. It serves as a frame.Network.
type Machine struct {
	network *Network
	name    string
}

func machineOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Cut cuts a pair of machines in one direction, or joins it again.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	n.cuts[[2]string{from, to}] = cut
	n.mu.Unlock()
	n.wakeAll()
}

func (n *Network) blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}] || n.dark[from] || n.dark[to]
}

func (n *Network) wakeAll() {
	n.mu.Lock()
	streams := make([]*stream, 0, len(n.streams))
	for s := range n.streams {
		streams = append(streams, s)
	}
	n.mu.Unlock()
	for _, s := range streams {
		s.wake()
	}
}

// Kill ends all connections and listeners of a machine's process: others see resets.
func (n *Network) Kill(name string) { n.end(name, false) }

// PowerOff does the same, but others see nothing before the machine is back.
func (n *Network) PowerOff(name string) { n.end(name, true) }

// PowerOn lets a machine's network work again.
func (n *Network) PowerOn(name string) {
	n.mu.Lock()
	n.dark[name] = false
	n.mu.Unlock()
	n.wakeAll()
}

// Reset ends all connections between machines; both sides see resets.
func (n *Network) Reset() {
	n.mu.Lock()
	var all []*stream
	for s := range n.streams {
		all = append(all, s)
	}
	n.mu.Unlock()
	for _, s := range all {
		s.reset(false)
	}
}

func (n *Network) end(name string, dark bool) {
	n.mu.Lock()
	n.dark[name] = dark
	var ended []*stream
	for s := range n.streams {
		if s.from == name || s.to == name {
			ended = append(ended, s)
		}
	}
	var closed []*listener
	for address, l := range n.listeners {
		if machineOf(address) == name {
			closed = append(closed, l)
			delete(n.listeners, address)
		}
	}
	n.mu.Unlock()
	for _, s := range ended {
		s.reset(s.to == name)
	}
	for _, l := range closed {
		_ = l.Close()
	}
}

func refused(err error) error { return &net.OpError{Op: "dial", Net: "tcp", Err: err} }

// Dial opens a connection to an address of another machine.
func (m *Machine) Dial(address string, within time.Duration) (net.Conn, error) {
	m.network.gate(m.name).pass()
	to := machineOf(address)
	if m.network.blocked(m.name, to) || m.network.blocked(to, m.name) {
		time.Sleep(within)
		return nil, refused(os.ErrDeadlineExceeded)
	}
	time.Sleep(2 * latency)
	m.network.mu.Lock()
	l := m.network.listeners[address]
	m.network.mu.Unlock()
	if l == nil {
		return nil, refused(syscall.ECONNREFUSED)
	}
	there, back := m.network.stream(m.name, to), m.network.stream(to, m.name)
	select {
	case l.queue <- newConn(there, back, address, m.name+":0"):
	case <-l.closed:
		return nil, refused(syscall.ECONNREFUSED)
	}
	return newConn(back, there, m.name+":0", address), nil
}

// Listen listens at an address of this machine.
func (m *Machine) Listen(address string) (net.Listener, error) {
	l := &listener{network: m.network, address: address, queue: make(chan net.Conn, 128), closed: make(chan struct{})}
	m.network.mu.Lock()
	m.network.listeners[address] = l
	m.network.mu.Unlock()
	return l, nil
}

type listener struct {
	network *Network
	address string
	queue   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	l.network.mu.Unlock()
	return nil
}

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

func (l *listener) Addr() net.Addr { return address(l.address) }
