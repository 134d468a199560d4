package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/lab/rig/harness"
)

// Sizes of the measurement with real processes.
const (
	dispatcherCount  = 12
	coordinatorCount = 5
	calmChanges      = 30 // changes that are timed with all processes up
	historyCallers   = 4
	leaseDuration    = 1500 * time.Millisecond
)

// processes is a fleet of real processes that is measured.
type processes struct {
	rig     *harness.Rig
	dir     string
	version uint64 // in force after the calm changes
}

// proveProcesses measures a fleet of real processes: changes with all up, a leader that is killed, a storm of faults, and
// an idle dispatcher.
func proveProcesses() error {
	dir, err := os.MkdirTemp("", "prove-policy")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rig, err := startRig(dir)
	if err != nil {
		return err
	}
	defer rig.Close()
	p := &processes{rig: rig, dir: dir}
	if err := p.measureChanges(); err != nil {
		return err
	}
	stop := rig.Load()
	defer stop()
	if err := p.measureElection(); err != nil {
		return err
	}
	if err := p.measureStorm(); err != nil {
		return err
	}
	cpu, memory, err := idle(rig, stop)
	if err != nil {
		return err
	}
	table.Row("a dispatcher, idle, with it on: CPU, memory", fmt.Sprintf("%.2f%% of a core, %.1f MB", 100*cpu, memory), "under 1%", cpu < 0.01)
	return nil
}

// startRig starts the fleet, and waits until all dispatchers serve.
func startRig(dir string) (*harness.Rig, error) {
	settings, err := os.ReadFile("cmd/yardflow/testdata/settings.json")
	if err != nil {
		return nil, err
	}
	bin, err := filepath.Abs("bin")
	if err != nil {
		return nil, err
	}
	rig, err := harness.New(harness.Config{Bin: bin, Dir: dir, Coordinators: coordinatorCount, Dispatchers: dispatcherCount, OnLeaseLoss: "refuse",
		Lease: leaseDuration, Answer: 4 * time.Second, Settings: settings})
	if err != nil {
		return nil, err
	}
	for _, d := range rig.Dispatchers {
		if err := harness.Until(d.Name+" serves", func() bool { return rig.Ask(d) == 200 }); err != nil {
			rig.Close()
			return nil, err
		}
	}
	return rig, nil
}

// measureChanges times changes with all processes up, and what they are made of.
func (p *processes) measureChanges() error {
	var took []time.Duration
	for n := range calmChanges {
		began := time.Now()
		if err := p.change(began, fmt.Sprint("calm", n), fmt.Sprintf("attempts = %d\n", n+1)); err != nil {
			return err
		}
		took = append(took, time.Since(began))
	}
	flush, err := flushes(p.dir)
	if err != nil {
		return err
	}
	trip, err := trips(p.rig)
	if err != nil {
		return err
	}
	entry, err := entries(p.rig)
	if err != nil {
		return err
	}
	// Four steps, one after the other: proposed, the last vote, the last dispatcher that stops, the last lease under it. In
	// each all dispatchers call, not all in one flush.
	aim := 3*trip + 4*4*entry
	p99 := harness.Quantile(took, 0.99)
	table.Row("a flush of this disk, a round trip to a keeper, an entry agreed on, medians", fmt.Sprintf("%v, %v, %v", flush.Round(10*time.Microsecond), trip.Round(10*time.Microsecond), entry.Round(10*time.Microsecond)), "", true)
	table.Row("12 dispatchers, 5 keepers: a change, median", harness.Quantile(took, 0.5).Round(time.Millisecond).String(), "", true)
	table.Row("12 dispatchers, 5 keepers: a change, p99 of 30", p99.Round(time.Millisecond).String(), fmt.Sprintf("3 round trips and 16 entries, %v", aim.Round(time.Millisecond)), p99 <= aim)
	return nil
}

// change makes a change, and waits until it is in force and all dispatchers hold leases under it.
func (p *processes) change(began time.Time, id, text string) error {
	if err := p.rig.Propose(id, text, p.version, false); err != nil {
		return err
	}
	p.version++
	for past := uint64(0); ; { // watched, since much asking would be measured, too
		update, err := p.rig.Client.Watch(context.Background(), past, p.version-1, time.Second)
		if err != nil {
			return err
		}
		if past = update.Revision; update.Policy != nil && update.Policy.Version == p.version {
			break
		}
	}
	for {
		under, err := p.holdersUnder(p.version)
		if err != nil {
			return err
		}
		if under == dispatcherCount {
			return nil
		}
		if time.Since(began) > harness.Patience {
			return fmt.Errorf("change %s: not all are under it", id)
		}
	}
}

// holdersUnder returns how many dispatchers hold leases under a version.
func (p *processes) holdersUnder(version uint64) (under int, err error) {
	s, _, err := p.rig.State()
	if err != nil {
		return 0, err
	}
	for _, h := range s.ActiveHolders() {
		if h.PolicyVersion == version {
			under++
		}
	}
	return under, nil
}

// measureElection kills the leader, and times how long it takes until another leads.
func (p *processes) measureElection() error {
	_, leader, err := p.rig.State()
	if err != nil {
		return err
	}
	began := time.Now()
	p.rig.Coordinators[leader-1].Kill()
	if err := harness.Until("another leads", func() bool { _, l, err := p.rig.State(); return err == nil && l > 0 && l != leader }); err != nil {
		return err
	}
	table.Row("a new leader, with raft's tick at 20 ms", time.Since(began).Round(time.Millisecond).String(), "", true)
	return p.rig.Coordinators[leader-1].Start()
}

// measureStorm plays faults while callers read and changes are made, and checks what came of it.
func (p *processes) measureStorm() error {
	ctx, over := context.WithTimeout(context.Background(), *storm)
	defer over()
	history := &readHistory{began: time.Now()}
	var callers sync.WaitGroup
	for c := range historyCallers {
		client := transport.NewClient("rig", []string{p.rig.Coordinators[c].Addr, p.rig.Coordinators[(c+1)%coordinatorCount].Addr})
		callers.Go(func() { history.read(ctx, c, client) })
	}
	callers.Go(func() { p.makeChanges(ctx) })
	if err := p.playFaults(ctx); err != nil {
		return err
	}
	callers.Wait()
	return p.judgeStorm(history)
}

// readHistory is what callers have read, to be checked to be linearizable.
type readHistory struct {
	began time.Time
	mu    sync.Mutex
	calls []porcupine.Operation
}

// read reads the state again and again until ctx ends, and closes the client.
func (h *readHistory) read(ctx context.Context, caller int, client *transport.Client) {
	defer client.Close()
	for ctx.Err() == nil {
		one, end := context.WithTimeout(ctx, 2*time.Second)
		at := time.Since(h.began)
		s, _, err := client.State(one)
		end()
		if err == nil {
			h.mu.Lock()
			h.calls = append(h.calls, porcupine.Operation{ClientId: caller, Input: nil, Call: int64(at), Output: s.Revision, Return: int64(time.Since(h.began))})
			h.mu.Unlock()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// makeChanges makes changes until ctx ends, one after the other, some of them two at once.
func (p *processes) makeChanges(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		if s, _, err := p.rig.Client.State(ctx); err == nil {
			_, _ = p.rig.Client.Do(ctx, statemachine.Command{Proposal: &statemachine.Proposal{ID: fmt.Sprint("storm", n), Text: fmt.Appendf(nil, "attempts = %d\n", 1+n%9), BaseVersion: s.CurrentPolicy().Version, Author: "storm", SkipUnresponsive: true}})
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// playFaults kills, stops and cuts off processes, one after the other, until ctx ends.
func (p *processes) playFaults(ctx context.Context) error {
	random := rand.New(rand.NewPCG(*seed, 5))
	for ctx.Err() == nil {
		pause := time.Duration(200+random.IntN(900)) * time.Millisecond
		var err error
		switch random.IntN(5) {
		case 0:
			err = restart(p.rig.Coordinators[random.IntN(coordinatorCount)], pause)
		case 1:
			halt(p.rig.Coordinators[random.IntN(coordinatorCount)], pause)
		case 2:
			halt(p.rig.Dispatchers[random.IntN(dispatcherCount)], 2*pause)
		case 3:
			name := p.rig.Dispatchers[random.IntN(dispatcherCount)].Name
			if random.IntN(3) == 0 {
				name = p.rig.Coordinators[random.IntN(coordinatorCount)].Name
			}
			p.rig.Cut(name, true)
			time.Sleep(2 * pause)
			p.rig.Cut(name, false)
		case 4:
			err = restart(p.rig.Dispatchers[random.IntN(dispatcherCount)], pause/2)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// restart kills a process, and starts it again after a pause.
func restart(process *harness.Process, pause time.Duration) error {
	process.Kill()
	time.Sleep(pause)
	return process.Start()
}

// halt stops a process, and lets it go on after a pause.
func halt(process *harness.Process, pause time.Duration) {
	process.Stop()
	time.Sleep(pause)
	process.Go()
}

// judgeStorm checks what is left of a storm: no change hangs, all serve, what was read is linearizable, and no two versions
// served at one moment.
func (p *processes) judgeStorm(history *readHistory) error {
	hanging := 0
	if err := harness.Until("no change is under way", func() bool {
		s, _, err := p.rig.State()
		return err == nil && (s.Change == nil || s.Change.Stage >= statemachine.InForce)
	}); err != nil {
		hanging++
	}
	table.Row("storm: changes left hanging", strconv.Itoa(hanging), "0", hanging == 0)
	s, _, err := p.rig.State()
	if err != nil {
		return err
	}
	table.Row("storm: versions in force", fmt.Sprint(s.CurrentPolicy().Version-p.version), "", true)
	back := 0
	for _, d := range p.rig.Dispatchers {
		if harness.Until("serves", func() bool { return p.rig.Ask(d) == 200 }) == nil {
			back++
		}
	}
	table.Row("storm: dispatchers that serve after it", fmt.Sprintf("%d of %d", back, dispatcherCount), "all", back == dispatcherCount)
	linearizable := porcupine.CheckOperations(revisions, history.calls)
	table.Row("storm: history linearizable", fmt.Sprintf("%t, %d calls", linearizable, len(history.calls)), "true", linearizable && len(history.calls) > 50)
	overlap, what := p.rig.Overlap()
	table.Row("storm: two versions serving at one moment, refuse", strings.TrimSpace(overlap.String()+" "+what), "0", overlap == 0)
	return nil
}
