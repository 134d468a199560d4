package harness

// This file owns the scenarios of keepers that fall, come back, and are taken in and out.

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"yardflow/internal/fleet/policylease"
	"yardflow/internal/fleet/statemachine"
	"yardflow/internal/fleet/transport"
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
	changed(t, r, "one", statemachine.InForce)
	next := lead()
	next.Stop()
	check(t, r.Propose("two", third, 1, false))
	changed(t, r, "two", statemachine.InForce)
	next.Go()
	check(t, first.Start())
	allUnder(t, r, 2)
	// Those that come back know what was agreed on without them.
	for _, k := range []*Process{first, next} {
		awaitVersionAt(t, k.Name+" knows version 2", 2, k.Addr)
	}
	alone(t, r)
}

// A majority of the keepers is lost: nobody is harmed at once, leases end, and under refuse
// nothing is admitted then; back, all serve again. Under last all serve on, by the last.
func keepersLost(t T, r *Rig) {
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", statemachine.InForce)
	allUnder(t, r, 1)
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
	changed(t, r, "two", statemachine.InForce)
	allUnder(t, r, 2)
	if r.Fence == "refuse" {
		alone(t, r)
	} else if d, what := r.Overlap(); d > lease {
		t.Error(what)
	}
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
	changed(t, r, "one", statemachine.InForce)
	<-over
	for _, k := range r.Keeper {
		r.Link("d1", k.Name).Slow(0)
	}
	allUnder(t, r, 1)
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
		changed(t, r, id, statemachine.InForce)
		version++
		cut(first.Name, false, false)
		allUnder(t, r, version)
	}
	deaf := r.Dispatcher[1]
	cut(deaf.Name, false, true)
	serves(t, r, deaf, false)
	check(t, r.Propose("deaf", third, version, true))
	changed(t, r, "deaf", statemachine.InForce)
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
		changed(t, r, id, statemachine.InForce)
		allUnder(t, r, version+1)
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
	changed(t, r, "one", statemachine.Proposed)
	for _, k := range r.Keeper {
		k.Kill()
	}
	for _, k := range r.Keeper {
		check(t, k.Start())
	}
	changed(t, r, "one", statemachine.InForce)
	still.Go()
	allUnder(t, r, 1)
	alone(t, r)
}

// Keepers are taken in and out while changes are made: the one taken in learns first, has a say
// then, and knows all after a restart; the one that leads hands that over and is out; a number is
// used once; and those left go on without one more.
func members(t T, r *Rig) {
	stop := r.Load()
	defer stop()
	check(t, r.Propose("one", second, 0, false))
	changed(t, r, "one", statemachine.InForce)
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
	changed(t, r, "two", statemachine.InForce)
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
	changed(t, r, "three", statemachine.InForce)
	allUnder(t, r, 3)
	alone(t, r)
}

// A dispatcher starts again while the keepers are away: under last it goes on by the policy that
// it ran by before, and marks itself; what it kept is not whole: it admits nothing.
func restartLast(t T, r *Rig) {
	d, k := r.Dispatcher[0], r.Keeper[0]
	check(t, r.Propose("one", third, 0, false))
	changed(t, r, "one", statemachine.InForce)
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
	var all []*transport.LeaseSession
	for i := range 300 {
		addrs, err := r.fronts()
		check(t, err)
		h := transport.NewLeaseSession(transport.NewClient(fleet, addrs), policylease.New(fmt.Sprint("h", i), 1, "", statemachine.RefuseWork), time.Now(),
			transport.Hooks{CheckPolicy: func(statemachine.Policy) error { return nil }, ApplyPolicy: func(statemachine.Policy) error { return nil }, Log: func(string) {}})
		all = append(all, h)
		wg.Go(func() { h.Run(ctx) })
	}
	holding := func() (n int) {
		for _, h := range all {
			if held, _ := h.Admission(); held.Allowed {
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
