// Package scenario plays a small cluster of real processes on the loopback range: control machines and dispatchers are
// processes of their own, with stand-ins for the workers, the platform's list, clients and operators. Signals, restarts
// and changes come in several series at once, so that they overlap. Clients keep using their connections until the
// processes close them. What happens when is drawn from a seed; real processes make of it what they will.
package scenario

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"yardflow/internal/testing/emulator"
)

// Spans of a soak.
const (
	startWithin = 20 * time.Second
	warmUp      = time.Second
	drainWithin = 90 * time.Second // for what was accepted to end, on a busy machine as well
	readyPause  = 100 * time.Millisecond
	calmSpan    = 10 * time.Second // without disruptions at the end: half of it until all count as in touch
	// drainMs is how long after the list has shown a drain tasks may be started at that worker: the 4 s of the large
	// deployments, and two more for a busy machine.
	drainMs = 6000
)

// Config says what is played.
type Config struct {
	Program string // the path of cluster
	Former  string // the path of the program's former build, which control processes take in turn; "": none does
	Folder  string // for settings, disks and logs
	Seed    uint64
	Span    time.Duration // of disruptions and traffic
	Shape   emulator.Shape
	Clients int
	Crowd   int // connections of clients that don't behave, at once
	Series  int // of signals and restarts of dispatchers, at once
	// LossSlack: a call sent that shortly before its connection ends may meet a process that has not read it.
	LossSlack time.Duration
}

// Report is what a soak has shown.
type Report struct {
	Seed                uint64
	Accepted, Completed int
	Calls               int64
	Taken               int // configurations
	Done                map[string]int
	PeakMemoryMb        int
	LongestWait         time.Duration // of a process for a processor
	ExcusedStarts       int           // late, at workers that drain, by machines out of touch
	Broken              []string
}

// String is the report in one line, and a line for each broken rule.
func (r *Report) String() string {
	line := fmt.Sprintf("seed %d: %d jobs accepted, %d completed, %d calls, %d configurations, %d starts at drained workers not judged, "+
		"largest process %d MB, longest wait for a processor %v; %s", r.Seed, r.Accepted, r.Completed, r.Calls, r.Taken, r.ExcusedStarts, r.PeakMemoryMb, r.LongestWait.Round(time.Millisecond), listCounts(r.Done))
	return strings.Join(append([]string{line}, r.Broken...), "\n    ")
}

// soak is one run.
type soak struct {
	config    Config
	cluster   *emulator.Cluster
	block     *block
	cores     []*process
	fronts    []*process
	calls     atomic.Int64
	stopping  chan struct{}  // closed when clients hand nothing in any more
	bursts    sync.WaitGroup // clients of jobs that are handed in at once
	countedMu sync.Mutex
	counted   map[string]int
}

// Run plays one soak.
func Run(config Config) (*Report, error) {
	reserved, err := reserveBlock(config.Seed)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer reserved.release()
	s := &soak{config: config, block: reserved, stopping: make(chan struct{}), counted: map[string]int{}}
	config.Shape.DrainMs = drainMs
	s.cluster = emulator.NewCluster(config.Shape, emulator.NewFixedLoopback(), config.Seed, io.Discard)
	s.cluster.Address, s.cluster.Checker.ConfirmAfter = reserved.address, confirmAfter
	if err := s.prepare(); err != nil {
		return nil, errors.Trace(err)
	}
	defer s.killAll()
	s.cluster.StartStandIns()
	defer s.cluster.StopStandIns()
	return s.play()
}

// prepare lays the processes' folders.
func (s *soak) prepare() error {
	for i, core := range s.cluster.Cores() {
		s.cores = append(s.cores, newProcess(s, core.Name(), fmt.Sprint("z", i%3), "control"))
	}
	for i := range s.config.Shape.Dispatchers {
		s.fronts = append(s.fronts, newProcess(s, fmt.Sprint("front-", i+1), fmt.Sprint("z", i%3), "dispatcher"))
	}
	for _, p := range append(s.cores, s.fronts...) {
		if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o755); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (s *soak) play() (*Report, error) {
	for _, p := range append(s.cores, s.fronts...) {
		p.start(true)
	}
	if err := s.awaitReady(); err != nil {
		return nil, errors.Trace(err)
	}
	time.Sleep(warmUp)
	watched, over := make(chan time.Duration, 1), make(chan struct{})
	go func() { watched <- s.watchProcessors(over) }()
	end := time.Now().Add(s.config.Span)
	report := &Report{Seed: s.config.Seed}
	var clients, series sync.WaitGroup
	for i := range s.config.Clients {
		clients.Go(func() { s.client(rand.New(rand.NewPCG(s.config.Seed, uint64(1000+i)))) })
	}
	for i := range s.config.Crowd {
		clients.Go(func() { s.crowd(s.random(crowdStream + uint64(i))) })
	}
	series.Go(func() { report.Taken = s.changes(end) })
	series.Go(func() { s.coreSeries(end) })
	series.Go(func() { s.workerSeries(end) })
	for i := range s.config.Series {
		series.Go(func() { s.frontSeries(end, i) })
	}
	series.Wait()
	s.calm()
	close(s.stopping)
	s.backAll()
	stopWatch := s.cluster.WatchIdle()
	clients.Wait()
	s.bursts.Wait()
	stopWatch()
	s.cluster.Operator.ReadBack()
	time.Sleep(confirmAfter)
	close(over)
	report.LongestWait = <-watched
	report.Accepted, report.Completed = s.cluster.Checker.Finish()
	report.Calls = s.calls.Load()
	report.PeakMemoryMb = s.checkProcesses()
	s.stopAll()
	report.ExcusedStarts = s.cluster.Checker.ExcusedStarts()
	report.Done, report.Broken = s.counted, s.cluster.Checker.Violations()
	return report, nil
}

// awaitReady puts the first configuration in force, and waits until all dispatchers call themselves ready.
func (s *soak) awaitReady() error {
	deadline := time.Now().Add(startWithin)
	for !s.cluster.Operator.Configure() {
		if time.Now().After(deadline) {
			return errors.New("the first configuration is not taken; the processes' logs say why")
		}
	}
	for _, front := range s.fronts {
		for !front.ready() {
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready; its log says why", front.name)
			}
			time.Sleep(readyPause)
		}
	}
	return nil
}

// breaks notes a broken rule.
func (s *soak) breaks(rule, format string, args ...any) {
	s.cluster.Checker.AddViolation(rule, format, args...)
}

// count counts what was done to the cluster.
func (s *soak) count(what string) {
	s.countedMu.Lock()
	defer s.countedMu.Unlock()
	s.counted[what]++
}

// backAll has every process run again.
func (s *soak) backAll() {
	for _, p := range append(s.cores, s.fronts...) {
		p.thaw()
		p.back()
	}
}

// stopAll stops every process in order, all at once: each has to end by itself within its time.
func (s *soak) stopAll() {
	var all sync.WaitGroup
	for _, p := range append(s.cores, s.fronts...) {
		all.Go(func() { p.terminate(0) })
	}
	all.Wait()
}

func (s *soak) killAll() {
	for _, p := range append(s.cores, s.fronts...) {
		p.kill()
	}
}
