package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"yardflow/internal/control/server"
	"yardflow/internal/control/statemachine"
	"yardflow/internal/dispatcher"
)

// core is a control machine.
type core struct {
	cluster *Cluster
	name    string
	zone    string
	disk    *Disk
	stop    chan struct{}
	http    *http.Server
	run     *server.Process
	former  bool // its build is from before there were versions of the state machine's rules
}

func (c *core) up() bool { return c.stop != nil }

func (c *core) start(first bool) {
	s := c.cluster.settings(c.name, c.zone)
	s.Listen.Control, s.DataDir, s.Bootstrap = c.cluster.Address(c.name), "data", first
	c.cluster.troubles.setRuns(c.name, true)
	machine := c.cluster.Network.Machine(c.name)
	control := server.NewProcess(s, machine, c.disk, c.cluster.logger.With().Str("node", c.name).Logger())
	if c.former {
		control.LimitRules(statemachine.InitialRules)
	}
	listener, _ := machine.Listen(s.Listen.Control)
	c.http = control.HTTPServer()
	stop := make(chan struct{})
	c.stop, c.run = stop, control
	go func() { _ = c.http.Serve(control.Admit(listener)) }()
	go func() {
		defer c.cluster.noteStopped(c.name)
		if err := control.Run(stop); err != nil {
			c.cluster.Checker.AddViolation("START", "%s: %v", c.name, err)
		}
	}()
}

// noteStopped notes a process that a broken invariant has stopped, where a fault is planted: lying disks break what
// the processes rely on. Elsewhere it stops the test.
func (y *Cluster) noteStopped(name string) {
	if y.Shape.Planted == NoFault {
		return
	}
	if stopped := recover(); stopped != nil {
		y.Checker.AddViolation("LOST", "%s stops: %v", name, stopped)
	}
}

func (c *core) end() {
	if c.stop == nil {
		return
	}
	close(c.stop)
	c.stop = nil
	_ = c.http.Close()
}

// Kill ends the process; the disk stays as it is.
func (c *core) Kill() {
	c.cluster.Network.Kill(c.name)
	c.end()
	c.disk.Crash()
}

// Terminate stops the process in order, as SIGTERM does.
func (c *core) Terminate() {
	if c.stop == nil {
		return
	}
	defer c.cluster.troubles.begin(c.name)()
	c.run.LeaveChain()
	c.Kill()
}

// PowerOff takes the machine's power; what was not synced may be lost.
func (c *core) PowerOff() {
	c.cluster.Network.PowerOff(c.name)
	c.end()
	c.disk.LosePower()
}

// Back starts the machine again.
func (c *core) Back() {
	c.cluster.Network.PowerOn(c.name)
	if !c.up() {
		c.start(false)
	}
}

// ReplaceCore takes a control machine away for good; an empty one at another address comes after a while.
func (y *Cluster) ReplaceCore(place int, after time.Duration) {
	y.Cores()[place].PowerOff()
	time.Sleep(after)
	y.addSuccessor(place).start(false)
}

// ReplaceGracefully starts an empty control machine at another address, and stops the one that it is to replace in
// order a while later.
func (y *Cluster) ReplaceGracefully(place int, after time.Duration) {
	former := y.Cores()[place]
	y.addSuccessor(place).start(false)
	time.Sleep(after)
	former.Terminate()
}

// addSuccessor puts a new machine in the place of another one.
func (y *Cluster) addSuccessor(place int) *core {
	y.coresMu.Lock()
	defer y.coresMu.Unlock()
	y.replaced++
	successor := &core{cluster: y, name: fmt.Sprint("core-", len(y.cores)+y.replaced), zone: y.cores[place].zone,
		disk: NewDisk(syncTime, rand.New(rand.NewPCG(uint64(y.replaced), 77)))}
	y.cores[place] = successor
	return successor
}

// CutDispatcher cuts a dispatcher off from all control machines, or joins it again; it reaches workers all the while.
func (y *Cluster) CutDispatcher(name string, cut bool) {
	for _, c := range y.Cores() {
		y.Network.Cut(name, c.name, cut)
		y.Network.Cut(c.name, name, cut)
	}
}

// dispatcherProcess is a front machine.
type dispatcherProcess struct {
	cluster *Cluster
	name    string
	zone    string
	stop    chan struct{}
	http    *http.Server
}

func (d *dispatcherProcess) start() {
	s := d.cluster.settings(d.name, d.zone)
	s.Listen.Front = d.cluster.Address(d.name)
	d.cluster.troubles.setRuns(d.name, true)
	machine := d.cluster.Network.Machine(d.name)
	dispatcher := dispatcher.New(s, machine, d.cluster.logger.With().Str("node", d.name).Logger())
	listener, _ := machine.Listen(s.Listen.Front)
	d.http = dispatcher.HTTPServer()
	d.stop = make(chan struct{})
	go func() { _ = d.http.Serve(dispatcher.Admit(listener)) }()
	go dispatcher.Run(d.stop)
}

// Kill ends the process.
func (d *dispatcherProcess) Kill() { d.end(d.cluster.Network.Kill) }

// PowerOff takes the machine's power.
func (d *dispatcherProcess) PowerOff() { d.end(d.cluster.Network.PowerOff) }

func (d *dispatcherProcess) end(off func(name string)) {
	off(d.name)
	if d.stop == nil {
		return
	}
	close(d.stop)
	d.stop = nil
	_ = d.http.Close()
}

// Back starts the machine again.
func (d *dispatcherProcess) Back() {
	d.cluster.Network.PowerOn(d.name)
	if d.stop == nil {
		d.start()
	}
}

// FillDisk lets the machine's disk take nothing more until the returned function is called.
func (c *core) FillDisk() (clear func()) {
	end := c.cluster.troubles.begin(c.name)
	c.disk.Fill(true)
	return func() {
		c.disk.Fill(false)
		end()
	}
}

// Name returns the machine's name.
func (c *core) Name() string { return c.name }
