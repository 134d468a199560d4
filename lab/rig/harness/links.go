package harness

import (
	"io"
	"net"
	"slices"
	"sync"
	"time"
	"yardflow/internal/fleet/transport"
)

// This file owns the links between processes: each its own relay, which can be cut either way,
// slowed, reset, doubled or refused. It must never decide when.

// Link is the relay from one process to another.
func (r *Rig) Link(from, to string) *Relay {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relays[[2]string{from, to}]
}

// Reach has Client call the coordinators that there are, wherever they serve after a restart.
func (r *Rig) Reach() error {
	addresses, err := r.fronts()
	if err != nil {
		return err
	}
	r.Client = transport.NewClient(fleet, addresses)
	return nil
}

// fronts returns the addresses at which all who are not processes reach the coordinators.
func (r *Rig) fronts() (addresses []string, err error) {
	for _, k := range r.Coordinators {
		l, err := r.Front(k.Name)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, l.Addr())
	}
	return addresses, nil
}

// Front is one relay to a process that all who are not processes share.
func (r *Rig) Front(name string) (*Relay, error) {
	if l := r.Link("all", name); l != nil {
		return l, nil
	}
	l, err := r.relay("all", name)
	if err != nil {
		return nil, err
	}
	for _, p := range r.Coordinators {
		if p.Name == name {
			l.Target(p.Addr)
		}
	}
	return l, nil
}

// Cut cuts a process off from all coordinators, or joins it again, both ways.
func (r *Rig) Cut(name string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ends, l := range r.relays {
		if ends[0] == name && ends[1][0] == 'k' || ends[1] == name && ends[0] != "all" {
			l.Cut(cut)
		}
	}
}

func (r *Rig) relay(from, to string) (*Relay, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	y := &Relay{l: l, conns: map[net.Conn]bool{}}
	r.mu.Lock()
	r.relays[[2]string{from, to}] = y
	r.mu.Unlock()
	go y.run()
	return y, nil
}

// Relay is one link. Cut, it says nothing: what stands stays open and silent, as on a network
// that has lost the way.
type Relay struct {
	l net.Listener

	mu     sync.Mutex
	target string
	cut    [2]bool       // there, and back
	slow   int           // bytes a second; 0: as fast as it goes
	refuse bool          // whoever calls is turned away
	twice  time.Duration // what goes there arrives again so much later; 0: once
	conns  map[net.Conn]bool
	closed bool
}

// Addr is where the near end calls.
func (y *Relay) Addr() string { return y.l.Addr().String() }

// Target sets where the far end is.
func (y *Relay) Target(addr string) {
	y.mu.Lock()
	y.target = addr
	y.mu.Unlock()
}

// Cut cuts the link, or joins it again; what was open when it was cut is lost then.
func (y *Relay) Cut(cut bool) { y.CutWays(cut, cut) }

// CutWays cuts one way, or both, or none.
func (y *Relay) CutWays(there, back bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.cut != [2]bool{} && !there && !back {
		for c := range y.conns {
			c.Close()
		}
	}
	y.cut = [2]bool{there, back}
}

// Refuse has all calls end at once, and what is open, too; or be carried again.
func (y *Relay) Refuse(refuse bool) {
	y.mu.Lock()
	y.refuse = refuse
	y.mu.Unlock()
	if refuse {
		y.Reset()
	}
}

// Double has all that goes there arrive again, on another connection, so much later; also when
// who sent it has ended meanwhile. 0: once is enough.
func (y *Relay) Double(after time.Duration) {
	y.mu.Lock()
	y.twice = after
	y.mu.Unlock()
}

// Slow has so many bytes a second pass, each way; 0: as fast as it goes.
func (y *Relay) Slow(bytes int) {
	y.mu.Lock()
	y.slow = bytes
	y.mu.Unlock()
}

// Reset resets what is open.
func (y *Relay) Reset() {
	y.mu.Lock()
	defer y.mu.Unlock()
	for c := range y.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// Close ends the link.
func (y *Relay) Close() {
	y.l.Close()
	y.mu.Lock()
	defer y.mu.Unlock()
	y.closed = true
	for c := range y.conns {
		c.Close()
	}
}

func (y *Relay) run() {
	for {
		near, err := y.l.Accept()
		if err != nil {
			return
		}
		go y.carry(near)
	}
}

func (y *Relay) keep(c net.Conn) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.closed {
		c.Close()
		return false
	}
	y.conns[c] = true
	return true
}

func (y *Relay) drop(c net.Conn) {
	c.Close()
	y.mu.Lock()
	delete(y.conns, c)
	y.mu.Unlock()
}

func (y *Relay) carry(near net.Conn) {
	if !y.keep(near) {
		return
	}
	defer y.drop(near)
	y.pass(0)
	y.mu.Lock()
	target, twice, refuse := y.target, y.twice, y.refuse
	y.mu.Unlock()
	if refuse {
		return
	}
	far, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil || !y.keep(far) {
		return
	}
	defer y.drop(far)
	var again chan []byte
	if twice > 0 {
		again = make(chan []byte, 4096)
		go y.replay(again, twice)
	}
	over := make(chan struct{}, 2)
	one := func(to, from net.Conn, way int) {
		defer func() { over <- struct{}{} }()
		if way == 0 && again != nil {
			defer close(again)
		}
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			y.pass(way)
			y.mu.Lock()
			slow := y.slow
			y.mu.Unlock()
			if slow > 0 {
				time.Sleep(time.Duration(n) * time.Second / time.Duration(slow))
			}
			if n > 0 {
				if way == 0 && again != nil {
					select {
					case again <- slices.Clone(buf[:n]):
					default:
					}
				}
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go one(far, near, 0)
	go one(near, far, 1)
	<-over
}

// replay sends what went there once more, later, to whoever is there then.
func (y *Relay) replay(text <-chan []byte, after time.Duration) {
	time.Sleep(after)
	y.mu.Lock()
	target := y.target
	y.mu.Unlock()
	c, err := net.DialTimeout("tcp4", target, time.Second)
	if err != nil || !y.keep(c) {
		return
	}
	defer y.drop(c)
	go func() { _, _ = io.Copy(io.Discard, c) }()
	for part := range text {
		time.Sleep(after)
		if _, err := c.Write(part); err != nil {
			return
		}
	}
	time.Sleep(after)
}

// pass waits while the link is cut that way.
func (y *Relay) pass(way int) {
	for {
		y.mu.Lock()
		wait := y.cut[way] && !y.closed
		y.mu.Unlock()
		if !wait {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}
