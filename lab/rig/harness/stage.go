// Package harness starts the real programs, coordinators and dispatchers, with stand-ins for all else on
// loopback, leads every link between them through a relay of its own, and injects faults into
// relays and processes. What dispatchers write of each admission is the history that it judges.
//
// Ports are the kernel's. It must never touch a process that it has not started, and nothing
// that it says may hang on how long something took but by a wide limit.
package harness

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"yardflow/internal/fleet/policy"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
	"yardflow/internal/testing/standin/listservice"
	"yardflow/internal/testing/standin/worker"
)

// Patience is the limit of whatever must happen in the end.
const Patience = 20 * time.Second

const fleet = "rig"

// Config is one stage.
type Config struct {
	Bin          string // folder of the programs
	Dir          string // for folders and files
	Coordinators int
	Dispatchers  int
	OnLeaseLoss  string
	Lease        time.Duration
	Answer       time.Duration
	Workers      int    // 0: one
	Slots        int    // of each worker; 0: 64
	Zones        int    // dispatchers are in them by turns; 0: all in one
	Cells        int    // workers are in them by turns; 0: all in one
	Kinds        int    // of workers, by turns, two at most; 0: one
	Shared       bool   // all ask one list service, each by a link of its own; nobody is started
	Settings     []byte // of the dispatchers, as the platform gives them
	Seed         uint64
	Full         bool       // scenarios are played at their full size; else at one that many can be played at beside each other
	Over         func(*Rig) // is shown the stage when a scenario has ended, however it has; nil: nobody is
}

// oldProgram is the dispatcher as one that knows no policy newer than the first form.
const oldProgram = "yardflow-form1"

// Build builds the programs that a stage needs from the module's root into a folder.
func Build(root, dir string) error {
	for _, args := range [][]string{{"-o", dir + "/", "./cmd/yardflow", "./cmd/coordinator"},
		{"-ldflags", "-X yardflow/internal/fleet/policy.form=1", "-o", filepath.Join(dir, oldProgram), "./cmd/yardflow"}} {
		cmd := exec.Command("go", append([]string{"build"}, args...)...)
		cmd.Dir = root
		if out, err := cmd.CombinedOutput(); err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
	}
	return nil
}

// Admission is one request let in.
type Admission struct {
	Dispatcher string
	Version    uint64
	At         int64 // Unix nanoseconds
	In         int64 // and of when the limits of the fleet were asked
}

// Rig is one stage with its processes.
type Rig struct {
	Config
	Coordinators []*Process
	Dispatchers  []*Process
	Client       *transport.Client   // on links that no fault is injected into
	List         *listservice.Roster // where all share one
	Workers      []*worker.Worker    // each dispatcher reaches each by a relay, and has a roster of its own

	rosters map[string]*listservice.Roster
	work    atomic.Int64 // how long a job runs
	drained map[string]bool
	Rnd     *rand.Rand // of the seed

	relays  map[[2]string]*Relay
	mu      sync.Mutex
	history []Admission
	answers map[string]map[int]int // by dispatcher and status
	ids     int
	figures []Figure
}

// Figure is what a scenario has measured, beside what it is to be at the most; or at the least.
type Figure struct {
	What          string
	Is, Aim       float64
	Least, Missed bool
}

// Most notes a figure that is to be so much at the most, and tells whether it is.
func (r *Rig) Most(what string, is, aim float64) bool {
	r.figures = append(r.figures, Figure{What: what, Is: is, Aim: aim, Missed: !(is <= aim)})
	return is <= aim
}

// Least notes a figure that is to be so much at the least, and tells whether it is.
func (r *Rig) Least(what string, is, aim float64) bool {
	r.figures = append(r.figures, Figure{What: what, Is: is, Aim: aim, Least: true, Missed: !(is >= aim)})
	return is >= aim
}

// Figures are all that were noted.
func (r *Rig) Figures() []Figure { return r.figures }

// New makes a stage and starts all of it.
func New(c Config) (*Rig, error) {
	r := &Rig{Config: c, relays: map[[2]string]*Relay{}, rosters: map[string]*listservice.Roster{}, Rnd: rand.New(rand.NewPCG(c.Seed, 7)), answers: map[string]map[int]int{}}
	r.work.Store(int64(5 * time.Millisecond))
	for i := range max(c.Workers, 1) {
		w, err := worker.Start(fmt.Sprint("s-", i+1), cmp.Or(c.Slots, 64), func(string) time.Duration { return time.Duration(r.work.Load()) })
		if err != nil {
			return nil, err
		}
		r.Workers = append(r.Workers, w)
	}
	if c.Shared {
		r.List = listservice.Start()
		if err := r.PublishWorkers(func(int) time.Time { return time.Time{} }); err != nil {
			return nil, err
		}
	}
	name := func(i int) string { return fmt.Sprintf("k%d", i+1) }
	for i := range c.Coordinators {
		for j := range c.Coordinators {
			if i != j {
				if _, err := r.relay(name(i), name(j)); err != nil {
					return nil, err
				}
			}
		}
	}
	for i := range c.Coordinators {
		others := map[int]string{}
		for j := range c.Coordinators {
			if i != j {
				others[j+1] = r.Link(name(i), name(j)).Addr()
			}
		}
		p, err := r.newCoordinator(name(i), i+1, others)
		if err == nil {
			err = p.Start("--new")
		}
		if err != nil {
			return nil, err
		}
	}
	if err := r.Reach(); err != nil {
		return nil, err
	}
	for i := range c.Dispatchers {
		name := fmt.Sprintf("d%d", i+1)
		if c.Shared {
			if _, err := r.MakeDispatcher(name, nil); err != nil {
				return nil, err
			}
		} else if _, err := r.AddDispatcher(name, nil); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// newCoordinator makes a coordinator's file, and a process that is not started yet. What is there under its
// name already is replaced.
func (r *Rig) newCoordinator(name string, id int, others map[int]string) (*Process, error) {
	p := &Process{Name: name, rig: r, dir: r.Dir, args: []string{filepath.Join(r.Bin, "coordinator"), "serve", "--config", filepath.Join(r.Dir, name+".toml")}}
	text := fmt.Sprintf("fleet = %q\nmember = %d\nlisten = \"127.0.0.1:0\"\nfolder = %q\nfence = %q\nlease = %q\nanswer = %q\ntick = \"20ms\"\nsnapshot = 300\n",
		fleet, id, filepath.Join(r.Dir, name), r.OnLeaseLoss, r.Lease, r.Answer)
	text += fmt.Sprintf("[[keeper]]\nid = %d\naddr = \"127.0.0.1:1\" # its own, which it does not call\n", id)
	for _, other := range slices.Sorted(maps.Keys(others)) {
		text += fmt.Sprintf("[[keeper]]\nid = %d\naddr = %q\n", other, others[other])
	}
	if at := slices.IndexFunc(r.Coordinators, func(k *Process) bool { return k.Name == name }); at >= 0 {
		r.Coordinators[at] = p
	} else {
		r.Coordinators = append(r.Coordinators, p)
	}
	return p, os.WriteFile(p.args[3], []byte(text), 0o600)
}

// Join starts a coordinator that is to be taken in, and returns the address by which the others reach it.
func (r *Rig) Join(name string, id int) (*Process, string, error) {
	others := map[int]string{}
	for _, k := range r.Coordinators {
		l, err := r.relay(name, k.Name)
		if err != nil {
			return nil, "", err
		}
		l.Target(k.Addr)
		n, err := strconv.Atoi(k.Name[1:])
		if err != nil {
			return nil, "", err
		}
		others[n] = l.Addr()
	}
	l, err := r.relay("others", name)
	if err != nil {
		return nil, "", err
	}
	p, err := r.newCoordinator(name, id, others)
	if err == nil {
		err = p.Start("--join")
	}
	return p, l.Addr(), err
}

// Staff calls the staff's command, and returns what it says and its exit code.
func (r *Rig) Staff(args ...string) (string, int) {
	cmd := r.staff(args...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func (r *Rig) staff(args ...string) *exec.Cmd {
	var addrs []string
	for _, k := range r.Coordinators {
		addrs = append(addrs, k.Addr)
	}
	return exec.Command(filepath.Join(r.Bin, "coordinator"), append([]string{"--fleet", fleet, "--keepers", strings.Join(addrs, ",")}, args...)...)
}

// size is how large something is, by whether the scenario is played in full.
func (r *Rig) size(full, small int) int {
	if r.Full {
		return full
	}
	return small
}

// Runs has jobs run for so long from now on.
func (r *Rig) Runs(d time.Duration) { r.work.Store(int64(d)) }

// Close ends all that was started.
func (r *Rig) Close() {
	for _, p := range append(append([]*Process(nil), r.Dispatchers...), r.Coordinators...) {
		p.Kill()
	}
	for _, l := range r.relays {
		l.Close()
	}
	r.Client.Close()
	for _, w := range r.Workers {
		w.Close()
	}
	for _, l := range r.rosters {
		l.Close()
	}
	if r.List != nil {
		r.List.Close()
	}
}

// Until waits for something that must be so in the end.
func Until(what string, ok func() bool) error {
	for limit := time.Now().Add(Patience); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("never: %s", what)
		}
	}
	return nil
}

// State is what the coordinators have agreed on by now.
func (r *Rig) State() (s *statemachine.State, leader uint64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), Patience)
	defer stop()
	err = transport.Retry(ctx, func(ctx context.Context) error {
		s, leader, err = r.Client.State(ctx)
		return err
	})
	return s, leader, err
}

// Propose has a change asked for, again where it is refused or has no outcome, as whoever waits for a change before it does.
func (r *Rig) Propose(id, text string, base uint64, without bool) error {
	ctx, stop := context.WithTimeout(context.Background(), Patience)
	defer stop()
	proposal := proposalOf(id, text, base, without)
	return transport.Retry(ctx, func(ctx context.Context) error {
		refusal, err := r.propose(ctx, proposal)
		if err == nil && refusal != "" {
			return errors.New(refusal)
		}
		return err
	})
}

// Refused has a change asked for that is to be refused, again while there is no outcome, and returns why it was. The error
// says that it was taken, or that there was no outcome at all.
func (r *Rig) Refused(id, text string, base uint64) (refusal string, err error) {
	ctx, stop := context.WithTimeout(context.Background(), Patience)
	defer stop()
	proposal := proposalOf(id, text, base, false)
	err = transport.Retry(ctx, func(ctx context.Context) (err error) {
		refusal, err = r.propose(ctx, proposal)
		return err
	})
	if err == nil && refusal == "" {
		err = fmt.Errorf("change %s was taken, which had to be refused", id)
	}
	return refusal, err
}

// propose makes one call; without an error, an empty refusal says that the change was taken.
func (r *Rig) propose(ctx context.Context, proposal *statemachine.Proposal) (refusal string, err error) {
	result, err := r.Client.Do(ctx, statemachine.Command{Proposal: proposal})
	return result.Err, err
}

func proposalOf(id, text string, base uint64, without bool) *statemachine.Proposal {
	proposal := &statemachine.Proposal{ID: id, Text: []byte(text), BaseVersion: base, Author: "rig", SkipUnresponsive: without}
	if doc, err := policy.Parse([]byte(text)); err == nil { // what is not sound is for the dispatchers to say
		proposal.Limits, _ = doc.QuotaLimits()
		proposal.OutlierSettings, proposal.ColdStart, proposal.Workflows, proposal.Pools = doc.OutlierSettings(), doc.ColdStartSettings(), doc.Templates(), doc.PoolNames()
	}
	return proposal
}

// Change waits until a change has come to a stage, or to an end.
func (r *Rig) Change(id string, stage statemachine.Stage) (*statemachine.PolicyChange, error) {
	var last *statemachine.PolicyChange
	err := Until(fmt.Sprintf("change %s %v", id, stage), func() bool {
		s, _, err := r.State()
		if err != nil || s.Change == nil || s.Change.ID != id {
			return false
		}
		last = s.Change
		return last.Stage >= stage
	})
	if err == nil && last.Stage != stage {
		err = fmt.Errorf("change %s: %v, %s; expected %v", id, last.Stage, last.Reason, stage)
	}
	return last, err
}
