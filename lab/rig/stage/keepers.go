package stage

// This file owns the scenarios of keepers that fall, come back, and are taken in and out.

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"linnetlift/internal/accord"
	"linnetlift/internal/keeper"
	"linnetlift/internal/link"
)

// The keeper that leads is killed while a change is under way, then the next one stands still
// and goes on believing that it leads: the change ends, in force everywhere or withdrawn.
func leadersFall(t T, r *Rig) {
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
func keepersLost(t T, r *Rig) {
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
	if r.Fence == "refuse" {
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
	if r.Fence == "refuse" {
		alone(t, r)
	} else if d, what := r.Overlap(); d > lease {
		t.Error(what)
	}
}

// A folder that is lost, another's or damaged is refused by name, and nothing is made anew.
func folders(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	k := r.Keeper[2]
	dir := filepath.Join(r.Dir, k.Name)
	file := filepath.Join(dir, "keeper.db")
	// In force is what a majority has: this keeper may get it later.
	check(t, Until("the last keeper has the policy in its folder", func() bool {
		text, err := os.ReadFile(file)
		return err == nil && strings.Contains(string(text), "attempts = 3")
	}))
	k.Kill()
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
func badLinks(t T, r *Rig) {
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

// A keeper whose folder is full stops and says so; the others go on, and with room again it is
// back, knowing all.
func folderFull(t T, r *Rig) {
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

// A keeper that is started on an older copy of its folder is refused while another knows better:
// it would go back on what it has acknowledged.
func olderFolder(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	k := r.Keeper[2]
	file := filepath.Join(r.Dir, k.Name, "keeper.db")
	k.Kill()
	old, err := os.ReadFile(file)
	check(t, err)
	check(t, k.Start())
	// What follows is taken in by all three: by the two others alone it would not be k3's.
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", keeper.InForce)
	only := link.NewClient(fleet, []string{k.Addr})
	defer only.Close()
	check(t, Until("it knows version 2", func() bool {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		s, _, err := only.State(ctx)
		return err == nil && s.InForce().Version == 2
	}))
	k.Kill()
	whole, err := os.ReadFile(file)
	check(t, err)
	check(t, os.WriteFile(file, old, 0o600))
	mark := k.Mark()
	if err := k.Start(); err == nil {
		t.Error("it starts on an older copy")
	}
	_, err = k.Await(mark, "an older copy")
	check(t, err)
	check(t, os.WriteFile(file, whole, 0o600))
	check(t, k.Start())
	check(t, r.Propose("three", second, 2, false))
	changed(t, r, "three", keeper.InForce)
	under(t, r, r.Dispatcher[0], 3)
}

// Whoever proposes is killed after each thing that it says: a change ends without it, and another
// can be made.
func proposerKilled(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	slow := r.Dispatcher[1]
	file := filepath.Join(r.Dir, "policy.toml")
	for n, step := range []string{"attempts: ", "proposed; ", "closing; "} {
		serves(t, r, slow, true)
		slow.Stop() // so that each step lasts
		check(t, os.WriteFile(file, fmt.Appendf(nil, "attempts = %d\n", 2+n), 0o600))
		cmd := r.staff("--within", "30s", "policy", "propose", file, "--id", step, "--without-silent")
		out, err := cmd.StdoutPipe()
		check(t, err)
		check(t, cmd.Start())
		said := bufio.NewScanner(out)
		for said.Scan() && !strings.HasPrefix(said.Text(), step) {
		}
		cmd.Process.Kill()
		cmd.Wait()
		slow.Go()
		check(t, Until("no change is under way", func() bool {
			s, _, err := r.State()
			return err == nil && (s.Change == nil || s.Change.Stage >= keeper.InForce)
		}))
		s, _, err := r.State()
		check(t, err)
		if s.Change != nil && s.Change.ID == step && s.Change.Stage != keeper.InForce {
			t.Errorf("killed after %q: %v, %s", step, s.Change.Stage, s.Change.Reason)
		} else if step != "attempts: " && (s.Change == nil || s.Change.ID != step) {
			t.Errorf("killed after %q: it is not the last change", step)
		}
	}
	alone(t, r)
}

// The keeper that leads hears nobody, and is heard; and the other way round: others go on without
// it. A dispatcher whose words arrive and that hears nothing stops at its lease's end.
func oneWay(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	cut := func(name string, out, in bool) {
		for ends, l := range r.relays {
			if ends[0] == name {
				l.CutWays(out, in)
			} else if ends[1] == name && strings.HasPrefix(ends[0], "k") {
				l.CutWays(in, out)
			}
		}
	}
	version := uint64(0)
	for _, out := range []bool{false, true} {
		first := leads(t, r)
		cut(first.Name, out, !out)
		check(t, Until("another leads", func() bool { _, l, err := r.State(); return err == nil && l > 0 && r.Keeper[l-1] != first }))
		id := fmt.Sprint("out ", out)
		check(t, r.Propose(id, fmt.Sprintf("attempts = %d\n", version+2), version, true))
		changed(t, r, id, keeper.InForce)
		version++
		cut(first.Name, false, false)
		for _, d := range r.Dispatcher {
			under(t, r, d, version)
		}
	}
	deaf := r.Dispatcher[1]
	cut(deaf.Name, false, true)
	serves(t, r, deaf, false)
	check(t, r.Propose("deaf", third, version, true))
	changed(t, r, "deaf", keeper.InForce)
	under(t, r, r.Dispatcher[0], version+1)
	cut(deaf.Name, false, false)
	under(t, r, deaf, version+1)
	alone(t, r)
}

// All that goes to the keepers arrives once more, from each other and from dispatchers, much of it
// after another life of a dispatcher has begun.
func doubled(t T, r *Rig) {
	for ends, l := range r.relays {
		if ends[0] == "all" {
			continue
		}
		after := 60 * time.Millisecond
		if ends[0] == "d1" {
			after = 400 * time.Millisecond
		}
		l.Double(after)
		l.Reset() // what is open begins anew, doubled
	}
	stop := r.Load()
	defer stop()
	one := r.Dispatcher[0]
	for version := range uint64(4) {
		id := fmt.Sprint("c", version)
		check(t, r.Propose(id, fmt.Sprintf("attempts = %d\n", version+2), version, true))
		one.Kill()
		check(t, one.Start())
		changed(t, r, id, keeper.InForce)
		for _, d := range r.Dispatcher {
			under(t, r, d, version+1)
		}
	}
	alone(t, r)
}

// All keepers are killed in the middle of a change, and come back: it goes on.
func allBack(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	still := r.Dispatcher[1]
	still.Stop() // the change waits for it
	check(t, r.Propose("one", second, 0, true))
	changed(t, r, "one", keeper.Proposed)
	for _, k := range r.Keeper {
		k.Kill()
	}
	for _, k := range r.Keeper {
		check(t, k.Start())
	}
	changed(t, r, "one", keeper.InForce)
	still.Go()
	for _, d := range r.Dispatcher {
		under(t, r, d, 1)
	}
	alone(t, r)
}

// Keepers are taken in and out while changes are made: the one taken in learns first, has a say
// then, and knows all after a restart; the one that leads hands that over and is out; a number is
// used once; and those left go on without one more.
func members(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	fourth, addr, err := r.Join("k4", 4)
	check(t, err)
	if out := staff(t, r, 0, "members", "add", "4", addr); !strings.Contains(out, "4 learns") || !strings.Contains(out, "4 is a member") {
		t.Errorf("add: %s", out)
	}
	if out := staff(t, r, 0, "members"); strings.Count(out, "true") != 4 || strings.Contains(out, "learner") {
		t.Errorf("members: %s", out)
	}
	out := leads(t, r)
	id := strings.TrimPrefix(out.Name, "k")
	check(t, r.Propose("two", third, 1, false))
	staff(t, r, 0, "members", "remove", id)
	changed(t, r, "two", keeper.InForce)
	out.Kill()
	if out := staff(t, r, 1, "members", "add", id, out.Addr); !strings.Contains(out, "a number is used once") {
		t.Errorf("taken in again: %s", out)
	}
	fourth.Kill()
	check(t, fourth.Start())
	// Two of the three that are left are a majority, k4 among them.
	for _, k := range r.Keeper[:3] {
		if k != out {
			k.Kill()
			break
		}
	}
	if out := staff(t, r, 1, "members", "remove", "4"); !strings.Contains(out, "no majority") {
		t.Errorf("one of the two that answer is taken out: %s", out)
	}
	check(t, r.Propose("three", second, 2, true))
	changed(t, r, "three", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 3)
	}
	alone(t, r)
}

// Two of three keepers are lost for good with their folders. One is made anew of the third's: it
// says what may be lost, is alone, gives no lease before all that were given are over, uses no
// version twice, and takes others in.
func restore(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 1)
	}
	before := r.Keeper
	for _, k := range before {
		k.Kill()
	}
	left := before[2]
	next, err := r.keeper("k9", 9, nil)
	check(t, err)
	words := []string{"restore", "--config", filepath.Join(r.Dir, "k9.toml"), "--from", filepath.Join(r.Dir, left.Name)}
	if out := staff(t, r, 1, words...); !strings.Contains(out, "version 1 was in force by it, and is version 1001") || !strings.Contains(out, "nothing was done") {
		t.Errorf("restore without --accept-loss: %s", out)
	}
	staff(t, r, 0, append(words, "--accept-loss")...)
	if out := staff(t, r, 1, append(words, "--accept-loss")...); !strings.Contains(out, "holds a keeper already") {
		t.Errorf("restored twice: %s", out)
	}
	r.Keeper = []*Process{next}
	check(t, next.Start())
	check(t, r.Reach())
	for ends, l := range r.relays { // operators lead k1's name to the new one
		if ends[1] == "k1" {
			l.Target(next.Addr)
		}
	}
	for _, d := range r.Dispatcher {
		under(t, r, d, 1001)
	}
	tenth, addr, err := r.Join("k10", 10)
	check(t, err)
	staff(t, r, 0, "members", "add", "10", addr)
	check(t, r.Propose("two", third, 1001, false))
	changed(t, r, "two", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 1002)
	}
	if tenth.Addr == "" {
		t.Error("k10 does not serve")
	}
	// Those of before come back, two of three, and lead: no dispatcher goes back to them.
	var marks []int
	for _, d := range r.Dispatcher {
		marks = append(marks, d.Mark())
	}
	for _, k := range before[1:] {
		check(t, k.Start())
	}
	only := link.NewClient(fleet, []string{before[1].Addr, before[2].Addr})
	defer only.Close()
	check(t, Until("those of before lead", func() bool {
		ctx, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		s, _, err := only.State(ctx)
		return err == nil && s.InForce().Version == 1
	}))
	for i, d := range r.Dispatcher {
		r.Link(d.Name, "k1").Cut(true)
		_, err := d.Await(marks[i], "from before they were restored")
		check(t, err)
		r.Link(d.Name, "k1").Cut(false)
	}
	check(t, r.Propose("three", second, 1002, false))
	changed(t, r, "three", keeper.InForce)
	for _, d := range r.Dispatcher {
		under(t, r, d, 1003)
	}
	alone(t, r)
	for _, k := range before {
		k.Kill()
	}
}

// A dispatcher starts again while the keepers are away: under last it goes on by the policy that
// it ran by before, and marks itself; what it kept is not whole: it admits nothing.
func restartLast(t T, r *Rig) {
	d, k := r.Dispatcher[0], r.Keeper[0]
	check(t, r.Propose("one", third, 0, false))
	changed(t, r, "one", keeper.InForce)
	under(t, r, d, 1)
	k.Kill()
	before := r.Admitted(d.Name, 1)
	d.Kill()
	check(t, d.Start())
	serves(t, r, d, true)
	if r.Admitted(d.Name, 1) <= before {
		t.Error("it serves under another version")
	}
	d.Kill()
	kept, err := filepath.Glob(filepath.Join(r.Dir, d.Name, "*.policy"))
	check(t, err)
	for _, file := range kept {
		check(t, os.Truncate(file, 100))
	}
	mark := d.Mark()
	check(t, d.Start())
	_, err = d.Await(mark, "left out")
	check(t, err)
	serves(t, r, d, false)
	check(t, k.Start())
	serves(t, r, d, true)
}

// 300 holders lose their keepers, and come back at once when these do: all hold leases again.
func manyBack(t T, r *Rig) {
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer func() { stop(); wg.Wait() }()
	var all []*link.Holder
	for i := range 300 {
		var addrs []string
		for _, k := range r.Keeper {
			l, err := r.Front(k.Name)
			check(t, err)
			addrs = append(addrs, l.Addr())
		}
		h := link.NewHolder(link.NewClient(fleet, addrs), accord.New(fmt.Sprint("h", i), 1, "", keeper.Refuse), time.Now(),
			link.Hooks{Check: func(keeper.Policy) error { return nil }, Apply: func(keeper.Policy) error { return nil }, Log: func(string) {}})
		all = append(all, h)
		wg.Go(func() { h.Run(ctx) })
	}
	holding := func() (n int) {
		for _, h := range all {
			if held, _ := h.Admits(); held.Admits {
				n++
			}
		}
		return n
	}
	check(t, Until("all 300 hold leases", func() bool { return holding() == 300 }))
	for _, k := range r.Keeper {
		k.Kill()
	}
	check(t, Until("none holds a lease", func() bool { return holding() == 0 }))
	for _, k := range r.Keeper {
		check(t, k.Start())
	}
	began := time.Now()
	check(t, Until("all 300 hold leases again", func() bool { return holding() == 300 }))
	t.Logf("300 hold leases again %v after the keepers serve", time.Since(began).Round(time.Millisecond))
}
