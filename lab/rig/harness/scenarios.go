package harness

// This file owns the scenarios: each is what several real processes go through, and what must
// and must not come of it. Tests play them in CI, and go run ./lab/rig by hand. What must never
// happen is asserted, what must happen in the end has a wide limit.

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"yardflow/internal/fleet/quota"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
)

// T is who hears what a scenario finds: a test, or whoever plays one by hand.
type T interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
	Error(args ...any)
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
}

// Scenario is what a stage goes through.
type Scenario struct {
	Name, About          string
	Keepers, Dispatchers int
	Workers, Zones       int    // 0: one
	Slots                int    // of each worker; 0: 64
	Cells, Kinds         int    // of workers; 0: one
	Fence                string // "refuse" where nothing is said
	Shared               bool   // one list service for all; the scenario starts the dispatchers
	Alone                bool   // it is much for one machine: tests play nothing beside it
	Play                 func(t T, r *Rig)
}

// lease is short, so that scenarios are.
const lease = 1500 * time.Millisecond

// Config is the scenario's stage, with the programs from a folder.
func (s Scenario) Config(bin, dir string, settings []byte, seed uint64) Config {
	fence := s.Fence
	if fence == "" {
		fence = "refuse"
	}
	return Config{Bin: bin, Dir: dir, Keepers: s.Keepers, Dispatchers: s.Dispatchers, Workers: s.Workers, Zones: s.Zones, Slots: s.Slots, Cells: s.Cells, Kinds: s.Kinds, Shared: s.Shared, Fence: fence, Lease: lease, Answer: 4 * time.Second, Settings: settings, Seed: seed}
}

// Run sets the stage up, plays the scenario, and takes the stage down.
func (s Scenario) Run(t T, c Config) {
	t.Helper()
	r, err := New(c)
	check(t, err)
	defer func() {
		if c.Over != nil {
			c.Over(r)
		}
		r.Close()
	}()
	for _, d := range r.Dispatcher {
		if !s.Shared {
			serves(t, r, d, true)
		}
	}
	s.Play(t, r)
}

// Scenarios are all of them.
var Scenarios = []Scenario{
	{Name: "change", About: "A change with all up, under load, by the staff's command; and the way back", Keepers: 3, Dispatchers: 3, Play: changeComesIntoForce},
	{Name: "down", About: "One of three dispatchers is down while a change is made, and comes back in the middle of the next, and after it", Keepers: 3, Dispatchers: 3, Play: downWhileItIsMade},
	{Name: "stopped", About: "A dispatcher stands still in the middle of a change, which waits for its lease and no longer; woken, it admits nothing by what it knew", Keepers: 3, Dispatchers: 3, Play: stoppedAndCutOff},
	{Name: "leaders", About: "The keeper that leads is killed while a change is under way, then the next one stands still and goes on believing that it leads", Keepers: 5, Dispatchers: 2, Play: leadersFall},
	{Name: "keepers-lost", About: "A majority of the keepers is lost", Keepers: 3, Dispatchers: 2, Play: keepersLost},
	{Name: "keepers-lost-last", About: "A majority of the keepers is lost", Keepers: 3, Dispatchers: 2, Fence: "last", Play: keepersLost},
	{Name: "withdrawn", About: "What one dispatcher can't run never comes into force; nor does what one that holds a lease says nothing about", Keepers: 1, Dispatchers: 2, Play: withdrawn},
	{Name: "folders", About: "A folder that is lost, another's or damaged is refused by name, and nothing is made anew", Keepers: 3, Dispatchers: 0, Play: folders},
	{Name: "bad-links", About: "Links that pass 1 KB a second, and are reset in the middle of messages", Keepers: 3, Dispatchers: 2, Play: badLinks},
	{Name: "upgrade", About: "A second process of a dispatcher takes over while a change is under way, and the first one's settings are read again", Keepers: 3, Dispatchers: 2, Play: upgradeAndReloadDuringAChange},
	{Name: "folder-full", About: "A keeper whose folder is full stops and says so; the others go on, and with room again it is back, knowing all", Keepers: 3, Dispatchers: 1, Play: folderFull},
	{Name: "older-folder", About: "A keeper is started on an older copy of its folder", Keepers: 3, Dispatchers: 1, Play: olderFolder},
	{Name: "older-program", About: "Two programs in one fleet, of which one knows no newer policy, either way round", Keepers: 1, Dispatchers: 2, Play: olderProgram},
	{Name: "proposer", About: "Whoever proposes is killed after each step", Keepers: 3, Dispatchers: 2, Play: proposerKilled},
	{Name: "one-way", About: "The keeper that leads is cut off one way, and the other; and a dispatcher", Keepers: 3, Dispatchers: 2, Play: oneWay},
	{Name: "doubled", About: "All messages arrive again, some from an earlier life of their sender", Keepers: 3, Dispatchers: 2, Play: doubled},
	{Name: "all-back", About: "All keepers are killed in the middle of a change, and come back", Keepers: 5, Dispatchers: 2, Play: allBack},
	{Name: "members", About: "Keepers are taken in and out while changes are made, the one that leads among them", Keepers: 3, Dispatchers: 2, Play: members},
	{Name: "restore", About: "A majority is lost for good, and one keeper is made anew of a folder that is left", Keepers: 3, Dispatchers: 2, Play: restore},
	{Name: "restart-last", About: "A dispatcher starts again while all keepers are away, under last", Keepers: 1, Dispatchers: 1, Fence: "last", Play: restartLast},
	{Name: "limit-rate", About: "A limit on requests a second while links are cut, dispatchers stand still, die and come back, and the leader dies", Keepers: 3, Dispatchers: 4, Fence: "last", Play: limitRate},
	{Name: "limit-rate-refuse", About: "The same, where who holds no lease admits nothing", Keepers: 3, Dispatchers: 4, Play: limitRate},
	{Name: "limit-lowered", About: "A limit is quartered while its parts are out, and set to 0", Keepers: 3, Dispatchers: 3, Play: limitLowered},
	{Name: "limit-open", About: "A limit on requests open at once, and one at each worker, with the same faults", Keepers: 3, Dispatchers: 4, Fence: "last", Workers: 2, Play: limitOpen},
	{Name: "limit-retries", About: "All workers fail, and all dispatchers try again: the fleet's retries keep to their share", Keepers: 1, Dispatchers: 4, Fence: "last", Workers: 3, Play: limitRetries},
	{Name: "verdict-bad", About: "A worker fails all jobs: it is condemned for all, comes back by trials, and is replaced under its address while condemned", Keepers: 3, Dispatchers: 4, Fence: "last", Workers: 6, Slots: 2, Play: verdictBad},
	{Name: "verdict-zone", About: "One zone's dispatchers alone can't reach a worker", Keepers: 1, Dispatchers: 6, Fence: "last", Workers: 6, Zones: 2, Slots: 2, Play: verdictZone},
	{Name: "verdict-five", About: "Five of six workers are bad at once, and then all dispatchers hear nothing", Keepers: 1, Dispatchers: 3, Fence: "last", Workers: 6, Slots: 2, Play: verdictFive},
	{Name: "verdict-liar", About: "One dispatcher says of all workers, and of lives of them that never were, that they fail", Keepers: 1, Dispatchers: 3, Fence: "last", Workers: 6, Slots: 2, Play: verdictLiar},
	{Name: "start-power", About: "Power comes back: 12 dispatchers, keepers and the list service at one moment, each of them last in turn", Keepers: 3, Dispatchers: 12, Workers: 4, Zones: 3, Shared: true, Alone: true, Play: startPower},
	{Name: "start-reader", About: "The dispatcher that reads for its zone stands still for three leases, is killed, and is cut off one way, with a drain told each time", Keepers: 3, Dispatchers: 6, Workers: 4, Shared: true, Play: startReader},
	{Name: "start-list", About: "The list service is overloaded, silent, gone in mid-list, and has an old list, while all start", Keepers: 3, Dispatchers: 6, Workers: 4, Shared: true, Play: startList},
	{Name: "start-alone", About: "Keepers come up after the dispatchers, a minority only, and never, under last", Keepers: 3, Dispatchers: 4, Workers: 2, Fence: "last", Shared: true, Play: startAlone},
	{Name: "start-again", About: "A dispatcher is killed in each stage of its start, and started ten times in a row", Keepers: 3, Dispatchers: 3, Workers: 2, Shared: true, Play: startAgain},
	{Name: "start-storm", About: "All workers are cold at once under twice the load that they bear, with clients that come again at once", Keepers: 3, Dispatchers: 6, Workers: 4, Slots: 2, Shared: true, Alone: true, Play: startStorm},
	{Name: "start-300", About: "300 holders in six zones ask real keepers for turns at a real list service", Keepers: 3, Shared: true, Alone: true, Play: startMany},
	{Name: "flow-killed", About: "The dispatcher of steps that run only once is killed, stopped through its lease, or cut off, at each stage of a step", Keepers: 3, Dispatchers: 2, Workers: 2, Cells: 2, Fence: "last", Play: stepOwnerKilled},
	{Name: "flow-storm", About: "Workflows while dispatchers die and stand still, links are cut, reset and doubled, and the leader dies, by the seed", Keepers: 3, Dispatchers: 4, Workers: 4, Cells: 2, Fence: "last", Alone: true, Play: workflowsUnderRandomFaults},
	{Name: "flow-restore", About: "A majority of the keepers is lost, and what is left is older than what was done", Keepers: 3, Dispatchers: 2, Workers: 2, Fence: "last", Play: workflowsAfterRestore},
	{Name: "flow-pools", About: "Steps over two pools, of which one drains in the middle; templates changed under way, and such as can't be", Keepers: 3, Dispatchers: 3, Workers: 4, Kinds: 2, Alone: true, Play: workflowsOverPools},
	{Name: "flow-many", About: "1,000 flows submitted in one second, one of 10,000 items, one cancelled with 500 steps out", Keepers: 3, Dispatchers: 3, Workers: 3, Slots: 400, Alone: true, Play: manyWorkflows},
	{Name: "flow-poison", About: "Steps that kill each worker that takes them, and answers that claim another's step", Keepers: 1, Dispatchers: 2, Workers: 4, Play: stepsThatKillWorkers},
	{Name: "flow-beside", About: "Clients' work at load 0.8 without a workflow beside it and with one", Keepers: 3, Dispatchers: 3, Workers: 4, Slots: 8, Alone: true, Play: clientsBesideWorkflow},
	{Name: "flow-calm", About: "Workflows that nothing happens to: by one key twice at once, and one of a thousand titles", Keepers: 3, Dispatchers: 3, Workers: 3, Alone: true, Play: workflowsWithoutFaults},
	{Name: "300-back", About: "300 holders come back at once after all keepers were away", Keepers: 3, Alone: true, Play: manyBack},
}

func check(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// serves waits until a dispatcher serves, or refuses.
func serves(t T, r *Rig, d *Process, yes bool) {
	t.Helper()
	want := 503
	if yes {
		want = 200
	}
	check(t, Until(fmt.Sprintf("%s answers %d", d.Name, want), func() bool { return r.Ask(d) == want }))
}

// under waits until a dispatcher admits under a version.
func under(t T, r *Rig, d *Process, version uint64) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%s admits under version %d", d.Name, version), func() bool {
		r.Ask(d)
		return r.Admitted(d.Name, version) > 0
	}))
}

// allUnder waits until all dispatchers admit under a version.
func allUnder(t T, r *Rig, version uint64) {
	t.Helper()
	for _, d := range r.Dispatcher {
		under(t, r, d, version)
	}
}

// awaitVersionAt waits until coordinators by themselves know a version as the one in force.
func awaitVersionAt(t T, what string, version uint64, addresses ...string) {
	t.Helper()
	client := transport.NewClient(fleet, addresses)
	defer client.Close()
	check(t, Until(what, func() bool {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		s, _, err := client.State(ctx)
		return err == nil && s.CurrentPolicy().Version == version
	}))
}

func changed(t T, r *Rig, id string, stage statemachine.Stage) *statemachine.PolicyChange {
	t.Helper()
	c, err := r.Change(id, stage)
	check(t, err)
	return c
}

// alone checks what must hold under refuse: never two versions at one moment.
func alone(t T, r *Rig) {
	t.Helper()
	if d, what := r.Overlap(); d > 0 {
		t.Error(what)
	}
}

const second, third = "attempts = 3\n", "attempts = 2\nban = [\"s-9\"]\n"

// A change with all up, under load, by the staff's command; and the way back.
func changeComesIntoForce(t T, r *Rig) {
	stop := r.Load()
	file := filepath.Join(r.Dir, "policy.toml")
	check(t, os.WriteFile(file, []byte(second), 0o600))
	call := func(args ...string) string {
		out, err := exec.Command(filepath.Join(r.Bin, "coordinator"), append([]string{"--fleet", fleet, "--keepers", r.Keeper[0].Addr + "," + r.Keeper[1].Addr}, args...)...).CombinedOutput()
		if err != nil {
			t.Fatalf("keeper %v: %v: %s", args, err, out)
		}
		return string(out)
	}
	if out := call("policy", "propose", file, "--dry-run"); !strings.Contains(out, "attempts: + 3") {
		t.Errorf("dry run: %s", out)
	}
	if out := call("policy", "propose", file, "--why", "a trial"); !strings.Contains(out, "version 1 in force") {
		t.Errorf("propose: %s", out)
	}
	allUnder(t, r, 1)
	check(t, os.WriteFile(file, []byte(third), 0o600))
	call("policy", "propose", file)
	if out := call("policy", "back", "1", "--why", "worse"); !strings.Contains(out, "version 3 in force") {
		t.Errorf("back: %s", out)
	}
	allUnder(t, r, 3)
	stop()
	alone(t, r)
	if out := call("policy", "history"); strings.Count(out, "\n") != 3 {
		t.Errorf("history: %s", out)
	}
}

// One of three dispatchers is down while a change is made, and comes back in the middle of the
// next, and after it: it serves under nothing but what is in force.
func downWhileItIsMade(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	down := r.Dispatcher[2]
	down.Kill()
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", statemachine.InForce)
	check(t, r.Propose("two", third, 1, false))
	check(t, down.Start())
	changed(t, r, "two", statemachine.InForce)
	allUnder(t, r, 2)
	if n := r.Admitted(down.Name, 0); n == 0 {
		t.Error("it had admitted nothing before")
	}
	alone(t, r)
}

// A dispatcher stands still in the middle of a change, which waits for its lease and no longer;
// woken, it admits nothing by what it knew. Another that is cut off from all keepers likewise.
func stoppedAndCutOff(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	still, lost := r.Dispatcher[1], r.Dispatcher[2]
	still.Stop()
	r.Cut(lost.Name, true)
	check(t, r.Propose("one", second, 0, true))
	changed(t, r, "one", statemachine.InForce)
	under(t, r, r.Dispatcher[0], 1)
	serves(t, r, lost, false)
	before := r.Admitted(still.Name, 0) + r.Admitted(lost.Name, 0)
	still.Go()
	under(t, r, still, 1)
	if now := r.Admitted(still.Name, 0) + r.Admitted(lost.Name, 0); now > before+1 { // one was being let in when it was stopped
		t.Errorf("%d requests admitted under the old version after the new one was in force", now-before)
	}
	r.Cut(lost.Name, false)
	under(t, r, lost, 1)
	alone(t, r)
}

// What one dispatcher can't run never comes into force; nor does what one that holds a lease
// says nothing about. Two at once, and one asked for twice.
func withdrawn(t T, r *Rig) {
	check(t, r.Propose("newer", "from_the_future = 1\n", 0, false))
	c := changed(t, r, "newer", statemachine.Withdrawn)
	if !strings.Contains(c.Reason, "can't run it") {
		t.Errorf("withdrawn: %s", c.Reason)
	}
	check(t, r.Propose("one", second, 0, false))
	check(t, r.Propose("one", second, 0, false))
	for range 2 { // while the first is under way, and once it is in force
		if _, err := r.Refused("two", third, 0); err != nil {
			t.Errorf("a second change from the same version: %v", err)
		}
		changed(t, r, "one", statemachine.InForce)
	}
	allUnder(t, r, 1)
	alone(t, r)
}

// A second process of a dispatcher takes over while a change is under way, and the first one's
// settings are read again: both end under what is in force, and neither beside it.
func upgradeAndReloadDuringAChange(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	old := r.Dispatcher[0]
	check(t, r.Propose("one", second, 0, false))
	old.Signal(syscall.SIGHUP)
	next, err := r.Beside(old)
	check(t, err)
	changed(t, r, "one", statemachine.InForce)
	under(t, r, next, 1)
	mark := old.Mark()
	old.Signal(syscall.SIGTERM)
	_, err = old.Await(mark, "stopped;")
	check(t, err)
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", statemachine.InForce)
	for _, d := range r.Dispatcher[1:] {
		under(t, r, d, 2)
	}
	alone(t, r)
}

// leads waits for a keeper that leads.
func leads(t T, r *Rig) *Process {
	t.Helper()
	var who uint64
	check(t, Until("a keeper leads", func() bool { _, l, err := r.State(); who = l; return err == nil && l > 0 && l <= uint64(len(r.Keeper)) }))
	return r.Keeper[who-1]
}

// staff calls the staff's command, which is to end so.
func staff(t T, r *Rig, code int, args ...string) string {
	t.Helper()
	out, got := r.Staff(args...)
	if got != code {
		t.Fatalf("keeper %v: exit code %d, want %d: %s", args, got, code, out)
	}
	return out
}

// Two programs in one fleet: what the older one does not know never comes into force while it
// holds a lease, and one that is put back to the older program admits nothing under it.
func olderProgram(t T, r *Rig) {
	const newer = "attempts = 3\nrule = \"any\"\n"
	one, two := r.Dispatcher[0], r.Dispatcher[1]
	two.Kill()
	two.Program(oldProgram)
	check(t, two.Start())
	serves(t, r, two, true)
	check(t, r.Propose("newer", newer, 0, false))
	if c := changed(t, r, "newer", statemachine.Withdrawn); !strings.Contains(c.Reason, "d2 can't run it") {
		t.Errorf("withdrawn: %s", c.Reason)
	}
	check(t, r.Propose("both", second, 0, false))
	changed(t, r, "both", statemachine.InForce)
	under(t, r, one, 1)
	under(t, r, two, 1)
	two.Kill()
	two.Program("yardflow")
	check(t, two.Start())
	check(t, r.Propose("again", newer, 1, true))
	changed(t, r, "again", statemachine.InForce)
	under(t, r, one, 2)
	under(t, r, two, 2)
	one.Kill()
	one.Program(oldProgram)
	mark := one.Mark()
	check(t, one.Start())
	_, err := one.Await(mark, "version 2 can't be run")
	check(t, err)
	serves(t, r, one, false)
	serves(t, r, two, true)
	if n := r.Admitted(one.Name, 2); n == 0 {
		t.Error("it had admitted nothing before")
	}
	alone(t, r)
}

const rateLimit = "dispatchers = 8\nsettle = \"3s\"\n[[limit]]\nname = \"all\"\nkind = \"rate\"\namount = %d.0\nburst = %d.0\nstatic = 0.2\n"

func rateOf(t T, r *Rig) map[uint64]quota.Limit {
	t.Helper()
	s, _, err := r.State()
	check(t, err)
	out := map[uint64]quota.Limit{}
	for _, p := range s.Policies {
		out[p.Version] = p.Limits[0]
	}
	return out
}
