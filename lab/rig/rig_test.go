//go:build !race

// Once is enough: the race detector does not reach into the programs.

package rig

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"linnetlift/internal/keeper"
	"linnetlift/internal/link"
)

var bin string

// The programs are built once, as they are.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig")
	if err == nil {
		bin = dir
		var out []byte
		if out, err = exec.Command("go", "build", "-o", dir+"/", "../../cmd/...").CombinedOutput(); err != nil {
			err = fmt.Errorf("%v: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const lease = 1500 * time.Millisecond

func stage(t *testing.T, keepers, dispatchers int, fence string) *Rig {
	t.Helper()
	t.Parallel()
	settings, err := os.ReadFile("../../cmd/yardflow/testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(Config{Bin: bin, Dir: t.TempDir(), Keepers: keepers, Dispatchers: dispatchers, Fence: fence, Lease: lease, Answer: 4 * time.Second, Settings: settings})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, d := range r.Dispatcher {
		serves(t, r, d, true)
	}
	return r
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// serves waits until a dispatcher serves, or refuses.
func serves(t *testing.T, r *Rig, d *Process, yes bool) {
	t.Helper()
	want := 503
	if yes {
		want = 200
	}
	check(t, Until(fmt.Sprintf("%s answers %d", d.Name, want), func() bool { return r.Ask(d) == want }))
}

// under waits until a dispatcher admits under a version.
func under(t *testing.T, r *Rig, d *Process, version uint64) {
	t.Helper()
	check(t, Until(fmt.Sprintf("%s admits under version %d", d.Name, version), func() bool {
		r.Ask(d)
		return r.Admitted(d.Name, version) > 0
	}))
}

func changed(t *testing.T, r *Rig, id string, stage keeper.Stage) *keeper.Change {
	t.Helper()
	c, err := r.Change(id, stage)
	check(t, err)
	return c
}

// alone checks what must hold under refuse: never two versions at one moment.
func alone(t *testing.T, r *Rig) {
	t.Helper()
	if d, what := r.Overlap(); d > 0 {
		t.Error(what)
	}
}

const second, third = "attempts = 3\n", "attempts = 2\nban = [\"s-9\"]\n"

// A change with all up, under load, by the staff's command; and the way back.
func TestChangeComesIntoForce(t *testing.T) {
	r := stage(t, 3, 3, "refuse")
	stop := r.Load()
	file := filepath.Join(r.Dir, "policy.toml")
	check(t, os.WriteFile(file, []byte(second), 0o600))
	call := func(args ...string) string {
		out, err := exec.Command(filepath.Join(bin, "keeper"), append([]string{"--fleet", fleet, "--keepers", r.Keeper[0].Addr + "," + r.Keeper[1].Addr}, args...)...).CombinedOutput()
		if err != nil {
			t.Fatalf("keeper %v: %v: %s", args, err, out)
		}
		return string(out)
	}
	if out := call("policy", "propose", file, "--dry-run"); !strings.Contains(out, "attempts: 0 to 3") {
		t.Errorf("dry run: %s", out)
	}
	if out := call("policy", "propose", file, "--why", "a trial"); !strings.Contains(out, "version 1 in force") {
		t.Errorf("propose: %s", out)
	}
	for _, d := range r.Dispatcher {
		under(t, r, d, 1)
	}
	check(t, os.WriteFile(file, []byte(third), 0o600))
	call("policy", "propose", file)
	if out := call("policy", "back", "1", "--why", "worse"); !strings.Contains(out, "version 3 in force") {
		t.Errorf("back: %s", out)
	}
	for _, d := range r.Dispatcher {
		under(t, r, d, 3)
	}
	stop()
	alone(t, r)
	if out := call("policy", "history"); strings.Count(out, "\n") != 3 {
		t.Errorf("history: %s", out)
	}
}

// One of three dispatchers is down while a change is made, and comes back in the middle of the
// next, and after it: it serves under nothing but what is in force.
func TestDownWhileItIsMade(t *testing.T) {
	r := stage(t, 3, 3, "refuse")
	stop := r.Load()
	defer stop()
	down := r.Dispatcher[2]
	down.Kill()
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	check(t, r.Propose("two", third, 1, false))
	check(t, down.Start())
	changed(t, r, "two", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 2)
	}
	if n := r.Admitted(down.Name, 0); n == 0 {
		t.Error("it had admitted nothing before")
	}
	alone(t, r)
}

// A dispatcher stands still in the middle of a change, which waits for its lease and no longer;
// woken, it admits nothing by what it knew. Another that is cut off from all keepers likewise.
func TestStoppedAndCutOff(t *testing.T) {
	r := stage(t, 3, 3, "refuse")
	stop := r.Load()
	defer stop()
	still, lost := r.Dispatcher[1], r.Dispatcher[2]
	still.Stop()
	r.Cut(lost.Name, true)
	check(t, r.Propose("one", second, 0, true))
	changed(t, r, "one", keeper.InForce)
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

// The keeper that leads is killed while a change is under way, then the next one stands still
// and goes on believing that it leads: the change ends, in force everywhere or withdrawn.
func TestLeadersFall(t *testing.T) {
	r := stage(t, 5, 2, "refuse")
	stop := r.Load()
	defer stop()
	lead := func() *Process {
		var who uint64
		check(t, Until("a keeper leads", func() bool { _, l, err := r.State(); who = l; return err == nil && l > 0 }))
		return r.Keeper[who-1]
	}
	first := lead()
	check(t, r.Propose("one", second, 0, false))
	first.Kill()
	changed(t, r, "one", keeper.InForce)
	next := lead()
	next.Stop()
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", keeper.InForce)
	next.Go()
	check(t, first.Start())
	for _, d := range r.Dispatcher {
		under(t, r, d, 2)
	}
	// Those that come back know what was agreed on without them.
	for _, k := range []*Process{first, next} {
		only := link.NewClient(fleet, []string{k.Addr})
		check(t, Until(k.Name+" knows version 2", func() bool {
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			defer end()
			s, _, err := only.State(ctx)
			return err == nil && s.InForce().Version == 2
		}))
		only.Close()
	}
	alone(t, r)
}

// A majority of the keepers is lost: nobody is harmed at once, leases end, and under refuse
// nothing is admitted then; back, all serve again. Under last all serve on, by the last.
func TestKeepersLost(t *testing.T) {
	for _, fence := range []string{"refuse", "last"} {
		t.Run(fence, func(t *testing.T) {
			r := stage(t, 3, 2, fence)
			check(t, r.Propose("one", second, 0, false))
			changed(t, r, "one", keeper.InForce)
			for _, d := range r.Dispatcher {
				under(t, r, d, 1)
			}
			mark := r.Dispatcher[0].Mark()
			r.Keeper[0].Kill()
			r.Keeper[1].Kill()
			if status := r.Ask(r.Dispatcher[0]); status != 200 {
				t.Errorf("%d at once", status)
			}
			_, err := r.Dispatcher[0].Await(mark, "no keeper answers")
			check(t, err)
			if fence == "refuse" {
				for _, d := range r.Dispatcher {
					serves(t, r, d, false)
				}
			} else {
				for until := time.Now().Add(2 * lease); time.Now().Before(until); {
					for _, d := range r.Dispatcher {
						if status := r.Ask(d); status != 200 {
							t.Fatalf("%s: %d without keepers", d.Name, status)
						}
					}
				}
			}
			check(t, r.Keeper[0].Start())
			check(t, r.Keeper[1].Start())
			check(t, r.Propose("two", third, 1, false))
			changed(t, r, "two", keeper.InForce)
			for _, d := range r.Dispatcher {
				under(t, r, d, 2)
			}
			if fence == "refuse" {
				alone(t, r)
			} else if d, what := r.Overlap(); d > lease {
				t.Error(what)
			}
		})
	}
}

// What one dispatcher can't run never comes into force; nor does what one that holds a lease
// says nothing about. Two at once, and one asked for twice.
func TestWithdrawn(t *testing.T) {
	r := stage(t, 1, 2, "refuse")
	check(t, r.Propose("newer", "from_the_future = 1\n", 0, false))
	c := changed(t, r, "newer", keeper.Withdrawn)
	if !strings.Contains(c.Reason, "can't run it") {
		t.Errorf("withdrawn: %s", c.Reason)
	}
	check(t, r.Propose("one", second, 0, false))
	check(t, r.Propose("one", second, 0, false))
	if err := r.Propose("two", third, 0, false); err == nil {
		changed(t, r, "one", keeper.InForce)
		t.Error("a second change from the same version is taken")
	}
	changed(t, r, "one", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 1)
	}
	alone(t, r)
}

// A folder that is lost, another's or damaged is refused by name, and nothing is made anew.
func TestFolders(t *testing.T) {
	r := stage(t, 3, 0, "refuse")
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	k := r.Keeper[2]
	k.Kill()
	dir := filepath.Join(r.Dir, k.Name)
	file := filepath.Join(dir, "keeper.db")
	whole, err := os.ReadFile(file)
	check(t, err)
	refuses := func(what, want string) {
		t.Helper()
		mark := k.Mark()
		if err := k.Start(); err == nil {
			t.Errorf("%s: it starts", what)
			k.Kill()
			return
		}
		if _, err := k.Await(mark, want); err != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	check(t, os.Rename(dir, dir+".away"))
	refuses("lost", "holds no keeper")
	check(t, os.Rename(dir+".away", dir))
	other, err := os.ReadFile(filepath.Join(r.Dir, "k1", "keeper.db"))
	check(t, err)
	check(t, os.WriteFile(file, other, 0o600))
	refuses("another's", "the folder is another's")
	spoilt := append([]byte(nil), whole...)
	at := strings.Index(string(whole), "attempts = 3")
	if at < 0 {
		t.Fatal("the policy's text is not found in the folder")
	}
	for i := 0; i < len(spoilt)-12; i++ { // wherever it stands: pages of before hold it too
		if string(spoilt[i:i+12]) == "attempts = 3" {
			spoilt[i+11] = '9'
		}
	}
	check(t, os.WriteFile(file, spoilt, 0o600))
	refuses("damaged", "the folder is damaged")
	check(t, os.WriteFile(file, whole, 0o600))
	check(t, k.Start())
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", keeper.InForce)
}

// Links that pass 1 KB a second, and are reset in the middle of messages: slower, and right.
func TestBadLinks(t *testing.T) {
	r := stage(t, 3, 2, "refuse")
	for _, k := range r.Keeper {
		r.Link("d1", k.Name).Slow(1000)
	}
	stop := r.Load()
	defer stop()
	over := make(chan struct{})
	go func() {
		defer close(over)
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			for _, k := range r.Keeper {
				r.Link("d2", k.Name).Reset()
			}
		}
	}()
	check(t, r.Propose("one", second, 0, true))
	changed(t, r, "one", keeper.InForce)
	<-over
	for _, k := range r.Keeper {
		r.Link("d1", k.Name).Slow(0)
	}
	for _, d := range r.Dispatcher {
		under(t, r, d, 1)
	}
	alone(t, r)
}

// A second process of a dispatcher takes over while a change is under way, and the first one's
// settings are read again: both end under what is in force, and neither beside it.
func TestUpgradeAndReloadDuringAChange(t *testing.T) {
	r := stage(t, 3, 2, "refuse")
	stop := r.Load()
	defer stop()
	old := r.Dispatcher[0]
	check(t, r.Propose("one", second, 0, false))
	old.Signal(syscall.SIGHUP)
	next, err := r.Beside(old)
	check(t, err)
	changed(t, r, "one", keeper.InForce)
	under(t, r, next, 1)
	mark := old.Mark()
	old.Signal(syscall.SIGTERM)
	_, err = old.Await(mark, "stopped;")
	check(t, err)
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", keeper.InForce)
	for _, d := range r.Dispatcher[1:] {
		under(t, r, d, 2)
	}
	alone(t, r)
}

// A keeper whose folder is full stops and says so; the others go on, and with room again it is
// back, knowing all.
func TestFolderFull(t *testing.T) {
	r := stage(t, 3, 1, "refuse")
	full := r.Keeper[2]
	full.Kill()
	full.Limit(64 << 10)
	mark := full.Mark()
	if err := full.Start(); err == nil {
		stop := r.Load()
		_, err = full.Await(mark, "can't be written")
		stop()
		check(t, err)
	}
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	full.Limit(0)
	full.Kill()
	check(t, full.Start())
	only := link.NewClient(fleet, []string{full.Addr})
	defer only.Close()
	check(t, Until("it knows version 1", func() bool {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		s, _, err := only.State(ctx)
		return err == nil && s.InForce().Version == 1
	}))
}
