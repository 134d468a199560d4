package emulator

import "sync"

// gate lets goroutines of a process through unless the process is frozen. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens again; nil: it is open
}

// close stops all that pass from now on, until the returned function is called.
func (g *gate) close() (open func()) {
	opened := make(chan struct{})
	g.mu.Lock()
	g.opened = opened
	g.mu.Unlock()
	return func() {
		g.mu.Lock()
		g.opened = nil
		g.mu.Unlock()
		close(opened)
	}
}

// pass blocks while the gate is closed.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return
		}
		<-opened
	}
}

// isClosed reports whether the gate is closed.
func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened != nil
}

// gate returns a machine's gate for what it reads, writes and dials.
func (n *Network) gate(machine string) *gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.gates[machine] == nil {
		n.gates[machine] = &gate{}
	}
	return n.gates[machine]
}

// Freeze stops what a machine's process does on the network until the returned function is called: what others send waits,
// and connections stay open.
func (n *Network) Freeze(machine string) (thaw func()) { return n.gate(machine).close() }

// Freeze stops what a process does on the disk until the returned function is called.
func (d *Disk) Freeze() (thaw func()) { return d.gate.close() }

// freeze stops all that a process does to the outside, and all that it hears, until the returned function is called. Its
// own goroutines go on up to the first thing of that kind; what they decide meanwhile comes out late, as from a machine
// that was stopped with full buffers.
func (y *Cluster) freeze(name string, disk *Disk) (thaw func()) {
	var thaws []func()
	thaws = append(thaws, y.troubles.begin(name))
	if y.emulated != nil {
		thaws = append(thaws, y.emulated.Freeze(name))
	}
	if disk != nil {
		thaws = append(thaws, disk.Freeze())
	}
	return func() {
		for _, open := range thaws {
			open()
		}
	}
}

// Freeze stops the control process until the returned function is called.
func (c *core) Freeze() (thaw func()) { return c.cluster.freeze(c.name, c.disk) }

// Stall lets the control process's engine stand still until the returned function is called. What others send comes to it as
// one batch then.
func (c *core) Stall() (resume func()) {
	if c.run == nil {
		return func() {}
	}
	end, resumed := c.cluster.troubles.begin(c.name), make(chan struct{})
	go c.run.StallEngine(resumed)
	return func() {
		close(resumed)
		end()
	}
}

// Freeze stops the dispatcher until the returned function is called.
func (d *dispatcherProcess) Freeze() (thaw func()) { return d.cluster.freeze(d.name, nil) }
