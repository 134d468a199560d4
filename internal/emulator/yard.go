package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"linnetlift/coordination/frame"
	"linnetlift/internal/control/server"
	"linnetlift/internal/dataplane"
	"linnetlift/internal/settings"
	"linnetlift/scheduling/job"
)

// Shape says how large a yard is.
type Shape struct {
	Cores       int
	Tolerate    int
	Dispatchers int
	Workers     int
	Guards      bool
	// Planted lets a fault into the machines, so that a test sees that the judge finds it.
	Planted Fault
}

// Fault is a planted fault.
type Fault int

// Planted faults.
const (
	NoFault      Fault = iota
	FencesFail         // workers carry out orders whatever token a higher owner has shown them
	SyncsLie           // disks call writes durable that a loss of power takes back
	HoldsOutlast       // workers let tasks run on beyond their hold
)

// Yard is a whole emulated deployment.
type Yard struct {
	Shape       Shape
	Network     Links
	Judge       *Judge
	random      *rand.Rand
	logger      zerolog.Logger
	cores       []*core
	dispatchers []*dispatcherProcess
	list        *instanceList
	client      *http.Client
	version     int64
	replaced    int
	lateUntil   time.Time
	lateMu      sync.Mutex
	lateRandom  *rand.Rand
}

const (
	syncTime   = 4 * time.Millisecond
	route      = "/queue/"
	routeHost  = "jobs.example"
	service    = "service"
	attempts   = 4
	cloud      = "cloud:1"
	clientName = "client"
)

// Links is what connects the machines.
type Links interface {
	// Machine returns the network as the named machine sees it.
	Machine(name string) frame.Network
	// Kill ends all that a machine's process has open; others see resets.
	Kill(name string)
	// PowerOff does the same without a word to others, and PowerOn ends that.
	PowerOff(name string)
	PowerOn(name string)
	// Cut cuts a pair of machines in one direction, or joins it again.
	Cut(from, to string, cut bool)
}

// NewYard returns a yard whose machines are not started.
func NewYard(shape Shape, network Links, seed uint64, logs io.Writer) *Yard {
	y := &Yard{Shape: shape, Network: network, Judge: NewJudge(), random: rand.New(rand.NewPCG(seed, 1)),
		lateRandom: rand.New(rand.NewPCG(seed, 2)), logger: zerolog.New(logs).With().Logger()}
	y.client = &http.Client{Transport: &http.Transport{DisableCompression: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return y.Network.Machine(clientName).Dial(address, 300*time.Millisecond)
		}}}
	y.list = newInstanceList(y)
	for i := range shape.Cores {
		y.cores = append(y.cores, &core{yard: y, name: fmt.Sprint("core-", i+1), zone: fmt.Sprint("z", i%3),
			disk: NewDisk(syncTime, rand.New(rand.NewPCG(seed, uint64(i+10))))})
		y.cores[i].disk.lies = shape.Planted == SyncsLie
	}
	for i := range shape.Dispatchers {
		y.dispatchers = append(y.dispatchers, &dispatcherProcess{yard: y, name: fmt.Sprint("front-", i+1), zone: fmt.Sprint("z", i%3)})
	}
	return y
}

func (y *Yard) settings(name, zone string) *settings.Settings {
	s := &settings.Settings{Node: name, Zone: zone, Cloud: settings.Cloud{Address: cloud}}
	for i := range min(3, len(y.cores)) {
		s.Seeds = append(s.Seeds, y.cores[i].name+":1")
	}
	s.Tolerate.Machines = y.Shape.Tolerate
	s.Limits.DiskMb = 16
	s.Bounds = settings.Bounds{HoldMaxMs: holdMaxMs, StatusS: 120, FarX: 2}
	return s
}

// Start starts every machine for the first time.
func (y *Yard) Start() {
	y.list.start()
	for _, c := range y.cores {
		c.start(true)
	}
	for _, d := range y.dispatchers {
		d.start()
	}
}

// Stop ends every process.
func (y *Yard) Stop() {
	for _, d := range y.dispatchers {
		d.Kill()
	}
	for _, c := range y.cores {
		c.Kill()
	}
	y.list.stop()
	y.client.CloseIdleConnections()
	y.Network.Kill(clientName)
}

// core is a control machine.
type core struct {
	yard *Yard
	name string
	zone string
	disk *Disk
	stop chan struct{}
	http *http.Server
}

func (c *core) up() bool { return c.stop != nil }

func (c *core) start(first bool) {
	s := c.yard.settings(c.name, c.zone)
	s.Listen.Control, s.DataDir, s.Bootstrap = c.name+":1", "data", first
	machine := c.yard.Network.Machine(c.name)
	control, err := server.Open(s, machine, c.disk, c.yard.logger.With().Str("node", c.name).Logger())
	if err != nil {
		c.yard.Judge.note("START", "%s: %v", c.name, err)
		return
	}
	listener, _ := machine.Listen(s.Listen.Control)
	c.http = &http.Server{Handler: control.Handler()}
	c.stop = make(chan struct{})
	go c.http.Serve(listener)
	go control.Run(c.stop)
}

func (c *core) end() {
	if c.stop == nil {
		return
	}
	close(c.stop)
	c.stop = nil
	c.http.Close()
}

// Kill ends the process; the disk stays as it is.
func (c *core) Kill() {
	c.yard.Network.Kill(c.name)
	c.end()
	c.disk.Crash()
}

// PowerOff takes the machine's power; what was not synced may be lost.
func (c *core) PowerOff() {
	c.yard.Network.PowerOff(c.name)
	c.end()
	c.disk.LosePower()
}

// Back starts the machine again.
func (c *core) Back() {
	c.yard.Network.PowerOn(c.name)
	if !c.up() {
		c.start(false)
	}
}

// ReplaceCore takes a control machine away for good; an empty one at another address comes after a while.
func (y *Yard) ReplaceCore(place int, after time.Duration) {
	former := y.cores[place]
	former.PowerOff()
	time.Sleep(after)
	y.replaced++
	successor := &core{yard: y, name: fmt.Sprint("core-", len(y.cores)+y.replaced), zone: former.zone,
		disk: NewDisk(syncTime, rand.New(rand.NewPCG(uint64(y.replaced), 77)))}
	y.cores[place] = successor
	successor.start(false)
}

// CutDispatcher cuts a dispatcher off from all control machines, or joins it again; it reaches workers all the while.
func (y *Yard) CutDispatcher(name string, cut bool) {
	for _, c := range y.cores {
		y.Network.Cut(name, c.name, cut)
		y.Network.Cut(c.name, name, cut)
	}
}

// dispatcherProcess is a front machine.
type dispatcherProcess struct {
	yard *Yard
	name string
	zone string
	stop chan struct{}
	http *http.Server
}

func (d *dispatcherProcess) start() {
	s := d.yard.settings(d.name, d.zone)
	s.Listen.Front = d.name + ":1"
	machine := d.yard.Network.Machine(d.name)
	dispatcher := dataplane.New(s, machine, d.yard.logger.With().Str("node", d.name).Logger())
	listener, _ := machine.Listen(s.Listen.Front)
	d.http = &http.Server{Handler: dispatcher}
	d.stop = make(chan struct{})
	go d.http.Serve(listener)
	go dispatcher.Run(d.stop)
}

// Kill ends the process.
func (d *dispatcherProcess) Kill() { d.end(d.yard.Network.Kill) }

// PowerOff takes the machine's power.
func (d *dispatcherProcess) PowerOff() { d.end(d.yard.Network.PowerOff) }

func (d *dispatcherProcess) end(off func(name string)) {
	off(d.name)
	if d.stop == nil {
		return
	}
	close(d.stop)
	d.stop = nil
	d.http.Close()
}

// Back starts the machine again.
func (d *dispatcherProcess) Back() {
	d.yard.Network.PowerOn(d.name)
	if d.stop == nil {
		d.start()
	}
}

// LateOrders lets a share of the orders to workers go without an answer, and be carried out 2 to 12 s later.
func (y *Yard) LateOrders(span time.Duration) {
	y.lateMu.Lock()
	y.lateUntil = time.Now().Add(span)
	y.lateMu.Unlock()
}

func (y *Yard) late() time.Duration {
	y.lateMu.Lock()
	defer y.lateMu.Unlock()
	if time.Now().After(y.lateUntil) || y.lateRandom.IntN(12) > 0 {
		return 0
	}
	return 2*time.Second + time.Duration(y.lateRandom.IntN(10000))*time.Millisecond
}

// Configure puts a configuration in force, at any control machine that answers, until it is taken.
func (y *Yard) Configure() bool {
	base := y.version
	version := base + 1 + int64(y.random.IntN(3))
	body := fmt.Sprintf(`{"Version":%d,"Routes":[{"Host":"%s","PathPrefix":"%s","Service":"%s","TimeoutMs":3000,`+
		`"MaxAttempts":%d,"TargetLatencyMs":%d}],"Services":[{"Name":"%s","Guards":%v}]}`,
		version, routeHost, route, service, attempts, 100+version, service, y.Shape.Guards)
	for range 40 {
		core := y.cores[y.random.IntN(len(y.cores))]
		status, _ := y.call(http.MethodPut, "http://"+core.name+":1/-/config", body, time.Second, fmt.Sprint(base))
		switch status {
		case http.StatusOK:
			y.Judge.configured(version, base, body)
			y.version = version
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			y.Judge.note("CONFIG", "a proper change to %d is refused with %d", version, status)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// ReadBack reads the configuration at the end.
func (y *Yard) ReadBack() {
	for range 40 {
		core := y.cores[y.random.IntN(len(y.cores))]
		if status, body := y.call(http.MethodGet, "http://"+core.name+":1/-/config", "", time.Second, ""); status == http.StatusOK {
			version := int64(0)
			fmt.Sscanf(body, `{"Version":%d`, &version)
			y.Judge.readBack(version, body)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	y.Judge.note("CONFIG", "the configuration can't be read back")
}

func (y *Yard) call(method, url, body string, within time.Duration, match string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.GetBody = nil
	if match != "" {
		request.Header.Set("If-Match", match)
	} else {
		request.Host = routeHost
	}
	response, err := y.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// Client hands in one job and follows it to its end, at any dispatcher.
func (y *Yard) Client(random *rand.Rand, until time.Time) {
	id := fmt.Sprintf("%016x", random.Uint64())
	request := y.randomJob(random)
	y.Judge.submitted(id, request)
	body := encodeJob(request)
	anywhere := func() string {
		return "http://front-" + fmt.Sprint(1+random.IntN(y.Shape.Dispatchers)) + ":1" + route + id
	}
	accepted := false
	for range 5 {
		status, _ := y.call(http.MethodPost, anywhere(), body, 3*time.Second, "")
		if accepted = status == http.StatusOK; accepted {
			y.Judge.accepted(id)
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	for accepted && time.Now().Before(until) {
		status, text := y.call(http.MethodGet, anywhere(), "", 2*time.Second, "")
		switch status {
		case http.StatusOK:
			state := strings.TrimSuffix(strings.TrimPrefix(text, `{"State":"`), `"}`)
			y.Judge.shown(id, state)
			if state != "queued" && state != "running" {
				return
			}
		case http.StatusGone:
			y.Judge.gone(id)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

func (y *Yard) randomJob(random *rand.Rand) job.Request {
	request := job.Request{Spec: fmt.Sprint("spec ", random.IntN(1000))}
	for step := range 1 + random.IntN(3) {
		s := job.Step{Count: 1 + random.IntN(4), Cpu: int64(500 + random.IntN(2000)), MemMb: 100,
			EstimateMs: int64(200 + random.IntN(1500))}
		if random.IntN(5) == 0 {
			s.EstimateMs += int64(random.IntN(9000)) // longer than a hold that is not renewed
		}
		if step > 0 {
			s.DependsOn = []int{random.IntN(step)}
		}
		if random.IntN(5) == 0 {
			s.Gang = true
		}
		if random.IntN(5) == 0 {
			s.Affinity = "r1"
		}
		request.Steps = append(request.Steps, s)
	}
	return request
}
