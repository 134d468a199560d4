package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"yardflow/coordination/frame"
	"yardflow/internal/platform/settings"
)

// Shape says how large a cluster is.
type Shape struct {
	Cores       int
	Tolerate    int
	Dispatchers int
	Workers     int
	Guards      bool
	// ListPageSize is how many workers a page of the platform's list names, and ListPadding how many bytes each entry has
	// beside its own, as though others stood there; 0: the emulator's own size, and none.
	ListPageSize int
	ListPadding  int
	// DrainMs is how long after the list has shown a drain tasks may be started at that worker; 0: it is not judged.
	DrainMs int64
	// Planted lets a fault into the machines, so that a test sees that the judge finds it.
	Planted Fault
}

// Fault is a planted fault.
type Fault int

// Planted faults.
const (
	NoFault      Fault = iota
	SyncsLie           // disks call writes durable that a loss of power takes back
	HoldsOutlast       // workers let tasks run on beyond their hold
	DrainsUnseen       // the platform lists workers that drain as ready
)

// Cluster is a whole emulated deployment.
type Cluster struct {
	Shape   Shape
	Network Transport
	Checker *Checker
	// Address returns where a machine serves. It may be set before the start.
	Address     func(machine string) string
	seed        uint64
	startedAt   time.Time
	disruptions []DisruptionRecord // that were played; whoever plays them owns it until the end
	hurry       atomic.Bool        // operators change the configuration in quick succession
	moments     moments
	bursts      sync.WaitGroup // clients of the jobs that disruptions hand in
	random      *rand.Rand
	logger      zerolog.Logger
	emulated    *Network    // the network itself, nil where it is real
	troubles    *troubleLog // of all machines
	coresMu     sync.Mutex
	cores       []*core
	Operator    *Operator
	dispatchers []*dispatcherProcess
	list        *instanceList
	client      *http.Client
	replaced    int
	lateUntil   time.Time
	lateMu      sync.Mutex
	lateRandom  *rand.Rand
}

const (
	syncTime  = 4 * time.Millisecond
	route     = "/queue/"
	routeHost = "jobs.example"
	service   = "service"
	attempts  = 4
	// cancelBound is how long after the acknowledgement of a cancelling tasks of the job may be started (settings key
	// Bounds.cancel_ms).
	cancelBound = 3 * time.Second
	cloudName   = "cloud"
	clientName  = "client"
)

// Transport is what connects the machines.
type Transport interface {
	// Machine returns the network as the named machine sees it.
	Machine(name string) frame.Network
	// Kill ends all that a machine's process has open; others see resets.
	Kill(name string)
	// PowerOff does the same without a word to others, and PowerOn ends that.
	PowerOff(name string)
	PowerOn(name string)
	// Reset ends all connections between machines; both sides see resets.
	Reset()
	// Cut cuts a pair of machines in one direction, or joins it again.
	Cut(from, to string, cut bool)
}

// NewCluster returns a cluster whose machines are not started.
func NewCluster(shape Shape, network Transport, seed uint64, logs io.Writer) *Cluster {
	y := &Cluster{seed: seed, startedAt: time.Now(), Shape: shape, Checker: NewChecker(shape.DrainMs), Address: emulatedAddress, random: rand.New(rand.NewPCG(seed, 1)),
		lateRandom: rand.New(rand.NewPCG(seed, 2)), logger: zerolog.New(logs).With().Logger()}
	y.emulated, _ = network.(*Network)
	y.troubles = newTroubleLog(shape.Cores)
	y.Network = &recordedTransport{network, y.troubles}
	y.Checker.inTouch = y.troubles.inTouch
	y.client = &http.Client{Transport: &http.Transport{DisableCompression: true,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return y.Network.Machine(clientName).Dial(address, 300*time.Millisecond)
		}}}
	y.list = newInstanceList(y)
	y.Operator = newOperator(y, seed)
	for i := range shape.Cores {
		y.cores = append(y.cores, &core{cluster: y, name: fmt.Sprint("core-", i+1), zone: fmt.Sprint("z", i%3),
			disk: NewDisk(syncTime, rand.New(rand.NewPCG(seed, uint64(i+10))))})
		y.cores[i].disk.lies = shape.Planted == SyncsLie
	}
	for i := range shape.Dispatchers {
		y.dispatchers = append(y.dispatchers, &dispatcherProcess{cluster: y, name: fmt.Sprint("front-", i+1), zone: fmt.Sprint("z", i%3)})
	}
	return y
}

func (y *Cluster) settings(name, zone string) *settings.Settings {
	s := &settings.Settings{Node: name, Zone: zone, Cloud: settings.Cloud{Address: y.Address(cloudName)}}
	cores := y.Cores()
	for i := range min(3, len(cores)) {
		s.Seeds = append(s.Seeds, y.Address(cores[i].name))
	}
	s.Tolerate.Machines = y.Shape.Tolerate
	s.Limits.DiskMb = 16
	s.Bounds = settings.Bounds{HoldMaxMs: holdMaxMs, StatusRetentionS: 120, FarFactor: 2}
	return s
}

func emulatedAddress(machine string) string { return machine + ":1" }

// Settings returns what a machine's process is told of the cluster; the addresses at which it serves are not set.
func (y *Cluster) Settings(machine, zone string) *settings.Settings { return y.settings(machine, zone) }

// StartStandIns starts what processes that run elsewhere need: the platform's list and the workers.
func (y *Cluster) StartStandIns() { y.list.start() }

// StopStandIns ends them, and the clients' connections.
func (y *Cluster) StopStandIns() {
	y.list.stop()
	y.client.CloseIdleConnections()
	y.Network.Kill(clientName)
}

// RestartWorker crashes the worker in the place; its next incarnation begins after a while.
func (y *Cluster) RestartWorker(place int, after time.Duration) { y.list.Restart(place, after) }

// DrainWorker lets the worker in the place drain for at least so long. It lingers for some more time, leaves, and
// another one comes in its place.
func (y *Cluster) DrainWorker(place int, remaining, linger time.Duration) {
	y.list.Drain(place, remaining, linger)
}

// ReuseAddress crashes the worker in the place; another one begins at its address while it is still listed.
func (y *Cluster) ReuseAddress(place int) { y.list.Reuse(place) }

// Cores returns the present control machines.
func (y *Cluster) Cores() []*core {
	y.coresMu.Lock()
	defer y.coresMu.Unlock()
	return append([]*core(nil), y.cores...)
}

// Start starts every machine for the first time.
func (y *Cluster) Start() {
	y.list.start()
	for _, c := range y.Cores() {
		c.start(true)
	}
	for _, d := range y.dispatchers {
		d.start()
	}
}

// Stop ends every process.
func (y *Cluster) Stop() {
	for _, d := range y.dispatchers {
		d.Kill()
	}
	for _, c := range y.Cores() {
		c.Kill()
	}
	y.StopStandIns()
}

// DelayCommands lets a share of the orders to workers go without an answer, and be carried out 2 to 12 s later.
func (y *Cluster) DelayCommands(span time.Duration) {
	y.lateMu.Lock()
	y.lateUntil = time.Now().Add(span)
	y.lateMu.Unlock()
}

func (y *Cluster) late() time.Duration {
	y.lateMu.Lock()
	defer y.lateMu.Unlock()
	if time.Now().After(y.lateUntil) || y.lateRandom.IntN(12) > 0 {
		return 0
	}
	return 2*time.Second + time.Duration(y.lateRandom.IntN(10000))*time.Millisecond
}
