// Prove-policy measures what fleet control promises: the model explored with and without planted
// faults, schedules of faults in virtual time, and real processes in a storm of faults. Each figure
// stands beside its aim; exit code 1 where one is missed.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/lab/rig/harness"
	"yardflow/lab/rig/prove"
)

var (
	schedules = flag.Int("schedules", 2000, "schedules of faults in virtual time")
	storm     = flag.Duration("storm", 10*time.Second, "of faults between real processes")
	seed      = flag.Uint64("seed", 1, "of the storm")
)

// table is what is printed.
var table = prove.New()

func main() {
	flag.Parse()
	many := make(chan func())
	go func() { many <- proveMany() }()
	proveModel()
	proveSchedules()
	(<-many)()
	if err := proveProcesses(); err != nil {
		table.Row("real processes", err.Error(), "no fault of the stage", false)
	}
	table.End()
}

func proveModel() {
	all := make([]policylease.Exploration, 3+len(policylease.Faults))
	var wg sync.WaitGroup
	wg.Go(func() { all[0] = policylease.Explore(2, 9, 20000, policylease.NoFault) })
	for n := 2; n <= 3; n++ {
		wg.Go(func() { all[n-1] = policylease.RandomWalks(n, 5000, 90, policylease.NoFault) })
	}
	for i, f := range policylease.Faults {
		wg.Go(func() { all[3+i] = policylease.RandomWalks(2, 50000, 90, f) })
	}
	wg.Wait()
	states, broken, found := 0, 0, 0
	for i, got := range all {
		switch {
		case i >= 3 && got.Violation != nil:
			found++
		case i < 3:
			states += got.States
			broken += len(got.Violation)
		}
	}
	table.Row("model: states and steps explored", strconv.Itoa(states), "", true)
	table.Row("model: promises broken", strconv.Itoa(broken), "0", broken == 0)
	table.Row("model: planted faults found", fmt.Sprintf("%d of %d", found, len(policylease.Faults)), "all", found == len(policylease.Faults))
}

func proveSchedules() {
	type sum struct {
		broken, hanging int
		versions        uint64
		overlap         time.Duration
	}
	var mu sync.Mutex
	var all sum
	var wg sync.WaitGroup
	next := make(chan int)
	began := time.Now()
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				c := harness.PolicySimulation{Seed: uint64(i), Coordinators: 5, Dispatchers: 6, Length: 10 * time.Second, LossRate: 0.05, DuplicationRate: 0.05, MaxMessageDelay: 30 * time.Millisecond}
				if i%4 == 3 {
					c.OnLeaseLoss = statemachine.KeepLastPolicy
				}
				got := c.Run()
				mu.Lock()
				all.broken += len(got.Violations)
				if got.ChangePending {
					all.hanging++
				}
				all.versions += got.FinalVersion
				all.overlap = max(all.overlap, got.MaxOverlap)
				mu.Unlock()
			}
		})
	}
	for i := range *schedules {
		next <- i
	}
	close(next)
	wg.Wait()
	table.Row("virtual time: schedules played", fmt.Sprintf("%d, %d changes in force, %.0f s", *schedules, all.versions, time.Since(began).Seconds()), "2000 or more", *schedules >= 2000)
	table.Row("virtual time: promises broken", strconv.Itoa(all.broken), "0", all.broken == 0)
	table.Row("virtual time: changes left hanging", strconv.Itoa(all.hanging), "0", all.hanging == 0)
	table.Row("virtual time: two versions beside each other, last", all.overlap.Round(time.Millisecond).String(), "one lease, 2 s", all.overlap <= 2*time.Second)
}

// proveMany plays 300 dispatchers, and returns what prints it.
func proveMany() func() {
	c := harness.PolicySimulation{Seed: 3, Coordinators: 5, Dispatchers: 300, Length: 10 * time.Second, MaxMessageDelay: 4 * time.Millisecond, WithoutFaults: true}
	got := c.Run()
	away := harness.PolicySimulation{Seed: 4, Coordinators: 5, Dispatchers: 300, Length: 30 * time.Second, MaxMessageDelay: 4 * time.Millisecond, WithoutFaults: true, CoordinatorOutage: 20 * time.Second, OnLeaseLoss: statemachine.KeepLastPolicy}.Run()
	return func() { rowsMany(c, got, away) }
}

func rowsMany(c harness.PolicySimulation, got, away harness.PolicySimulationResult) {
	p99 := harness.Quantile(got.ChangeDurations, 0.99)
	table.Row("300 dispatchers, virtual: a change, p99", p99.Round(time.Millisecond).String(), "", true)
	seconds := (c.Length * 3 / 2).Seconds()
	table.Row("300 dispatchers, virtual: calls and bytes a second at the keepers", fmt.Sprintf("%.0f, %.0f KB", float64(got.Requests)/seconds, float64(got.RequestBytes)/seconds/1000), "", true)
	table.Row("300 dispatchers, keepers away for 20 s, last: served before, meanwhile", fmt.Sprintf("%.3f, %.3f", away.AdmittedBefore, away.AdmittedWithout), "not lower", away.AdmittedWithout >= away.AdmittedBefore)
	table.Row("300 dispatchers, keepers back: all hold leases after, most calls in 100 ms", fmt.Sprintf("%v, %d", away.RecoveredAfter.Round(time.Millisecond), away.PeakRequests), "", away.RecoveredAfter > 0)
	table.Row("300 dispatchers, virtual: promises broken", strconv.Itoa(len(got.Violations)), "0", len(got.Violations) == 0)
}

// op is one call of the history that is checked to be linearizable: what it returned is a
// revision, which never goes back for anyone who asks later.
var revisions = porcupine.Model{
	Init:  func() any { return uint64(0) },
	Step:  func(state, _, output any) (bool, any) { return output.(uint64) >= state.(uint64), output },
	Equal: func(a, b any) bool { return a == b },
}

// flushes is how long the disk takes for a small write, the median of 30.
func flushes(dir string) (time.Duration, error) {
	f, err := os.Create(filepath.Join(dir, "flush"))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var all []time.Duration
	for i := range 30 {
		began := time.Now()
		if _, err := f.WriteAt(make([]byte, 4096), int64(i)*4096); err != nil {
			return 0, err
		}
		if err := f.Sync(); err != nil {
			return 0, err
		}
		all = append(all, time.Since(began))
	}
	return harness.Quantile(all, 0.5), nil
}

// trips is how long a call takes that a coordinator answers from its memory, the median of 30.
func trips(r *harness.Rig) (time.Duration, error) {
	return median(func() error { _, err := r.Client.Watch(context.Background(), 0, 0, 0); return err })
}

// entries is how long it takes to have a command agreed on that changes nothing, the median of 30.
func entries(r *harness.Rig) (time.Duration, error) {
	return median(func() error {
		_, err := r.Client.Do(context.Background(), statemachine.Command{Withdrawal: &statemachine.Withdrawal{ID: "none"}})
		return err
	})
}

func median(call func() error) (time.Duration, error) {
	var all []time.Duration
	for range 30 {
		began := time.Now()
		if err := call(); err != nil {
			return 0, err
		}
		all = append(all, time.Since(began))
	}
	return harness.Quantile(all, 0.5), nil
}

// idle is what a dispatcher takes that has nothing to do but keep its lease.
func idle(r *harness.Rig, stop func()) (cpu, memory float64, err error) {
	stop()
	pid := r.Dispatchers[0].Pid()
	before, err := prove.ProcessorTime(pid)
	if err != nil {
		return 0, 0, err
	}
	const span = 3 * time.Second
	time.Sleep(span)
	after, err := prove.ProcessorTime(pid)
	if err != nil {
		return 0, 0, err
	}
	memory, err = prove.ResidentMemory(pid)
	return float64(after-before) / float64(span), memory, err
}
