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
	Name, About               string
	Coordinators, Dispatchers int
	Workers, Zones            int    // 0: one
	Slots                     int    // of each worker; 0: 64
	Cells, Kinds              int    // of workers; 0: one
	OnLeaseLoss               string // "refuse" where nothing is said
	Shared                    bool   // one list service for all; the scenario starts the dispatchers
	Alone                     bool   // it is much for one machine: tests play nothing beside it
	Play                      func(t T, r *Rig)
}

// lease is short, so that scenarios are.
const lease = 1500 * time.Millisecond

// Config is the scenario's stage, with the programs from a folder.
func (s Scenario) Config(bin, dir string, settings []byte, seed uint64) Config {
	fence := s.OnLeaseLoss
	if fence == "" {
		fence = "refuse"
	}
	return Config{Bin: bin, Dir: dir, Coordinators: s.Coordinators, Dispatchers: s.Dispatchers, Workers: s.Workers, Zones: s.Zones, Slots: s.Slots, Cells: s.Cells, Kinds: s.Kinds, Shared: s.Shared, OnLeaseLoss: fence, Lease: lease, Answer: 4 * time.Second, Settings: settings, Seed: seed}
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
	for _, d := range r.Dispatchers {
		if !s.Shared {
			awaitAnswer(t, r, d, true)
		}
	}
	s.Play(t, r)
}

// Scenarios are all of them.
var Scenarios = []Scenario{
	{Name: "change", About: "A change with all up, under load, by the staff's command; and the way back", Coordinators: 3, Dispatchers: 3, Play: changeComesIntoForce},
	{Name: "down", About: "One of three dispatchers is down while a change is made, and comes back in the middle of the next, and after it", Coordinators: 3, Dispatchers: 3, Play: downWhileItIsMade},
	{Name: "stopped", About: "A dispatcher stands still in the middle of a change, which waits for its lease and no longer; woken, it admits nothing by what it knew", Coordinators: 3, Dispatchers: 3, Play: stoppedAndCutOff},
	{Name: "leaders", About: "The keeper that leads is killed while a change is under way, then the next one stands still and goes on believing that it leads", Coordinators: 5, Dispatchers: 2, Play: leadersFail},
	{Name: "keepers-lost", About: "A majority of the keepers is lost", Coordinators: 3, Dispatchers: 2, Play: coordinatorsLost},
	{Name: "keepers-lost-last", About: "A majority of the keepers is lost", Coordinators: 3, Dispatchers: 2, OnLeaseLoss: "last", Play: coordinatorsLost},
	{Name: "withdrawn", About: "What one dispatcher can't run never comes into force; nor does what one that holds a lease says nothing about", Coordinators: 1, Dispatchers: 2, Play: withdrawn},
	{Name: "folders", About: "A folder that is lost, another's or damaged is refused by name, and nothing is made anew", Coordinators: 3, Dispatchers: 0, Play: folders},
	{Name: "bad-links", About: "Links that pass 1 KB a second, and are reset in the middle of messages", Coordinators: 3, Dispatchers: 2, Play: badLinks},
	{Name: "upgrade", About: "A second process of a dispatcher takes over while a change is under way, and the first one's settings are read again", Coordinators: 3, Dispatchers: 2, Play: upgradeAndReloadDuringAChange},
	{Name: "folder-full", About: "A keeper whose folder is full stops and says so; the others go on, and with room again it is back, knowing all", Coordinators: 3, Dispatchers: 1, Play: folderFull},
	{Name: "older-folder", About: "A keeper is started on an older copy of its folder", Coordinators: 3, Dispatchers: 1, Play: olderFolder},
	{Name: "older-program", About: "Two programs in one fleet, of which one knows no newer policy, either way round", Coordinators: 1, Dispatchers: 2, Play: olderProgram},
	{Name: "proposer", About: "Whoever proposes is killed after each step", Coordinators: 3, Dispatchers: 2, Play: proposerKilled},
	{Name: "one-way", About: "The keeper that leads is cut off one way, and the other; and a dispatcher", Coordinators: 3, Dispatchers: 2, Play: oneWay},
	{Name: "doubled", About: "All messages arrive again, some from an earlier life of their sender", Coordinators: 3, Dispatchers: 2, Play: doubled},
	{Name: "all-back", About: "All keepers are killed in the middle of a change, and come back", Coordinators: 5, Dispatchers: 2, Play: allBack},
	{Name: "members", About: "Keepers are taken in and out while changes are made, the one that leads among them", Coordinators: 3, Dispatchers: 2, Play: members},
	{Name: "restore", About: "A majority is lost for good, and one keeper is made anew of a folder that is left", Coordinators: 3, Dispatchers: 2, Play: restore},
	{Name: "restart-last", About: "A dispatcher starts again while all keepers are away, under last", Coordinators: 1, Dispatchers: 1, OnLeaseLoss: "last", Play: restartLast},
	{Name: "limit-rate", About: "A limit on requests a second while links are cut, dispatchers stand still, die and come back, and the leader dies", Coordinators: 3, Dispatchers: 4, OnLeaseLoss: "last", Play: limitRate},
	{Name: "limit-rate-refuse", About: "The same, where who holds no lease admits nothing", Coordinators: 3, Dispatchers: 4, Play: limitRate},
	{Name: "limit-lowered", About: "A limit is quartered while its parts are out, and set to 0", Coordinators: 3, Dispatchers: 3, Play: limitLowered},
	{Name: "limit-open", About: "A limit on requests open at once, and one at each worker, with the same faults", Coordinators: 3, Dispatchers: 4, OnLeaseLoss: "last", Workers: 2, Play: limitOpen},
	{Name: "limit-retries", About: "All workers fail, and all dispatchers try again: the fleet's retries keep to their share", Coordinators: 1, Dispatchers: 4, OnLeaseLoss: "last", Workers: 3, Play: limitRetries},
	{Name: "verdict-bad", About: "A worker fails all jobs: it is condemned for all, comes back by trials, and is replaced under its address while condemned", Coordinators: 3, Dispatchers: 4, OnLeaseLoss: "last", Workers: 6, Slots: 2, Play: ejectFailingWorker},
	{Name: "verdict-zone", About: "One zone's dispatchers alone can't reach a worker", Coordinators: 1, Dispatchers: 6, OnLeaseLoss: "last", Workers: 6, Zones: 2, Slots: 2, Play: ejectForOneZone},
	{Name: "verdict-five", About: "Five of six workers are bad at once, and then all dispatchers hear nothing", Coordinators: 1, Dispatchers: 3, OnLeaseLoss: "last", Workers: 6, Slots: 2, Play: ejectAtMostHalf},
	{Name: "verdict-liar", About: "One dispatcher says of all workers, and of lives of them that never were, that they fail", Coordinators: 1, Dispatchers: 3, OnLeaseLoss: "last", Workers: 6, Slots: 2, Play: ignoreFalseReports},
	{Name: "start-power", About: "Power comes back: 12 dispatchers, keepers and the list service at one moment, each of them last in turn", Coordinators: 3, Dispatchers: 12, Workers: 4, Zones: 3, Shared: true, Alone: true, Play: startPower},
	{Name: "start-reader", About: "The dispatcher that reads for its zone stands still for three leases, is killed, and is cut off one way, with a drain told each time", Coordinators: 3, Dispatchers: 6, Workers: 4, Shared: true, Play: startReader},
	{Name: "start-list", About: "The list service is overloaded, silent, gone in mid-list, and has an old list, while all start", Coordinators: 3, Dispatchers: 6, Workers: 4, Shared: true, Play: startList},
	{Name: "start-alone", About: "Keepers come up after the dispatchers, a minority only, and never, under last", Coordinators: 3, Dispatchers: 4, Workers: 2, OnLeaseLoss: "last", Shared: true, Play: startAlone},
	{Name: "start-again", About: "A dispatcher is killed in each stage of its start, and started ten times in a row", Coordinators: 3, Dispatchers: 3, Workers: 2, Shared: true, Play: startAgain},
	{Name: "start-storm", About: "All workers are cold at once under twice the load that they bear, with clients that come again at once", Coordinators: 3, Dispatchers: 6, Workers: 4, Slots: 2, Shared: true, Alone: true, Play: startStorm},
	{Name: "start-300", About: "300 holders in six zones ask real keepers for turns at a real list service", Coordinators: 3, Shared: true, Alone: true, Play: startManyHolders},
	{Name: "flow-killed", About: "The dispatcher of steps that run only once is killed, stopped through its lease, or cut off, at each stage of a step", Coordinators: 3, Dispatchers: 2, Workers: 2, Cells: 2, OnLeaseLoss: "last", Play: stepOwnerKilled},
	{Name: "flow-storm", About: "Workflows while dispatchers die and stand still, links are cut, reset and doubled, and the leader dies, by the seed", Coordinators: 3, Dispatchers: 4, Workers: 4, Cells: 2, OnLeaseLoss: "last", Alone: true, Play: workflowsUnderRandomFaults},
	{Name: "flow-restore", About: "A majority of the keepers is lost, and what is left is older than what was done", Coordinators: 3, Dispatchers: 2, Workers: 2, OnLeaseLoss: "last", Play: workflowsAfterRestore},
	{Name: "flow-pools", About: "Steps over two pools, of which one drains in the middle; templates changed under way, and such as can't be", Coordinators: 3, Dispatchers: 3, Workers: 4, Kinds: 2, Alone: true, Play: workflowsOverPools},
	{Name: "flow-many", About: "1,000 flows submitted in one second, one of 10,000 items, one cancelled with 500 steps out", Coordinators: 3, Dispatchers: 3, Workers: 3, Slots: 400, Alone: true, Play: manyWorkflows},
	{Name: "flow-poison", About: "Steps that kill each worker that takes them, and answers that claim another's step", Coordinators: 1, Dispatchers: 2, Workers: 4, Play: stepsThatKillWorkers},
	{Name: "flow-beside", About: "Clients' work at load 0.8 without a workflow beside it and with one", Coordinators: 3, Dispatchers: 3, Workers: 4, Slots: 8, Alone: true, Play: clientsBesideWorkflow},
	{Name: "flow-calm", About: "Workflows that nothing happens to: by one key twice at once, and one of a thousand titles", Coordinators: 3, Dispatchers: 3, Workers: 3, Alone: true, Play: workflowsWithoutFaults},
	{Name: "300-back", About: "300 holders come back at once after all keepers were away", Coordinators: 3, Alone: true, Play: leasesAfterOutage},
}

func check(t T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitAnswer waits until a dispatcher serves, or refuses.
func awaitAnswer(t T, r *Rig, d *Process, yes bool) {
	t.Helper()
	want := 503
	if yes {
		want = 200
	}
	check(t, Until(fmt.Sprintf("%s answers %d", d.Name, want), func() bool { return r.Ask(d) == want }))
}

// awaitVersion waits until a dispatcher admits under a version.
func awaitVersion(t T, r *Rig, d *Process, version uint64) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%s admits under version %d", d.Name, version), func() bool {
		r.Ask(d)
		return r.Admitted(d.Name, version) > 0
	}))
}

// awaitVersionEverywhere waits until all dispatchers admit under a version.
func awaitVersionEverywhere(t T, r *Rig, version uint64) {
	t.Helper()
	for _, d := range r.Dispatchers {
		awaitVersion(t, r, d, version)
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

func awaitStage(t T, r *Rig, id string, stage statemachine.Stage) *statemachine.PolicyChange {
	t.Helper()
	c, err := r.Change(id, stage)
	check(t, err)
	return c
}

// checkNoOverlap checks what must hold under refuse: never two versions at one moment.
func checkNoOverlap(t T, r *Rig) {
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
		out, err := exec.Command(filepath.Join(r.Bin, "coordinator"), append([]string{"--fleet", fleet, "--keepers", r.Coordinators[0].Addr + "," + r.Coordinators[1].Addr}, args...)...).CombinedOutput()
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
	awaitVersionEverywhere(t, r, 1)
	check(t, os.WriteFile(file, []byte(third), 0o600))
	call("policy", "propose", file)
	if out := call("policy", "back", "1", "--why", "worse"); !strings.Contains(out, "version 3 in force") {
		t.Errorf("back: %s", out)
	}
	awaitVersionEverywhere(t, r, 3)
	stop()
	checkNoOverlap(t, r)
	if out := call("policy", "history"); strings.Count(out, "\n") != 3 {
		t.Errorf("history: %s", out)
	}
}

// One of three dispatchers is down while a change is made, and comes back in the middle of the
// next, and after it: it serves under nothing but what is in force.
func downWhileItIsMade(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	down := r.Dispatchers[2]
	down.Kill()
	check(t, r.Propose("one", second, 0, false))
	awaitStage(t, r, "one", statemachine.InForce)
	check(t, r.Propose("two", third, 1, false))
	check(t, down.Start())
	awaitStage(t, r, "two", statemachine.InForce)
	awaitVersionEverywhere(t, r, 2)
	if n := r.Admitted(down.Name, 0); n == 0 {
		t.Error("it had admitted nothing before")
	}
	checkNoOverlap(t, r)
}

// A dispatcher stands still in the middle of a change, which waits for its lease and no longer;
// woken, it admits nothing by what it knew. Another that is cut off from all coordinators likewise.
func stoppedAndCutOff(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	still, lost := r.Dispatchers[1], r.Dispatchers[2]
	still.Stop()
	r.Cut(lost.Name, true)
	check(t, r.Propose("one", second, 0, true))
	awaitStage(t, r, "one", statemachine.InForce)
	awaitVersion(t, r, r.Dispatchers[0], 1)
	awaitAnswer(t, r, lost, false)
	before := r.Admitted(still.Name, 0) + r.Admitted(lost.Name, 0)
	still.Go()
	awaitVersion(t, r, still, 1)
	if now := r.Admitted(still.Name, 0) + r.Admitted(lost.Name, 0); now > before+1 { // one was being let in when it was stopped
		t.Errorf("%d requests admitted under the old version after the new one was in force", now-before)
	}
	r.Cut(lost.Name, false)
	awaitVersion(t, r, lost, 1)
	checkNoOverlap(t, r)
}

// What one dispatcher can't run never comes into force; nor does what one that holds a lease
// says nothing about. Two at once, and one asked for twice.
func withdrawn(t T, r *Rig) {
	check(t, r.Propose("newer", "from_the_future = 1\n", 0, false))
	c := awaitStage(t, r, "newer", statemachine.Withdrawn)
	if !strings.Contains(c.Reason, "can't run it") {
		t.Errorf("withdrawn: %s", c.Reason)
	}
	check(t, r.Propose("one", second, 0, false))
	check(t, r.Propose("one", second, 0, false))
	for range 2 { // while the first is under way, and once it is in force
		if _, err := r.Refused("two", third, 0); err != nil {
			t.Errorf("a second change from the same version: %v", err)
		}
		awaitStage(t, r, "one", statemachine.InForce)
	}
	awaitVersionEverywhere(t, r, 1)
	checkNoOverlap(t, r)
}

// A second process of a dispatcher takes over while a change is under way, and the first one's
// settings are read again: both end under what is in force, and neither beside it.
func upgradeAndReloadDuringAChange(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	old := r.Dispatchers[0]
	check(t, r.Propose("one", second, 0, false))
	old.Signal(syscall.SIGHUP)
	next, err := r.Beside(old)
	check(t, err)
	awaitStage(t, r, "one", statemachine.InForce)
	awaitVersion(t, r, next, 1)
	mark := old.Mark()
	old.Signal(syscall.SIGTERM)
	_, err = old.Await(mark, "stopped;")
	check(t, err)
	check(t, r.Propose("two", third, 1, false))
	awaitStage(t, r, "two", statemachine.InForce)
	for _, d := range r.Dispatchers[1:] {
		awaitVersion(t, r, d, 2)
	}
	checkNoOverlap(t, r)
}

// awaitLeader waits for a coordinator that leads.
func awaitLeader(t T, r *Rig) *Process {
	t.Helper()
	var who uint64
	check(t, Until("a keeper leads", func() bool {
		_, l, err := r.State()
		who = l
		return err == nil && l > 0 && l <= uint64(len(r.Coordinators))
	}))
	return r.Coordinators[who-1]
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
	one, two := r.Dispatchers[0], r.Dispatchers[1]
	two.Kill()
	two.Program(oldProgram)
	check(t, two.Start())
	awaitAnswer(t, r, two, true)
	check(t, r.Propose("newer", newer, 0, false))
	if c := awaitStage(t, r, "newer", statemachine.Withdrawn); !strings.Contains(c.Reason, "d2 can't run it") {
		t.Errorf("withdrawn: %s", c.Reason)
	}
	check(t, r.Propose("both", second, 0, false))
	awaitStage(t, r, "both", statemachine.InForce)
	awaitVersion(t, r, one, 1)
	awaitVersion(t, r, two, 1)
	two.Kill()
	two.Program("yardflow")
	check(t, two.Start())
	check(t, r.Propose("again", newer, 1, true))
	awaitStage(t, r, "again", statemachine.InForce)
	awaitVersion(t, r, one, 2)
	awaitVersion(t, r, two, 2)
	one.Kill()
	one.Program(oldProgram)
	mark := one.Mark()
	check(t, one.Start())
	_, err := one.Await(mark, "version 2 can't be run")
	check(t, err)
	awaitAnswer(t, r, one, false)
	awaitAnswer(t, r, two, true)
	if n := r.Admitted(one.Name, 2); n == 0 {
		t.Error("it had admitted nothing before")
	}
	checkNoOverlap(t, r)
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
